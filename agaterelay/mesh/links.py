"""Links between nodes: one dialled connection to each node that this node needs.

A link carries calls to the inbound proxy of the other node, and gossip about members and
configuration. A node also dials the hosts that have dialled it, so a restarted host learns
the configuration in force from its neighbours, whether or not the store can be reached.
A link is usable only once the other node has sent a frame, since a connection to a frozen
host, or to an intermediary, can be established without that node. No calls are placed on a
link whose ping is unanswered until a frame arrives on it again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.call import Call
from agaterelay.core.checked import (
    DecodeError,
    check_flag,
    check_number,
    check_whole,
)
from agaterelay.core.membership import Member
from agaterelay.core.memory_account import release, reserve
from agaterelay.core.neighbours import choose_linked_hosts
from agaterelay.core.outcome import NotRun, Unknown
from agaterelay.core.placing import TargetLoad, record_load_report
from agaterelay.core.trial import RouteTallies
from agaterelay.events import EventKind
from agaterelay.mesh.allotments import handle_reply
from agaterelay.mesh.crashes import handle_crashes, send_known_crashes
from agaterelay.mesh.inbound import CallResult, report_load, run_call, tallies_since
from agaterelay.mesh.link import NEVER_S, Link, LinkDownError, Links
from agaterelay.mesh.notifications import (
    handle_hello,
    handle_news,
    merge_members,
    record_refused_frame,
    record_watching,
    send_hello,
)
from agaterelay.mesh.revisions import (
    handle_revision,
    handle_table_frame,
    request_table,
)
from agaterelay.mesh.state import revision_of
from agaterelay.mesh.supervision import record_failed_step, run_step, supervise
from agaterelay.mesh.views import request_differing_members, send_differing_members
from agaterelay.mesh.wire import (
    decode_call,
    decode_result,
    decode_tallies,
    encode_call,
    encode_result,
    encode_tallies,
)

CONNECT_TIMEOUT_S = 1.0
FIRST_REDIAL_DELAY_S = 0.2
MAX_REDIAL_DELAY_S = 1.5
# Pings on an idle link carry the revision. With many links they are sent less often, to
# limit the pings that a node sends per second on all of them.
IDLE_PING_INTERVAL_S = 1.0
MAX_IDLE_PINGS_PER_S = 12
# A link with pending calls is pinged if nothing arrived on it for this long.
BUSY_PING_INTERVAL_S = 0.3
# A ping takes one round trip, and some tens of milliseconds more on a busy host.
PONG_TIMEOUT_S = 0.6
LINK_CHECK_PERIOD_S = 0.1
TALLIES_TIMEOUT_S = 0.5
# Another node may be able to read what this one cannot.
UNREADABLE_RETRY_S = 0.1
NO_ROOM_RETRY_S = 0.3
MAX_KIND_LENGTH = 20
# The frames that carry membership and revision notifications.
MEMBERSHIP_FRAMES = (Frame.HELLO, Frame.NEWS, Frame.WANT_MEMBERS, Frame.MEMBERS)


async def start_links(links: Links) -> None:
    """Listen for other nodes.

    Raises:
        OSError: The address cannot be bound.
    """
    host, port = links.context.deployment.link_address.rsplit(":", 1)
    links.server = await asyncio.get_running_loop().create_server(
        lambda: FrameConnection(
            lambda connection, frame: _ignore_odd(
                links,
                connection.host,
                frame,
                lambda frame: _handle_frame(links, connection, frame),
            ),
            lambda connection, reason: _handle_accepted_loss(links, connection),
            lambda connection: _handle_accepted(links, connection),
        ),
        host,
        int(port),
        backlog=512,
    )


def refresh_links(links: Links) -> None:
    """Choose the links anew after a change of the members, or soon if just done.

    Members change in bursts, as many hosts start or many rows are read together, and the
    choice considers all of them. A node without links cannot serve through others, so it
    does not wait.
    """
    links.outdated = True
    now_s = links.context.clock.monotonic_s()
    if not links.links or now_s - links.chosen_s >= LINK_CHECK_PERIOD_S:
        update_links(links)


def update_links(links: Links) -> None:
    """Dial the hosts that this node needs links to, and drop the links to others."""
    links.outdated = False
    links.chosen_s = links.context.clock.monotonic_s()
    state = links.state
    wanted = choose_linked_hosts(state.own, state.members.values())
    relied_on = (*state.readers, *state.former_readers)
    wanted.update(host for host in relied_on if host in state.members)
    if state.own.host in state.readers:
        wanted.update(
            host for host in state.other_zone_readers if host in state.members
        )
    wanted.update(host for host in links.wanted_links() if host in state.members)
    for host in wanted:
        if host not in links.links:
            link = links.links[host] = Link(host)
            link.dialer = asyncio.create_task(
                supervise(
                    links.context,
                    f"link to {host}",
                    partial(_maintain_link, links, link),
                )
            )
    for host, link in tuple(links.links.items()):
        # A link with pending calls is dropped at a later update.
        if host in wanted or (host in state.members and link.pending):
            continue
        del links.links[host]
        if link.dialer is not None:
            link.dialer.cancel()
        if link.connection is not None:
            link.connection.close()


async def _maintain_link(links: Links, link: Link) -> None:
    """Keep a host dialled until its link is dropped, with growing delays on errors."""
    loop = asyncio.get_running_loop()
    clock = links.context.clock
    host, port = link.host.rsplit(":", 1)
    delay_s = FIRST_REDIAL_DELAY_S
    link.lost_s = clock.monotonic_s()
    while True:
        lost = asyncio.Event()

        def handle_loss(
            connection: FrameConnection, reason: str, lost: asyncio.Event = lost
        ) -> None:
            _handle_link_loss(links, link, reason)
            lost.set()

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda handle_loss=handle_loss: FrameConnection(
                        lambda connection, frame: _ignore_odd(
                            links,
                            link.host,
                            frame,
                            lambda frame: _handle_reply(links, link, frame),
                        ),
                        handle_loss,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError):
            await clock.sleep(delay_s * (0.5 + random.random()))
            delay_s = min(delay_s * 1.6, MAX_REDIAL_DELAY_S)
            continue
        delay_s = FIRST_REDIAL_DELAY_S
        link.connection = connection
        link.last_received_s = clock.monotonic_s()
        link.pinged_s = link.last_received_s
        connection.host = link.host
        _greet(links, connection)
        await lost.wait()
        await clock.sleep(FIRST_REDIAL_DELAY_S * random.random())


def _greet(links: Links, connection: FrameConnection) -> None:
    """Send the first frames on a new connection."""
    for step in (
        lambda: send_hello(links, connection),
        lambda: send_known_crashes(links.inbound.crashes, connection),
    ):
        run_step(links.context, "first frames of a link", step)


def _handle_link_loss(links: Links, link: Link, reason: str) -> None:
    was_up = link.usable or bool(link.pending)
    link.connection = None
    _mark_unusable(link)
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


def _mark_unusable(link: Link) -> None:
    """Stop placing calls on a link, and discard its host's report that it watches."""
    link.usable = False
    link.watching_s = NEVER_S


