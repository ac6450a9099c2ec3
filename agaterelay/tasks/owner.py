"""The owner side of a call: admission, and the only run.

Only the node of an upstream's host admits work to it. Nothing else knows how many
calls are in flight there, whether it drains, or whether a key was seen before.

An idempotent call ends with the caller's connection. A call that must not run twice is
never cancelled once it was sent: what became of it has to be known to its next try.
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
from agaterelay.tasks.tallies import Tallies, note_ran

NOT_RUN_HEADER = "Not-Run"
NOT_RUN_STATUS = 503
ABANDONED = "the call was abandoned"
# The time by which the caller's clock may run out before this node's.
ABANDON_MARGIN_S = 0.05
# How often those who wait look for slots that came up without a call's end.
QUEUE_CHECK_S = 0.05
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "date",
     "server", "host", "upgrade", "te", "trailer", "proxy-authorization",
     "proxy-authenticate", "expect", "request-id"}
)  # fmt: skip


@attrs.frozen
class Call:
    """One call as it reaches the owner of an upstream."""

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
class Owner:
    """The owner's state.

    ``waiting`` are the calls in the queue, ``running`` the runs that go on when their
    callers go away, and ``keyed`` those of them that have a key.
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
    waiting: dict[Ticket, asyncio.Future[UpstreamSlots | None]] = attrs.field(
        factory=dict
    )
    running: set[asyncio.Task[Outcome]] = attrs.field(factory=set)
    keyed: dict[str, asyncio.Task[Outcome]] = attrs.field(factory=dict)


async def run_call(owner: Owner, call: Call) -> Outcome:
    """Admit a call and run it at most once."""
    if call.key is not None:
        return await _run_keyed(owner, call, call.key)
    ticket = Ticket(call.service, call.version, call.priority, call.deadline_s)
    slot = await _admit(owner, ticket)
    if isinstance(slot, NotRun):
        return slot
    if call.idempotent:
        return await _send_in_slot(owner, call, ticket, slot)
    return await asyncio.shield(_start(owner, _send_in_slot(owner, call, ticket, slot)))


async def _run_keyed(owner: Owner, call: Call, key: Key) -> Outcome:
    # A node that refuted an older word on its host goes by a new incarnation.
    owner.window.incarnation = owner.board.own.incarnation
    claimed = claim(owner.window, key, owner.node_context.clock.now())
    if isinstance(claimed, Claimed):
        task = _start(owner, _run_claimed(owner, call, key))
        owner.keyed[key.uuid] = task
        return await asyncio.shield(task)
    if isinstance(claimed, InProgress):
        return await _wait_for_run(owner, call, key)
    return claimed


async def _run_claimed(owner: Owner, call: Call, key: Key) -> Outcome:
    outcome: Outcome = Unknown("the run was broken off")
    try:
        outcome = await _admit_and_send(owner, call)
    finally:
        outcome = record_outcome(owner.window, key, outcome)
        owner.keyed.pop(key.uuid, None)
    return outcome


async def _wait_for_run(owner: Owner, call: Call, key: Key) -> Outcome:
    """Wait for the run of an earlier try, up to this try's own deadline."""
    left_s = call.deadline_s - owner.node_context.clock.monotonic_s()
    task = owner.keyed.get(key.uuid)
    if task is None:
        return Unknown("the call is in progress")
    done, _ = await asyncio.wait({task}, timeout=max(left_s, 0))
    if not done or task.cancelled() or task.exception() is not None:
        return Unknown("the call is in progress")
    return task.result()


def _start(owner: Owner, run: Coroutine[Any, Any, Outcome]) -> asyncio.Task[Outcome]:
    """Start a run that goes on when its caller goes away; a graceful stop waits."""
    task = asyncio.ensure_future(run)
    owner.in_flight += 1
    owner.running.add(task)

    def finish(_: asyncio.Task[Outcome]) -> None:
        owner.in_flight -= 1
        owner.running.discard(task)

    task.add_done_callback(finish)
    return task


async def _admit_and_send(owner: Owner, call: Call) -> Outcome:
    ticket = Ticket(call.service, call.version, call.priority, call.deadline_s)
    slot = await _admit(owner, ticket)
    if isinstance(slot, NotRun):
        return slot
    return await _send_in_slot(owner, call, ticket, slot)


