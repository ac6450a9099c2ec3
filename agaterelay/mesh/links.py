"""The links of a node: one connection to each other node that it knows.

A link carries calls to the other's gate and what both know of the fleet. A node dials
every host that it learns of, and a host that it has heard dial; a host that comes back
after a restart is thus told by its neighbours what is in force, with the store or
without. A link that stays silent while an answer is due is not used for placing until
something arrives on it again.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.call import Call
from agaterelay.core.membership import Member
from agaterelay.core.neighbours import wanted_hosts
from agaterelay.core.outcome import Unknown
from agaterelay.core.placing import TargetLoad, note_report
from agaterelay.core.trial import MoveRecord, Order, RouteTallies
from agaterelay.events import EventKind
from agaterelay.mesh.gate import Gate, Ran, report_load, run_call, tallies_since
from agaterelay.mesh.state import (
    Context,
    MeshState,
    all_members,
    drop_member,
    revision_of,
    take_member,
    take_move,
    take_order,
)
from agaterelay.mesh.wire import (
    call_from_wire,
    call_to_wire,
    member_from_wire,
    member_to_wire,
    move_from_wire,
    move_to_wire,
    order_from_wire,
    order_to_wire,
    ran_from_wire,
    ran_to_wire,
    tallies_from_wire,
    tallies_to_wire,
)

CONNECT_TIMEOUT_S = 1.0
FIRST_REDIAL_S = 0.2
MAX_REDIAL_S = 1.5
# An idle link still tells revisions this often; with many links less often, so that a
# node sends no more than some pings a second in all.
IDLE_PING_S = 1.0
MAX_IDLE_PINGS_PER_S = 12
# How long a node that is behind waits for its own zone before it asks another one.
OTHER_ZONE_DELAY_S = 0.5
# A busy link on which nothing came for this long is asked whether it is alive.
BUSY_PING_S = 0.3
# A ping is answered within a round trip; a busy host takes some tens of milliseconds.
SILENCE_S = 0.6
WATCH_PERIOD_S = 0.1
ASK_TIMEOUT_S = 0.5


class LinkDownError(Exception):
    """There is no connection to the host; nothing was sent."""


@attrs.define
class Link:
    """The connection that this node dialled to another.

    ``repeatable`` are the pending calls that may be given up while their outcome is
    not known, since they can be sent to another upstream.
    """

    host: str
    connection: FrameConnection | None = None
    pending: dict[int, asyncio.Future[Any]] = attrs.field(factory=dict)
    repeatable: set[int] = attrs.field(factory=set)
    heard_s: float = 0.0
    pinged_s: float | None = None
    usable: bool = False
    # When the other last said that it watches the store.
    watching_s: float = -1e9
    lost_s: float = 0.0
    load: TargetLoad = attrs.field(factory=TargetLoad)
    dialer: asyncio.Task[None] | None = None


@attrs.define
class Links:
    """All links of a node, and the calls that others run through it."""

    context: Context
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
    asked_table_s: float = -1.0
    behind_s: float | None = None


async def start_links(links: Links) -> None:
    """Listen for other nodes.

    Raises:
        OSError: The address cannot be bound.
    """
    host, port = links.context.deployment.link_address.rsplit(":", 1)
    links.server = await asyncio.get_running_loop().create_server(
        lambda: FrameConnection(
            lambda connection, frame: _take_frame(links, connection, frame),
            lambda connection, reason: _end_inbound(links, connection),
            lambda connection: _begin_inbound(links, connection),
        ),
        host,
        int(port),
        backlog=512,
    )


def follow_members(links: Links) -> None:
    """Dial the hosts that are wanted now and drop the links to others."""
    state = links.state
    wanted = wanted_hosts(state.own, state.members.values())
    wanted.update(host for host in state.readers if host in state.members)
    for host in wanted:
        if host not in links.links:
            link = links.links[host] = Link(host)
            link.dialer = asyncio.create_task(_keep_dialled(links, link))
    for host, link in tuple(links.links.items()):
        # A link on which calls wait is dropped with a later change.
        if host in wanted or (host in state.members and link.pending):
            continue
        del links.links[host]
        if link.dialer is not None:
            link.dialer.cancel()
        if link.connection is not None:
            link.connection.close()


async def _keep_dialled(links: Links, link: Link) -> None:
    """Dial a host again and again until its link is dropped."""
    loop = asyncio.get_running_loop()
    clock = links.context.clock
    host, port = link.host.rsplit(":", 1)
    delay_s = FIRST_REDIAL_S
    link.lost_s = clock.monotonic_s()
    while True:
        lost = asyncio.Event()

        def note_loss(
            connection: FrameConnection, reason: str, lost: asyncio.Event = lost
        ) -> None:
            _lose_link(links, link, reason)
            lost.set()

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda note_loss=note_loss: FrameConnection(
                        lambda connection, frame: _take_reply(links, link, frame),
                        note_loss,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError):
            await clock.sleep(delay_s * (0.5 + random.random()))
            delay_s = min(delay_s * 1.6, MAX_REDIAL_S)
            continue
        delay_s = FIRST_REDIAL_S
        link.connection = connection
        link.heard_s = clock.monotonic_s()
        link.pinged_s = None
        link.usable = True
        _greet(links, connection)
        links.context.record(EventKind.LINK_UP, peer=link.host)
        await lost.wait()
        await clock.sleep(FIRST_REDIAL_S * random.random())


def _lose_link(links: Links, link: Link, reason: str) -> None:
    link.connection = None
    link.usable = False
    link.lost_s = links.context.clock.monotonic_s()
    link.load = TargetLoad()
    pending, link.pending = link.pending, {}
    links.context.record(
        EventKind.LINK_LOST, peer=link.host, reason=reason, waiting=len(pending)
    )
    for future in pending.values():
        if not future.done():
            future.set_exception(ConnectionError(reason))


def _greet(links: Links, connection: FrameConnection) -> None:
    """Tell a node all that this one knows."""
    state = links.state
    members = [member_to_wire(member) for member in all_members(state)]
    moves = [move_to_wire(record) for record in state.moves.values()]
    orders = [order_to_wire(order) for order in state.orders.values()]
    connection.send(
        [
            Frame.HELLO,
            state.own.host,
            revision_of(state),
            members,
            moves,
            orders,
            [],
            state.watching,
        ]
    )


def tell_all(links: Links) -> None:
    """Tell all linked nodes of this host's entry, of all moves and orders."""
    _tell(links, [links.state.own], [], own_zone_only=False)


