"""Messages between nodes as plain values; adapters encode them for the wire."""

from __future__ import annotations

import attrs

from agaterelay.core.evidence import Report
from agaterelay.core.membership import Member
from agaterelay.core.model import Head
from agaterelay.core.timeline import Event, Stamp


@attrs.frozen
class Brake:
    """A trial of a move whose new version gets no further calls."""

    trial: str
    reason: str
    first_failure_ms: int

    @property
    def move(self) -> str:
        """The move's name."""
        return self.trial.partition(":")[0]


@attrs.frozen
class Exchange:
    """A gossip probe or its answer, with the sender's newest membership updates.

    ``pair`` is the incarnation and sequence of the sender's own member record, which is
    itself sent only as an update. ``want_entry`` requests the receiver's member record,
    ``want_all`` its complete view, and ``fingerprint`` the differences of the views.
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
    """A revision notification, passed down the broadcast tree."""

    stamp: Stamp
    sender: str
    origin: str
    revision: Head


@attrs.frozen
class Fetched:
    """Bodies by digest; ``retry_after_s`` is set if the sender was overloaded."""

    bodies: dict[str, bytes] = attrs.field(factory=dict)
    retry_after_s: float = 0.0


@attrs.frozen
class EvidenceReport:
    """One node's evidence on a trial, and its brakes on that trial."""

    report: Report
    brakes: tuple[Brake, ...] = ()


@attrs.frozen
class EventsReport:
    """Selected events of one node."""

    events: tuple[Event, ...] = ()


@attrs.frozen
class NodeStatus:
    """A node's own status; times are in milliseconds since 1970.

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
