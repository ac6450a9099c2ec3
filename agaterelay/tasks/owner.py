"""The owner side of a call: this host's upstreams, admission, and the only run.

Only the node of an upstream's host admits work to it. Nothing else knows how many
calls are in flight there, whether it drains, or whether a key was seen before.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import aiohttp
import attrs

from agaterelay.core.admission import Slots, UpstreamSlots, admit, release
from agaterelay.core.keys import Key, KeyWindow, claim, settle
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.tasks.board import Board, World
from agaterelay.tasks.tallies import Tallies, note_ran

MAX_ANSWER_BYTES = 4 << 20
NOT_RUN_HEADER = "Not-Run"
ABANDONED = "the call was abandoned"
# The time by which the caller's clock may run out before this node's.
ABANDON_MARGIN_S = 0.05
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "date",
     "server", "host", "upgrade", "te", "trailer", "proxy-authorization",
     "proxy-authenticate", "expect", "content-encoding"}
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


@attrs.define
class Owner:
    """The owner's state."""

    world: World
    board: Board
    window: KeyWindow
    session: aiohttp.ClientSession
    slots: Slots = attrs.field(factory=dict)
    tallies: Tallies = attrs.field(factory=Tallies)
    in_flight: int = 0


async def run_call(owner: Owner, call: Call) -> Outcome:
    """Admit a call and run it at most once."""
    if call.key is not None:
        refusal = claim(owner.window, call.key, owner.world.clock.now())
        if refusal is not None:
            return refusal
    outcome = await _admit_and_send(owner, call)
    if call.key is not None:
        settle(owner.window, call.key, outcome)
    return outcome


async def _admit_and_send(owner: Owner, call: Call) -> Outcome:
    if owner.board.stopping:
        return NotRun("the node is stopping")
    if owner.world.clock.monotonic_s() >= call.deadline_s:
        return NotRun("the deadline has passed")
    slot = admit(owner.slots, call.service, call.version)
    if slot is None:
        return NotRun("no upstream has a free slot", retry_after_s=0.1)
    started_s = owner.world.clock.monotonic_s()
    outcome: Outcome = Unknown(ABANDONED)
    try:
        outcome = await send(owner, call, slot)
    finally:
        release(slot)
        note_evidence(owner, call, slot.info.address, outcome, started_s)
    return outcome


async def send(owner: Owner, call: Call, slot: UpstreamSlots) -> Outcome:
    """Send a call to an upstream and read the whole answer."""
    left_s = call.deadline_s - owner.world.clock.monotonic_s()
    headers = [*call.headers, ("Deadline-Ms", str(max(int(left_s * 1000), 1)))]
    headers.append(("Request-Id", call.request_id))
    if call.key is not None:
        headers.append(("Idempotency-Key", str(call.key)))
    try:
        async with asyncio.timeout(max(left_s, 0.001)):
            async with owner.session.request(
                call.method,
                f"http://{slot.info.address}{call.path}",
                data=call.body,
                headers=headers,
                allow_redirects=False,
            ) as response:
                return await _read_answer(response)
    except aiohttp.ClientConnectorError:
        return NotRun("the upstream cannot be reached")
    except (aiohttp.ClientError, TimeoutError) as error:
        return Unknown(f"the upstream's answer was lost: {type(error).__name__}")


async def _read_answer(response: aiohttp.ClientResponse) -> Outcome:
    if response.status == 503 and NOT_RUN_HEADER in response.headers:
        return NotRun(f"the upstream refused: {response.headers[NOT_RUN_HEADER]}")
    body = await response.read()
    if len(body) > MAX_ANSWER_BYTES:
        return Unknown("the upstream's answer is too large")
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_BY_HOP
    )
    return Answered(response.status, headers, body)


def note_evidence(
    owner: Owner, call: Call, address: str, outcome: Outcome, started_s: float
) -> None:
    """Count a call for the move that its service is under.

    A call that its caller abandoned before the deadline says nothing.
    """
    clock = owner.world.clock
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
        (now_s - started_s) * 1000,
        now_s,
        int(clock.now().timestamp() * 1000),
    )


def time_left(deadline_s: float, now_s: float) -> timedelta:
    """Return the time until a deadline."""
    return timedelta(seconds=max(deadline_s - now_s, 0))
