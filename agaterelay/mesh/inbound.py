"""Inbound proxy: admits, queues and runs calls on this host's upstream.

Every call to the upstream passes through it, whether from this host's outbound proxy or
from another host's, so slots, draining, the expected instance and at-most-once execution
are enforced in one place. A refused call has certainly not reached the upstream. After a
restart, no call is admitted until the upstream has announced itself.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import attrs

from agaterelay.adapters.http_pool import (
    AnswerLostError,
    HttpPool,
    NotSentError,
    PooledConnection,
    ReceivedResponse,
    render_head,
)
from agaterelay.core.announcement import (
    UpstreamRecord,
    UpstreamState,
    apply_leaving_answer,
)
from agaterelay.core.call import Call, RawHeaders
from agaterelay.core.cold_limit import (
    apply_announced_cold,
    apply_new_start,
    apply_probed_cold,
    assume_cold,
    is_limited,
    update_cold_limit,
)
from agaterelay.core.crash_suspects import Key, is_held, request_key
from agaterelay.core.evidence import Tally, add_calls
from agaterelay.core.hang_limit import (
    HangLimit,
    SentCalls,
    is_hung,
    lowered_by,
    record_answered,
    record_hang,
    record_sent,
)
from agaterelay.core.memory_account import MemoryAccount
from agaterelay.core.model import ColdLimit
from agaterelay.core.nested_calls import RunningCalls, record_end, record_start
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.placing import LoadReport
from agaterelay.core.rate_limit import RateLimit, update_rate
from agaterelay.core.signals import UpstreamSignals
from agaterelay.core.slot_queue import (
    COLD_REASON,
    Queued,
    Refused,
    SlotQueue,
    Ticket,
    compute_retry_after_s,
    grant_free_slots,
    hang_time_of,
    is_still_accepted,
    limit_reason,
    make_load_report,
    make_ticket,
    max_wait_s,
    record_call_end,
    record_service_time,
    record_shed_call,
    release_slot,
    release_unused_slot,
    remove_ticket,
    request_slot,
    wait_for_rate_limit_s,
)
from agaterelay.core.trial import RouteTallies, sum_tallies
from agaterelay.events import EventKind
from agaterelay.mesh.crashes import Crashes, confirm_crash, record_answered_request
from agaterelay.mesh.state import NodeContext

# Tallies are kept per second, for as long as a move may take.
TALLY_WINDOW_S = 120
MIN_FAILURE_STATUS = 500
# Allows for an answer that is in transit when the deadline passes.
DEADLINE_MARGIN_S = 0.005
# Retry-after of calls that are refused for another reason than load: another upstream
# has a free slot, or will have one soon.
DRAINING_RETRY_S = 0.1
# Allows for announcements that are some seconds late.
SILENCE_LIMIT_HEARTBEATS = 4
# How often a call is considered again that has taken too long.
HANG_CHECK_PERIOD_S = 0.1
# One of this many calls is logged, besides all that failed.
CALLS_PER_LOG_LINE = 50


@dataclass(frozen=True, slots=True)
class CallResult:
    """The outcome of a call at an inbound proxy.

    Attributes:
        outcome: How the call ended.
        reached_upstream: Whether the call may have reached the upstream.
        report: The load of the upstream when the call ended.
        service_ms: The service time in milliseconds if the call succeeded, else 0.
        leaving: Whether the answer says that the upstream is about to leave.
        crashes: How many upstreams have ended lately with this request in hand.
    """

    outcome: Outcome
    reached_upstream: bool
    report: LoadReport
    service_ms: float = 0.0
    leaving: bool = False
    crashes: int = 0


@attrs.frozen
class Run:
    """How a call in a slot ended; its fields are those of ``CallResult``."""

    outcome: Outcome
    was_sent: bool = False
    service_ms: float = 0.0
    leaving: bool = False
    crashes: int = 0


@attrs.frozen
class WireFormat:
    """The format of calls and answers at the upstream, given by the platform's adapter.

    Attributes:
        headers: Returns the headers of a call, given the remaining time in milliseconds.
        outcome: Returns the outcome, given an answer's status, headers and body, and the
            id of the call.
        signals: Returns what an answer says about the upstream, given its status and
            headers; None if another instance gave it.
        cold_left_s: Returns how long the upstream stays cold by the headers of an answer
            of its health check; None if they don't say.
        id_header: The lower-case name of the header that carries the call's id.
        instance_header: The lower-case name of the header that names the instance.
    """

    headers: Callable[[Call, int], RawHeaders]
    outcome: Callable[[int, RawHeaders, bytes, str], Outcome]
    signals: Callable[[int, RawHeaders], UpstreamSignals | None]
    cold_left_s: Callable[[RawHeaders], float | None]
    id_header: bytes
    instance_header: bytes


@attrs.define
class Inbound:
    """The state of an inbound proxy.

    Attributes:
        account: The bodies of requests that this node holds.
        crashes: The ends of upstreams, and which requests are suspected.
        line: What the upstream has announced.
        waiters: The futures of the queued tickets; None as result grants the slot, an
            outcome refuses it.
        tallies: Counts and latencies by route, one item for each second with calls,
            newest last.
        in_flight: The number of calls that are queued or running.
        on_leaving: Called when an answer has said that the upstream leaves, with the
            state before.
        cold_limit: Returns what the service's cold upstreams accept, None for no limit.
        is_evacuated: Returns whether this host's zone is evacuated.
        grant_timer: Fires when the first waiting call may be sent under the limits, None
            if no call waits for that.
        end_check: The check in progress of whether the upstream has ended.
        running: The calls that the upstream runs now, and their nested calls.
        sent: The same calls in the order in which they were sent.
        call_count: The number of calls that the upstream has run; selects the calls
            that are logged.
    """

    context: NodeContext
    wire: WireFormat
    pool: HttpPool
    crashes: Crashes
    account: MemoryAccount
    line: UpstreamRecord = attrs.field(factory=UpstreamRecord)
    queue: SlotQueue = attrs.field(factory=lambda: SlotQueue(1))
    waiters: dict[Ticket, asyncio.Future[Outcome | None]] = attrs.field(factory=dict)
    tallies: deque[tuple[int, RouteTallies]] = attrs.field(
        factory=lambda: deque(maxlen=TALLY_WINDOW_S)
    )
    in_flight: int = 0
    on_leaving: Callable[[UpstreamState], None] = lambda previous_state: None
    cold_limit: Callable[[], ColdLimit | None] = lambda: None
    is_evacuated: Callable[[], bool] = lambda: False
    grant_timer: asyncio.TimerHandle | None = None
    end_check: asyncio.Task[None] | None = None
    running: RunningCalls = attrs.field(factory=RunningCalls)
    sent: SentCalls = attrs.field(factory=SentCalls)
    call_count: int = 0
    stopping: bool = False
    rng: random.Random = attrs.field(factory=random.Random)


def report_load(inbound: Inbound) -> LoadReport:
    """Return the load that outbound proxies use to place calls."""
    refresh_cold_limit(inbound)
    return make_load_report(inbound.queue, inbound.context.clock.monotonic_s())


def find_refusal_reason(inbound: Inbound) -> str | None:
    """Return why no call is admitted now, or None if calls are admitted."""
    if inbound.is_evacuated():
        return "the zone is evacuated"
    return _find_leaving_reason(inbound)


def _find_leaving_reason(inbound: Inbound) -> str | None:
    """Return why the upstream's end is expected, or None if it is not."""
    if inbound.stopping:
        return "the node is stopping"
    if inbound.line.state is not UpstreamState.READY:
        return f"the upstream is {inbound.line.state.value}"
    return None


