"""The links of a node: one connection to each other node that it knows.

A link carries calls to the other's gate and what both know of the fleet. A node dials
every host that it learns of, and a host that it has heard dial; a host that comes back
after a restart is thus told by its neighbours what is in force, with the store or
without. A link is used once the other end has spoken: the connection to a frozen host, or
through something in between, is there without it. A link that stays silent while an answer is due is not used for placing until
something arrives on it again.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.call import Call
from agaterelay.core.membership import Member
from agaterelay.core.neighbours import choose_linked_hosts
from agaterelay.core.outcome import Unknown
from agaterelay.core.placing import TargetLoad, record_load_report
from agaterelay.core.trial import RouteTallies
from agaterelay.events import EventKind
from agaterelay.mesh.gate import Ran, report_load, run_call, tallies_since
from agaterelay.mesh.link import NEVER_S, Link, LinkDownError, Links
from agaterelay.mesh.news import (
    handle_hello,
    handle_news,
    merge_members,
    record_watching,
    send_hello,
)
from agaterelay.mesh.revisions import (
    handle_revision,
    handle_table_frame,
    request_table,
)
from agaterelay.mesh.state import revision_of
from agaterelay.mesh.views import answer_entries, ask_for_entries
from agaterelay.mesh.wire import (
    call_from_wire,
    call_to_wire,
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
# A busy link on which nothing came for this long is asked whether it is alive.
BUSY_PING_S = 0.3
# A ping is answered within a round trip; a busy host takes some tens of milliseconds.
SILENCE_S = 0.6
WATCH_PERIOD_S = 0.1
ASK_TIMEOUT_S = 0.5
# The frames by which nodes tell each other of the fleet.
TELLING = (Frame.HELLO, Frame.NEWS, Frame.WANT_MEMBERS, Frame.MEMBERS)


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
    wanted = choose_linked_hosts(state.own, state.members.values())
    wanted.update(host for host in state.readers if host in state.members)
    if state.own.host in state.readers:
        wanted.update(
            host for host in state.other_zone_readers if host in state.members
        )
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
        link.last_received_s = clock.monotonic_s()
        link.pinged_s = link.last_received_s
        send_hello(links, connection)
        await lost.wait()
        await clock.sleep(FIRST_REDIAL_S * random.random())


def _lose_link(links: Links, link: Link, reason: str) -> None:
    was_up = link.usable or bool(link.pending)
    link.connection = None
    _stop_using(link)
    link.lost_s = links.context.clock.monotonic_s()
    link.load = TargetLoad()
    pending, link.pending = link.pending, {}
    if was_up:
        links.context.record(
            EventKind.LINK_LOST, peer=link.host, reason=reason, waiting=len(pending)
        )
    for future in pending.values():
        if not future.done():
            future.set_exception(ConnectionError(reason))


def _stop_using(link: Link) -> None:
    """Send nothing new on a link, and no longer rely on what its host said it does."""
    link.usable = False
    link.watching_s = NEVER_S


def _take_frame(links: Links, connection: FrameConnection, frame: list[Any]) -> None:
    """Serve a frame that another node sent on a link that it dialled."""
    kind = frame[0]
    if kind == Frame.CALL:
        number = frame[1]
        task = asyncio.create_task(_serve_call(links, connection, number, frame[2]))
        links.running[connection, number] = task
        # A task that is cancelled before it began runs no code of its own.
        task.add_done_callback(
            lambda task: links.running.pop((connection, number), None)
        )
        handle_revision(links, connection, frame[3])
    elif kind == Frame.CANCEL:
        task = links.running.get((connection, frame[1]))
        if task is not None:
            task.cancel()
    elif kind == Frame.PING:
        connection.send([Frame.PONG, revision_of(links.state), links.state.watching])
        handle_revision(links, connection, frame[1])
    elif kind in TELLING:
        _take_telling(links, connection, frame)
    elif kind == Frame.ASK_TALLIES:
        since_s = links.context.clock.monotonic_s() - frame[2]
        tallies = tallies_since(links.gate, since_s)
        connection.send([Frame.TALLIES, frame[1], tallies_to_wire(tallies)])
    else:
        handle_table_frame(links, connection, frame)


def _take_telling(links: Links, connection: FrameConnection, frame: list[Any]) -> None:
    """Take in what a node tells of the fleet, or tell it what it asks for."""
    kind = frame[0]
    changed = False
    if kind == Frame.WANT_MEMBERS:
        answer_entries(links, connection, frame[1])
    elif kind == Frame.MEMBERS:
        changed = merge_members(links, frame[1])
    elif kind == Frame.HELLO:
        changed = handle_hello(links, connection, frame)
    else:
        changed = handle_news(links, connection, frame)
    if changed:
        follow_members(links)


def _begin_inbound(links: Links, connection: FrameConnection) -> None:
    links.accepted.add(connection)
    send_hello(links, connection)


def _end_inbound(links: Links, connection: FrameConnection) -> None:
    """Cancel the calls of a node whose link is gone: nobody waits for them."""
    links.accepted.discard(connection)
    for (owner, _), task in tuple(links.running.items()):
        if owner is connection:
            task.cancel()


async def _serve_call(
    links: Links, connection: FrameConnection, number: int, plain: list[Any]
) -> None:
    call = call_from_wire(plain, links.context.clock.monotonic_s())
    ran = await run_call(links.gate, call)
    connection.send([Frame.RESULT, number, ran_to_wire(ran), revision_of(links.state)])


def _take_reply(links: Links, link: Link, frame: list[Any]) -> None:
    """Take a frame on a link that this node dialled."""
    now_s = links.context.clock.monotonic_s()
    link.last_received_s = now_s
    link.pinged_s = None
    if not link.usable:
        link.usable = True
        links.context.record(EventKind.LINK_UP, peer=link.host)
    kind = frame[0]
    if kind == Frame.RESULT:
        future = link.pending.pop(frame[1], None)
        ran = ran_from_wire(frame[2])
        if future is not None and not future.done():
            future.set_result(ran)
        record_load_report(link.load, ran.report, now_s)
        handle_revision(links, link.connection, frame[3])
    elif kind == Frame.PONG:
        record_watching(links, link.host, frame[2])
        handle_revision(links, link.connection, frame[1])
    elif kind == Frame.TALLIES:
        future = link.pending.pop(frame[1], None)
        if future is not None and not future.done():
            future.set_result(tallies_from_wire(frame[2]))
    elif kind in TELLING:
        _take_telling(links, link.connection, frame)
    else:
        handle_table_frame(links, link.connection, frame)


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
        record_load_report(links.own_load, ran.report, now_s)
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
    if call.idempotent and not call.last_attempt:
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
        ask_for_entries(links)
        request_table(links)


def _watch_link(links: Links, link: Link, now_s: float) -> None:
    quiet_s = now_s - link.last_received_s
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
        _stop_using(link)
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
