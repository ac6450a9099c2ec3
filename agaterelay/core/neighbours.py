"""Choose the hosts that a node keeps a link to.

In a small fleet a node is linked to every host. In a large one it is linked to a part of
each service's upstreams, most of them in its own availability zone, and to a few further
hosts, so that updates reach hosts without upstreams too. The choice is by rendezvous
hashing with the node's own name: stable while the fleet changes, and spread evenly over
all nodes.
"""

from __future__ import annotations

from collections.abc import Iterable

from agaterelay.core.membership import Member
from agaterelay.core.rendezvous import rank

# In availability zones up to this size every node watches the store; in larger ones a few
# readers do and notify the others.
MAX_SMALL_ZONE_HOSTS = 8
READER_COUNT = 2
READER_KEY = "reader"
# Linked upstreams of one version of a service: enough to spread load and to survive the
# loss of a zone.
NEAR_UPSTREAM_COUNT = 10
FAR_UPSTREAM_COUNT = 6
OTHER_HOST_COUNT = 3


def choose_readers(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the hosts of an availability zone that watch the store for it.

    During frequent changes readers fetch whole documents several times a second and
    forward them, so that hosts with the highest link bandwidth are preferred. A host
    whose upstreams all drain is about to stop, and is chosen only if no other is left.

    Args:
        members: The member records of the zone's reachable hosts.

    Returns:
        The readers, the most suitable first; in a small zone all hosts.
    """
    order = {member.host: (_leaves(member), -member.link_mbps) for member in members}
    ranked = sorted(rank(list(order), READER_KEY), key=order.__getitem__)
    if len(order) <= MAX_SMALL_ZONE_HOSTS:
        return tuple(ranked)
    return tuple(ranked[:READER_COUNT])


def _leaves(member: Member) -> bool:
    upstreams = member.upstreams
    return bool(upstreams) and all(item.draining for item in upstreams)


def choose_linked_hosts(own: Member, members: Iterable[Member]) -> set[str]:
    """Return the hosts to keep a link to.

    Args:
        own: The member record of this host.
        members: All known members; this host among them is ignored.
    """
    others = [item for item in members if item.usable and item.host != own.host]
    chosen = set(rank([item.host for item in others], own.host)[:OTHER_HOST_COUNT])
    by_version: dict[tuple[str, str], list[Member]] = {}
    for member in others:
        for upstream in member.upstreams:
            key = (upstream.service, upstream.version)
            by_version.setdefault(key, []).append(member)
    for candidates in by_version.values():
        chosen |= _choose_upstream_hosts(own, candidates)
    return chosen


def _choose_upstream_hosts(own: Member, candidates: list[Member]) -> set[str]:
    max_count = NEAR_UPSTREAM_COUNT + FAR_UPSTREAM_COUNT
    if len(candidates) <= max_count:
        return {member.host for member in candidates}
    near = [item.host for item in candidates if item.zone == own.zone]
    far = [item.host for item in candidates if item.zone != own.zone]
    near = rank(near, own.host)[: max(NEAR_UPSTREAM_COUNT, max_count - len(far))]
    return {*near, *rank(far, own.host)[: max_count - len(near)]}
