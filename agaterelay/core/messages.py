"""What nodes say to each other, as plain values; adapters put them on the wire."""

from __future__ import annotations

import attrs

from agaterelay.core.evidence import Report
from agaterelay.core.membership import Member
from agaterelay.core.model import Head
from agaterelay.core.timeline import Event, Stamp


@attrs.frozen
class Brake:
    """A trial of a move whose new version a node sends no more work."""

    trial: str
    reason: str
    first_failure_ms: int

    @property
    def move(self) -> str:
        """The move's name."""
        return self.trial.partition(":")[0]


@attrs.frozen
class Exchange:
    """A probe, or its answer, with what the sender has news of.

    ``pair`` is the incarnation and sequence of the sender's own entry, which itself
    travels only as an update. ``want_entry`` asks for the other's entry, ``want_all``
    for the other's whole view, and ``fingerprint`` for what the views differ in.
    """

    stamp: Stamp
    sender: str
    pair: tuple[int, int]
    revision: Head
    updates: tuple[Member, ...] = ()
    brakes: tuple[Brake, ...] = ()
    want_entry: bool = False
    want_all: bool = False
    fingerprint: tuple[int, ...] = ()
    floor: int = 0


@attrs.frozen
class Notify:
    """News of a revision on its way down the tree."""

    stamp: Stamp
    sender: str
    origin: str
    revision: Head


@attrs.frozen
class Fetched:
    """Bodies by digest; with a retry time where the other is too busy."""

    bodies: dict[str, bytes] = attrs.field(factory=dict)
    retry_after_s: float = 0.0


@attrs.frozen
class EvidenceReport:
    """What one node saw of a trial, and the brakes it holds on it."""

    report: Report
    brakes: tuple[Brake, ...] = ()


@attrs.frozen
class EventsReport:
    """A part of one node's events."""

    events: tuple[Event, ...] = ()


@attrs.frozen
class NodeStatus:
    """What one node says of itself; times are in milliseconds since 1970.

    A node whose ``known_revision`` is above its ``active_revision`` is behind.
    """

    host: str
    zone: str
    active_revision: int
    held_revision: int
    platform_up: bool
    stopping: bool
    activated_ms: int
    known_revision: int = 0
