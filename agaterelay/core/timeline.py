"""Numbered events with hybrid logical clock stamps, kept in a bounded ring.

A stamp is never behind the stamp of any message that led to it, so events of all
processes merge into an order that agrees with cause and effect.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from datetime import datetime
from typing import Any

import attrs

RING_SIZE = 4096
MAX_EVENTS = 2000
MAX_AHEAD_US = 60_000_000
ACTIVATED_NAME = "revision_activated"
LIMITED_EVENTS_PER_S = 20


@attrs.frozen(order=True)
class Stamp:
    """A hybrid logical clock stamp: wall time in microseconds, then a counter."""

    wall_us: int = 0
    counter: int = 0


@attrs.frozen
class Event:
    """One thing that happened on a host."""

    stamp: Stamp
    host: str
    number: int
    name: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class EventsQuery:
    """Which events to show; an empty text or a zero leaves a filter out.

    ``change`` and ``revision`` belong together: an event passes if it names either, or
    if it is the first on its host to activate that revision or a later one.
    """

    after: Stamp = Stamp()
    most: int = MAX_EVENTS
    change: str = ""
    revision: int = 0
    move: str = ""
    request: str = ""
    number: int = 0


@attrs.define
class Timeline:
    """One process's clock and its newest events."""

    host: str
    now: Callable[[], datetime]
    last: Stamp = Stamp()
    ring: deque[Event] = attrs.field(factory=lambda: deque(maxlen=RING_SIZE))


def tick(timeline: Timeline, seen: Stamp = Stamp()) -> Stamp:
    """Advance the clock past all stamps seen, and return the new one.

    A stamp that is far ahead of the wall clock is passed over, since one host with a
    wrong clock would otherwise take the clocks of all with it.
    """
    wall_us = int(timeline.now().timestamp() * 1_000_000)
    newest = timeline.last
    if seen.wall_us <= wall_us + MAX_AHEAD_US:
        newest = max(newest, seen)
    if wall_us > newest.wall_us:
        timeline.last = Stamp(wall_us, 0)
    else:
        timeline.last = Stamp(newest.wall_us, newest.counter + 1)
    return timeline.last


def record(timeline: Timeline, number: int, name: str, fields: dict[str, Any]) -> Event:
    """Record an event at the present stamp."""
    event = Event(tick(timeline), timeline.host, number, name, fields)
    timeline.ring.append(event)
    return event


def select_events(events: Iterable[Event], query: EventsQuery) -> list[Event]:
    """Return the newest events of one process that a query asks for, oldest first."""
    selected = []
    activated = False
    for event in events:
        reaches = _reaches_revision(event, query.revision)
        first = reaches and not activated
        activated = activated or reaches
        if event.stamp > query.after and _passes(event, query, first):
            selected.append(event)
    most = min(query.most, MAX_EVENTS)
    return selected[-most:] if most > 0 else []


def _reaches_revision(event: Event, revision: int) -> bool:
    if not revision or event.name != ACTIVATED_NAME:
        return False
    return int(event.fields.get("revision", 0)) >= revision


def _passes(event: Event, query: EventsQuery, first_activation: bool) -> bool:
    fields = event.fields
    if query.number and event.number != query.number:
        return False
    if query.request and fields.get("request_id") != query.request:
        return False
    change = str(fields.get("change", ""))
    if query.move and fields.get("move") != query.move:
        # The revisions of a move's steps are named after it.
        if not change.startswith(f"{query.move}:"):
            return False
    if not query.change and not query.revision:
        return True
    names_change = bool(query.change) and change == query.change
    names_revision = bool(query.revision) and fields.get("revision") == query.revision
    return names_change or names_revision or first_activation


@attrs.define
class RateLimit:
    """How many events of a chatty kind were recorded in the present second."""

    second: int = 0
    recorded: int = 0
    suppressed: int = 0


def take_place(
    limit: RateLimit, now_s: float, most_per_s: int = LIMITED_EVENTS_PER_S
) -> int | None:
    """Ask whether one more event may be recorded in this second.

    Args:
        limit: What was recorded so far.
        now_s: The present time.
        most_per_s: How many events a second are recorded.

    Returns:
        How many were left out since the last one that was recorded, None where this
        one is to be left out, too.
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
    """Return the events of many processes in causal order, doubles removed."""
    unique = {(event.stamp, event.host): event for event in events}
    return [unique[key] for key in sorted(unique)]
