"""Shape the tree along which news of a revision goes through a zone."""

from __future__ import annotations

from collections.abc import Iterable

from agaterelay.core.rendezvous import rank

FANOUT = 4


def children(members: Iterable[str], key: str, origin: str, host: str) -> list[str]:
    """Return the hosts that a host notifies.

    Args:
        members: The live hosts of the zone, as this host sees them.
        key: What the news is, so that each one takes another shape of tree.
        origin: The host at the root.
        host: The host that asks.
    """
    others = {name for name in members if name != origin} | {host} - {origin}
    order = [origin, *rank(others, key)]
    first = order.index(host) * FANOUT + 1
    return order[first : first + FANOUT]
