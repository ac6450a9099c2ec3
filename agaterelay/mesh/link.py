"""The state of a node's links to others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from agaterelay.adapters.frames import FrameConnection
from agaterelay.core.catch_up import CatchUp
from agaterelay.core.placing import TargetLoad
from agaterelay.mesh.gate import Gate
from agaterelay.mesh.state import MeshState, NodeContext

# On the steady clock, before anything happened.
NEVER_S = -1e9


class LinkDownError(Exception):
    """There is no connection to the host; nothing was sent."""


@attrs.define
class Link:
    """The connection that this node dialled to another.

    ``repeatable`` are the pending calls that are given up where the link falls silent,
    since they can be sent to another upstream. Any other call waits for its answer: the
    upstream may well be at work.
    """

    host: str
    connection: FrameConnection | None = None
    pending: dict[int, asyncio.Future[Any]] = attrs.field(factory=dict)
    repeatable: set[int] = attrs.field(factory=set)
    last_received_s: float = 0.0
    pinged_s: float | None = None
    usable: bool = False
    # When the other last said that it watches the store.
    watching_s: float = NEVER_S
    lost_s: float = 0.0
    load: TargetLoad = attrs.field(factory=TargetLoad)
    dialer: asyncio.Task[None] | None = None


@attrs.define
class Documents:
    """The documents that this node held lately, and how it hands out the newest.

    ``sources`` holds them by revision, oldest first; ``prepared`` the frames made for
    the newest, by the revision that the asking node holds.
    """

    sources: dict[int, bytes] = attrs.field(factory=dict)
    prepared: dict[int, list[Any]] = attrs.field(factory=dict)


@attrs.define
class Links:
    """All links of a node, and the calls that others run through it.

    ``unequal`` are the connections whose other end told a view that differs from this
    node's: its fingerprint, and how many hosts it knows.
    """

    context: NodeContext
    state: MeshState
    gate: Gate
    take_table: Callable[[bytes], None]
    links: dict[str, Link] = attrs.field(factory=dict)
    running: dict[tuple[FrameConnection, int], asyncio.Task[None]] = attrs.field(
        factory=dict
    )
    next_number: int = 0
    accepted: set[FrameConnection] = attrs.field(factory=set)
    own_load: TargetLoad = attrs.field(factory=TargetLoad)
    server: asyncio.Server | None = None
    catch_up: CatchUp[FrameConnection] = attrs.field(factory=CatchUp)
    documents: Documents = attrs.field(factory=Documents)
    asked_members_s: float = -1e9
    unequal_s: float | None = None
    unequal: dict[FrameConnection, tuple[tuple[int, ...], int]] = attrs.field(
        factory=dict
    )