def _ignore_odd(
    links: Links, host: str, frame: Any, handle: Callable[[list[Any]], None]
) -> None:
    """Handle a frame, or log that it cannot be read and go on with the next one."""
    try:
        handle(frame)
    except Exception as error:
        kind = frame[0] if isinstance(frame, list) and frame else ""
        record_refused_frame(links, host, repr(kind)[:MAX_KIND_LENGTH], error)


def _handle_frame(links: Links, connection: FrameConnection, frame: list[Any]) -> None:
    """Handle a frame on a connection that another node has dialled."""
    kind = frame[0]
    if kind == Frame.CALL:
        number = frame[1]
        task = asyncio.create_task(_serve_call(links, connection, number, frame[2]))
        links.running[connection, number] = task
        # A task that is cancelled before its first step runs none of its own code, so
        # it cannot remove itself.
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
        handle_revision(links, connection, check_whole(frame[1]))
    elif kind in MEMBERSHIP_FRAMES:
        _handle_membership_frame(links, connection, frame)
    elif kind == Frame.CRASHES:
        handle_crashes(links.inbound.crashes, connection, frame)
    elif kind in (Frame.ASK_GRANT, Frame.ASK_LOAN):
        links.handle_question(connection, frame)
    elif kind == Frame.ASK_TALLIES:
        since_s = links.context.clock.monotonic_s() - check_number(frame[2])
        tallies = tallies_since(links.inbound, since_s)
        connection.send([Frame.TALLIES, frame[1], encode_tallies(tallies)])
    else:
        handle_table_frame(links, connection, frame)


