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
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import Any

import attrs

from agaterelay.adapters.frames import MAX_BODY_BYTES, Frame, FrameConnection
from agaterelay.core.call import Call
from agaterelay.core.call_start import CallStart, give_up_call, permit_start
from agaterelay.core.checked import (
    DecodeError,
    check_flag,
    check_number,
    check_whole,
)
from agaterelay.core.held_responses import LARGE_RESPONSE_BYTES
from agaterelay.core.kept_load import forget_failures
from agaterelay.core.membership import Member
from agaterelay.core.memory_account import release, reserve
from agaterelay.core.neighbours import choose_linked_hosts
from agaterelay.core.outcome import Answered, NotRun, Unknown
from agaterelay.core.placing import TargetLoad, record_load_report
from agaterelay.core.trial import RouteTallies
from agaterelay.events import EventKind
from agaterelay.mesh.allotments import handle_reply
from agaterelay.mesh.body_parts import (
    MAX_WHOLE_BODY_BYTES,
    handle_body_part,
    handle_wanted_body,
    receive_body,
    send_body,
)
from agaterelay.mesh.crashes import handle_crashes, send_known_crashes
from agaterelay.mesh.inbound import (
    DRAINING_RETRY_S,
    CallResult,
    find_refusal_reason,
    report_load,
    run_call,
    tallies_since,
)
from agaterelay.mesh.link import NEVER_S, Link, LinkDownError, Links
from agaterelay.mesh.notifications import (
    handle_hello,
    handle_news,
    merge_members,
    record_refused_frame,
    record_watching,
    send_hello,
)
from agaterelay.mesh.response_room import (
    MAX_UNSENT_BYTES,
    WaitingOffer,
    await_room,
    hold_result,
    keep_result,
    move_result,
    release_result,
    release_when_sent,
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
# How long a call with a slot waits for the permission to start: several round trips on a
# busy host.
START_TIMEOUT_S = 0.25
# Other upstreams take the calls of a lost link, or the link is dialled again.
LINK_LOST_RETRY_S = 0.3
# Another node may be able to read what this one cannot.
UNREADABLE_RETRY_S = 0.1
NO_ROOM_RETRY_S = 0.3
MAX_KIND_LENGTH = 20
# Covers the hosts of a large fleet, of which a node is linked to a part at a time.
MAX_KEPT_LOADS = 960
# A long result is kept for this much longer than its call's deadline. The calling node
# gives up by then and cancels the call.
OFFER_MARGIN_S = 1.0
# How often a link is checked for room for the next long result.
DRAIN_POLL_S = 0.01
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
            load = links.loads.setdefault(host, TargetLoad())
            link = links.links[host] = Link(host, load=load)
            link.dialer = asyncio.create_task(
                supervise(
                    links.context,
                    f"link to {host}",
                    partial(_maintain_link, links, link),
                )
            )
    for host, link in links.links.items():
        member = state.members.get(host)
        starts = member.upstreams[:1] if member is not None else ()
        for upstream in starts:
            start = (upstream.instance, upstream.born_ms)
            if link.start not in (None, start):
                forget_failures(link.load)
            link.start = start
    for host, link in tuple(links.links.items()):
        # A link with pending calls is dropped at a later update.
        if host in wanted or (host in state.members and link.pending):
            continue
        del links.links[host]
        if link.dialer is not None:
            link.dialer.cancel()
        if link.connection is not None:
            link.connection.close()
    while len(links.loads) > MAX_KEPT_LOADS:
        unlinked = (host for host in links.loads if host not in links.links)
        oldest = next(unlinked, None)
        if oldest is None:
            break
        del links.loads[oldest]


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
    forget_failures(link.load)
    pending, link.pending = link.pending, {}
    link.starts.clear()
    link.asks_for_start = link.takes_parts = False
    granted, link.granted = link.granted, set()
    for number in granted:
        release_result(links.room, ("granted", number))
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
        asks_for_start = len(frame) > 4 and check_flag(frame[4])
        # Nodes of earlier builds send no flag, and take long results without an offer.
        takes_offers = len(frame) > 5 and check_flag(frame[5])
        body_bytes = check_whole(frame[6]) if len(frame) > 6 else 0
        task = asyncio.create_task(
            _serve_call(
                links,
                connection,
                number,
                frame[2],
                asks_for_start,
                takes_offers,
                body_bytes,
            )
        )
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
    elif kind == Frame.START:
        answer = links.start_answers.get((connection, check_whole(frame[1])))
        if answer is not None and not answer.done():
            answer.set_result(None)
    elif kind == Frame.BODY_PART:
        handle_body_part(links, connection, check_whole(frame[1]), frame[2])
    elif kind == Frame.GRANT_RESULT:
        offered = links.offers.get((connection, check_whole(frame[1])))
        if offered is not None and not offered.done():
            offered.set_result(True)
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
    links: Links,
    connection: FrameConnection,
    number: int,
    encoded: list[Any],
    asks_for_start: bool,
    takes_offers: bool,
    body_bytes: int,
) -> None:
    """Run another node's call, and send the result.

    Args:
        links: The links.
        connection: The connection to the other node.
        number: The number of the call on this connection.
        encoded: The call.
        asks_for_start: Whether the other node has to permit the start of the call.
        takes_offers: Whether the other node takes a long result once it is offered.
        body_bytes: The size of the body that follows in parts, 0 if none does.
    """
    try:
        call = decode_call(encoded, links.context.clock.monotonic_s())
    except DecodeError as error:
        record_refused_frame(links, connection.host, "call", error)
        outcome = NotRun("the call cannot be read", UNREADABLE_RETRY_S)
        result = CallResult(outcome, False, report_load(links.inbound))
    else:
        may_start = None
        if asks_for_start:
            may_start = partial(_ask_for_start, links, connection, number)
        receive = None
        if body_bytes:
            receive = partial(receive_body, links, connection, number, body_bytes)
        result = await _run_received_call(links, call, may_start, body_bytes, receive)
        outcome = result.outcome
        if isinstance(outcome, Answered) and (
            len(outcome.body) > LARGE_RESPONSE_BYTES and takes_offers
        ):
            await _send_large_result(links, connection, number, result, call)
            return
    _send_result(links, connection, number, result)


