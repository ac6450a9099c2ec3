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
    """An upstream and the host whose node owns it."""

    host: str
    zone: str
    calls_address: str
    upstream: UpstreamInfo
    region: str = ""
    doubted: bool = False


def match_route(snapshot: Snapshot, method: str, path: str) -> Route | None:
    """Return the route with the longest path prefix, None where none matches."""
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
    """Return how a service's calls are shared between versions, in permille.

    Args:
        snapshot: The revision that is served.
        service: The service.
        braked: The trials whose new versions get no work from this node.
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


def choose_version(shares: dict[str, int], draw: random.Random) -> str:
    """Draw a version by its share."""
    versions = list(shares)
    if len(versions) == 1:
        return versions[0]
    return draw.choices(versions, weights=[shares[name] for name in versions])[0]


def targets_of(
    members: Members,
    service: str,
    version: str,
    out_of_reach: frozenset[str] = frozenset(),
) -> list[Target]:
    """Return the upstreams of a version that take new work, as far as is known.

    Those of suspected hosts, and of zones out of reach, stay in as doubted ones: the
    calls' own outcomes say which are dead.
    """
    return [
        Target(
            host=member.host,
            zone=member.zone,
            calls_address=member.calls_address,
            upstream=upstream,
            region=member.region,
            doubted=member.state is not MemberState.ALIVE
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
    """The targets by service and version, for as long as the view stays the same."""

    members: Members = attrs.field(factory=dict)
    out_of_reach: frozenset[str] = frozenset()
    found: dict[tuple[str, str], list[Target]] = attrs.field(factory=dict)


def indexed_targets(
    index: TargetIndex,
    members: Members,
    service: str,
    version: str,
    out_of_reach: frozenset[str],
) -> list[Target]:
    """Return ``targets_of`` the same arguments; the whole view is searched but once.

    Views are replaced and never changed, so the same object holds the same targets.
    """
    if index.members is not members or index.out_of_reach != out_of_reach:
        index.members = members
        index.out_of_reach = out_of_reach
        index.found = {}
    key = (service, version)
    if key not in index.found:
        index.found[key] = targets_of(members, service, version, out_of_reach)
    return index.found[key]


def choose_target(
    targets: Iterable[Target],
    own: Member,
    load_of: Callable[[Target], float],
    draw: random.Random,
) -> Target | None:
    """Choose an upstream: the better of two of the nearest that have room.

    Nearest is this host, then its availability zone, its region, and the rest;
    hosts in doubt come after all others. Where all are full, distance is no matter.

    Args:
        targets: The candidates.
        own: The entry of the host that asks.
        load_of: The load of a target from 0 (idle) to 1 (full) and above.
        draw: The source of chance.
    """
    by_distance: dict[tuple[bool, int], list[Target]] = {}
    for target in targets:
        by_distance.setdefault(distance(target, own), []).append(target)
    order = sorted(by_distance)
    for far in order:
        free = [target for target in by_distance[far] if load_of(target) < 1]
        if free:
            return lighter_of_two(free, load_of, draw)
    sure = [item for far in order if not far[0] for item in by_distance[far]]
    pool = sure or [item for far in order for item in by_distance[far]]
    return lighter_of_two(pool, load_of, draw) if pool else None


def lighter_of_two(
    targets: list[Target], load_of: Callable[[Target], float], draw: random.Random
) -> Target:
    """Draw two of some targets and return the one with the lighter load."""
    if len(targets) == 1:
        return targets[0]
    return min(draw.sample(targets, 2), key=load_of)


def distance(target: Target, own: Member) -> tuple[bool, int]:
    """Return how far a target is from a host, to be compared only."""
    if target.host == own.host:
        return (target.doubted, 0)
    if target.zone == own.zone:
        return (target.doubted, 1)
    if target.region == own.region:
        return (target.doubted, 2)
    return (target.doubted, 3)