def tell_zone(
    links: Links, members: Iterable[Member], removed: Iterable[tuple[str, int, int]]
) -> None:
    """Tell the own zone what this node read in the store for all of it.

    Args:
        links: The links.
        members: The hosts whose entries are news.
        removed: The hosts whose rows were removed, with their last pairs.
    """
    _tell(links, members, removed, own_zone_only=True)


def _tell(
    links: Links,
    members: Iterable[Member],
    removed: Iterable[tuple[str, int, int]],
    own_zone_only: bool,
) -> None:
    state = links.state
    frame = [
        Frame.NEWS,
        state.own.host,
        revision_of(state),
        [member_to_wire(member) for member in members],
        [move_to_wire(record) for record in state.moves.values()],
        [order_to_wire(order) for order in state.orders.values()],
        [list(item) for item in removed],
        state.watching,
    ]
    told = set()
    for link in links.links.values():
        if own_zone_only and not _in_own_zone(links, link.host):
            continue
        if link.connection is not None and link.connection.send(frame):
            told.add(link.host)
    for connection in links.accepted:
        host = connection.host
        if host not in told and (not own_zone_only or _in_own_zone(links, host)):
            connection.send(frame)


def _in_own_zone(links: Links, host: str) -> bool:
    member = links.state.members.get(host)
    return member is not None and member.zone == links.state.own.zone


def _take_news(links: Links, connection: FrameConnection, frame: list[Any]) -> None:
    _, host, revision, members, moves, orders, removed, watching = frame
    connection.host = host
    _note_watching(links, host, watching)
    links.state.fleet_known |= len(members) > 1
    changed = False
    for plain in members:
        member = member_from_wire(plain)
        if member.host == links.state.own.host:
            _note_older_self(links, member)
        changed |= take_member(links.state, member)
    for gone, incarnation, sequence in removed:
        if gone == links.state.own.host:
            links.state.own_row_lost = True
            links.state.news.set()
        else:
            changed |= drop_member(links.state, gone, (incarnation, sequence))
    for plain in orders:
        if take_order(links.state, order_from_wire(plain)):
            log_order(links.context, order_from_wire(plain), f"link {host}")
    now_s = links.context.clock.monotonic_s()
    for plain in moves:
        record = move_from_wire(plain)
        if take_move(links.state, record, now_s):
            log_move(links.context, record, f"link {host}")
    if changed:
        follow_members(links)
    _note_revision(links, connection, revision)


def _note_older_self(links: Links, member: Member) -> None:
    """Begin a higher incarnation where others know a later start of this host."""
    own = links.state.own
    if member.incarnation > own.incarnation:
        links.state.own = attrs.evolve(own, incarnation=member.incarnation + 1)
        links.state.news.set()
        tell_all(links)


