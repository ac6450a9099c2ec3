"""Split calls by weight, evenly over time rather than by chance."""

from __future__ import annotations

from collections.abc import Sequence

import attrs


@attrs.define
class Split:
    """How far each part is ahead of or behind its share."""

    parts: tuple[tuple[str, int], ...]
    credits: list[int] = attrs.field(
        default=attrs.Factory(lambda self: [0] * len(self.parts), takes_self=True)
    )


def next_part(split: Split) -> str:
    """Return the part that the next call goes to (smooth weighted round robin)."""
    total = 0
    best = 0
    for index, (_, weight) in enumerate(split.parts):
        split.credits[index] += weight
        total += weight
        if split.credits[index] > split.credits[best]:
            best = index
    split.credits[best] -= total
    return split.parts[best][0]


def spread_from(parts: Sequence[tuple[str, int]], start: int) -> Split:
    """Return a split that begins at one of its turns, so that nodes differ."""
    split = Split(tuple(parts))
    total = sum(weight for _, weight in split.parts)
    for _ in range(start % total if total else 0):
        next_part(split)
    return split
