"""Whom a host probes, how often news is repeated, and when silence means death."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil, log2

from agaterelay.core.membership import Member, Members, MemberState
from agaterelay.core.rendezvous import rank, score

NEIGHBOURS = 5
_RING_SIZE = 1 << 64


def neighbours(hosts: Iterable[str], own: str) -> list[str]:
    """Return the hosts of a zone that a host probes: a successor on each ring.

    Each ring is another order of the same hosts. So every host has a stable, small
    set of neighbours, every host is somebody's neighbour, and news takes a number of
    hops that grows with the logarithm of the zone's size.
    """
    others = sorted(set(hosts) - {own})
    if len(others) <= NEIGHBOURS:
        return others
    chosen: list[str] = []
    for ring in range(NEIGHBOURS):
        left = [host for host in others if host not in chosen]
        chosen.append(_successor(left, own, f"ring {ring}"))
    return chosen


def _successor(hosts: list[str], own: str, ring: str) -> str:
    start = _position(own, ring)
    return min(hosts, key=lambda host: (_position(host, ring) - start) % _RING_SIZE)


def _position(host: str, ring: str) -> int:
    return int.from_bytes(score(host, ring))


def far_host(members: Members, zone: str, own: str, failures: int) -> str | None:
    """Return the host of another zone that a host probes.

    Args:
        members: The view.
        zone: The other zone.
        own: The host that asks.
        failures: How many probes in a row found nobody in that zone; each one
            moves on to the next host.

    Returns:
        The host, None where the zone has none.
    """
    hosts = [item.host for item in members.values() if item.zone == zone]
    usable = [host for host in hosts if members[host].usable]
    order = rank(usable or hosts, own)
    return order[failures % len(order)] if order else None


def repeats_of(size: int) -> int:
    """Return how often a host repeats news in a fleet of a size."""
    return ceil(log2(size + 1)) + 1


def may_declare_dead(
    members: Members, zone: str, recently_dead: int, in_contact: bool
) -> bool:
    """Return whether a suspect of a zone may be declared dead.

    A host that hears of nobody, or that would be left with a sliver of its zone, is
    more likely cut off itself than the only survivor.

    Args:
        members: The view.
        zone: The zone of the suspect, which is this host's own.
        recently_dead: How many hosts of the zone died a short while ago.
        in_contact: Whether any host was heard of lately.
    """
    states = [item.state for item in members.values() if item.zone == zone]
    alive = states.count(MemberState.ALIVE)
    known = alive + states.count(MemberState.SUSPECT) + recently_dead
    return in_contact and 2 * alive >= known


def lost_hosts(members: Members) -> list[Member]:
    """Return the hosts that fell silent without leaving, which may come back."""
    return [item for item in members.values() if item.state is MemberState.DEAD]
