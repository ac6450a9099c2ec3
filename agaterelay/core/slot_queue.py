"""Admit calls to one upstream: its slots, who waits, and who is refused at once.

This answers more calls than the upstream has slots. A call waits only for as long as
its answer can still reach the caller within the route's target: waiting longer would
make every call of an overloaded upstream late and serve no more of them. By rank first,
then those whose target can be met before those that are late already, then by who needs
the answer soonest. A call whose turn would come too late is refused on arrival, so that
its entry can place it elsewhere or tell the caller when to come back.
"""

from __future__ import annotations

import random
from bisect import insort
from dataclasses import dataclass

import attrs

FIRST_WORK_S = 0.06
WORK_SMOOTHING = 0.05
FAILURE_SMOOTHING = 0.08
# The share of failures is forgotten by half in this time, so that calls come back.
FAILURE_HALF_LIFE_S = 2.0
# What is left of a deadline must cover this part of the usual work.
NEEDED_PART = 0.6
# Most calls of a route end within their mean time and this many mean deviations.
DEVIATIONS = 1.5
# A call that cannot meet its target waits for this part of its time at most: it is of
# less use to its caller, and takes only slots that nobody else waits for.
LATE_WAIT_PART = 0.03
# No queue is longer than this many rounds of the slots.
MAX_ROUNDS = 2.0
# The span over which those who were refused are asked to come back.
RETURN_SPREAD = 0.5
MIN_RETURN_S = 0.05
MAX_RETURN_S = 2.0
# After it has shed a call while full, the upstream gets fewer at once for this long.
SHED_PAUSE_S = 0.3
# An upstream that sheds with fewer slots in use than this part fails; it is not full.
FULL_PART = 0.8


@attrs.define(eq=False)
class Ticket:
    """A call that asks for a slot; times are on the steady clock.

    ``needed_s`` is the time that the work usually takes, and ``late`` whether the
    target could not be met even without waiting.
    """

    rank: int
    target_s: float
    deadline_s: float
    needed_s: float = 0.0
    late: bool = False
    call_id: str = ""

    def __lt__(self, other: Ticket) -> bool:
        return self._order < other._order

    @property
    def _order(self) -> tuple[int, bool, float]:
        return (self.rank, self.late, self.target_s)


@attrs.frozen
class WorkTime:
    """How long the calls of a route take, smoothed."""

    mean_s: float = FIRST_WORK_S
    deviation_s: float = 0.0

    @property
    def needed_s(self) -> float:
        """The time that most calls end in."""
        return self.mean_s + DEVIATIONS * self.deviation_s


@dataclass(frozen=True, slots=True)
class Granted:
    """The ticket has a slot."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The ticket waits; ``evicted`` lost its place to it."""

    evicted: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The ticket gets no slot; room is likely after ``retry_after_s``."""

    reason: str
    retry_after_s: float


@attrs.define
class SlotQueue:
    """The slots of one upstream and the tickets that wait for them."""

    slots: int
    in_use: int = 0
    waiting: list[Ticket] = attrs.field(factory=list)
    work_times: dict[str, WorkTime] = attrs.field(factory=dict)
    work_s: float = FIRST_WORK_S
    failing: float = 0.0
    failing_s: float = 0.0
    shed_s: float = float("-inf")
    shed_limit: int = 0


def limit_of(queue: SlotQueue, now_s: float) -> int:
    """Return how many calls may run at once now."""
    if now_s - queue.shed_s < SHED_PAUSE_S:
        return max(min(queue.shed_limit, queue.slots), 1)
    return max(queue.slots, 1)


def make_ticket(
    queue: SlotQueue,
    route: str,
    rank: int,
    target_s: float,
    deadline_s: float,
    now_s: float,
) -> Ticket:
    """Return the ticket of a call, with what its route's calls usually take."""
    known = queue.work_times.get(route)
    needed_s = known.needed_s if known else queue.work_s
    late = now_s + needed_s > target_s
    return Ticket(rank, target_s, deadline_s, needed_s, late)