def _handle_membership_frame(
    links: Links, connection: FrameConnection, frame: list[Any]
) -> None:
    """Merge the members that a node sent, or send the members that it requests."""
    kind = frame[0]
    changed = False
    if kind == Frame.WANT_MEMBERS:
        send_differing_members(links, connection, frame[1])
    elif kind == Frame.MEMBERS:
        changed = merge_members(links, frame[1])
    elif kind == Frame.HELLO:
        changed = handle_hello(links, connection, frame)
    else:
        changed = handle_news(links, connection, frame)
    if changed:
        refresh_links(links)


def _handle_accepted(links: Links, connection: FrameConnection) -> None:
    links.accepted.add(connection)
    _greet(links, connection)


def _handle_accepted_loss(links: Links, connection: FrameConnection) -> None:
    """Cancel the calls of a node that has disconnected, as it can't get the results."""
    links.accepted.discard(connection)
    for (source, _), task in tuple(links.running.items()):
        if source is connection:
            task.cancel()


async def _serve_call(
    links: Links, connection: FrameConnection, number: int, encoded: list[Any]
) -> None:
    try:
        call = decode_call(encoded, links.context.clock.monotonic_s())
    except DecodeError as error:
        record_refused_frame(links, connection.host, "call", error)
        outcome = NotRun("the call cannot be read", UNREADABLE_RETRY_S)
        result = CallResult(outcome, False, report_load(links.inbound))
    else:
        result = await _run_received_call(links, call)
    connection.send(
        [Frame.RESULT, number, encode_result(result), revision_of(links.state)]
    )


async def _run_received_call(links: Links, call: Call) -> CallResult:
    """Run another node's call, if there is room for its body."""
    account = links.inbound.account
    holder = object()
    if not reserve(account, holder, len(call.body)):
        outcome = NotRun("there is no room for the body", NO_ROOM_RETRY_S)
        return CallResult(outcome, False, report_load(links.inbound))
    try:
        return await run_call(links.inbound, call)
    except Exception as error:
        record_failed_step(links.context, "run a call", error)
        # It may have run, for all that is known.
        outcome = Unknown("the upstream's node failed")
        return CallResult(outcome, True, report_load(links.inbound))
    finally:
        release(account, holder)


def _handle_reply(links: Links, link: Link, frame: list[Any]) -> None:
    """Handle a frame on a link that this node has dialled."""
    now_s = links.context.clock.monotonic_s()
    link.last_received_s = now_s
    link.pinged_s = None
    if not link.usable:
        link.usable = True
        links.context.record(EventKind.LINK_UP, peer=link.host)
    kind = frame[0]
    if kind == Frame.RESULT:
        future = link.pending.pop(frame[1], None)
        try:
            result = decode_result(frame[2])
        except DecodeError as error:
            if future is not None and not future.done():
                future.set_exception(ConnectionError(f"unreadable result: {error}"))
            raise
        if future is not None and not future.done():
            future.set_result(result)
        record_load_report(link.load, result.report, now_s)
        handle_revision(links, link.connection, frame[3])
    elif kind == Frame.PONG:
        record_watching(links, link.host, check_flag(frame[2]))
        handle_revision(links, link.connection, check_whole(frame[1]))
    elif kind == Frame.TALLIES:
        tallies = decode_tallies(frame[2])
        future = link.pending.pop(frame[1], None)
        if future is not None and not future.done():
            future.set_result(tallies)
    elif kind in (Frame.GRANT, Frame.LOAN):
        handle_reply(link, frame)
    elif kind in MEMBERSHIP_FRAMES:
        _handle_membership_frame(links, link.connection, frame)
    elif kind == Frame.CRASHES:
        handle_crashes(links.inbound.crashes, link.connection, frame)
    else:
        handle_table_frame(links, link.connection, frame)