def apply_upstream_state(inbound: Inbound) -> None:
    """Apply a change of the upstream's state: its slots, or the end of admission.

    Calls that are queued when the upstream starts to drain are refused, so that their
    outbound proxies place them elsewhere at once.
    """
    announcement = inbound.line.current
    if announcement is not None and inbound.line.state is UpstreamState.READY:
        inbound.queue.slots = max(announcement.slots, 1)
    if find_refusal_reason(inbound) is not None:
        for ticket in tuple(inbound.queue.waiting):
            remove_ticket(inbound.queue, ticket)
            _resolve_waiter(
                inbound,
                ticket,
                NotRun(find_refusal_reason(inbound) or "", DRAINING_RETRY_S),
            )


def reset_instance_state(inbound: Inbound) -> None:
    """Drop the previous instance's connections, failure ratio, limits and hangs."""
    inbound.pool.close()
    inbound.queue.hangs = HangLimit()
    inbound.queue.failing = 0.0
    inbound.queue.rate_limit = RateLimit()
    apply_new_start(inbound.queue.cold)


def refresh_cold_limit(inbound: Inbound) -> None:
    """Apply the cold limit in force, and whether the upstream has been silent too long.

    A frozen host may run calls before it notices the silence otherwise.
    """
    limit = inbound.cold_limit()
    cold = inbound.queue.cold
    if limit is None and cold.rate_per_s is None:
        return
    now_s = inbound.context.clock.monotonic_s()
    deployment = inbound.context.deployment
    update_cold_limit(
        cold,
        limit.rate_per_s if limit else None,
        deployment.bounds.cold_ratio,
        deployment.bounds.cold_slack,
        now_s,
    )
    quiet_s = now_s - inbound.line.last_received_s
    if (
        inbound.line.state is UpstreamState.READY
        and quiet_s >= SILENCE_LIMIT_HEARTBEATS * deployment.heartbeat_s
    ):
        treat_as_cold(inbound, "silent")


