"""Choose the route, the version and the upstream of a call."""

from __future__ import annotations

import random
from collections.abc import Callable, Container, Iterable

import attrs

from agaterelay.core.membership import Member, Members, MemberState, UpstreamInfo
from agaterelay.core.model import FINAL_MOVE_STATES, MoveState, Route, Snapshot

PERMILLE = 1000


@attrs.frozen
class Target:
    """An upstream, and the host whose node admits calls to it.

    ``unconfirmed`` is set for a host that is suspected, or whose zone is out of reach.
    """

    host: str
    zone: str
    calls_address: str
    upstream: UpstreamInfo
    region: str = ""
    unconfirmed: bool = False


def match_route(snapshot: Snapshot, method: str, path: str) -> Route | None:
    """Return the route with the longest matching path prefix, or None."""
    for route in snapshot.routes:
        if method not in route.methods:
            continue
        prefix = route.path.rstrip("/")
        if path == route.path or path == prefix or path.startswith(prefix + "/"):
            return route
    return None


def version_shares(
    snapshot: Snapshot, service: str, braked: Container[str] = ()
) -> dict[str, int]:
    """Return the share of a service's calls that each version gets, in permille.

    Args:
        snapshot: The revision that is served.
        service: The service.
        braked: The trials whose new versions get no calls from this node.
    """
    stable = snapshot.services[service].version
    for progress in snapshot.progress.values():
        if progress.service != service:
            continue
        if progress.state is MoveState.DONE:
            return {progress.to_version: PERMILLE}
        if progress.state in FINAL_MOVE_STATES or progress.trial in braked:
            continue
        if progress.share_permille:
            share = progress.share_permille
            return {
                progress.to_version: share,
                progress.from_version: PERMILLE - share,
            }
    return {stable: PERMILLE}


def choose_version(shares: dict[str, int], rng: random.Random) -> str:
    """Select a version at random, weighted by its share."""
    versions = list(shares)
    if len(versions) == 1:
        return versions[0]
    return rng.choices(versions, weights=[shares[name] for name in versions])[0]


def find_targets(
    members: Members,
    service: str,
    version: str,
    out_of_reach: frozenset[str] = frozenset(),
) -> list[Target]:
    """Return the upstreams of a version that accept new calls, as far as is known.

    Upstreams of suspected hosts and of zones out of reach are included, marked as
    unconfirmed: the outcomes of calls show which of them are dead.
    """
    return [
        Target(
            host=member.host,
            zone=member.zone,
            calls_address=member.calls_address,
            upstream=upstream,
            region=member.region,
            unconfirmed=member.state is not MemberState.ALIVE
            or member.zone in out_of_reach,
        )
        for member in members.values()
        if member.usable
        for upstream in member.upstreams
        if upstream.service == service
        and upstream.version == version
        and not upstream.draining
    ]


@attrs.define
class TargetIndex:
    """A cache of the targets by service and version, valid for one view."""

    members: Members = attrs.field(factory=dict)
    out_of_reach: frozenset[str] = frozenset()
    targets_by_version: dict[tuple[str, str], list[Target]] = attrs.field(factory=dict)


def find_indexed_targets(
    index: TargetIndex,
    members: Members,
    service: str,
    version: str,
    out_of_reach: frozenset[str],
) -> list[Target]:
    """Return the result of ``find_targets``, from the cache if the view is the same.

    Views are immutable and replaced as a whole, so that comparing identities is enough.
    """
    if index.members is not members or index.out_of_reach != out_of_reach:
        index.members = members
        index.out_of_reach = out_of_reach
        index.targets_by_version = {}
    key = (service, version)
    if key not in index.targets_by_version:
        index.targets_by_version[key] = find_targets(
            members, service, version, out_of_reach
        )
    return index.targets_by_version[key]


def choose_target(
    targets: Iterable[Target],
    own: Member,
    load_of: Callable[[Target], float],
    rng: random.Random,
) -> Target | None:
    """Choose the less loaded of two random targets among the nearest with free slots.

    The order of distance is this host, its availability zone, its region, and the rest;
    unconfirmed targets come after all others. If all targets are full, distance is
    ignored.

    Args:
        targets: The candidates.
        own: The member record of this host.
        load_of: Returns the load of a target, from 0 (idle) to 1 (full) and above.
        rng: The random number generator.
    """
    by_distance: dict[tuple[bool, int], list[Target]] = {}
    for target in targets:
        by_distance.setdefault(distance(target, own), []).append(target)
    order = sorted(by_distance)
    for level in order:
        free = [target for target in by_distance[level] if load_of(target) < 1]
        if free:
            return choose_less_loaded(free, load_of, rng)
    confirmed = [item for level in order if not level[0] for item in by_distance[level]]
    pool = confirmed or [item for level in order for item in by_distance[level]]
    return choose_less_loaded(pool, load_of, rng) if pool else None


def choose_less_loaded(
    targets: list[Target], load_of: Callable[[Target], float], rng: random.Random
) -> Target:
    """Return the less loaded of two targets that are picked at random."""
    if len(targets) == 1:
        return targets[0]
    return min(rng.sample(targets, 2), key=load_of)


def distance(target: Target, own: Member) -> tuple[bool, int]:
    """Return a sort key for the distance of a target from a host."""
    if target.host == own.host:
        return (target.unconfirmed, 0)
    if target.zone == own.zone:
        return (target.unconfirmed, 1)
    if target.region == own.region:
        return (target.unconfirmed, 2)
    return (target.unconfirmed, 3)
