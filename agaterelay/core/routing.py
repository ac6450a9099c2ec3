"""Choose the route, the version and the upstream of a call."""

from __future__ import annotations

import random
from collections.abc import Callable, Container, Iterable

import attrs

from agaterelay.core.membership import Members, UpstreamInfo
from agaterelay.core.model import FINAL_MOVE_STATES, MoveState, Route, Snapshot

PERMILLE = 1000


@attrs.frozen
class Target:
    """An upstream and the host whose node owns it."""

    host: str
    zone: str
    calls_address: str
    upstream: UpstreamInfo


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


def targets_of(members: Members, service: str, version: str) -> list[Target]:
    """Return the upstreams of a version that take new work, as far as is known."""
    return [
        Target(member.host, member.zone, member.calls_address, upstream)
        for member in members.values()
        if member.usable
        for upstream in member.upstreams
        if upstream.service == service
        and upstream.version == version
        and not upstream.draining
    ]


def choose_target(
    targets: Iterable[Target],
    host: str,
    zone: str,
    load_of: Callable[[Target], float],
    draw: random.Random,
) -> Target | None:
    """Choose an upstream: this host's, else the better of two of the nearest.

    Args:
        targets: The candidates.
        host: The host that asks.
        zone: Its availability zone.
        load_of: The load of a target from 0 (idle) to 1 (full) and above.
        draw: The source of chance.
    """
    targets = list(targets)
    local = [item for item in targets if item.host == host and load_of(item) < 1]
    near = [item for item in targets if item.zone == zone and load_of(item) < 1]
    candidates = local or near or targets
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    return min(draw.sample(candidates, 2), key=load_of)
