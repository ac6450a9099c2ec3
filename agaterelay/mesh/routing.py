"""Choose the route, the service, the version and the upstream of a request."""

from __future__ import annotations

from collections.abc import Callable

from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.model import Route
from agaterelay.core.placing import RouteCosts, expected_cost_ms, serves_in_useful_time
from agaterelay.core.rendezvous import rank
from agaterelay.core.trial import trial_share
from agaterelay.core.weighted_round_robin import choose_next, make_weighted_round_robin
from agaterelay.core.workspaces import (
    ANYONE,
    Caller,
    identify_caller,
    update_index,
)
from agaterelay.core.zone_spill import ZoneSpill, select_by_zone
from agaterelay.events import EventKind
from agaterelay.mesh.links import is_usable, load_of
from agaterelay.mesh.request_state import Outbound, Request, RequestState, TrialCounts
from agaterelay.mesh.state import targets_of, versions_of


def find_route(outbound: Outbound, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest path prefix that matches a path."""
    table = outbound.state.table
    if outbound.indexed_table is not table:
        by_host: dict[str, list[Route]] = {}
        for route in table.routes if table else ():
            by_host.setdefault(route.host, []).append(route)
        outbound.routes = {
            name: tuple(sorted(routes, key=lambda item: -len(item.path)))
            for name, routes in by_host.items()
        }
        outbound.indexed_table = table
    for route in outbound.routes.get(host, ()):
        if path.startswith(route.path):
            return route
    return None


def identify_request(outbound: Outbound, request: Request, route: Route) -> Caller:
    """Return who a request's caller is; without workspaces, nobody is asked."""
    table = outbound.state.table
    workspaces = table.workspaces if table else None
    if workspaces is None:
        return ANYONE
    if outbound.indexed_workspaces is not workspaces:
        update_index(outbound.keys, outbound.indexed_workspaces or (), workspaces)
        outbound.indexed_workspaces = workspaces
    return identify_caller(outbound.keys, request.credential, route.public)


def rank_of(caller: Caller, route: Route) -> int:
    """Return the rank of a caller's request; that of its workspace takes precedence."""
    if caller.workspace is None or caller.workspace.rank is None:
        return route.rank
    return caller.workspace.rank


def remaining_target_s(outbound: Outbound, route: Route, wait_ms: int | None) -> float:
    """Return the seconds within which an answer is of full use to the caller.

    A caller that retries after a refusal has used up part of its time, and so the same
    part of the target latency. The longest wait seen on the route is taken for the time
    of a first attempt.
    """
    remaining_ms = float(route.target_latency_ms)
    if wait_ms is None:
        return remaining_ms / 1000
    longest_ms = outbound.longest_wait_ms.get(route.name, 0)
    if wait_ms > longest_ms:
        longest_ms = outbound.longest_wait_ms[route.name] = wait_ms
    return (remaining_ms - (longest_ms - wait_ms)) / 1000


def choose_service(outbound: Outbound, route: Route) -> str:
    """Return the service of the next call on a route."""
    if not route.parts:
        return route.service
    split = outbound.splits.get(route.name)
    if split is None or split.parts != route.parts:
        start = outbound.rng.randrange(1 << 16)
        split = outbound.splits[route.name] = make_weighted_round_robin(
            route.parts, start
        )
    return choose_next(split)


def choose_version(outbound: Outbound, service: str) -> tuple[str, bool]:
    """Return the version for a first attempt, and whether it is part of a burst."""
    serving, on_trial = versions_of(outbound.state, service)
    order = outbound.state.orders.get(service)
    if on_trial is None or order is None:
        return serving, False
    key = (service, order.number)
    started_s = outbound.state.trial_began_s.get(key)
    if started_s is None or key in outbound.state.braked:
        return serving, False
    trial = outbound.trials.get(key)
    if trial is None:
        trial = outbound.trials[key] = TrialCounts(credit=-outbound.rng.random())
    allowed = outbound.context.deployment.bounds.expose_ratio
    elapsed_s = outbound.context.clock.monotonic_s() - started_s
    share, burst = trial_share(allowed, elapsed_s)
    trial.credit = min(trial.credit + share, 2.0)
    if trial.credit < 1:
        return serving, False
    if not any(
        is_usable(outbound.links, member)
        for member in targets_of(outbound.state, service, on_trial)
    ):
        return serving, False
    trial.credit -= 1
    return on_trial, burst


def choose_upstream(
    outbound: Outbound, request_state: RequestState, version: str, burst: bool
) -> tuple[Member, UpstreamInfo] | None:
    """Return the upstream for the next attempt, or None if none can be reached."""
    now_s = outbound.context.clock.monotonic_s()
    own = outbound.state.own
    members = [
        member
        for member in targets_of(outbound.state, request_state.service, version)
        if member.host not in request_state.tried_hosts
        and is_usable(outbound.links, member)
    ]
    if burst and members:
        first = rank([member.host for member in members], version)[0]
        members = [member for member in members if member.host == first]

    costs = outbound.route_costs.setdefault(request_state.route.name, RouteCosts())

    def cost_ms(member: Member) -> float:
        return expected_cost_ms(
            load_of(outbound.links, member.host),
            member.upstreams[0].slots,
            costs,
            member.zone == own.zone,
            now_s,
        )

    chosen = _select_by_zone(
        outbound, request_state, version, members, cost_ms, costs, now_s
    )
    if chosen is None:
        return None
    outbound.observe_placement(chosen.zone)
    return chosen, chosen.upstreams[0]


def _select_by_zone(
    outbound: Outbound,
    request_state: RequestState,
    version: str,
    members: list[Member],
    cost_ms: Callable[[Member], float],
    costs: RouteCosts,
    now_s: float,
) -> Member | None:
    """Return the member for an attempt, and log when the service's spillover changes."""
    own_zone = outbound.state.own.zone
    service = request_state.service
    spill = _spill_of(outbound, service, version)
    was_spilling = spill.spilling
    chosen = select_by_zone(
        spill,
        [member for member in members if member.zone == own_zone],
        [member for member in members if member.zone != own_zone],
        cost_ms,
        lambda member: load_of(outbound.links, member.host),
        lambda member: serves_in_useful_time(
            load_of(outbound.links, member.host),
            member.upstreams[0].slots,
            costs,
            1000 * (request_state.target_s - now_s),
        ),
        request_state.placements > 0,
        now_s,
        outbound.rng,
    )
    if spill.spilling != was_spilling:
        started = spill.spilling
        outbound.context.record(
            EventKind.SPILL_STARTED if started else EventKind.SPILL_ENDED,
            service=service,
            version=version,
            gain_ms=round(spill.gain_ms, 1),
        )
    return chosen


def _spill_of(outbound: Outbound, service: str, version: str) -> ZoneSpill:
    """Return the spillover of a version, without those of versions that are gone."""
    spills = outbound.spills.setdefault(service, {})
    spill = spills.get(version)
    if spill is None:
        present = {version, *versions_of(outbound.state, service)}
        for gone in spills.keys() - present:
            del spills[gone]
        spill = spills[version] = ZoneSpill()
    return spill