async def send_call(links: Links, host: str, call: Call) -> CallResult:
    """Run a call through the inbound proxy of this host or of another one.

    On cancellation, the other node is sent a cancel frame.

    Raises:
        LinkDownError: There is no connection; the call was not sent.
    """
    if host == links.state.own.host:
        links.own_load.own += 1
        links.own_load.sent += 1
        try:
            result = await run_call(links.inbound, call)
        finally:
            links.own_load.own -= 1
        now_s = links.context.clock.monotonic_s()
        record_load_report(links.own_load, result.report, now_s)
        return result
    link = links.links.get(host)
    if link is None or link.connection is None:
        raise LinkDownError(host)
    links.next_number += 1
    number = links.next_number
    future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
    now_s = links.context.clock.monotonic_s()
    revision = revision_of(links.state)
    if not link.connection.send(
        [Frame.CALL, number, encode_call(call, now_s), revision]
    ):
        raise LinkDownError(host)
    link.pending[number] = future
    if call.idempotent and not call.last_attempt:
        link.retryable.add(number)
    load = link.load
    load.own += 1
    load.sent += 1
    try:
        return await future
    except ConnectionError as error:
        outcome = Unknown(f"the link to the upstream's node was lost: {error}")
        return CallResult(outcome, True, load.report or report_load(links.inbound))
    except asyncio.CancelledError:
        if link.pending.pop(number, None) is not None and link.connection is not None:
            link.connection.send([Frame.CANCEL, number])
        raise
    finally:
        load.own -= 1
        link.retryable.discard(number)


async def fetch_tallies(links: Links, host: str, span_s: float) -> RouteTallies | None:
    """Return an inbound proxy's tallies of the last seconds, None without an answer."""
    if host == links.state.own.host:
        since_s = links.context.clock.monotonic_s() - span_s
        return tallies_since(links.inbound, since_s)
    link = links.links.get(host)
    if link is None or link.connection is None:
        return None
    links.next_number += 1
    number = links.next_number
    future: asyncio.Future[RouteTallies] = asyncio.get_running_loop().create_future()
    link.pending[number] = future
    link.connection.send([Frame.ASK_TALLIES, number, span_s])
    try:
        async with asyncio.timeout(TALLIES_TIMEOUT_S):
            return await future
    except (ConnectionError, TimeoutError):
        return None
    finally:
        link.pending.pop(number, None)


async def monitor_links(links: Links) -> None:
    """Ping silent links, repeat requests, and choose links that are outdated.

    Runs until cancelled.
    """
    clock = links.context.clock
    while True:
        await clock.sleep(LINK_CHECK_PERIOD_S)
        if links.outdated:
            update_links(links)
        now_s = clock.monotonic_s()
        for link in tuple(links.links.values()):
            if link.connection is not None:
                run_step(
                    links.context,
                    f"check the link to {link.host}",
                    partial(_check_link, links, link, now_s),
                )
        for request in (request_differing_members, request_table):
            run_step(links.context, request.__name__, partial(request, links))


def _check_link(links: Links, link: Link, now_s: float) -> None:
    silent_s = now_s - link.last_received_s
    idle_interval_s = IDLE_PING_INTERVAL_S
    if link.host not in links.state.readers:
        idle_interval_s = max(idle_interval_s, len(links.links) / MAX_IDLE_PINGS_PER_S)
    ping_after_s = BUSY_PING_INTERVAL_S if link.pending else idle_interval_s
    if link.pinged_s is None:
        if silent_s >= ping_after_s:
            link.pinged_s = now_s
            link.connection.send([Frame.PING, revision_of(links.state)])
        return
    if link.usable and now_s - link.pinged_s >= PONG_TIMEOUT_S:
        _mark_unusable(link)
        links.context.record(
            EventKind.LINK_LOST,
            peer=link.host,
            reason="silent",
            waiting=len(link.pending),
        )
        for number in tuple(link.retryable):
            future = link.pending.pop(number, None)
            if future is not None and not future.done():
                future.set_exception(ConnectionError("silent"))
            link.connection.send([Frame.CANCEL, number])


def is_usable(links: Links, member: Member) -> bool:
    """Return whether calls can be placed on a host now."""
    if member.host == links.state.own.host:
        return links.inbound.line.state.value == "ready"
    link = links.links.get(member.host)
    return link is not None and link.usable


def load_of(links: Links, host: str) -> TargetLoad:
    """Return the known load of a host's upstream."""
    if host == links.state.own.host:
        return links.own_load
    link = links.links.get(host)
    return link.load if link is not None else TargetLoad()
