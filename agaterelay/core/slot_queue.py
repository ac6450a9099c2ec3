"""Admission control for one upstream: its slots, its queue and immediate refusals.

This handles overload, when more calls arrive than the upstream has slots. A call waits
only as long as its answer can still reach the caller within the route's target: waiting
longer would make every call of an overloaded upstream late and serve no more of them.
The queue is ordered by rank, then calls that an upstream makes for a request in its slot
before all others, then calls that can meet their target before calls that are late already,
then by the earliest target. A call whose turn would come too late is
refused on arrival, so that its outbound proxy can place it elsewhere or tell the caller
when to retry. The rate limit that the upstream names, and the limit while it is cold, are
applied when a call gets its slot.
"""

from __future__ import annotations

import random
from bisect import insort
from dataclasses import dataclass

import attrs

from agaterelay.core.cold_limit import (
    ColdState,
    has_cold_token,
    is_limited,
    return_cold_token,
    take_cold_token,
    wait_for_cold_token_s,
)
from agaterelay.core.hang_limit import HangLimit, hang_time_s, lowered_by
from agaterelay.core.placing import LoadReport
from agaterelay.core.rate_limit import (
    MIN_RATE_PER_S,
    RateLimit,
    has_token,
    return_token,
    take_token,
    wait_for_token_s,
)

INITIAL_SERVICE_TIME_S = 0.06
SERVICE_TIME_SMOOTHING_RATIO = 0.05
FAILURE_SMOOTHING_RATIO = 0.08
# The failure ratio decays by half in this time, so that an avoided upstream gets calls
# again.
FAILURE_HALF_LIFE_S = 2.0
# The remaining time before the deadline must cover this part of the estimated time.
MIN_REMAINING_TIME_RATIO = 0.6
# Most calls of a route end within their mean time plus this many mean deviations.
DEVIATION_COUNT = 1.5
# A call that cannot meet its target waits at most for this part of its remaining time:
# it is of less use to its caller, and gets only slots that no other call waits for.
MAX_LATE_WAIT_RATIO = 0.03
MAX_QUEUED_PER_SLOT = 2.0
RATE_LIMIT_REASON = "the upstream's rate limit is used up"
COLD_REASON = "the upstream is cold and accepts few calls"
# Retries of refused callers are spread over this part of the suggested delay.
RETRY_JITTER_RATIO = 0.5
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# The upstream's limit is lowered for this long after it shed a call while full.
SHED_PAUSE_S = 0.3
# An upstream that sheds calls with a smaller part of its slots in use is failing rather
# than full.
MIN_FULL_RATIO = 0.8


@attrs.define(eq=False)
class Ticket:
    """A call's request for a slot; times are on the monotonic clock.

    ``estimated_time_s`` is the service time to expect, and ``late`` whether the target
    could not be met even without waiting. ``cold_period`` is the period of the cold limit
    in which the call got its slot. ``nested`` calls are made by an upstream for a request
    that holds a slot.
    """

    rank: int
    target_s: float
    deadline_s: float
    estimated_time_s: float = 0.0
    late: bool = False
    call_id: str = ""
    cold_period: int = 0
    nested: bool = False

    def __lt__(self, other: Ticket) -> bool:
        return self._order < other._order

    @property
    def _order(self) -> tuple[int, bool, bool, float]:
        return (self.rank, not self.nested, self.late, self.target_s)


@attrs.frozen
class ServiceTime:
    """The smoothed service time of a route's calls; ``samples`` counts them."""

    mean_s: float = INITIAL_SERVICE_TIME_S
    deviation_s: float = 0.0
    samples: int = 1

    @property
    def estimated_time_s(self) -> float:
        """The service time that most calls stay below."""
        return self.mean_s + DEVIATION_COUNT * self.deviation_s


