"""The data types of the configuration, as operators write it and nodes serve it.

All types are immutable. Parsed objects keep their place in the source text, so that a
later finding can still name the line that an operator wrote.
"""

from __future__ import annotations

from datetime import datetime
from enum import StrEnum

import attrs


@attrs.frozen
class Place:
    """A position in a source text; lines and columns count from 1."""

    filename: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        return f"{self.filename}:{self.line}:{self.column}"


@attrs.frozen
class Finding:
    """An error in an input, with its place and section."""

    place: Place
    message: str
    section: str = ""

    def __str__(self) -> str:
        section = f" [{self.section}]" if self.section else ""
        return f"{self.place}:{section} {self.message}"


class Priority(StrEnum):
    """The order in which calls are served when an upstream is full."""

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
    one call is sent to. ``target_latency_ms`` is the latency that the operator aims at.
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
    public: bool = False


@attrs.frozen
class Workspace:
    """A customer of the operator, whose callers authenticate with its keys.

    Attributes:
        key_digests: The SHA-256 digests of its keys.
        rank: Replaces the rank of the routes for its calls; None keeps theirs.
        rate_per_s: The calls per second that it may run on all hosts together, 0 for no
            limit.
        burst: How many calls it may run beyond that at once.
    """

    name: str
    key_digests: tuple[bytes, ...] = attrs.field(default=(), repr=False)
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class ColdLimit:
    """What upstreams of a service accept while they are cold.

    ``duration_s`` is how long they are cold after their start, ``rate_per_s`` the calls
    per second that they accept until then.
    """

    duration_s: float
    rate_per_s: float


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of a caller's requests and on idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RouteTable:
    """A complete configuration as a deployed node serves it.

    ``revision`` orders configurations. ``workspaces`` is None if callers need no keys.
    ``cold_limits`` are those of the services whose cold upstreams accept fewer calls.
    ``source`` is the document as the operator wrote it, which is passed on to other nodes
    unchanged.
    """

    revision: int
    routes: tuple[Route, ...] = ()
    health_paths: dict[str, str] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    workspaces: tuple[Workspace, ...] | None = None
    cold_limits: dict[str, ColdLimit] = attrs.field(factory=dict)
    source: bytes = attrs.field(default=b"", repr=False, eq=False)


@attrs.frozen
class Move:
    """A planned change of a service from one upstream version to another.

    Exactly one of ``finish_by`` and ``finish_within_s`` is set; the latter counts
    from the commit that added the move.
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
    """The state of a move."""

    WAITING = "waiting"
    STEPPING = "stepping"
    BAKING = "baking"
    DONE = "done"
    REVERTED = "reverted"


FINAL_MOVE_STATES = frozenset({MoveState.DONE, MoveState.REVERTED})


@attrs.frozen
class MoveProgress:
    """The progress of a move; each change of it is committed as a new revision.

    ``share_permille`` is the share of the service's calls that go to the new version.
    ``step`` counts the changes. A change is planned against the previous one and has no
    effect if another one was committed meanwhile. ``cleared`` counts false alarms.
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
        """A name that distinguishes this move from a later one of the same name."""
        return f"{self.name}:{int(self.started_at.timestamp() * 1000)}"

    @property
    def trial(self) -> str:
        """The trial of evidence and brakes; clearing an alarm begins a new one."""
        return f"{self.identity}:{self.cleared}"


@attrs.frozen
class SectionRef:
    """A section of a manifest; its body is the object stored under the digest."""

    name: str
    owner: str
    digest: str


@attrs.frozen
class ChangeRecord:
    """An accepted change; a manifest keeps the newest ones."""

    change_id: str
    revision: int
    section: str
    owner: str
    committed_at: datetime
    digest: str = ""
    note: str = ""


@attrs.frozen
class Manifest:
    """The sections, moves and recent changes of one revision."""

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
    """A complete, validated revision, by which a node routes calls."""

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
