"""The data types at the heart: what operators write, and what a node serves.

Everything here is immutable. A parsed thing keeps its place in the source text, so
that a finding made much later can still point at the line an operator wrote.
"""

from __future__ import annotations

from datetime import datetime
from enum import StrEnum

import attrs


@attrs.frozen
class Place:
    """Where something stands in a source text; lines and columns count from 1."""

    filename: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        return f"{self.filename}:{self.line}:{self.column}"


@attrs.frozen
class Finding:
    """One thing wrong with an input, with its place and the section it is in."""

    place: Place
    message: str
    section: str = ""

    def __str__(self) -> str:
        section = f" [{self.section}]" if self.section else ""
        return f"{self.place}:{section} {self.message}"


class Priority(StrEnum):
    """Which calls go first when an upstream is full."""

    INTERACTIVE = "interactive"
    BULK = "bulk"


@attrs.frozen
class Owner:
    """A team that owns sections, with the SHA-256 of its key in hexadecimal."""

    name: str
    key_sha256: str
    place: Place


@attrs.frozen
class Service:
    """A named set of interchangeable upstreams and the version that serves it."""

    name: str
    version: str
    place: Place


@attrs.frozen
class Route:
    """A path prefix and methods that lead to a service.

    A route that is not idempotent runs each call at most once. ``host`` restricts it to
    one host name, ``parts`` split it between services by weight, ``rank`` orders calls
    at a full upstream (0 goes first), and ``max_attempts`` bounds the upstreams that
    one call is sent to. ``target_latency_ms`` is what the operator hopes for.
    """

    name: str
    path: str
    service: str
    place: Place
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = False
    timeout_ms: int = 2000
    priority: Priority = Priority.INTERACTIVE
    host: str = ""
    parts: tuple[tuple[str, int], ...] = ()
    rank: int = 1
    max_attempts: int = 2
    target_latency_ms: int = 1000


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RouteTable:
    """A whole configuration as a deployed node serves it.

    ``revision`` orders configurations; ``source`` is the document as the operator
    wrote it, to be handed on unchanged.
    """

    revision: int
    routes: tuple[Route, ...] = ()
    health_paths: dict[str, str] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    source: bytes = attrs.field(default=b"", repr=False, eq=False)


@attrs.frozen
class Move:
    """A planned change of a service from one upstream version to another.

    Exactly one of ``finish_by`` and ``finish_within_s`` is set; the latter counts
    from the commit that brought the move in.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    place: Place
    finish_by: datetime | None = None
    finish_within_s: int | None = None
    bake_s: int = 30


@attrs.frozen
class Section:
    """The part of the document that one owner writes."""

    name: str
    owner: str
    place: Place
    text: str
    owners: tuple[Owner, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    moves: tuple[Move, ...] = ()


class MoveState(StrEnum):
    """Where a move stands."""

    WAITING = "waiting"
    STEPPING = "stepping"
    BAKING = "baking"
    DONE = "done"
    REVERTED = "reverted"


FINAL_MOVE_STATES = frozenset({MoveState.DONE, MoveState.REVERTED})


@attrs.frozen
class MoveProgress:
    """How far a move has come; every change of it is a new revision.

    ``share_permille`` is the part of the service's calls that go to the new version.
    ``step`` counts the changes; a change is planned against the one before it and has
    no effect on any other. ``cleared`` counts the alarms that turned out to be false.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    finish_by: datetime
    started_at: datetime
    state: MoveState = MoveState.WAITING
    share_permille: int = 0
    stepped_at: datetime | None = None
    finished_at: datetime | None = None
    reason: str = ""
    first_failure_at: datetime | None = None
    calls_harmed: int = 0
    late: bool = False
    late_reason: str = ""
    step: int = 0
    cleared: int = 0

    @property
    def identity(self) -> str:
        """What tells this move from a later one of the same name."""
        return f"{self.name}:{int(self.started_at.timestamp() * 1000)}"

    @property
    def trial(self) -> str:
        """What evidence and brakes belong to; a cleared alarm begins a new trial."""
        return f"{self.identity}:{self.cleared}"


@attrs.frozen
class SectionRef:
    """A section of a manifest: its body is the object of that digest."""

    name: str
    owner: str
    digest: str


@attrs.frozen
class ChangeRecord:
    """One accepted change, kept in the manifest for a while."""

    change_id: str
    revision: int
    section: str
    owner: str
    committed_at: datetime
    digest: str = ""
    note: str = ""


@attrs.frozen
class Manifest:
    """What one revision consists of."""

    revision: int
    committed_at: datetime
    sections: tuple[SectionRef, ...] = ()
    moves: tuple[MoveProgress, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()


@attrs.frozen
class Head:
    """The head row of the table: the newest revision and its manifest's digest."""

    revision: int
    digest: str


@attrs.frozen
class Snapshot:
    """A complete, checked revision; the one thing that a node routes by."""

    manifest: Manifest
    digest: str
    sections: tuple[Section, ...] = ()
    owners: dict[str, Owner] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    routes: tuple[Route, ...] = ()
    moves: dict[str, Move] = attrs.field(factory=dict)
    progress: dict[str, MoveProgress] = attrs.field(factory=dict)

    @property
    def revision(self) -> int:
        """The revision's number."""
        return self.manifest.revision
