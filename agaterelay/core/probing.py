"""Failure detection: which hosts to probe, and when to declare a suspect dead."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil, log2

from agaterelay.core.membership import Member, Members, MemberState
from agaterelay.core.rendezvous import rank, score

NEIGHBOUR_COUNT = 5
_RING_SIZE = 1 << 64


def choose_neighbours(hosts: Iterable[str], own: str) -> list[str]:
    """Return the hosts of a zone that a host probes: a successor on each ring.

    Each ring orders the same hosts differently. So every host has a small, stable set of
    neighbours, every host is a neighbour of another one, and an update reaches the zone
    in a number of hops that grows with the logarithm of its size.
    """
    others = sorted(set(hosts) - {own})
    if len(others) <= NEIGHBOUR_COUNT:
        return others
    chosen: list[str] = []
    for ring in range(NEIGHBOUR_COUNT):
        remaining = [host for host in others if host not in chosen]
        chosen.append(_successor(remaining, own, f"ring {ring}"))
    return chosen


def _successor(hosts: list[str], own: str, ring: str) -> str:
    start = _position(own, ring)
    return min(hosts, key=lambda host: (_position(host, ring) - start) % _RING_SIZE)


def _position(host: str, ring: str) -> int:
    return int.from_bytes(score(host, ring))


def choose_remote_host(
    members: Members, zone: str, own: str, failures: int
) -> str | None:
    """Return the host of another zone that a host probes.

    Args:
        members: The membership view.
        zone: The other zone.
        own: This host.
        failures: How many probes in a row reached no host in that zone; each one
            selects the next host.

    Returns:
        The host, None if the zone has none.
    """
    hosts = [item.host for item in members.values() if item.zone == zone]
    usable = [host for host in hosts if members[host].usable]
    order = rank(usable or hosts, own)
    return order[failures % len(order)] if order else None


def gossip_repeat_count(size: int) -> int:
    """Return how often a host gossips an update in a fleet of the given size."""
    return ceil(log2(size + 1)) + 1


def may_declare_dead(
    members: Members, zone: str, recently_dead: int, in_contact: bool
) -> bool:
    """Return whether a suspect of a zone may be declared dead.

    A host that receives nothing, or that would keep only a small part of its zone, is
    more likely to be partitioned itself than to be the only survivor.

    Args:
        members: The membership view.
        zone: The zone of the suspect, which is this host's own.
        recently_dead: How many hosts of the zone were declared dead recently.
        in_contact: Whether any host was in contact recently.
    """
    states = [item.state for item in members.values() if item.zone == zone]
    alive = states.count(MemberState.ALIVE)
    known = alive + states.count(MemberState.SUSPECT) + recently_dead
    return in_contact and 2 * alive >= known


def find_dead_members(members: Members) -> list[Member]:
    """Return the members declared dead, which did not leave and may come back."""
    return [item for item in members.values() if item.state is MemberState.DEAD]
