"""The outcomes of a call, as a caller can distinguish them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the upstream."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class NotRun:
    """The call was refused: it did not run, and no attempt with its key ever will.

    ``retry_after_s`` is None if it is of no use to try again.
    """

    reason: str
    retry_after_s: float | None = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run, be running, or run on another attempt with its key.

    ``sent`` is False if this attempt certainly did not reach the node that the key names.
    Only a caller that sent no other attempt may conclude that the call did not run.
    ``timed_out`` is set if no answer arrived before the deadline.
    """

    reason: str
    sent: bool = True
    timed_out: bool = False


Outcome = Answered | NotRun | Unknown
