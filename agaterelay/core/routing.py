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


def choose_target(
    targets: Iterable[Target],
    own: Member,
    load_of: Callable[[Target], float],
    draw: random.Random,
) -> Target | None:
    """Choose an upstream: the better of two of the nearest that have room.

    Nearest is this host, then its availability zone, its region, and the rest;
    hosts in doubt come after all others.

    Args:
        targets: The candidates.
        own: The entry of the host that asks.
        load_of: The load of a target from 0 (idle) to 1 (full) and above.
        draw: The source of chance.
    """
    targets = list(targets)
    if not targets:
        return None
    loads = {id(target): load_of(target) for target in targets}
    free = [target for target in targets if loads[id(target)] < 1]
    candidates = nearest(free or targets, own)
    if len(candidates) == 1:
        return candidates[0]
    return min(draw.sample(candidates, 2), key=lambda target: loads[id(target)])


def nearest(targets: list[Target], own: Member) -> list[Target]:
    """Return the targets of the smallest distance from a host."""
    distances = [distance(target, own) for target in targets]
    smallest = min(distances)
    return [
        target
        for target, far in zip(targets, distances, strict=True)
        if far == smallest
    ]


def distance(target: Target, own: Member) -> tuple[bool, int]:
    """Return how far a target is from a host, to be compared only."""
    if target.host == own.host:
        return (target.doubted, 0)
    if target.zone == own.zone:
        return (target.doubted, 1)
    if target.region == own.region:
        return (target.doubted, 2)
    return (target.doubted, 3)