def log_move(context: Context, record: MoveRecord, source: str) -> None:
    """Log what this node now believes of a move."""
    context.record(
        EventKind.MOVE_FINISHED if record.final else EventKind.MOVE_STEPPED,
        service=record.service,
        version=record.to_version,
        state=str(record.state),
        reason=record.reason,
        source=source,
    )


def log_order(context: Context, order: Order, source: str) -> None:
    """Log an order that this node has heard of."""
    context.record(
        EventKind.MOVE_ORDERED,
        service=order.service,
        version=order.to_version,
        duration_s=order.duration_s,
        order=order.number,
        source=source,
    )


def _note_watching(links: Links, host: str, watching: bool) -> None:
    link = links.links.get(host)
    if link is not None:
        now_s = links.context.clock.monotonic_s()
        link.watching_s = now_s if watching else -1e9


def _note_revision(links: Links, connection: FrameConnection, revision: int) -> None:
    """Ask for the configuration where the other node is ahead.

    A node of another zone is asked only where none of the own zone has it soon: a
    document is large, and bytes between zones are dear.
    """
    if revision <= revision_of(links.state):
        links.behind_s = None
        return
    now_s = links.context.clock.monotonic_s()
    if links.behind_s is None:
        links.behind_s = now_s
    waited = now_s - links.behind_s >= OTHER_ZONE_DELAY_S
    if not waited and not _in_own_zone(links, connection.host):
        return
    if now_s - links.asked_table_s < BUSY_PING_S:
        return
    links.asked_table_s = now_s
    connection.send([Frame.WANT_TABLE])


def _take_frame(links: Links, connection: FrameConnection, frame: list[Any]) -> None:
    """Serve a frame that another node sent on a link that it dialled."""
    kind = frame[0]
    if kind == Frame.CALL:
        number = frame[1]
        task = asyncio.create_task(_serve_call(links, connection, number, frame[2]))
        links.running[connection, number] = task
        _note_revision(links, connection, frame[3])
    elif kind == Frame.CANCEL:
        task = links.running.get((connection, frame[1]))
        if task is not None:
            task.cancel()
    elif kind == Frame.PING:
        connection.send([Frame.PONG, revision_of(links.state), links.state.watching])
        _note_revision(links, connection, frame[1])
    elif kind in (Frame.HELLO, Frame.NEWS):
        _take_news(links, connection, frame)
    elif kind == Frame.ASK_TALLIES:
        since_s = links.context.clock.monotonic_s() - frame[2]
        tallies = tallies_since(links.gate, since_s)
        connection.send([Frame.TALLIES, frame[1], tallies_to_wire(tallies)])
    else:
        _take_table_frame(links, connection, frame)


def _take_table_frame(
    links: Links, connection: FrameConnection, frame: list[Any]
) -> None:
    if frame[0] == Frame.WANT_TABLE and links.state.table is not None:
        packed = zlib.compress(links.state.table.source, 3)
        connection.send([Frame.TABLE, packed])
    elif frame[0] == Frame.TABLE:
        links.take_table(zlib.decompress(frame[1]))


def _begin_inbound(links: Links, connection: FrameConnection) -> None:
    links.accepted.add(connection)
    _greet(links, connection)


def _end_inbound(links: Links, connection: FrameConnection) -> None:
    """Cancel the calls of a node whose link is gone: nobody waits for them."""
    links.accepted.discard(connection)
    for (owner, _), task in tuple(links.running.items()):
        if owner is connection:
            task.cancel()


async def _serve_call(
    links: Links, connection: FrameConnection, number: int, plain: list[Any]
) -> None:
    try:
        call = call_from_wire(plain, links.context.clock.monotonic_s())
        ran = await run_call(links.gate, call)
        connection.send(
            [Frame.RESULT, number, ran_to_wire(ran), revision_of(links.state)]
        )
    finally:
        links.running.pop((connection, number), None)


def _take_reply(links: Links, link: Link, frame: list[Any]) -> None:
    """Take a frame on a link that this node dialled."""
    now_s = links.context.clock.monotonic_s()
    link.heard_s = now_s
    link.pinged_s = None
    if not link.usable:
        link.usable = True
        links.context.record(EventKind.LINK_UP, peer=link.host, silent=True)
    kind = frame[0]
    if kind == Frame.RESULT:
        future = link.pending.pop(frame[1], None)
        ran = ran_from_wire(frame[2])
        if future is not None and not future.done():
            future.set_result(ran)
        note_report(link.load, ran.report, now_s)
        _note_revision(links, link.connection, frame[3])
    elif kind == Frame.PONG:
        _note_watching(links, link.host, frame[2])
        _note_revision(links, link.connection, frame[1])
    elif kind == Frame.TALLIES:
        future = link.pending.pop(frame[1], None)
        if future is not None and not future.done():
            future.set_result(tallies_from_wire(frame[2]))
    elif kind in (Frame.HELLO, Frame.NEWS):
        _take_news(links, link.connection, frame)
    else:
        _take_table_frame(links, link.connection, frame)


