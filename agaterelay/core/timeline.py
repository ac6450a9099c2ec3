"""Numbered events with hybrid logical clock stamps, kept in a ring buffer.

A stamp is later than the stamps of all messages received before it, so that the events
of all processes merge into a causal order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from datetime import datetime
from typing import Any

import attrs

MAX_RING_EVENTS = 4096
MAX_QUERY_EVENTS = 2000
MAX_CLOCK_LEAD_US = 60_000_000
ACTIVATED_EVENT_NAME = "revision_activated"
DEFAULT_MAX_EVENTS_PER_S = 20


@attrs.frozen(order=True)
class Stamp:
    """A hybrid logical clock stamp: wall time in microseconds, then a counter."""

    wall_us: int = 0
    counter: int = 0


@attrs.frozen
class Event:
    """An event on a host."""

    stamp: Stamp
    host: str
    number: int
    name: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class EventsQuery:
    """A filter of events; an empty string or zero disables a condition.

    ``change`` and ``revision`` belong together: an event passes if it names either, or
    if it is the first on its host to activate that revision or a later one.
    """

    after: Stamp = Stamp()
    most: int = MAX_QUERY_EVENTS
    change: str = ""
    revision: int = 0
    move: str = ""
    request: str = ""
    number: int = 0


@attrs.define
class Timeline:
    """A process's logical clock and its newest events."""

    host: str
    now: Callable[[], datetime]
    last: Stamp = Stamp()
    ring: deque[Event] = attrs.field(factory=lambda: deque(maxlen=MAX_RING_EVENTS))


def tick(timeline: Timeline, seen: Stamp = Stamp()) -> Stamp:
    """Advance the clock past a received stamp and return the new stamp.

    A stamp far ahead of the wall clock is ignored, since one host with a wrong clock
    would otherwise advance the clocks of all hosts.
    """
    wall_us = int(timeline.now().timestamp() * 1_000_000)
    newest = timeline.last
    if seen.wall_us <= wall_us + MAX_CLOCK_LEAD_US:
        newest = max(newest, seen)
    if wall_us > newest.wall_us:
        timeline.last = Stamp(wall_us, 0)
    else:
        timeline.last = Stamp(newest.wall_us, newest.counter + 1)
    return timeline.last


def record(timeline: Timeline, number: int, name: str, fields: dict[str, Any]) -> Event:
    """Record an event with a new stamp."""
    event = Event(tick(timeline), timeline.host, number, name, fields)
    timeline.ring.append(event)
    return event


def select_events(events: Iterable[Event], query: EventsQuery) -> list[Event]:
    """Return the newest events of one process that match a query, oldest first."""
    selected = []
    activated = False
    for event in events:
        reaches = _reaches_revision(event, query.revision)
        first = reaches and not activated
        activated = activated or reaches
        if event.stamp > query.after and _matches(event, query, first):
            selected.append(event)
    most = min(query.most, MAX_QUERY_EVENTS)
    return selected[-most:] if most > 0 else []


def _reaches_revision(event: Event, revision: int) -> bool:
    if not revision or event.name != ACTIVATED_EVENT_NAME:
        return False
    return int(event.fields.get("revision", 0)) >= revision


def _matches(event: Event, query: EventsQuery, first_activation: bool) -> bool:
    fields = event.fields
    if query.number and event.number != query.number:
        return False
    if query.request and fields.get("request_id") != query.request:
        return False
    change = str(fields.get("change", ""))
    if query.move and fields.get("move") != query.move:
        # The change ids of a move's steps begin with the move's name.
        if not change.startswith(f"{query.move}:"):
            return False
    if not query.change and not query.revision:
        return True
    names_change = bool(query.change) and change == query.change
    names_revision = bool(query.revision) and fields.get("revision") == query.revision
    return names_change or names_revision or first_activation


@attrs.define
class RateLimit:
    """Counts the events of a frequent kind recorded in the current second."""

    second: int = 0
    recorded: int = 0
    suppressed: int = 0


def admit_event(
    limit: RateLimit, now_s: float, most_per_s: int = DEFAULT_MAX_EVENTS_PER_S
) -> int | None:
    """Count one more event against the limit of the current second.

    Args:
        limit: Changed in place.
        now_s: The current time in seconds.
        most_per_s: The number of events recorded per second.

    Returns:
        The number of events suppressed since the last recorded one, or None if this
        event is to be suppressed too.
    """
    second = int(now_s)
    if second != limit.second:
        limit.second = second
        limit.recorded = 0
    if limit.recorded >= most_per_s:
        limit.suppressed += 1
        return None
    limit.recorded += 1
    suppressed, limit.suppressed = limit.suppressed, 0
    return suppressed


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return the events of many processes in causal order, without duplicates."""
    unique = {(event.stamp, event.host): event for event in events}
    return [unique[key] for key in sorted(unique)]