@dataclass(frozen=True, slots=True)
class Granted:
    """The call has a slot."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits in the queue; ``evicted`` was removed to make room for it."""

    evicted: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The call gets no slot; one is likely to be free after ``retry_after_s``."""

    reason: str
    retry_after_s: float


@attrs.define
class SlotQueue:
    """The slots of one upstream and the tickets that wait for them."""

    slots: int
    in_use: int = 0
    waiting: list[Ticket] = attrs.field(factory=list)
    service_times: dict[str, ServiceTime] = attrs.field(factory=dict)
    service_time_s: float = INITIAL_SERVICE_TIME_S
    failing: float = 0.0
    failing_s: float = 0.0
    shed_at_s: float = float("-inf")
    shed_limit: int = 0
    rate_limit: RateLimit = attrs.field(factory=RateLimit)
    cold: ColdState = attrs.field(factory=ColdState)
    hangs: HangLimit = attrs.field(factory=HangLimit)


def concurrency_limit(queue: SlotQueue, now_s: float) -> int:
    """Return how many calls may run concurrently at this time."""
    limit = queue.slots - lowered_by(queue.hangs, now_s)
    if now_s - queue.shed_at_s < SHED_PAUSE_S:
        limit = min(queue.shed_limit, limit)
    return max(limit, 1)


def make_ticket(
    queue: SlotQueue,
    route: str,
    rank: int,
    target_s: float,
    deadline_s: float,
    now_s: float,
    nested: bool = False,
) -> Ticket:
    """Return a ticket for a call, with the service time estimated for its route."""
    known = queue.service_times.get(route)
    estimated_time_s = known.estimated_time_s if known else queue.service_time_s
    late = now_s + estimated_time_s > target_s
    return Ticket(rank, target_s, deadline_s, estimated_time_s, late, nested=nested)


def max_wait_s(ticket: Ticket, now_s: float) -> float:
    """Return how long a call may wait for a slot, 0 if it may not wait."""
    remaining_s = (
        ticket.deadline_s - now_s - MIN_REMAINING_TIME_RATIO * ticket.estimated_time_s
    )
    if ticket.late:
        return max(MAX_LATE_WAIT_RATIO * remaining_s, 0.0)
    return max(min(ticket.target_s - now_s - ticket.estimated_time_s, remaining_s), 0.0)


def request_slot(
    queue: SlotQueue, ticket: Ticket, now_s: float, rng: random.Random
) -> Granted | Queued | Refused:
    """Grant a slot to a new call, queue it or refuse it.

    Args:
        queue: The upstream's slots; changed in place.
        ticket: The call's ticket.
        now_s: The current time.
        rng: The random number generator for the jitter of retry delays.
    """
    limit = concurrency_limit(queue, now_s)
    if queue.in_use < limit and not queue.waiting and _has_tokens(queue, now_s):
        _use_slot(queue, ticket, now_s)
        return Granted()
    ahead = sum(1 for other in queue.waiting if not ticket < other)
    slot_wait_s = _wait_for_slot_s(queue, ahead, limit)
    token_wait_s = _wait_for_tokens_s(queue, ahead, now_s)
    if max(slot_wait_s, token_wait_s) > max_wait_s(ticket, now_s):
        reason = "no slot in useful time"
        if token_wait_s > slot_wait_s:
            reason = limit_reason(queue, now_s)
        return Refused(reason, compute_retry_after_s(queue, limit, now_s, rng))
    evicted = None
    if len(queue.waiting) >= MAX_QUEUED_PER_SLOT * limit:
        last = queue.waiting[-1]
        if not ticket < last:
            return Refused(
                "the queue is full", compute_retry_after_s(queue, limit, now_s, rng)
            )
        evicted = queue.waiting.pop()
    insort(queue.waiting, ticket)
    return Queued(evicted)


def _use_slot(queue: SlotQueue, ticket: Ticket, now_s: float) -> None:
    queue.in_use += 1
    take_token(queue.rate_limit, now_s)
    ticket.cold_period = take_cold_token(queue.cold, now_s)


def _has_tokens(queue: SlotQueue, now_s: float) -> bool:
    return has_token(queue.rate_limit, now_s) and has_cold_token(queue.cold, now_s)


def _wait_for_tokens_s(queue: SlotQueue, ahead: int, now_s: float) -> float:
    """Return how long a call waits for both limits, negative if tokens are left over."""
    waits_s = []
    if queue.rate_limit.rate_per_s is not None:
        waits_s.append(wait_for_token_s(queue.rate_limit, ahead, now_s))
    if is_limited(queue.cold, now_s):
        waits_s.append(wait_for_cold_token_s(queue.cold, ahead, now_s))
    return max(waits_s, default=0.0)


def limit_reason(queue: SlotQueue, now_s: float) -> str:
    """Return which of the upstream's limits a call waits for longest."""
    if wait_for_cold_token_s(queue.cold, 0, now_s) > wait_for_token_s(
        queue.rate_limit, 0, now_s
    ):
        return COLD_REASON
    return RATE_LIMIT_REASON


def is_still_accepted(queue: SlotQueue, ticket: Ticket, now_s: float) -> bool:
    """Return whether a call that has a slot may be sent now, and count it if so.

    The upstream may have become cold since the call got its slot.
    """
    if ticket.cold_period == queue.cold.period or not is_limited(queue.cold, now_s):
        return True
    if not has_cold_token(queue.cold, now_s):
        return False
    ticket.cold_period = take_cold_token(queue.cold, now_s)
    return True


def _wait_for_slot_s(queue: SlotQueue, ahead: int, limit: int) -> float:
    """Return when a slot is free for a call that this many others go before."""
    if queue.in_use + ahead < limit:
        return 0.0
    return (ahead + 1) * queue.service_time_s / limit


