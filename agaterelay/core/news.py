"""Which revision to fetch next, out of all that a node has heard of.

The newest goes first. Older ones stay candidates for as long as the newest cannot be
had, since a peer may hold them complete.
"""

from __future__ import annotations

import attrs

from agaterelay.core.model import Head

MAX_CANDIDATES = 4
MAX_SOURCES = 8
MAX_REFUSED = 64


@attrs.frozen
class Candidate:
    """A revision that exists; ``sources`` are hosts that hold it, newest word first.

    ``origin`` is the root of the tree that the news came down, empty for none.
    """

    head: Head
    sources: tuple[str, ...] = ()
    origin: str = ""


@attrs.frozen
class News:
    """The candidates, the newest first, and the digests that were refused."""

    candidates: tuple[Candidate, ...] = ()
    refused: tuple[str, ...] = ()

    @property
    def newest_revision(self) -> int:
        """The highest revision among the candidates, 0 for none."""
        return self.candidates[0].head.revision if self.candidates else 0


def hear(news: News, heard: Candidate, held_revision: int) -> News:
    """Return the news with a candidate that was heard of."""
    if heard.head.revision <= held_revision or heard.head.digest in news.refused:
        return news
    others = [item for item in news.candidates if item.head != heard.head]
    for known in news.candidates:
        if known.head == heard.head:
            heard = _merge(known, heard)
    order = sorted([heard, *others], key=lambda item: -item.head.revision)
    return attrs.evolve(news, candidates=tuple(order[:MAX_CANDIDATES]))


def _merge(known: Candidate, heard: Candidate) -> Candidate:
    sources = dict.fromkeys((*heard.sources, *known.sources))
    return Candidate(
        known.head, tuple(sources)[:MAX_SOURCES], known.origin or heard.origin
    )


def refuse(news: News, digest: str) -> News:
    """Return the news without a revision that is invalid, for good."""
    kept = tuple(item for item in news.candidates if item.head.digest != digest)
    others = tuple(item for item in news.refused if item != digest)
    return News(kept, (*others, digest)[-MAX_REFUSED:])


def drop_older(news: News, held_revision: int) -> News:
    """Return the news without what is not newer than the revision held."""
    kept = tuple(item for item in news.candidates if item.head.revision > held_revision)
    return attrs.evolve(news, candidates=kept)