def treat_as_cold(inbound: Inbound, reason: str) -> None:
    """Treat the upstream as cold until it says otherwise, as it could not be reached."""
    _apply_cold(
        inbound,
        reason,
        lambda now_s: assume_cold(inbound.queue.cold, now_s),
    )


def apply_announcement_cold(inbound: Inbound, left_s: float) -> None:
    """Apply how long the upstream stays cold by its announcement, in seconds."""
    _apply_cold(
        inbound,
        "announcement",
        lambda now_s: apply_announced_cold(inbound.queue.cold, left_s, now_s),
    )


def apply_health_cold(inbound: Inbound, left_s: float, sent_s: float) -> None:
    """Apply how long the upstream stays cold by its health check, in seconds.

    Args:
        inbound: The inbound proxy.
        left_s: How long it stays cold, in seconds.
        sent_s: When the health check was sent, on the monotonic clock.
    """
    _apply_cold(
        inbound,
        "health check",
        lambda now_s: apply_probed_cold(inbound.queue.cold, left_s, sent_s, now_s),
    )


def _apply_cold(inbound: Inbound, source: str, apply: Callable[[float], None]) -> None:
    """Apply what is known of the upstream's cold state; log it if that changes it."""
    now_s = inbound.context.clock.monotonic_s()
    cold = inbound.queue.cold
    before = (is_limited(cold, now_s), cold.is_assumed)
    apply(now_s)
    limited = is_limited(cold, now_s)
    if cold.rate_per_s is None or (limited, cold.is_assumed) == before:
        return
    current = inbound.line.current
    until_s = max(cold.announced_until_s, cold.probed_until_s)
    inbound.context.record(
        EventKind.UPSTREAM_COLD,
        instance=current.instance if current else "",
        cold=limited,
        assumed=cold.is_assumed,
        left_ms=round(max(until_s - now_s, 0.0) * 1000) if limited else 0,
        rate_per_s=cold.rate_per_s,
        source=source,
        in_use=inbound.queue.in_use,
        waiting=len(inbound.queue.waiting),
    )
    _grant_next(inbound)


async def run_call(
    inbound: Inbound, call: Call, may_start: Callable[[], Awaitable[bool]] | None = None
) -> CallResult:
    """Admit a call and run it on the upstream, or refuse it.

    On cancellation, a queued call is removed from the queue; for a running call the
    connection is closed, so that the upstream stops working on it.

    Args:
        inbound: The inbound proxy.
        call: The call.
        may_start: Awaited when the call has a slot and a connection; returns whether it
            may be sent. None if no permission is needed.
    """
    refresh_cold_limit(inbound)
    reason = find_refusal_reason(inbound)
    announcement = inbound.line.current
    if (
        reason is None
        and announcement is not None
        and announcement.instance != call.instance
    ):
        reason = "another instance is there"
    if reason is not None:
        return CallResult(NotRun(reason, DRAINING_RETRY_S), False, report_load(inbound))
    arrived_s = inbound.context.clock.monotonic_s()
    inbound.in_flight += 1
    try:
        ticket = await _acquire_slot(inbound, call)
        if isinstance(ticket, NotRun):
            return CallResult(ticket, False, report_load(inbound))
        was_sent = True
        try:
            run = await _run_in_slot(inbound, call, ticket, arrived_s, may_start)
            was_sent = run.was_sent
        finally:
            if was_sent:
                release_slot(inbound.queue)
            else:
                release_unused_slot(inbound.queue, ticket)
            _grant_next(inbound)
        return CallResult(
            outcome=run.outcome,
            reached_upstream=run.was_sent,
            report=report_load(inbound),
            service_ms=run.service_ms,
            leaving=run.leaving,
            crashes=run.crashes,
        )
    except asyncio.CancelledError:
        inbound.context.record(
            EventKind.CALL_ABANDONED,
            request_id=call.call_id,
            route=call.route,
            instance=call.instance,
            elapsed_ms=round((inbound.context.clock.monotonic_s() - arrived_s) * 1000),
        )
        raise
    finally:
        inbound.in_flight -= 1