async def _send_in_slot(
    owner: Owner, call: Call, ticket: Ticket, slot: UpstreamSlots
) -> Outcome:
    started_s = owner.node_context.clock.monotonic_s()
    outcome: Outcome = Unknown(ABANDONED)
    try:
        outcome = await send(owner, call, slot)
    finally:
        release_slot(slot)
        elapsed_s = owner.node_context.clock.monotonic_s() - started_s
        record_service_time(owner.admission, ticket, elapsed_s)
        note_evidence(owner, call, slot.info.address, outcome, elapsed_s * 1000)
        pump(owner)
    return outcome


async def _admit(owner: Owner, ticket: Ticket) -> UpstreamSlots | NotRun:
    """Take a slot for a ticket, after a wait where that is worth it."""
    if owner.board.stopping:
        return NotRun("the node is stopping")
    decision = request_slot(
        owner.admission, ticket, owner.node_context.clock.monotonic_s()
    )
    if isinstance(decision, Granted):
        return decision.slot
    if isinstance(decision, Refused):
        return NotRun(decision.reason, decision.retry_after_s)
    return await _wait_for_slot(owner, ticket, decision)


async def _wait_for_slot(
    owner: Owner, ticket: Ticket, decision: Queued
) -> UpstreamSlots | NotRun:
    if decision.evicted is not None:
        _resolve(owner, decision.evicted, None)
    future = asyncio.get_running_loop().create_future()
    owner.waiting[ticket] = future
    try:
        while not future.done():
            await asyncio.wait({future}, timeout=QUEUE_CHECK_S)
            pump(owner)
    except asyncio.CancelledError:
        remove_ticket(owner.admission, ticket)
        if future.done() and future.result() is not None:
            release_slot(future.result())
            pump(owner)
        raise
    finally:
        owner.waiting.pop(ticket, None)
    slot = future.result()
    if slot is None:
        return NotRun("its place in the queue was lost", retry_after_s=0.1)
    return slot


def pump(owner: Owner) -> None:
    """Give free slots to the calls that wait for them."""
    if not owner.waiting:
        return
    now_s = owner.node_context.clock.monotonic_s()
    granted, refused = grant_free_slots(owner.admission, now_s)
    for ticket, slot in granted:
        if not _resolve(owner, ticket, slot):
            release_slot(slot)
    for ticket in refused:
        _resolve(owner, ticket, None)


def _resolve(owner: Owner, ticket: Ticket, slot: UpstreamSlots | None) -> bool:
    future = owner.waiting.get(ticket)
    if future is None or future.done():
        return False
    future.set_result(slot)
    return True


async def send(owner: Owner, call: Call, slot: UpstreamSlots) -> Outcome:
    """Send a call to an upstream and read the whole answer."""
    now_s = owner.node_context.clock.monotonic_s()
    left_ms = forwarded_timeout_ms(call.deadline_s, now_s)
    if left_ms == 0:
        return NotRun("the deadline has passed")
    headers = [
        *call.headers,
        (DEADLINE_HEADER, str(left_ms)),
        (REQUEST_ID_HEADER, call.request_id),
        (RETRIES_HEADER, str(call.retries_left)),
    ]
    if call.key is not None:
        headers.append((KEY_HEADER, str(call.key)))
    try:
        answer = await send_once(
            owner.session,
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
    if answer.status == NOT_RUN_STATUS and NOT_RUN_HEADER in answer.headers:
        record_shed_call(slot, owner.node_context.clock.monotonic_s())
        return NotRun(f"the upstream refused: {answer.headers[NOT_RUN_HEADER]}", 0.1)
    if answer.headers.get(REQUEST_ID_HEADER, call.request_id) != call.request_id:
        return Unknown("the upstream answered another request")
    headers = [
        (name, value)
        for name, value in answer.headers.items()
        if name.lower() not in _HOP_BY_HOP
    ]
    return Answered(answer.status, tuple(headers), answer.body)


def note_evidence(
    owner: Owner, call: Call, address: str, outcome: Outcome, latency_ms: float
) -> None:
    """Count a call for the move that its service is under.

    A call that its caller abandoned before the deadline says nothing.
    """
    clock = owner.node_context.clock
    now_s = clock.monotonic_s()
    abandoned = isinstance(outcome, Unknown) and outcome.reason == ABANDONED
    if abandoned and now_s < call.deadline_s - ABANDON_MARGIN_S:
        return
    note_ran(
        owner.tallies,
        owner.board.active,
        call.service,
        (call.route, call.version),
        address,
        outcome,
        latency_ms,
        now_s,
        int(clock.now().timestamp() * 1000),
    )
