"""Admission control for this host's upstreams: slots, warm-up, shedding and queueing.

A call that finds no free slot waits in a bounded queue, interactive calls before bulk
ones, but only if recent service times show that it can still be served before its
deadline. Refusals are therefore made on arrival, before the caller's time is spent.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import attrs

from agaterelay.core.membership import UpstreamInfo
from agaterelay.core.model import Priority

COLD_START_S = 3.0
COLD_START_RATIO = 0.25
SLOT_RECOVERY_S = 0.25
MAX_QUEUED_PER_SLOT = 4
INITIAL_SERVICE_TIME_S = 0.01
SERVICE_TIME_SMOOTHING_RATIO = 0.1
# Nearly all calls end within the mean service time plus this many mean deviations.
DEVIATION_COUNT = 3.0
# A longer queueing delay would leave no time for the variation of service times.
MAX_WAIT_RATIO = 0.7


@attrs.define
class UpstreamSlots:
    """The calls in flight on one upstream of this host.

    ``shed_limit`` is the number of calls that the upstream accepted when it last shed
    load, at ``shed_at_s``.
    """

    info: UpstreamInfo
    heartbeat_s: float
    in_flight: int = 0
    announced_s: float = attrs.field(
        default=attrs.Factory(lambda self: self.heartbeat_s, takes_self=True)
    )
    shed_limit: int | None = None
    shed_at_s: float = 0.0


# Keyed by the upstream's address.
SlotsByAddress = dict[str, UpstreamSlots]


@attrs.frozen(eq=False)
class Ticket:
    """A call's request for a slot."""

    service: str
    version: str
    priority: Priority
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Granted:
    """The call has a slot of this upstream."""

    slot: UpstreamSlots


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits in the queue; ``evicted`` was removed to make room for it."""

    evicted: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The call gets no slot."""

    reason: str
    retry_after_s: float = 0.1


@attrs.define
class Queue:
    """The calls waiting for one version of a service, and its recent service times."""

    waiting: dict[Priority, deque[Ticket]] = attrs.field(
        factory=lambda: {priority: deque() for priority in Priority}
    )
    service_time_s: float = INITIAL_SERVICE_TIME_S
    deviation_s: float = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))

    @property
    def estimated_time_s(self) -> float:
        """The service time that nearly every call stays below."""
        return self.service_time_s + DEVIATION_COUNT * self.deviation_s


@attrs.define
class Admission:
    """All slots of a host, and its queues by service and version."""

    slots: SlotsByAddress = attrs.field(factory=dict)
    queues: dict[tuple[str, str], Queue] = attrs.field(factory=dict)


def concurrency_limit(item: UpstreamSlots, now_s: float) -> int:
    """Return how many calls an upstream may have in flight at this time."""
    limit = item.info.slots
    if item.info.connections:
        limit = min(limit, item.info.connections)
    age_s = max(now_s - item.announced_s, 0)
    if age_s < COLD_START_S:
        ratio = COLD_START_RATIO + (1 - COLD_START_RATIO) * age_s / COLD_START_S
        limit = max(int(limit * ratio), 1)
    if item.shed_limit is not None:
        recovered = int((now_s - item.shed_at_s) / SLOT_RECOVERY_S)
        limit = min(limit, item.shed_limit + recovered)
    return limit


def request_slot(
    admission: Admission, ticket: Ticket, now_s: float
) -> Granted | Queued | Refused:
    """Grant a slot to a new call, queue it or refuse it."""
    if ticket.deadline_s <= now_s:
        return Refused("the deadline has passed")
    upstreams = _find_usable_upstreams(admission, ticket.service, ticket.version)
    if not upstreams:
        return Refused("no upstream of this host takes new work", 0.0)
    queue = _find_or_create_queue(admission, ticket)
    slot = _find_free_slot(upstreams, now_s)
    if slot is not None and not len(queue):
        slot.in_flight += 1
        return Granted(slot)
    limit = sum(concurrency_limit(item, now_s) for item in upstreams)
    ahead = _count_ahead(queue, ticket.priority)
    wait_s = (ahead + 1) * queue.service_time_s / limit
    if wait_s + queue.estimated_time_s > (ticket.deadline_s - now_s) * MAX_WAIT_RATIO:
        return Refused("the queue is longer than the deadline", round(wait_s, 3))
    evicted = None
    if len(queue) >= MAX_QUEUED_PER_SLOT * limit:
        bulk = queue.waiting[Priority.BULK]
        if ticket.priority is Priority.BULK or not bulk:
            return Refused("the queue is full", round(wait_s, 3))
        evicted = bulk.pop()
    queue.waiting[ticket.priority].append(ticket)
    return Queued(evicted)


