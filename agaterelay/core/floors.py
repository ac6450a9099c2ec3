"""The lowest revisions that hosts may serve, recorded by their peers.

Hosts keep no state on disk. A host announces to others which revision it is about to
serve. After a restart it asks them, and serves nothing below the highest answer. A
settled host also answers with its own floor, which passes on what it learned at its own
restart.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MAX_HOSTS = 2048


@attrs.frozen
class Floors:
    """The highest revision that each host was about to serve.

    ``common`` is a lower bound for all hosts, including those not listed.
    """

    by_host: dict[str, int] = attrs.field(factory=dict)
    common: int = 0


@attrs.frozen
class FloorAnswer:
    """A host's answer to another one on the lowest revision that it may serve.

    Attributes:
        witnessed: The highest revision that the asking host was about to serve.
        own: The answering host's own floor, 0 while it is not settled.
        settled: Whether the answering host knows its own floor.
        head_revision: The newest revision that the answering host read from the table.
        head_age_s: The time from the beginning of that read to the answer in seconds,
            None if there was no read.
    """

    witnessed: int = 0
    own: int = 0
    settled: bool = False
    head_revision: int = 0
    head_age_s: float | None = None


def record_floor(floors: Floors, host: str, revision: int) -> Floors:
    """Return the floors with one host's revision; no floor is ever lowered."""
    revision = max(revision, floors.by_host.get(host, 0))
    by_host = {**floors.by_host, host: revision}
    common = floors.common
    if len(by_host) > MAX_HOSTS:
        common = max(common, min(by_host.values()))
    return _without_redundant(by_host, common)


def raise_common_floor(floors: Floors, revision: int) -> Floors:
    """Return the floors with the common floor raised to the given revision."""
    return _without_redundant(floors.by_host, max(revision, floors.common))


def _without_redundant(by_host: dict[str, int], common: int) -> Floors:
    kept = {name: floor for name, floor in by_host.items() if floor > common}
    return Floors(kept, common)


def find_floor(floors: Floors, host: str) -> int:
    """Return the lowest revision that a host may serve, as far as known."""
    return max(floors.by_host.get(host, 0), floors.common)


def floor_from_head(answers: Iterable[FloorAnswer], process_age_s: float) -> int | None:
    """Return the floor from a peer's read of the table.

    A revision is committed before any node serves it, so a read that began after this
    process started covers all revisions that its predecessor served.

    Args:
        answers: The answers to one round of requests.
        process_age_s: This process's age when the round began, in seconds.

    Returns:
        The floor, None if no answer has a read that is recent enough.
    """
    answers = tuple(answers)
    if not any(_is_recent(answer, process_age_s) for answer in answers):
        return None
    return _highest(answers)


def _is_recent(answer: FloorAnswer, process_age_s: float) -> bool:
    return answer.head_age_s is not None and answer.head_age_s < process_age_s


def floor_from_peers(answers: Iterable[FloorAnswer]) -> int | None:
    """Return the floor from all peers that answered.

    Returns:
        The floor, None if no answering peer is settled: peers that have just started
        don't know what this host served.
    """
    answers = tuple(answers)
    if not any(answer.settled for answer in answers):
        return None
    return _highest(answers)


def _highest(answers: tuple[FloorAnswer, ...]) -> int:
    return max(
        max(answer.witnessed, answer.own, answer.head_revision) for answer in answers
    )
