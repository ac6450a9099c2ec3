"""Inbound proxy: admits, queues and runs calls on this host's upstreams.

Calls to an upstream are admitted only by the node on its host, since no other node knows
the number of calls in flight, whether the upstream is draining, or whether an
idempotency key has been used.

An idempotent call is cancelled when its caller disconnects. Any other call is never
cancelled once it was sent, because a later attempt needs its outcome.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import aiohttp
import attrs

from agaterelay.adapters.http import AnswerLostError, NotSentError, send_once
from agaterelay.adapters.outcomes import (
    DEADLINE_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_HEADER,
)
from agaterelay.core.admission import (
    Admission,
    Granted,
    Queued,
    Refused,
    SlotsByAddress,
    Ticket,
    UpstreamSlots,
    grant_free_slots,
    record_service_time,
    record_shed_call,
    release_slot,
    remove_ticket,
    request_slot,
)
from agaterelay.core.keys import (
    Claimed,
    InProgress,
    Key,
    KeyWindow,
    claim,
    record_outcome,
)
from agaterelay.core.model import Priority
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.retry import MAX_RETRIES, forwarded_timeout_ms
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.tallies import Tallies, record_local_call

NOT_RUN_HEADER = "Not-Run"
NOT_RUN_STATUS = 503
ABANDONED_REASON = "the call was abandoned"
# A caller may time out by this much before the call's deadline passes on this node.
ABANDON_MARGIN_S = 0.05
# Queued calls check for free slots at this interval, because a slot can become free
# without a call ending, such as when an upstream is announced or warms up.
QUEUE_CHECK_PERIOD_S = 0.05
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "date",
     "server", "host", "upgrade", "te", "trailer", "proxy-authorization",
     "proxy-authenticate", "expect", "request-id"}
)  # fmt: skip


@attrs.frozen
class Call:
    """A call as the inbound proxy of its upstream's host receives it."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: str
    service: str
    version: str
    request_id: str
    deadline_s: float
    key: Key | None = None
    idempotent: bool = False
    priority: Priority = Priority.INTERACTIVE
    retries_left: int = MAX_RETRIES


@attrs.define
class Inbound:
    """The state of an inbound proxy.

    Attributes:
        window: The idempotency keys that were used recently, with their outcomes.
        tallies: Outcomes and latencies of calls to services that are being moved.
        in_flight: The number of requests and detached tasks in progress.
        waiters: The futures of queued tickets. The result is the slot, or None if the
            call lost its place in the queue.
        detached_tasks: Runs that continue after their callers disconnect.
        tasks_by_key: The detached runs that have a key, by the key's UUID.
    """

    node_context: NodeContext
    board: Board
    window: KeyWindow
    session: aiohttp.ClientSession
    slots: SlotsByAddress = attrs.field(factory=dict)
    tallies: Tallies = attrs.field(factory=Tallies)
    in_flight: int = 0
    admission: Admission = attrs.field(
        default=attrs.Factory(lambda self: Admission(self.slots), takes_self=True)
    )
    waiters: dict[Ticket, asyncio.Future[UpstreamSlots | None]] = attrs.field(
        factory=dict
    )
    detached_tasks: set[asyncio.Task[Outcome]] = attrs.field(factory=set)
    tasks_by_key: dict[str, asyncio.Task[Outcome]] = attrs.field(factory=dict)


async def run_call(inbound: Inbound, call: Call) -> Outcome:
    """Admit a call and run it at most once."""
    if call.key is not None:
        return await _run_keyed(inbound, call, call.key)
    ticket = Ticket(call.service, call.version, call.priority, call.deadline_s)
    slot = await _acquire_slot(inbound, ticket)
    if isinstance(slot, NotRun):
        return slot
    if call.idempotent:
        return await _run_in_slot(inbound, call, ticket, slot)
    return await asyncio.shield(
        _start_detached(inbound, _run_in_slot(inbound, call, ticket, slot))
    )


async def _run_keyed(inbound: Inbound, call: Call, key: Key) -> Outcome:
    # The node takes a new incarnation when it refutes an outdated claim about its host.
    inbound.window.incarnation = inbound.board.own.incarnation
    claimed = claim(inbound.window, key, inbound.node_context.clock.now())
    if isinstance(claimed, Claimed):
        task = _start_detached(inbound, _run_claimed(inbound, call, key))
        inbound.tasks_by_key[key.uuid] = task
        return await asyncio.shield(task)
    if isinstance(claimed, InProgress):
        return await _wait_for_earlier_attempt(inbound, call, key)
    return claimed


async def _run_claimed(inbound: Inbound, call: Call, key: Key) -> Outcome:
    outcome: Outcome = Unknown("the run was broken off")
    try:
        outcome = await _admit_and_run(inbound, call)
    finally:
        outcome = record_outcome(inbound.window, key, outcome)
        inbound.tasks_by_key.pop(key.uuid, None)
    return outcome


async def _wait_for_earlier_attempt(inbound: Inbound, call: Call, key: Key) -> Outcome:
    """Wait for the run of an earlier attempt, until this attempt's deadline."""
    remaining_s = call.deadline_s - inbound.node_context.clock.monotonic_s()
    task = inbound.tasks_by_key.get(key.uuid)
    if task is None:
        return Unknown("the call is in progress")
    done, _ = await asyncio.wait({task}, timeout=max(remaining_s, 0))
    if not done or task.cancelled() or task.exception() is not None:
        return Unknown("the call is in progress")
    return task.result()