async def _acquire_slot(inbound: Inbound, call: Call) -> Ticket | NotRun:
    """Wait for a slot; return the refusal, or the ticket if the call has a slot."""
    now_s = inbound.context.clock.monotonic_s()
    ticket = make_ticket(
        inbound.queue,
        call.route,
        call.rank,
        call.target_s,
        call.deadline_s,
        now_s,
        call.nested,
    )
    answer = request_slot(inbound.queue, ticket, now_s, inbound.rng)
    if isinstance(answer, Refused):
        return NotRun(answer.reason, answer.retry_after_s)
    if not isinstance(answer, Queued):
        return ticket
    if answer.evicted is not None:
        _resolve_waiter(
            inbound,
            answer.evicted,
            NotRun("a call of higher rank came", _retry_after_s(inbound)),
        )
    _schedule_grant(inbound)
    future: asyncio.Future[Outcome | None] = asyncio.get_running_loop().create_future()
    inbound.waiters[ticket] = future
    resolved = False
    try:
        async with asyncio.timeout(max_wait_s(ticket, now_s)):
            refusal = await future
            resolved = True
            return ticket if refusal is None else refusal
    except TimeoutError:
        reason = "no slot came free in useful time"
        now_s = inbound.context.clock.monotonic_s()
        if wait_for_rate_limit_s(inbound.queue, now_s):
            reason = limit_reason(inbound.queue, now_s)
        return NotRun(reason, _retry_after_s(inbound))
    finally:
        inbound.waiters.pop(ticket, None)
        remove_ticket(inbound.queue, ticket)
        if not resolved and _was_granted(future):
            # The slot was granted in the same turn of the event loop as the timeout or
            # the cancellation, so the call won't use it.
            release_unused_slot(inbound.queue, ticket)
            _grant_next(inbound)


def _was_granted(future: asyncio.Future[Outcome | None]) -> bool:
    return future.done() and not future.cancelled() and future.result() is None


def _resolve_waiter(inbound: Inbound, ticket: Ticket, outcome: Outcome | None) -> bool:
    future = inbound.waiters.get(ticket)
    if future is None or future.done():
        return False
    future.set_result(outcome)
    return True


def _grant_next(inbound: Inbound) -> None:
    now_s = inbound.context.clock.monotonic_s()
    granted, expired = grant_free_slots(inbound.queue, now_s)
    for ticket in granted:
        if not _resolve_waiter(inbound, ticket, None):
            release_unused_slot(inbound.queue, ticket)
    for ticket in expired:
        outcome = NotRun("its turn came too late", _retry_after_s(inbound))
        _resolve_waiter(inbound, ticket, outcome)
    _schedule_grant(inbound)


def _schedule_grant(inbound: Inbound) -> None:
    """Grant the next slot when the limits allow it, if a call waits for that."""
    if inbound.grant_timer is not None:
        inbound.grant_timer.cancel()
        inbound.grant_timer = None
    wait_s = wait_for_rate_limit_s(inbound.queue, inbound.context.clock.monotonic_s())
    if wait_s is not None:
        loop = asyncio.get_running_loop()
        inbound.grant_timer = loop.call_later(wait_s, _grant_next, inbound)


def _retry_after_s(inbound: Inbound) -> float:
    now_s = inbound.context.clock.monotonic_s()
    queue = inbound.queue
    return compute_retry_after_s(queue, queue.slots, now_s, inbound.rng)


