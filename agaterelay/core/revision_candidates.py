"""Choose the revision to fetch next among those known to exist.

The newest comes first. Older ones stay candidates as long as the newest cannot be
fetched, since a peer may hold them completely.
"""

from __future__ import annotations

import attrs

from agaterelay.core.model import Head

MAX_CANDIDATES = 4
MAX_CANDIDATE_SOURCES = 8
MAX_REFUSED_DIGESTS = 64


@attrs.frozen
class Candidate:
    """A revision known to exist and not yet held.

    ``sources`` are hosts that hold it, the latest notification first. ``origin`` is the
    root of the broadcast tree of its notification, empty if there was none.
    """

    head: Head
    sources: tuple[str, ...] = ()
    origin: str = ""


@attrs.frozen
class RevisionCandidates:
    """The candidates, the newest first, and the digests of refused revisions."""

    candidates: tuple[Candidate, ...] = ()
    refused: tuple[str, ...] = ()

    @property
    def newest_revision(self) -> int:
        """The highest revision among the candidates, 0 for none."""
        return self.candidates[0].head.revision if self.candidates else 0


def add_candidate(
    state: RevisionCandidates, candidate: Candidate, held_revision: int
) -> RevisionCandidates:
    """Return the candidates with a further one, merged with a known one."""
    if (
        candidate.head.revision <= held_revision
        or candidate.head.digest in state.refused
    ):
        return state
    others = [item for item in state.candidates if item.head != candidate.head]
    for known in state.candidates:
        if known.head == candidate.head:
            candidate = _merge_sources(known, candidate)
    order = sorted([candidate, *others], key=lambda item: -item.head.revision)
    return attrs.evolve(state, candidates=tuple(order[:MAX_CANDIDATES]))


def _merge_sources(known: Candidate, candidate: Candidate) -> Candidate:
    sources = dict.fromkeys((*candidate.sources, *known.sources))
    return Candidate(
        known.head,
        tuple(sources)[:MAX_CANDIDATE_SOURCES],
        known.origin or candidate.origin,
    )


def refuse_revision(state: RevisionCandidates, digest: str) -> RevisionCandidates:
    """Return the candidates without an invalid revision, which is never added again."""
    kept = tuple(item for item in state.candidates if item.head.digest != digest)
    others = tuple(item for item in state.refused if item != digest)
    return RevisionCandidates(kept, (*others, digest)[-MAX_REFUSED_DIGESTS:])


def remove_older(state: RevisionCandidates, held_revision: int) -> RevisionCandidates:
    """Return the candidates that are newer than the held revision."""
    kept = tuple(
        item for item in state.candidates if item.head.revision > held_revision
    )
    return attrs.evolve(state, candidates=kept)
