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
    """Refused, and certain: the call did not run, and no try of its key ever will."""

    reason: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run, be running, or run on another try of its key.

    ``sent`` is False where this one try certainly did not reach the key's home. Only a
    caller who sent no other try may conclude from it that the call did not run.
    ``timed_out`` tells that no answer came before the deadline.
    """

    reason: str
    sent: bool = True
    timed_out: bool = False


Outcome = Answered | NotRun | Unknown
