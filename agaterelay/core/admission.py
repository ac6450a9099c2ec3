"""Admit calls to this host's upstreams: slots, cold start, shedding, and who waits.

A call that finds no free slot waits in a bounded queue, interactive calls before bulk
ones, but only where it can still be served before its deadline by what calls took
lately. A refusal is thus made on arrival, before the time of the caller is spent.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import attrs

from agaterelay.core.membership import UpstreamInfo
from agaterelay.core.model import Priority

COLD_START_S = 3.0
COLD_SHARE = 0.25
SHED_RECOVERY_S = 0.25
QUEUE_PER_SLOT = 4
FIRST_WORK_S = 0.01
WORK_SMOOTHING = 0.1
# Nearly all calls end within their mean time and so many mean deviations.
DEVIATIONS = 3.0
# Waiting for more than a part of the time left leaves none for the work's spread.
WAIT_SHARE = 0.7


@attrs.define
class UpstreamSlots:
    """The calls in flight on one upstream of this host.

    ``ceiling`` is what the upstream took when it last shed load, at ``shed_s``.
    """

    info: UpstreamInfo
    heartbeat_s: float
    in_flight: int = 0
    announced_s: float = attrs.field(
        default=attrs.Factory(lambda self: self.heartbeat_s, takes_self=True)
    )
    ceiling: int | None = None
    shed_s: float = 0.0


# Slots by the upstream's address.
Slots = dict[str, UpstreamSlots]


@attrs.frozen(eq=False)
class Ticket:
    """A call that asks for a slot."""

    service: str
    version: str
    priority: Priority
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Granted:
    """The ticket has a slot of this upstream."""

    slot: UpstreamSlots


@dataclass(frozen=True, slots=True)
class Queued:
    """The ticket waits; ``evicted`` lost its place to it."""

    evicted: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The ticket gets no slot."""

    reason: str
    retry_after_s: float = 0.1


@attrs.define
class Queue:
    """Who waits for one version of a service, and what its calls took lately."""

    waiting: dict[Priority, deque[Ticket]] = attrs.field(
        factory=lambda: {priority: deque() for priority in Priority}
    )
    work_s: float = FIRST_WORK_S
    deviation_s: float = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))

    @property
    def needed_s(self) -> float:
        """The time that nearly every call ends in, once it has a slot."""
        return self.work_s + DEVIATIONS * self.deviation_s


@attrs.define
class Admission:
    """All slots of a host and the queues before them, by service and version."""

    slots: Slots = attrs.field(factory=dict)
    queues: dict[tuple[str, str], Queue] = attrs.field(factory=dict)


def limit_of(item: UpstreamSlots, now_s: float) -> int:
    """Return how many calls an upstream may have in flight now."""
    limit = item.info.slots
    if item.info.connections:
        limit = min(limit, item.info.connections)
    age_s = max(now_s - item.announced_s, 0)
    if age_s < COLD_START_S:
        share = COLD_SHARE + (1 - COLD_SHARE) * age_s / COLD_START_S
        limit = max(int(limit * share), 1)
    if item.ceiling is not None:
        recovered = int((now_s - item.shed_s) / SHED_RECOVERY_S)
        limit = min(limit, item.ceiling + recovered)
    return limit


def arrive(
    admission: Admission, ticket: Ticket, now_s: float
) -> Granted | Queued | Refused:
    """Decide on a call that arrives."""
    if ticket.deadline_s <= now_s:
        return Refused("the deadline has passed")
    usable = _usable(admission, ticket.service, ticket.version)
    if not usable:
        return Refused("no upstream of this host takes new work", 0.0)
    queue = _queue_of(admission, ticket)
    slot = _free_slot(usable, now_s)
    if slot is not None and not len(queue):
        slot.in_flight += 1
        return Granted(slot)
    limit = sum(limit_of(item, now_s) for item in usable)
    ahead = _ahead(queue, ticket.priority)
    wait_s = (ahead + 1) * queue.work_s / limit
    if wait_s + queue.needed_s > (ticket.deadline_s - now_s) * WAIT_SHARE:
        return Refused("the queue is longer than the deadline", round(wait_s, 3))
    evicted = None
    if len(queue) >= QUEUE_PER_SLOT * limit:
        bulk = queue.waiting[Priority.BULK]
        if ticket.priority is Priority.BULK or not bulk:
            return Refused("the queue is full", round(wait_s, 3))
        evicted = bulk.pop()
    queue.waiting[ticket.priority].append(ticket)
    return Queued(evicted)


def release(item: UpstreamSlots) -> None:
    """Give a slot back."""
    item.in_flight -= 1


def note_work(admission: Admission, ticket: Ticket, elapsed_s: float) -> None:
    """Count how long a call took in its slot."""
    queue = _queue_of(admission, ticket)
    error_s = elapsed_s - queue.work_s
    queue.work_s += WORK_SMOOTHING * error_s
    queue.deviation_s += WORK_SMOOTHING * (abs(error_s) - queue.deviation_s)


def note_shed(item: UpstreamSlots, now_s: float) -> None:
    """Lower an upstream's limit after it refused a call for load of its own."""
    item.ceiling = max(item.in_flight - 1, 1)
    item.shed_s = now_s


def grant_waiting(
    admission: Admission, now_s: float
) -> tuple[list[tuple[Ticket, UpstreamSlots]], list[Ticket]]:
    """Give the free slots to those who wait, interactive calls first.

    Returns:
        The tickets granted with their slots, and those that can no longer be served.
    """
    granted: list[tuple[Ticket, UpstreamSlots]] = []
    refused: list[Ticket] = []
    for (service, version), queue in admission.queues.items():
        if not len(queue):
            continue
        usable = _usable(admission, service, version)
        for tickets in queue.waiting.values():
            _grant_from(tickets, usable, queue.needed_s, now_s, granted, refused)
    return granted, refused


def abandon(admission: Admission, ticket: Ticket) -> None:
    """Take a ticket out of its queue, if it still waits."""
    tickets = _queue_of(admission, ticket).waiting[ticket.priority]
    if ticket in tickets:
        tickets.remove(ticket)


def _grant_from(
    tickets: deque[Ticket],
    usable: list[UpstreamSlots],
    needed_s: float,
    now_s: float,
    granted: list[tuple[Ticket, UpstreamSlots]],
    refused: list[Ticket],
) -> None:
    while tickets:
        if not usable or tickets[0].deadline_s - now_s < needed_s:
            refused.append(tickets.popleft())
            continue
        slot = _free_slot(usable, now_s)
        if slot is None:
            return
        slot.in_flight += 1
        granted.append((tickets.popleft(), slot))


def _usable(admission: Admission, service: str, version: str) -> list[UpstreamSlots]:
    return [
        item
        for item in admission.slots.values()
        if item.info.service == service
        and item.info.version == version
        and not item.info.draining
    ]


def _free_slot(usable: list[UpstreamSlots], now_s: float) -> UpstreamSlots | None:
    free = [item for item in usable if item.in_flight < limit_of(item, now_s)]
    if not free:
        return None
    return min(free, key=lambda item: item.in_flight / item.info.slots)


def _queue_of(admission: Admission, ticket: Ticket) -> Queue:
    name = (ticket.service, ticket.version)
    queue = admission.queues.get(name)
    if queue is None:
        queue = admission.queues[name] = Queue()
    return queue


def _ahead(queue: Queue, priority: Priority) -> int:
    if priority is Priority.INTERACTIVE:
        return len(queue.waiting[Priority.INTERACTIVE])
    return len(queue)
