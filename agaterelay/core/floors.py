"""What hosts remember of each other's revisions, for those that restart without disk.

A host tells others which revision it is about to serve. After a restart it asks them,
and serves nothing below the highest answer. A settled host also answers with its own
floor, so that what it learned when it restarted itself is passed on.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MAX_HOSTS = 2048


@attrs.frozen
class Floors:
    """The highest revision that each host was about to serve.

    ``common`` holds for all hosts, also for those that are not listed.
    """

    by_host: dict[str, int] = attrs.field(factory=dict)
    common: int = 0


@attrs.frozen
class FloorAnswer:
    """What a host tells another one of the revisions that it must not go below.

    Attributes:
        witnessed: The highest revision that the asking host was about to serve.
        own: The answering host's own floor, 0 while it is not settled.
        settled: Whether the answering host knows its own floor.
        head_revision: The newest revision that the answering host read in the table.
        head_age_s: How long before the answer that read began, in seconds, None
            where there was none.
    """

    witnessed: int = 0
    own: int = 0
    settled: bool = False
    head_revision: int = 0
    head_age_s: float | None = None


def remember(floors: Floors, host: str, revision: int) -> Floors:
    """Return the floors with one host's revision; never lowers any."""
    revision = max(revision, floors.by_host.get(host, 0))
    by_host = {**floors.by_host, host: revision}
    common = floors.common
    if len(by_host) > MAX_HOSTS:
        common = max(common, min(by_host.values()))
    return _without_redundant(by_host, common)


def raise_common(floors: Floors, revision: int) -> Floors:
    """Return the floors where no host is below the given revision."""
    return _without_redundant(floors.by_host, max(revision, floors.common))


def _without_redundant(by_host: dict[str, int], common: int) -> Floors:
    kept = {name: floor for name, floor in by_host.items() if floor > common}
    return Floors(kept, common)


def recall(floors: Floors, host: str) -> int:
    """Return the lowest revision that a host may serve, as far as is known."""
    return max(floors.by_host.get(host, 0), floors.common)


def floor_from_head(answers: Iterable[FloorAnswer], process_age_s: float) -> int | None:
    """Return the floor from a peer's read of the table.

    A revision is committed before anybody serves it, so a read that began after this
    process did covers all that its predecessor served.

    Args:
        answers: The answers to one round of questions.
        process_age_s: This process's age when the round began, in seconds.

    Returns:
        The floor, None where no answer has a read that is recent enough.
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
        The floor, None where nobody who answered is settled: peers that have just
        started themselves cannot tell what this host served.
    """
    answers = tuple(answers)
    if not any(answer.settled for answer in answers):
        return None
    return _highest(answers)


def _highest(answers: tuple[FloorAnswer, ...]) -> int:
    return max(
        max(answer.witnessed, answer.own, answer.head_revision) for answer in answers
    )
