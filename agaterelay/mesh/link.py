"""The state of a node's links to others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from agaterelay.adapters.frames import FrameConnection
from agaterelay.core.call_start import CallStart
from agaterelay.core.catch_up import CatchUp
from agaterelay.core.placing import TargetLoad
from agaterelay.mesh.inbound import Inbound
from agaterelay.mesh.response_room import ResponseRoom
from agaterelay.mesh.state import MeshState, NodeContext

# A time on the monotonic clock that is before any event.
NEVER_S = -1e9


class LinkDownError(Exception):
    """There is no connection to the host, so nothing was sent."""


@attrs.define
class Link:
    """The connection that this node has dialled to another node.

    Attributes:
        pending: The futures of calls and requests that await a reply, by number.
        retryable: The pending calls that fail once the other node stops answering, since
            they can be sent to another upstream. Any other call waits for its answer, as
            the upstream may still be running it.
        starts: The pending calls that the other node asks for before it starts them.
        pinged_s: When the unanswered ping was sent, None if there is none.
        holders: What identifies the request of each pending call.
        granted: The numbers of the results that the other node may send and that have
            not arrived.
        usable: Whether calls may be placed on the link.
        watching_s: When the other node last reported that it watches the store.
        lost_s: When the connection was last lost.
        start: The instance and the start in milliseconds since 1970 of the upstream that
            the load was last known to be of, None if there was none.
        asks_for_start: Whether the other node asks before it starts a call that must not
            run twice.
        takes_parts: Whether the other node takes the long body of a call in parts.
        wanted_bodies: For each pending call with such a body, done once the other node
            has asked for it.
    """

    host: str
    connection: FrameConnection | None = None
    pending: dict[int, asyncio.Future[Any]] = attrs.field(factory=dict)
    retryable: set[int] = attrs.field(factory=set)
    starts: dict[int, CallStart] = attrs.field(factory=dict)
    holders: dict[int, object] = attrs.field(factory=dict)
    granted: set[int] = attrs.field(factory=set)
    last_received_s: float = 0.0
    pinged_s: float | None = None
    usable: bool = False
    watching_s: float = NEVER_S
    lost_s: float = 0.0
    start: tuple[str, int] | None = None
    asks_for_start: bool = False
    takes_parts: bool = False
    wanted_bodies: dict[int, asyncio.Future[None]] = attrs.field(factory=dict)
    load: TargetLoad = attrs.field(factory=TargetLoad)
    dialer: asyncio.Task[None] | None = None


@attrs.define
class IncomingBody:
    """A body whose parts are being received.

    Attributes:
        size_bytes: The size of the whole body.
        received: What has been received of it.
        complete: Done once all of it has been received.
    """

    size_bytes: int
    complete: asyncio.Future[None]
    received: bytearray = attrs.field(factory=bytearray, repr=False)


@attrs.define
class Documents:
    """Recent configuration documents of this node, and frames to send the newest.

    Attributes:
        sources: The documents by revision, oldest first.
        prepared: The frames with the newest document, by the revision that the
            requesting node holds.
    """

    sources: dict[int, bytes] = attrs.field(factory=dict)
    prepared: dict[int, list[Any]] = attrs.field(factory=dict)


@attrs.define
class Links:
    """All links of a node, and the calls that other nodes run through it.

    Attributes:
        apply_document: Called with a configuration document from another node.
        links: The links that this node dials, by host.
        outdated: Whether members have changed since the links were chosen.
        chosen_s: When the links were last chosen.
        running: The tasks of other nodes' calls, by connection and number.
        start_answers: The futures of running calls that wait for the permission to
            start, by connection and number.
        accepted: The connections that other nodes have dialled.
        refused: The host and kind of messages that could not be read.
        room: The responses that this node holds.
        offers: The results that await a grant of the calling node, by connection and
            number.
        incoming_bodies: The bodies of calls that are received in parts, by connection
            and number.
        own_load: The load of this host's own upstream.
        loads: The loads of other hosts' upstreams, by host; they outlive the links.
        handle_question: Called with a question for a grant or a loan.
        wanted_links: Returns the hosts that the allotments need links to.
        members_requested_s: When members were last requested because views differ.
        views_differ_since_s: Since when some view differs, None if none does.
        differing_views: The fingerprint and the number of hosts of each view that differs
            from this node's, by connection.
    """

    context: NodeContext
    state: MeshState
    inbound: Inbound
    apply_document: Callable[[bytes], None]
    room: ResponseRoom
    offers: dict[tuple[FrameConnection, int], asyncio.Future[bool]] = attrs.field(
        factory=dict
    )
    links: dict[str, Link] = attrs.field(factory=dict)
    outdated: bool = False
    chosen_s: float = NEVER_S
    running: dict[tuple[FrameConnection, int], asyncio.Task[None]] = attrs.field(
        factory=dict
    )
    start_answers: dict[tuple[FrameConnection, int], asyncio.Future[None]] = (
        attrs.field(factory=dict)
    )
    incoming_bodies: dict[tuple[FrameConnection, int], IncomingBody] = attrs.field(
        factory=dict
    )
    next_number: int = 0
    accepted: set[FrameConnection] = attrs.field(factory=set)
    refused: set[tuple[str, str]] = attrs.field(factory=set)
    own_load: TargetLoad = attrs.field(factory=TargetLoad)
    loads: dict[str, TargetLoad] = attrs.field(factory=dict)
    handle_question: Callable[[FrameConnection, list[Any]], None] = (
        lambda connection, frame: None
    )
    wanted_links: Callable[[], set[str]] = set
    server: asyncio.Server | None = None
    catch_up: CatchUp[FrameConnection] = attrs.field(factory=CatchUp)
    documents: Documents = attrs.field(factory=Documents)
    members_requested_s: float = -1e9
    views_differ_since_s: float | None = None
    differing_views: dict[FrameConnection, tuple[tuple[int, ...], int]] = attrs.field(
        factory=dict
    )
