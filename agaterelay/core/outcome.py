"""How a call ended; the three kinds that a caller can tell apart."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class NotRun:
    """Refused, and certain: no byte of the request reached an upstream."""

    reason: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; nobody will run it again."""

    reason: str


Outcome = Answered | NotRun | Unknown