def release_slot(item: UpstreamSlots) -> None:
    """Release the slot of a call that has ended."""
    item.in_flight -= 1


def record_service_time(admission: Admission, ticket: Ticket, elapsed_s: float) -> None:
    """Update the smoothed service time after a call."""
    queue = _find_or_create_queue(admission, ticket)
    error_s = elapsed_s - queue.service_time_s
    queue.service_time_s += SERVICE_TIME_SMOOTHING_RATIO * error_s
    queue.deviation_s += SERVICE_TIME_SMOOTHING_RATIO * (
        abs(error_s) - queue.deviation_s
    )


def record_shed_call(item: UpstreamSlots, now_s: float) -> None:
    """Lower an upstream's limit after it refused a call because of its own load."""
    item.shed_limit = max(item.in_flight - 1, 1)
    item.shed_at_s = now_s


def grant_free_slots(
    admission: Admission, now_s: float
) -> tuple[list[tuple[Ticket, UpstreamSlots]], list[Ticket]]:
    """Assign free slots to waiting calls, interactive calls first.

    Returns:
        The tickets granted, each with its slot, and the tickets that can no longer be
        served before their deadlines.
    """
    granted: list[tuple[Ticket, UpstreamSlots]] = []
    refused: list[Ticket] = []
    for (service, version), queue in admission.queues.items():
        if not len(queue):
            continue
        upstreams = _find_usable_upstreams(admission, service, version)
        for tickets in queue.waiting.values():
            _grant_from(
                tickets, upstreams, queue.estimated_time_s, now_s, granted, refused
            )
    return granted, refused


def remove_ticket(admission: Admission, ticket: Ticket) -> None:
    """Remove a ticket from its queue if it is still waiting."""
    tickets = _find_or_create_queue(admission, ticket).waiting[ticket.priority]
    if ticket in tickets:
        tickets.remove(ticket)


def _grant_from(
    tickets: deque[Ticket],
    upstreams: list[UpstreamSlots],
    estimated_time_s: float,
    now_s: float,
    granted: list[tuple[Ticket, UpstreamSlots]],
    refused: list[Ticket],
) -> None:
    while tickets:
        if not upstreams or tickets[0].deadline_s - now_s < estimated_time_s:
            refused.append(tickets.popleft())
            continue
        slot = _find_free_slot(upstreams, now_s)
        if slot is None:
            return
        slot.in_flight += 1
        granted.append((tickets.popleft(), slot))


def _find_usable_upstreams(
    admission: Admission, service: str, version: str
) -> list[UpstreamSlots]:
    return [
        item
        for item in admission.slots.values()
        if item.info.service == service
        and item.info.version == version
        and not item.info.draining
    ]


def _find_free_slot(
    upstreams: list[UpstreamSlots], now_s: float
) -> UpstreamSlots | None:
    free = [
        item for item in upstreams if item.in_flight < concurrency_limit(item, now_s)
    ]
    if not free:
        return None
    return min(free, key=lambda item: item.in_flight / item.info.slots)


def _find_or_create_queue(admission: Admission, ticket: Ticket) -> Queue:
    key = (ticket.service, ticket.version)
    queue = admission.queues.get(key)
    if queue is None:
        queue = admission.queues[key] = Queue()
    return queue


def _count_ahead(queue: Queue, priority: Priority) -> int:
    if priority is Priority.INTERACTIVE:
        return len(queue.waiting[Priority.INTERACTIVE])
    return len(queue)
