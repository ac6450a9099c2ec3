"""The gate of this host's upstream: it alone decides what runs there.

Every call to the upstream passes here, from this host's entry or from another's, so
slots, draining, the expected instance and at-most-once are decided in one place. A
refusal here is certain: the call did not reach the upstream. After a restart nothing
is admitted until the upstream has been heard from.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import attrs

from agaterelay.adapters.upstream_client import (
    AnswerLostError,
    NotSentError,
    UpstreamConnection,
    UpstreamPool,
    UpstreamResponse,
    render_head,
)
from agaterelay.core.announcement import UpstreamRecord, UpstreamState
from agaterelay.core.call import Call, RawHeaders
from agaterelay.core.evidence import Tally, add_calls
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.placing import LoadReport
from agaterelay.core.slot_queue import (
    Queued,
    Refused,
    SlotQueue,
    Ticket,
    compute_retry_after_s,
    failure_ratio,
    grant_free_slots,
    make_ticket,
    max_wait_s,
    record_call_end,
    record_service_time,
    record_shed_call,
    release_slot,
    remove_ticket,
    request_slot,
)
from agaterelay.core.trial import RouteTallies, sum_tallies
from agaterelay.events import EventKind
from agaterelay.mesh.state import NodeContext

# Kept second by second for as long as a move may take.
TALLY_SECONDS = 120
FIRST_FAILURE_STATUS = 500
# An answer may be on its way when the deadline passes.
DEADLINE_MARGIN_S = 0.005
# Where a refused call may go at once: another upstream has room, or will soon.
DRAINING_RETRY_S = 0.1
# One in so many good calls is logged.
GOOD_SAMPLE = 50
# An announcement is confirmed within a second; the probe has to fit into that.
PROBE_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Ran:
    """How a call ended at the gate.

    ``arrived`` is whether the upstream got it, ``ran_ms`` its time in the slot where it
    went well, else 0.
    """

    outcome: Outcome
    arrived: bool
    report: LoadReport
    ran_ms: float = 0.0


@attrs.frozen
class WireFormat:
    """How calls and answers look to the upstream; the platform's adapter knows."""

    headers: Callable[[Call, int], RawHeaders]
    outcome: Callable[[int, RawHeaders, bytes, str], Outcome]
    id_header: bytes
    instance_header: bytes


@attrs.define
class Gate:
    """The gate's state.

    ``granted`` holds the futures of the tickets that wait, ``tallies`` what calls
    showed second by second, newest last.
    """

    context: NodeContext
    wire: WireFormat
    pool: UpstreamPool
    line: UpstreamRecord = attrs.field(factory=UpstreamRecord)
    queue: SlotQueue = attrs.field(factory=lambda: SlotQueue(1))
    granted: dict[Ticket, asyncio.Future[Outcome | None]] = attrs.field(factory=dict)
    tallies: deque[tuple[int, RouteTallies]] = attrs.field(
        factory=lambda: deque(maxlen=TALLY_SECONDS)
    )
    in_flight: int = 0
    ran: int = 0
    stopping: bool = False
    draw: random.Random = attrs.field(factory=random.Random)


def report_load(gate: Gate) -> LoadReport:
    """Return what the entries need to know to place calls."""
    now_s = gate.context.clock.monotonic_s()
    queue = gate.queue
    return LoadReport(
        in_flight=queue.in_use + len(queue.waiting),
        slots=queue.slots,
        work_ms=round(queue.service_time_s * 1000, 1),
        failing=round(failure_ratio(queue, now_s), 3),
    )


def admits(gate: Gate) -> str | None:
    """Return why the gate admits nothing now, None where it does."""
    if gate.stopping:
        return "the node is stopping"
    if gate.line.state is not UpstreamState.READY:
        return f"the upstream is {gate.line.state.value}"
    return None


def follow_line(gate: Gate) -> None:
    """Adapt to a change of the upstream: new slots, or no more calls.

    Calls that wait when the upstream begins to leave are refused, so that their
    entries place them elsewhere at once.
    """
    word = gate.line.current
    if word is not None and gate.line.state is UpstreamState.READY:
        gate.queue.slots = max(word.slots, 1)
    if admits(gate) is not None:
        for ticket in tuple(gate.queue.waiting):
            remove_ticket(gate.queue, ticket)
            _settle(gate, ticket, NotRun(admits(gate) or "", DRAINING_RETRY_S))


def begin_instance(gate: Gate) -> None:
    """Forget what was learned of the instance that ran here before."""
    gate.pool.close()
    gate.queue.failing = 0.0


