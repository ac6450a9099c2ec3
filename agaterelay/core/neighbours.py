"""Choose the hosts that a node keeps a link to.

In a small fleet a node is linked to every host. In a large one it links to a part of
each service's upstreams, most of them in its own availability zone, and to a few hosts
beside that, so that news reaches hosts without upstreams too. The choice is by
rendezvous hashing with the node's own name: stable while the fleet changes, and spread
evenly over all nodes.
"""

from __future__ import annotations

from collections.abc import Iterable

from agaterelay.core.membership import Member
from agaterelay.core.rendezvous import rank

# Availability zones up to this size have every node watch the store; in larger ones a
# few do, and the others hear from them.
MAX_WATCHERS = 8
READERS = 2
# Upstreams of one version of a service: enough to spread load and to outlive a zone.
NEAR_UPSTREAMS = 10
FAR_UPSTREAMS = 6
OTHER_HOSTS = 3


def readers_of(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the hosts of an availability zone that watch the store for it.

    In quick changes readers take in whole documents several times a second and hand
    them on, so that those with the widest links come first.

    Args:
        members: The entries of the hosts of the zone that can be reached.
    """
    link_mbps = {member.host: member.link_mbps for member in members}
    if len(link_mbps) <= MAX_WATCHERS:
        return tuple(link_mbps)
    ranked = rank(list(link_mbps), "reader")
    return tuple(sorted(ranked, key=lambda host: -link_mbps[host])[:READERS])


def wanted_hosts(own: Member, members: Iterable[Member]) -> set[str]:
    """Return the hosts to keep a link to.

    Args:
        own: The entry of the host that asks.
        members: All known hosts; its own entry among them is left out.
    """
    others = [item for item in members if item.usable and item.host != own.host]
    wanted = set(rank([item.host for item in others], own.host)[:OTHER_HOSTS])
    by_version: dict[tuple[str, str], list[Member]] = {}
    for member in others:
        for upstream in member.upstreams:
            key = (upstream.service, upstream.version)
            by_version.setdefault(key, []).append(member)
    for candidates in by_version.values():
        wanted |= _choose(own, candidates)
    return wanted


def _choose(own: Member, candidates: list[Member]) -> set[str]:
    most = NEAR_UPSTREAMS + FAR_UPSTREAMS
    if len(candidates) <= most:
        return {member.host for member in candidates}
    near = [item.host for item in candidates if item.zone == own.zone]
    far = [item.host for item in candidates if item.zone != own.zone]
    near = rank(near, own.host)[: max(NEAR_UPSTREAMS, most - len(far))]
    return {*near, *rank(far, own.host)[: most - len(near)]}
