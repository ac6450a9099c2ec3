"""Shape the tree along which news of a revision goes through a zone."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from agaterelay.core.rendezvous import rank

FANOUT = 4
TREE_KEY = "tree"


def children(members: Iterable[str], origin: str, host: str) -> list[str]:
    """Return the hosts that a host notifies.

    The tree depends on the members and the origin alone, so that one change after the
    other goes over the same connections.

    Args:
        members: The live hosts of the zone, as this host sees them.
        origin: The host at the root.
        host: The host that asks.
    """
    others = {name for name in members if name != origin} | {host} - {origin}
    order = [origin, *rank(others, TREE_KEY)]
    first = order.index(host) * FANOUT + 1
    return order[first : first + FANOUT]


@attrs.frozen
class Budget:
    """How many bytes may be handed out now; it refills with time."""

    rate_bytes_per_s: float
    burst_bytes: float
    available_bytes: float
    refilled_s: float


def spend(budget: Budget, size_bytes: int, now_s: float) -> tuple[Budget, float]:
    """Take bytes out of a budget.

    An answer larger than the burst is let through once the budget is full.

    Returns:
        The budget, and 0; or how long to wait in seconds, with nothing taken.
    """
    refilled = budget.available_bytes + budget.rate_bytes_per_s * max(
        0.0, now_s - budget.refilled_s
    )
    refilled = min(refilled, budget.burst_bytes)
    budget = attrs.evolve(budget, available_bytes=refilled, refilled_s=now_s)
    lacking = min(size_bytes, budget.burst_bytes) - refilled
    if lacking > 0:
        return budget, lacking / budget.rate_bytes_per_s
    return attrs.evolve(budget, available_bytes=refilled - size_bytes), 0.0
