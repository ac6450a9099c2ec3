"""The dissemination tree for revision notifications, and a byte budget."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from agaterelay.core.rendezvous import rank

FANOUT = 4
TREE_KEY = "tree"


def tree_children(members: Iterable[str], origin: str, host: str) -> list[str]:
    """Return the hosts that a host notifies in the tree.

    The tree depends only on the members and the origin, so that successive changes use
    the same connections.

    Args:
        members: The live hosts of the zone, as this host sees them.
        origin: The host at the root.
        host: The host whose children to return.
    """
    others = {name for name in members if name != origin} | {host} - {origin}
    order = [origin, *rank(others, TREE_KEY)]
    first = order.index(host) * FANOUT + 1
    return order[first : first + FANOUT]


@attrs.frozen
class ByteBudget:
    """A token bucket for the bytes that may be sent."""

    rate_bytes_per_s: float
    burst_bytes: float
    available_bytes: float
    refilled_at_s: float


def spend_bytes(
    budget: ByteBudget, size_bytes: int, now_s: float
) -> tuple[ByteBudget, float]:
    """Spend bytes of a budget.

    A message larger than the burst is allowed once the budget is full.

    Returns:
        The new budget and 0.0; or, with nothing spent, the seconds to wait.
    """
    refilled = budget.available_bytes + budget.rate_bytes_per_s * max(
        0.0, now_s - budget.refilled_at_s
    )
    refilled = min(refilled, budget.burst_bytes)
    budget = attrs.evolve(budget, available_bytes=refilled, refilled_at_s=now_s)
    missing_bytes = min(size_bytes, budget.burst_bytes) - refilled
    if missing_bytes > 0:
        return budget, missing_bytes / budget.rate_bytes_per_s
    return attrs.evolve(budget, available_bytes=refilled - size_bytes), 0.0