def _start_detached(
    inbound: Inbound, run: Coroutine[Any, Any, Outcome]
) -> asyncio.Task[Outcome]:
    """Start a run that outlives its caller's connection.

    It counts as in flight, so that a graceful stop waits for it.
    """
    task = asyncio.ensure_future(run)
    inbound.in_flight += 1
    inbound.detached_tasks.add(task)

    def remove_task(_: asyncio.Task[Outcome]) -> None:
        inbound.in_flight -= 1
        inbound.detached_tasks.discard(task)

    task.add_done_callback(remove_task)
    return task


async def _admit_and_run(inbound: Inbound, call: Call) -> Outcome:
    ticket = Ticket(call.service, call.version, call.priority, call.deadline_s)
    slot = await _acquire_slot(inbound, ticket)
    if isinstance(slot, NotRun):
        return slot
    return await _run_in_slot(inbound, call, ticket, slot)


async def _run_in_slot(
    inbound: Inbound, call: Call, ticket: Ticket, slot: UpstreamSlots
) -> Outcome:
    started_s = inbound.node_context.clock.monotonic_s()
    outcome: Outcome = Unknown(ABANDONED_REASON)
    try:
        outcome = await send_call(inbound, call, slot)
    finally:
        release_slot(slot)
        elapsed_s = inbound.node_context.clock.monotonic_s() - started_s
        record_service_time(inbound.admission, ticket, elapsed_s)
        record_evidence(inbound, call, slot.info.address, outcome, elapsed_s * 1000)
        process_queue(inbound)
    return outcome


async def _acquire_slot(inbound: Inbound, ticket: Ticket) -> UpstreamSlots | NotRun:
    """Acquire a slot for a ticket, waiting in the queue if admission allows it."""
    if inbound.board.stopping:
        return NotRun("the node is stopping")
    decision = request_slot(
        inbound.admission, ticket, inbound.node_context.clock.monotonic_s()
    )
    if isinstance(decision, Granted):
        return decision.slot
    if isinstance(decision, Refused):
        return NotRun(decision.reason, decision.retry_after_s)
    return await _wait_for_slot(inbound, ticket, decision)


async def _wait_for_slot(
    inbound: Inbound, ticket: Ticket, decision: Queued
) -> UpstreamSlots | NotRun:
    if decision.evicted is not None:
        _resolve_waiter(inbound, decision.evicted, None)
    future = asyncio.get_running_loop().create_future()
    inbound.waiters[ticket] = future
    try:
        while not future.done():
            await asyncio.wait({future}, timeout=QUEUE_CHECK_PERIOD_S)
            process_queue(inbound)
    except asyncio.CancelledError:
        remove_ticket(inbound.admission, ticket)
        if future.done() and future.result() is not None:
            release_slot(future.result())
            process_queue(inbound)
        raise
    finally:
        inbound.waiters.pop(ticket, None)
    slot = future.result()
    if slot is None:
        return NotRun("its place in the queue was lost", retry_after_s=0.1)
    return slot


def process_queue(inbound: Inbound) -> None:
    """Grant free slots to queued calls, and refuse those that cannot be served in time."""
    if not inbound.waiters:
        return
    now_s = inbound.node_context.clock.monotonic_s()
    granted, refused = grant_free_slots(inbound.admission, now_s)
    for ticket, slot in granted:
        if not _resolve_waiter(inbound, ticket, slot):
            release_slot(slot)
    for ticket in refused:
        _resolve_waiter(inbound, ticket, None)


def _resolve_waiter(
    inbound: Inbound, ticket: Ticket, slot: UpstreamSlots | None
) -> bool:
    future = inbound.waiters.get(ticket)
    if future is None or future.done():
        return False
    future.set_result(slot)
    return True


async def send_call(inbound: Inbound, call: Call, slot: UpstreamSlots) -> Outcome:
    """Send a call to an upstream and read the whole response."""
    now_s = inbound.node_context.clock.monotonic_s()
    remaining_ms = forwarded_timeout_ms(call.deadline_s, now_s)
    if remaining_ms == 0:
        return NotRun("the deadline has passed")
    headers = [
        *call.headers,
        (DEADLINE_HEADER, str(remaining_ms)),
        (REQUEST_ID_HEADER, call.request_id),
        (RETRIES_HEADER, str(call.retries_left)),
    ]
    if call.key is not None:
        headers.append((KEY_HEADER, str(call.key)))
    try:
        response = await send_once(
            inbound.session,
            call.method,
            slot.info.address,
            call.path,
            call.body,
            headers,
            call.deadline_s - now_s,
        )
    except NotSentError:
        return NotRun("the upstream cannot be reached")
    except AnswerLostError as error:
        return Unknown(f"the upstream's answer was lost: {error}")
    if response.status == NOT_RUN_STATUS and NOT_RUN_HEADER in response.headers:
        record_shed_call(slot, inbound.node_context.clock.monotonic_s())
        return NotRun(f"the upstream refused: {response.headers[NOT_RUN_HEADER]}", 0.1)
    if response.headers.get(REQUEST_ID_HEADER, call.request_id) != call.request_id:
        return Unknown("the upstream answered another request")
    headers = [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_BY_HOP
    ]
    return Answered(response.status, tuple(headers), response.body)


def record_evidence(
    inbound: Inbound, call: Call, address: str, outcome: Outcome, latency_ms: float
) -> None:
    """Record a call as evidence for the move of its service, if there is one.

    A call that its caller abandoned before the deadline is left out, because it says
    nothing about the version.
    """
    clock = inbound.node_context.clock
    now_s = clock.monotonic_s()
    abandoned = isinstance(outcome, Unknown) and outcome.reason == ABANDONED_REASON
    if abandoned and now_s < call.deadline_s - ABANDON_MARGIN_S:
        return
    record_local_call(
        inbound.tallies,
        inbound.board.active,
        call.service,
        (call.route, call.version),
        address,
        outcome,
        latency_ms,
        now_s,
        int(clock.now().timestamp() * 1000),
    )