def _send_result(
    links: Links, connection: FrameConnection, number: int, result: CallResult
) -> None:
    connection.send(
        [Frame.RESULT, number, encode_result(result), revision_of(links.state)]
    )


async def _ask_for_start(
    links: Links, connection: FrameConnection, number: int
) -> bool:
    """Ask the node of a call's caller whether the call may start."""
    answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    links.start_answers[connection, number] = answer
    try:
        if not connection.send([Frame.MAY_START, number]):
            return False
        async with asyncio.timeout(START_TIMEOUT_S):
            await answer
    except TimeoutError:
        return False
    finally:
        del links.start_answers[connection, number]
    return True


async def _send_large_result(
    links: Links,
    connection: FrameConnection,
    number: int,
    result: CallResult,
    call: Call,
) -> None:
    """Send a result once the calling node has room for it, or that it is lost.

    Exactly one result is sent for each offer, also for a cancelled call, so that the
    calling node knows when the room that it granted is free.
    """
    room = links.room
    key = (connection, number)
    granted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    lost = replace(result, outcome=Unknown("there is no room to hold the answer"))
    size_bytes = len(result.outcome.body)

    def give_way() -> None:
        if not granted.done():
            granted.set_result(False)

    if not hold_result(room, key, size_bytes, give_way):
        _send_result(links, connection, number, lost)
        return
    sent = lost
    links.offers[key] = granted
    connection.send([Frame.OFFER_RESULT, number, size_bytes])
    clock = links.context.clock
    wait_s = max(call.deadline_s - clock.monotonic_s(), 0.0) + OFFER_MARGIN_S
    try:
        async with asyncio.timeout(wait_s):
            if await granted:
                keep_result(room, key)
                while connection.open and connection.unsent_bytes > MAX_UNSENT_BYTES:
                    await clock.sleep(DRAIN_POLL_S)
                sent = result
    except TimeoutError:
        pass
    finally:
        links.offers.pop(key, None)
        _send_result(links, connection, number, sent)
        release_when_sent(room, connection, key)


async def _run_received_call(
    links: Links,
    call: Call,
    may_start: Callable[[], Awaitable[bool]] | None,
    body_bytes: int,
    receive: Callable[[float], Awaitable[bytearray]] | None,
) -> CallResult:
    """Run another node's call, if there is room for its body.

    Args:
        links: The links.
        call: The call.
        may_start: Returns whether the call may start; None if no permission is needed.
        body_bytes: The size of the body that follows in parts, 0 if none does.
        receive: Returns that body, given how long it may take in seconds.
    """
    account = links.inbound.account
    holder = object()
    refusal = find_refusal_reason(links.inbound)
    if receive is not None and refusal is not None:
        outcome = NotRun(refusal, DRAINING_RETRY_S)
        return CallResult(outcome, False, report_load(links.inbound))
    if not reserve(account, holder, body_bytes or len(call.body)):
        outcome = NotRun("there is no room for the body", NO_ROOM_RETRY_S)
        return CallResult(outcome, False, report_load(links.inbound))
    try:
        if receive is not None:
            remaining_s = call.deadline_s - links.context.clock.monotonic_s()
            try:
                call = attrs.evolve(call, body=await receive(remaining_s))
            except TimeoutError:
                outcome = NotRun("the body did not come in time", NO_ROOM_RETRY_S)
                return CallResult(outcome, False, report_load(links.inbound))
        return await run_call(links.inbound, call, may_start)
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
    if kind == Frame.OFFER_RESULT:
        _handle_offer(links, link, check_whole(frame[1]), check_whole(frame[2]))
    elif kind == Frame.RESULT:
        future = link.pending.pop(frame[1], None)
        _take_granted(links, link, frame[1], future)
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
    elif kind == Frame.WANT_BODY:
        handle_wanted_body(link, check_whole(frame[1]))
    elif kind == Frame.MAY_START:
        start = link.starts.get(check_whole(frame[1]))
        permitted = start is not None and permit_start(start)
        link.connection.send([Frame.START if permitted else Frame.CANCEL, frame[1]])
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
        if kind == Frame.HELLO:
            link.asks_for_start = len(frame) > 10 and check_flag(frame[10])
            link.takes_parts = len(frame) > 12 and check_flag(frame[12])
        _handle_membership_frame(links, link.connection, frame)
    elif kind == Frame.CRASHES:
        handle_crashes(links.inbound.crashes, link.connection, frame)
    else:
        handle_table_frame(links, link.connection, frame)


