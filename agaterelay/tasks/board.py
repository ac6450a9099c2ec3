"""State that the tasks of a node share.

Each field of the board is written by one task, named beside it, and read by the
others. The values are immutable, so a task can keep one while a newer is published.
"""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.adapters.log import Recorder
from agaterelay.adapters.settings import Settings
from agaterelay.core.membership import Member, Members
from agaterelay.core.messages import Brake
from agaterelay.core.model import Head, Snapshot
from agaterelay.core.timeline import Timeline
from agaterelay.ports import Clock, Objects, Peers, Table


@attrs.frozen
class NodeContext:
    """The settings, clock, ports and event recorder that a node's tasks share."""

    settings: Settings
    clock: Clock
    table: Table
    objects: Objects
    peers: Peers
    timeline: Timeline
    record: Recorder


@attrs.define
class Board:
    """The state of a node that its tasks publish to each other."""

    own: Member  # written by gossip
    members: Members = attrs.field(factory=dict)  # written by gossip
    out_of_reach: frozenset[str] = frozenset()  # written by gossip
    active: Snapshot | None = None  # written by the keeper
    activated_ms: int = 0  # written by the keeper
    held: Head = Head(0, "")  # written by the keeper
    floor: int | None = None  # written by the keeper
    brakes: dict[str, Brake] = attrs.field(factory=dict)  # written by the brake task
    known_revision: int = 0  # written by the keeper
    platform_up: bool = True  # written by the reader
    head_revision: int = 0  # written by the reader
    head_read_s: float | None = None  # written by the reader
    stopping: bool = False  # written by the node
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.frozen
class RevisionNotification:
    """Notification that a revision exists.

    ``source`` is a host that holds the revision, or empty. ``origin`` is the host at
    the root of the tree along which the notification is broadcast, or empty.
    """

    head: Head
    source: str = ""
    origin: str = ""