async def run_call(gate: Gate, call: Call) -> Ran:
    """Admit a call and run it on the upstream, or refuse it.

    When cancelled, the call leaves the queue, or its connection is closed so that the
    upstream stops its work.
    """
    reason = admits(gate)
    word = gate.line.current
    if reason is None and word is not None and word.instance != call.instance:
        reason = "another instance is there"
    if reason is not None:
        return Ran(NotRun(reason, DRAINING_RETRY_S), False, report_load(gate))
    came_s = gate.context.clock.monotonic_s()
    gate.in_flight += 1
    try:
        refusal = await _take_slot(gate, call)
        if refusal is not None:
            return Ran(refusal, False, report_load(gate))
        try:
            ran = await _run_in_slot(gate, call, came_s)
        finally:
            release_slot(gate.queue)
            _grant_next(gate)
        outcome, arrived, ran_ms = ran
        return Ran(outcome, arrived, report_load(gate), ran_ms)
    except asyncio.CancelledError:
        gate.context.record(
            EventKind.CALL_ABANDONED,
            request_id=call.call_id,
            route=call.route,
            instance=call.instance,
            elapsed_ms=round((gate.context.clock.monotonic_s() - came_s) * 1000),
        )
        raise
    finally:
        gate.in_flight -= 1


async def _take_slot(gate: Gate, call: Call) -> NotRun | None:
    """Wait for a slot; return why there is none, None where the call has one."""
    now_s = gate.context.clock.monotonic_s()
    ticket = make_ticket(
        gate.queue, call.route, call.rank, call.target_s, call.deadline_s, now_s
    )
    answer = request_slot(gate.queue, ticket, now_s, gate.draw)
    if isinstance(answer, Refused):
        return NotRun(answer.reason, answer.retry_after_s)
    if not isinstance(answer, Queued):
        return None
    if answer.evicted is not None:
        retry_s = compute_retry_after_s(gate.queue, gate.queue.slots, gate.draw)
        _settle(gate, answer.evicted, NotRun("a call of higher rank came", retry_s))
    future: asyncio.Future[Outcome | None] = asyncio.get_running_loop().create_future()
    gate.granted[ticket] = future
    taken = False
    try:
        async with asyncio.timeout(max_wait_s(ticket, now_s)):
            refusal = await future
            taken = True
            return refusal
    except TimeoutError:
        retry_s = compute_retry_after_s(gate.queue, gate.queue.slots, gate.draw)
        return NotRun("no slot came free in useful time", retry_s)
    finally:
        gate.granted.pop(ticket, None)
        remove_ticket(gate.queue, ticket)
        if not taken and _was_granted(future):
            # The slot came together with the timeout or the caller's leaving.
            release_slot(gate.queue)
            _grant_next(gate)


def _was_granted(future: asyncio.Future[Outcome | None]) -> bool:
    return future.done() and not future.cancelled() and future.result() is None


def _settle(gate: Gate, ticket: Ticket, outcome: Outcome | None) -> bool:
    future = gate.granted.get(ticket)
    if future is None or future.done():
        return False
    future.set_result(outcome)
    return True


def _grant_next(gate: Gate) -> None:
    now_s = gate.context.clock.monotonic_s()
    granted, late = grant_free_slots(gate.queue, now_s)
    for ticket in granted:
        if not _settle(gate, ticket, None):
            release_slot(gate.queue)
    for ticket in late:
        retry_s = compute_retry_after_s(gate.queue, gate.queue.slots, gate.draw)
        _settle(gate, ticket, NotRun("its turn came too late", retry_s))


async def _run_in_slot(
    gate: Gate, call: Call, came_s: float
) -> tuple[Outcome, bool, float]:
    """Run a call that has a slot.

    Returns:
        How it ended, whether it was sent, and its time in milliseconds if it went well.
    """
    clock = gate.context.clock
    # The upstream may have begun to leave while the call waited.
    reason = admits(gate)
    if reason is not None:
        return NotRun(reason, DRAINING_RETRY_S), False, 0.0
    started_s = clock.monotonic_s()
    try:
        connection = await gate.pool.take(started_s)
    except NotSentError as error:
        record_call_end(gate.queue, True, clock.monotonic_s())
        return NotRun(f"the upstream accepts no connection: {error}", 0.1), False, 0.0
    reason = admits(gate)
    left_s = call.deadline_s - clock.monotonic_s()
    if reason is not None or left_s <= 0:
        gate.pool.give_back(connection, clock.monotonic_s())
        return NotRun(reason or "its deadline passed", DRAINING_RETRY_S), False, 0.0
    try:
        answer = await _exchange(gate, connection, call, left_s)
    except NotSentError as error:
        return NotRun(f"the connection closed before the call: {error}"), False, 0.0
    except AnswerLostError as error:
        outcome: Outcome = Unknown(f"the answer was lost: {error}")
    except TimeoutError:
        reason = "the upstream did not answer before the deadline"
        outcome = Unknown(reason, timed_out=True)
    else:
        outcome = gate.wire.outcome(
            answer.status, answer.headers, answer.body, call.call_id
        )
    now_s = clock.monotonic_s()
    _note(gate, call, outcome, started_s - came_s, now_s - started_s, now_s)
    good = isinstance(outcome, Answered) and outcome.status < FIRST_FAILURE_STATUS
    return outcome, True, round((now_s - started_s) * 1000, 1) if good else 0.0


