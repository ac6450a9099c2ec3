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


@attrs.define
class Timeline:
    """One process's clock and its newest events."""

    host: str
    now: Callable[[], datetime]
    last: Stamp = Stamp()
    ring: deque[Event] = attrs.field(factory=lambda: deque(maxlen=RING_SIZE))


def tick(timeline: Timeline, seen: Stamp = Stamp()) -> Stamp:
    """Advance the clock past all stamps seen, and return the new one."""
    wall_us = int(timeline.now().timestamp() * 1_000_000)
    newest = max(timeline.last, seen)
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


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return the events of many processes in causal order, doubles removed."""
    unique = {(event.stamp, event.host): event for event in events}
    return [unique[key] for key in sorted(unique)]