def longest_wait_s(ticket: Ticket, now_s: float) -> float:
    """Return how long a call may wait for a slot, 0 where not at all."""
    left_s = ticket.deadline_s - now_s - NEEDED_PART * ticket.needed_s
    if ticket.late:
        return max(LATE_WAIT_PART * left_s, 0.0)
    return max(min(ticket.target_s - now_s - ticket.needed_s, left_s), 0.0)


def ask(
    queue: SlotQueue, ticket: Ticket, now_s: float, draw: random.Random
) -> Granted | Queued | Refused:
    """Ask for a slot for a new call.

    Args:
        queue: The upstream's slots; changed in place.
        ticket: The call.
        now_s: The present time.
        draw: The source of chance; spreads the times at which callers return.
    """
    limit = limit_of(queue, now_s)
    if queue.in_use < limit and not queue.waiting:
        queue.in_use += 1
        return Granted()
    ahead = sum(1 for other in queue.waiting if not ticket < other)
    wait_s = (ahead + 1) * queue.work_s / limit
    if wait_s > longest_wait_s(ticket, now_s):
        return Refused("no slot in useful time", return_s(queue, limit, draw))
    evicted = None
    if len(queue.waiting) >= MAX_ROUNDS * limit:
        last = queue.waiting[-1]
        if not ticket < last:
            return Refused("the queue is full", return_s(queue, limit, draw))
        evicted = queue.waiting.pop()
    insort(queue.waiting, ticket)
    return Queued(evicted)


def return_s(queue: SlotQueue, limit: int, draw: random.Random) -> float:
    """Return after how long a refused caller is likely to find room.

    Callers that are refused together return spread over half as long again.
    """
    drain_s = (len(queue.waiting) + 1) * queue.work_s / limit
    spread_s = drain_s * (1 + RETURN_SPREAD * draw.random())
    return round(min(max(spread_s, MIN_RETURN_S), MAX_RETURN_S), 3)


def release(queue: SlotQueue) -> None:
    """Give a slot back."""
    queue.in_use -= 1


def leave(queue: SlotQueue, ticket: Ticket) -> None:
    """Take a ticket out of the queue, if it still waits."""
    if ticket in queue.waiting:
        queue.waiting.remove(ticket)


def grant_waiting(queue: SlotQueue, now_s: float) -> tuple[list[Ticket], list[Ticket]]:
    """Give free slots to those who wait.

    Returns:
        The tickets granted, and those that can no longer be served in time.
    """
    granted: list[Ticket] = []
    late: list[Ticket] = []
    limit = limit_of(queue, now_s)
    while queue.waiting and queue.in_use < limit:
        ticket = queue.waiting.pop(0)
        if ticket.deadline_s - now_s < NEEDED_PART * ticket.needed_s:
            late.append(ticket)
            continue
        queue.in_use += 1
        granted.append(ticket)
    return granted, late


def note_work(queue: SlotQueue, route: str, elapsed_s: float) -> None:
    """Learn from how long a call took in its slot."""
    queue.work_s += WORK_SMOOTHING * (elapsed_s - queue.work_s)
    known = queue.work_times.get(route)
    if known is None:
        queue.work_times[route] = WorkTime(elapsed_s, elapsed_s / 4)
        return
    error_s = elapsed_s - known.mean_s
    queue.work_times[route] = WorkTime(
        known.mean_s + WORK_SMOOTHING * error_s,
        known.deviation_s + WORK_SMOOTHING * (abs(error_s) - known.deviation_s),
    )


def note_end(queue: SlotQueue, failed: bool, now_s: float) -> None:
    """Count whether a call failed on the upstream."""
    present = failing_share(queue, now_s)
    queue.failing = present + FAILURE_SMOOTHING * ((1.0 if failed else 0.0) - present)
    queue.failing_s = now_s


def note_shed(queue: SlotQueue, now_s: float) -> None:
    """Note that the upstream refused a call, for load of its own where it was full."""
    if queue.in_use < FULL_PART * queue.slots:
        return
    queue.shed_limit = max(queue.in_use - 1, 1)
    queue.shed_s = now_s


def failing_share(queue: SlotQueue, now_s: float) -> float:
    """Return the smoothed share of calls that failed lately."""
    return queue.failing * 0.5 ** ((now_s - queue.failing_s) / FAILURE_HALF_LIFE_S)