async def _exchange(
    gate: Gate, connection: UpstreamConnection, call: Call, left_s: float
) -> UpstreamResponse:
    """Send a call and wait for its answer; close the connection on anything else."""
    headers = gate.wire.headers(call, max(int(left_s * 1000), 1))
    head = render_head(call.method, call.path, headers, call.body)
    try:
        async with asyncio.timeout(left_s + DEADLINE_MARGIN_S):
            answer = await connection.send(
                head, call.body, call.call_id.encode(), call.method == "HEAD"
            )
    except BaseException:
        connection.close()
        raise
    gate.pool.give_back(connection, gate.context.clock.monotonic_s())
    return answer


def _note(
    gate: Gate,
    call: Call,
    outcome: Outcome,
    waited_s: float,
    elapsed_s: float,
    now_s: float,
) -> None:
    """Learn from how a call ended."""
    if isinstance(outcome, NotRun):
        record_shed_call(gate.queue, now_s)
        record_call_end(gate.queue, True, now_s)
        return
    failed = not isinstance(outcome, Answered)
    failed = failed or outcome.status >= FIRST_FAILURE_STATUS
    record_call_end(gate.queue, failed, now_s)
    if not failed:
        record_service_time(gate.queue, call.route, elapsed_s)
    second = int(now_s)
    if not gate.tallies or gate.tallies[-1][0] != second:
        gate.tallies.append((second, {}))
    tallies = gate.tallies[-1][1]
    word = gate.line.current
    cold = word is not None and now_s - gate.line.last_received_s < word.warm_up_s
    latency_ms = None if cold else elapsed_s * 1000
    tallies[call.route] = add_calls(
        tallies.get(call.route, Tally()), failed, latency_ms
    )
    gate.ran += 1
    if failed or gate.ran % GOOD_SAMPLE == 0:
        gate.context.record(
            EventKind.CALL_FAILED if failed else EventKind.CALL_RAN,
            request_id=call.call_id,
            route=call.route,
            instance=call.instance,
            outcome=_describe(outcome),
            waited_ms=round(waited_s * 1000),
            ran_ms=round(elapsed_s * 1000),
            in_use=gate.queue.in_use,
            waiting=len(gate.queue.waiting),
        )


def _describe(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"status {outcome.status}"
    return outcome.reason


def tallies_since(gate: Gate, since_s: float) -> RouteTallies:
    """Return what calls showed since a moment on this node's steady clock."""
    return sum_tallies(
        tallies for second, tallies in gate.tallies if second >= int(since_s)
    )


async def probe(gate: Gate, path: str, instance: str) -> bool:
    """Return whether the upstream says that it is this instance, well and staying."""
    clock = gate.context.clock
    headers = ((b"Host", gate.context.deployment.upstream_address.encode()),)
    try:
        connection = await gate.pool.take(clock.monotonic_s())
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                answer = await connection.send(
                    render_head("GET", path, headers, b""), b"", b"", False
                )
        except BaseException:
            connection.close()
            raise
    except (NotSentError, AnswerLostError, TimeoutError) as error:
        gate.context.record(
            EventKind.UPSTREAM_PROBED,
            instance=instance,
            outcome=f"{type(error).__name__}: {error}",
        )
        return False
    gate.pool.give_back(connection, clock.monotonic_s())
    keys = {name.lower(): value for name, value in answer.headers}
    named = keys.get(gate.wire.instance_header, b"").decode("latin-1")
    gate.context.record(
        EventKind.UPSTREAM_PROBED,
        instance=instance,
        outcome=f"status {answer.status} of {named or 'an unnamed instance'}",
    )
    return answer.status == 200 and named == instance
