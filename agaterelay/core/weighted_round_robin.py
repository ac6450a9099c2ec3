"""Smooth weighted round robin: split calls by weight, evenly over time."""

from __future__ import annotations

from collections.abc import Sequence

import attrs


@attrs.define
class WeightedRoundRobin:
    """The parts with their weights, and the credit of each part.

    A part's credit is how far it is behind its weight, negative where it is ahead.
    """

    parts: tuple[tuple[str, int], ...]
    credits: list[int] = attrs.field(
        default=attrs.Factory(lambda self: [0] * len(self.parts), takes_self=True)
    )


def choose_next(split: WeightedRoundRobin) -> str:
    """Return the part that the next call goes to."""
    total = 0
    best = 0
    for index, (_, weight) in enumerate(split.parts):
        split.credits[index] += weight
        total += weight
        if split.credits[index] > split.credits[best]:
            best = index
    split.credits[best] -= total
    return split.parts[best][0]


def make_weighted_round_robin(
    parts: Sequence[tuple[str, int]], start: int
) -> WeightedRoundRobin:
    """Return a split advanced by ``start`` turns, so that nodes are out of phase."""
    split = WeightedRoundRobin(tuple(parts))
    total = sum(weight for _, weight in split.parts)
    for _ in range(start % total if total else 0):
        choose_next(split)
    return split