def compute_retry_after_s(
    queue: SlotQueue, limit: int, now_s: float, rng: random.Random
) -> float:
    """Return the delay after which a refused caller is likely to be admitted.

    Jitter adds up to half of the delay, so that callers that are refused together do
    not retry together.
    """
    waiting = len(queue.waiting)
    delay_s = max(
        (waiting + 1) * queue.service_time_s / limit,
        _wait_for_tokens_s(queue, waiting, now_s),
    )
    spread_s = delay_s * (1 + RETRY_JITTER_RATIO * rng.random())
    return round(min(max(spread_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S), 3)


def wait_for_rate_limit_s(queue: SlotQueue, now_s: float) -> float | None:
    """Return how long the first waiting call waits for nothing but the limits.

    Returns:
        None if no call waits, or if it waits for a slot.
    """
    if not queue.waiting or queue.in_use >= concurrency_limit(queue, now_s):
        return None
    return max(_wait_for_tokens_s(queue, 0, now_s), 0.0)


def release_slot(queue: SlotQueue) -> None:
    """Release the slot of a call that has ended."""
    queue.in_use -= 1


def release_unused_slot(queue: SlotQueue, ticket: Ticket) -> None:
    """Release the slot of a call that was not sent; it counts for no limit."""
    release_slot(queue)
    return_token(queue.rate_limit)
    return_cold_token(queue.cold, ticket.cold_period)


def remove_ticket(queue: SlotQueue, ticket: Ticket) -> None:
    """Remove a ticket from the queue if it is still waiting."""
    if ticket in queue.waiting:
        queue.waiting.remove(ticket)


def grant_free_slots(
    queue: SlotQueue, now_s: float
) -> tuple[list[Ticket], list[Ticket]]:
    """Assign free slots to waiting calls.

    Returns:
        The tickets granted, and those that can no longer be served in time.
    """
    granted: list[Ticket] = []
    late: list[Ticket] = []
    limit = concurrency_limit(queue, now_s)
    while queue.waiting and queue.in_use < limit and _has_tokens(queue, now_s):
        ticket = queue.waiting.pop(0)
        if (
            ticket.deadline_s - now_s
            < MIN_REMAINING_TIME_RATIO * ticket.estimated_time_s
        ):
            late.append(ticket)
            continue
        _use_slot(queue, ticket, now_s)
        granted.append(ticket)
    return granted, late


def record_service_time(queue: SlotQueue, route: str, elapsed_s: float) -> None:
    """Update the smoothed service times after a call."""
    queue.service_time_s += SERVICE_TIME_SMOOTHING_RATIO * (
        elapsed_s - queue.service_time_s
    )
    known = queue.service_times.get(route)
    if known is None:
        queue.service_times[route] = ServiceTime(elapsed_s, elapsed_s / 4)
        return
    error_s = elapsed_s - known.mean_s
    queue.service_times[route] = ServiceTime(
        known.mean_s + SERVICE_TIME_SMOOTHING_RATIO * error_s,
        known.deviation_s
        + SERVICE_TIME_SMOOTHING_RATIO * (abs(error_s) - known.deviation_s),
        known.samples + 1,
    )


def hang_time_of(queue: SlotQueue, route: str) -> float:
    """Return after how long a call of a route may be considered hung, in seconds."""
    known = queue.service_times.get(route, ServiceTime(samples=0))
    return hang_time_s(known.estimated_time_s, known.samples)


def record_call_end(queue: SlotQueue, failed: bool, now_s: float) -> None:
    """Update the failure ratio after a call on the upstream."""
    current = failure_ratio(queue, now_s)
    queue.failing = current + FAILURE_SMOOTHING_RATIO * (
        (1.0 if failed else 0.0) - current
    )
    queue.failing_s = now_s


def record_shed_call(queue: SlotQueue, now_s: float) -> None:
    """Lower the limit after the upstream refused a call while it was full."""
    if queue.in_use < MIN_FULL_RATIO * queue.slots:
        return
    queue.shed_limit = max(queue.in_use - 1, 1)
    queue.shed_at_s = now_s


def failure_ratio(queue: SlotQueue, now_s: float) -> float:
    """Return the smoothed ratio of recent calls that failed."""
    return queue.failing * 0.5 ** ((now_s - queue.failing_s) / FAILURE_HALF_LIFE_S)


def make_load_report(queue: SlotQueue, now_s: float) -> LoadReport:
    """Return the load that outbound proxies use to place calls."""
    waiting = len(queue.waiting)
    rates_per_s = []
    if queue.rate_limit.rate_per_s is not None:
        rates_per_s.append(max(queue.rate_limit.rate_per_s, MIN_RATE_PER_S))
    if queue.cold.rate_per_s is not None and is_limited(queue.cold, now_s):
        rates_per_s.append(queue.cold.rate_per_s)
    return LoadReport(
        in_flight=queue.in_use + waiting,
        slots=queue.slots,
        work_ms=round(queue.service_time_s * 1000, 1),
        failing=round(failure_ratio(queue, now_s), 3),
        rate_limit_per_s=min(rates_per_s, default=0.0),
        rate_wait_ms=round(_wait_for_tokens_s(queue, waiting, now_s) * 1000),
    )