async def _run_in_slot(
    inbound: Inbound,
    call: Call,
    ticket: Ticket,
    arrived_s: float,
    may_start: Callable[[], Awaitable[bool]] | None,
) -> Run:
    """Run a call that has a slot."""
    clock = inbound.context.clock
    # The upstream may have started to drain while the call was queued.
    reason = find_refusal_reason(inbound)
    if reason is not None:
        return Run(NotRun(reason, DRAINING_RETRY_S))
    started_s = clock.monotonic_s()
    try:
        connection = await inbound.pool.acquire(started_s)
    except NotSentError as error:
        record_call_end(inbound.queue, True, clock.monotonic_s())
        treat_as_cold(inbound, "no connection")
        return Run(NotRun(f"the upstream accepts no connection: {error}", 0.1))
    try:
        permitted = may_start is None or await may_start()
    except asyncio.CancelledError:
        inbound.pool.release(connection, clock.monotonic_s())
        raise
    key = request_key(call.service, call.method, call.path, call.body)
    reason = find_refusal_reason(inbound)
    if not permitted:
        reason = "the node of its caller did not permit the start"
    if is_held(inbound.crashes.suspects, key, clock.monotonic_s()):
        reason = describe_hold(key)
    remaining_s = call.deadline_s - clock.monotonic_s()
    if (
        reason is None
        and remaining_s > 0
        and not is_still_accepted(inbound.queue, ticket, clock.monotonic_s())
    ):
        reason = COLD_REASON
    if reason is not None or remaining_s <= 0:
        inbound.pool.release(connection, clock.monotonic_s())
        return Run(NotRun(reason or "its deadline passed", DRAINING_RETRY_S))
    start = current_start(inbound)
    leaving = False
    crashes = 0
    try:
        answer = await _send_call(inbound, connection, call, remaining_s)
    except NotSentError as error:
        return Run(NotRun(f"the connection closed before the call: {error}"))
    except AnswerLostError as error:
        outcome: Outcome = Unknown(f"the answer was lost: {error}")
        if _find_leaving_reason(inbound) is None:
            crashes = await confirm_crash(inbound.crashes, key, call.instance)
    except TimeoutError:
        reason = "the upstream did not answer before the deadline"
        if clock.monotonic_s() < call.deadline_s:
            reason = "the upstream answers later calls, but not this one"
        outcome = Unknown(reason, timed_out=True)
    else:
        outcome = inbound.wire.outcome(
            answer.status, answer.headers, answer.body, call.call_id
        )
        if isinstance(outcome, Answered):
            record_answered_request(inbound.crashes, key)
        if not isinstance(outcome, Unknown):
            signals = inbound.wire.signals(answer.status, answer.headers)
            if signals is not None:
                apply_signals(inbound, signals, started_s, start, call.call_id)
                leaving = signals.leaving
    now_s = clock.monotonic_s()
    _record_call(
        inbound, call, outcome, started_s - arrived_s, now_s - started_s, now_s
    )
    succeeded = isinstance(outcome, Answered) and outcome.status < MIN_FAILURE_STATUS
    service_ms = round((now_s - started_s) * 1000, 1) if succeeded else 0.0
    return Run(outcome, True, service_ms, leaving, crashes)


def describe_hold(key: Key) -> str:
    """Return why a request is held back; its key leads to the crashes in the log."""
    return f"it is held back since upstreams end when they run it: {key.hex()}"


def current_start(inbound: Inbound) -> tuple[str, int] | None:
    """Return the instance that is running and its start in milliseconds since 1970."""
    current = inbound.line.current
    return (current.instance, current.born_ms) if current is not None else None


def apply_signals(
    inbound: Inbound,
    signals: UpstreamSignals,
    sent_s: float,
    start: tuple[str, int] | None,
    request_id: str,
) -> None:
    """Apply what an answer says about the upstream, if the same start still runs.

    Args:
        inbound: The inbound proxy.
        signals: What the answer says.
        sent_s: When the call was sent.
        start: The instance and the start that it was sent to.
        request_id: The call's id, for the log.
    """
    if start is None:
        return
    if signals.leaving:
        previous_state = inbound.line.state
        if apply_leaving_answer(inbound.line, start):
            inbound.on_leaving(previous_state)
    if start != current_start(inbound):
        return
    if signals.invalid_limit:
        inbound.context.record(
            EventKind.UPSTREAM_HEADER_INVALID,
            request_id=request_id,
            instance=start[0],
            rate_limit=signals.invalid_limit,
        )
        return
    now_s = inbound.context.clock.monotonic_s()
    limit = inbound.queue.rate_limit
    before_per_s = limit.rate_per_s
    if update_rate(limit, signals.rate_limit_per_s, sent_s, now_s):
        inbound.context.record(
            EventKind.UPSTREAM_LIMITED,
            request_id=request_id,
            instance=start[0],
            rate_limit_per_s=limit.rate_per_s,
            before_per_s=before_per_s,
            in_use=inbound.queue.in_use,
            waiting=len(inbound.queue.waiting),
        )
        _schedule_grant(inbound)