async def send_call(links: Links, host: str, call: Call) -> Ran:
    """Run a call at the gate of a host, this one's or another's.

    When cancelled, the other gate is told so.

    Raises:
        LinkDownError: There is no connection; the call was not sent.
    """
    if host == links.state.own.host:
        links.own_load.own += 1
        try:
            ran = await run_call(links.gate, call)
        finally:
            links.own_load.own -= 1
        now_s = links.context.clock.monotonic_s()
        note_report(links.own_load, ran.report, now_s)
        return ran
    link = links.links.get(host)
    if link is None or link.connection is None:
        raise LinkDownError(host)
    links.next_number += 1
    number = links.next_number
    future: asyncio.Future[Ran] = asyncio.get_running_loop().create_future()
    now_s = links.context.clock.monotonic_s()
    revision = revision_of(links.state)
    if not link.connection.send(
        [Frame.CALL, number, call_to_wire(call, now_s), revision]
    ):
        raise LinkDownError(host)
    link.pending[number] = future
    if call.idempotent:
        link.repeatable.add(number)
    load = link.load
    load.own += 1
    try:
        return await future
    except ConnectionError as error:
        outcome = Unknown(f"the link to the upstream's node was lost: {error}")
        return Ran(outcome, True, load.report or report_load(links.gate))
    except asyncio.CancelledError:
        if link.pending.pop(number, None) is not None and link.connection is not None:
            link.connection.send([Frame.CANCEL, number])
        raise
    finally:
        load.own -= 1
        link.repeatable.discard(number)


async def ask_tallies(links: Links, host: str, span_s: float) -> RouteTallies | None:
    """Ask a gate what its calls showed lately; None where it does not answer."""
    if host == links.state.own.host:
        since_s = links.context.clock.monotonic_s() - span_s
        return tallies_since(links.gate, since_s)
    link = links.links.get(host)
    if link is None or link.connection is None:
        return None
    links.next_number += 1
    number = links.next_number
    future: asyncio.Future[RouteTallies] = asyncio.get_running_loop().create_future()
    link.pending[number] = future
    link.connection.send([Frame.ASK_TALLIES, number, span_s])
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            return await future
    except (ConnectionError, TimeoutError):
        return None
    finally:
        link.pending.pop(number, None)


async def watch_links(links: Links) -> None:
    """Ask links that are silent whether they are alive, until cancelled."""
    clock = links.context.clock
    while True:
        await clock.sleep(WATCH_PERIOD_S)
        now_s = clock.monotonic_s()
        for link in links.links.values():
            if link.connection is not None:
                _watch_link(links, link, now_s)


def _watch_link(links: Links, link: Link, now_s: float) -> None:
    quiet_s = now_s - link.heard_s
    idle_s = IDLE_PING_S
    if link.host not in links.state.readers:
        idle_s = max(idle_s, len(links.links) / MAX_IDLE_PINGS_PER_S)
    limit_s = BUSY_PING_S if link.pending else idle_s
    if link.pinged_s is None:
        if quiet_s >= limit_s:
            link.pinged_s = now_s
            link.connection.send([Frame.PING, revision_of(links.state)])
        return
    if link.usable and now_s - link.pinged_s >= SILENCE_S:
        link.usable = False
        links.context.record(
            EventKind.LINK_LOST,
            peer=link.host,
            reason="silent",
            waiting=len(link.pending),
        )
        for number in tuple(link.repeatable):
            future = link.pending.pop(number, None)
            if future is not None and not future.done():
                future.set_exception(ConnectionError("silent"))
            link.connection.send([Frame.CANCEL, number])


def is_usable(links: Links, member: Member) -> bool:
    """Return whether calls can be sent to a host now."""
    if member.host == links.state.own.host:
        return links.gate.line.state.value == "ready"
    link = links.links.get(member.host)
    return link is not None and link.usable


def load_of(links: Links, host: str) -> TargetLoad:
    """Return what is known of the load of a host's upstream."""
    if host == links.state.own.host:
        return links.own_load
    link = links.links.get(host)
    return link.load if link is not None else TargetLoad()