def _handle_offer(links: Links, link: Link, number: int, size_bytes: int) -> None:
    """Let another node send a long result as soon as there is room for it."""
    connection = link.connection

    def is_wanted() -> bool:
        return number in link.pending and link.connection is connection

    def grant() -> None:
        link.granted.add(number)
        connection.send([Frame.GRANT_RESULT, number])

    if number not in link.pending or number in link.granted:
        return
    await_room(
        links.room, WaitingOffer(("granted", number), size_bytes, is_wanted, grant)
    )


def _take_granted(
    links: Links, link: Link, number: int, future: asyncio.Future[Any] | None
) -> None:
    """Give the room of a result that has arrived to its request, or release it."""
    if number not in link.granted:
        return
    link.granted.discard(number)
    holder = link.holders.get(number)
    if holder is not None and future is not None and not future.done():
        move_result(links.room, ("granted", number), holder)
    else:
        release_result(links.room, ("granted", number))


async def send_call(
    links: Links, host: str, call: Call, start: CallStart
) -> CallResult:
    """Run a call through the inbound proxy of this host or of another one.

    On cancellation, the other node is sent a cancel frame.

    Args:
        links: The links.
        host: The host of the upstream.
        call: The call.
        start: Permitted once the call may have started; changed in place.

    Raises:
        LinkDownError: There is no connection; the call was not sent.
    """
    if host == links.state.own.host:
        links.own_load.own += 1
        links.own_load.sent += 1
        try:

            async def may_start() -> bool:
                return permit_start(start)

            result = await run_call(links.inbound, call, may_start)
        finally:
            links.own_load.own -= 1
        now_s = links.context.clock.monotonic_s()
        record_load_report(links.own_load, result.report, now_s)
        return result
    link = links.links.get(host)
    if link is None or link.connection is None:
        raise LinkDownError(host)
    in_parts = link.takes_parts and len(call.body) > MAX_WHOLE_BODY_BYTES
    if not in_parts and len(call.body) > MAX_BODY_BYTES:
        # A node of an earlier build can't receive it.
        raise LinkDownError(host)
    links.next_number += 1
    number = links.next_number
    future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
    now_s = links.context.clock.monotonic_s()
    revision = revision_of(links.state)
    asks_for_start = not call.idempotent and link.asks_for_start
    sent = attrs.evolve(call, body=b"") if in_parts else call
    frame = [
        Frame.CALL, number, encode_call(sent, now_s), revision, asks_for_start, True
    ]  # fmt: skip
    if in_parts:
        frame.append(len(call.body))
    if not link.connection.send(frame):
        raise LinkDownError(host)
    link.pending[number] = future
    link.holders[number] = call.holder
    sending = None
    if in_parts:
        wanted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        link.wanted_bodies[number] = wanted
        permits = None if asks_for_start else start
        sending = asyncio.create_task(
            send_body(link.connection, number, call.body, wanted, permits)
        )
    if asks_for_start:
        link.starts[number] = start
    elif not in_parts:
        permit_start(start)
    if call.idempotent and not call.last_attempt:
        link.retryable.add(number)
    load = link.load
    load.own += 1
    load.sent += 1
    try:
        return await future
    except ConnectionError as error:
        report = load.report or report_load(links.inbound)
        reason = f"the link to the upstream's node was lost: {error}"
        if give_up_call(start):
            return CallResult(NotRun(reason, LINK_LOST_RETRY_S), False, report)
        return CallResult(Unknown(reason), True, report)
    except asyncio.CancelledError:
        if link.pending.pop(number, None) is not None and link.connection is not None:
            link.connection.send([Frame.CANCEL, number])
        raise
    finally:
        load.own -= 1
        if sending is not None:
            sending.cancel()
        link.wanted_bodies.pop(number, None)
        link.retryable.discard(number)
        link.starts.pop(number, None)
        link.holders.pop(number, None)


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
        unstarted = {
            number for number, start in link.starts.items() if give_up_call(start)
        }
        for number in link.retryable | unstarted:
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
    return link.load if link is not None else links.loads.get(host, TargetLoad())