async def _send_call(
    inbound: Inbound, connection: PooledConnection, call: Call, remaining_s: float
) -> ReceivedResponse:
    """Send a call and return its answer; on any error, close the connection.

    Raises:
        NotSentError: The connection was closed before.
        AnswerLostError: The call was sent, and no complete answer arrived.
        TimeoutError: No answer came before the deadline, or the call hangs and may be
            made again.
    """
    headers = inbound.wire.headers(call, max(int(remaining_s * 1000), 1))
    head = render_head(call.method, call.path, headers, call.body)
    clock = inbound.context.clock
    hang_s = hang_time_of(inbound.queue, call.route)
    sent_s = clock.monotonic_s()
    number = record_sent(inbound.sent)
    record_start(inbound.running, call.call_id)
    began: list[bool] = []
    connection.on_data = lambda: began.append(True) if not began else None
    check: asyncio.TimerHandle | None = None
    try:
        async with asyncio.timeout(remaining_s + DEADLINE_MARGIN_S) as timeout:
            answer_future = connection.send(
                head, call.body, call.call_id.encode(), call.method == "HEAD"
            )
            if call.idempotent and hang_s < remaining_s:
                loop = asyncio.get_running_loop()

                def give_up_if_hung() -> None:
                    nonlocal check
                    if began or answer_future.done():
                        return
                    elapsed_s = clock.monotonic_s() - sent_s
                    overtaken = inbound.sent.answered_later[number]
                    if is_hung(elapsed_s, hang_s, overtaken):
                        timeout.reschedule(loop.time())
                    else:
                        check = loop.call_later(HANG_CHECK_PERIOD_S, give_up_if_hung)

                check = loop.call_later(hang_s, give_up_if_hung)
            answer = await answer_future
    except TimeoutError:
        connection.close()
        now_s = clock.monotonic_s()
        if not began and now_s - sent_s >= hang_s:
            _record_hang(inbound, call, now_s - sent_s, now_s)
        raise
    except BaseException:
        connection.close()
        raise
    finally:
        if check is not None:
            check.cancel()
        del inbound.sent.answered_later[number]
        record_end(inbound.running, call.call_id)
    record_answered(inbound.sent, number)
    inbound.pool.release(connection, clock.monotonic_s())
    return answer


def _record_hang(inbound: Inbound, call: Call, elapsed_s: float, now_s: float) -> None:
    """Send fewer calls at once if hangs repeat, and log it."""
    if record_hang(inbound.queue.hangs, inbound.queue.slots, now_s):
        inbound.context.record(
            EventKind.CALLS_HANG,
            request_id=call.call_id,
            route=call.route,
            instance=call.instance,
            elapsed_ms=round(elapsed_s * 1000),
            slots=inbound.queue.slots,
            fewer=lowered_by(inbound.queue.hangs, now_s),
        )


def _record_call(
    inbound: Inbound,
    call: Call,
    outcome: Outcome,
    queueing_s: float,
    service_s: float,
    now_s: float,
) -> None:
    """Update the failure ratio, the service times and the tallies; log the call."""
    if isinstance(outcome, NotRun):
        record_shed_call(inbound.queue, now_s)
        record_call_end(inbound.queue, True, now_s)
        return
    failed = not isinstance(outcome, Answered)
    failed = failed or outcome.status >= MIN_FAILURE_STATUS
    record_call_end(inbound.queue, failed, now_s)
    if not failed:
        record_service_time(inbound.queue, call.route, service_s)
    second = int(now_s)
    if not inbound.tallies or inbound.tallies[-1][0] != second:
        inbound.tallies.append((second, {}))
    tallies = inbound.tallies[-1][1]
    announcement = inbound.line.current
    warming_up = (
        announcement is not None
        and now_s - inbound.line.last_received_s < announcement.warm_up_s
    )
    latency_ms = None if warming_up else service_s * 1000
    tallies[call.route] = add_calls(
        tallies.get(call.route, Tally()), failed, latency_ms
    )
    inbound.call_count += 1
    if failed or inbound.call_count % CALLS_PER_LOG_LINE == 0:
        inbound.context.record(
            EventKind.CALL_FAILED if failed else EventKind.CALL_RAN,
            request_id=call.call_id,
            route=call.route,
            instance=call.instance,
            outcome=_describe_outcome(outcome),
            waited_ms=round(queueing_s * 1000),
            ran_ms=round(service_s * 1000),
            in_use=inbound.queue.in_use,
            waiting=len(inbound.queue.waiting),
        )


def _describe_outcome(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"status {outcome.status}"
    return outcome.reason


def tallies_since(inbound: Inbound, since_s: float) -> RouteTallies:
    """Return the tallies by route since a time of this node's monotonic clock."""
    return sum_tallies(
        tallies for second, tallies in inbound.tallies if second >= int(since_s)
    )
