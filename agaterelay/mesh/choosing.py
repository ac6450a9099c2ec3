"""Choose the route, the service, the version and the upstream of a request."""

from __future__ import annotations

from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.model import Route
from agaterelay.core.placing import RouteCosts, expected_cost_ms, select_cheapest
from agaterelay.core.rendezvous import rank
from agaterelay.core.trial import trial_share
from agaterelay.core.weighted import choose_next, make_weighted_round_robin
from agaterelay.mesh.journey import Entry, Journey, TrialView
from agaterelay.mesh.links import is_usable, load_of
from agaterelay.mesh.state import targets_of, versions_of


def match_request(entry: Entry, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix that begins a path."""
    table = entry.state.table
    if entry.routes_of is not table:
        by_host: dict[str, list[Route]] = {}
        for route in table.routes if table else ():
            by_host.setdefault(route.host, []).append(route)
        entry.routes = {
            name: tuple(sorted(routes, key=lambda item: -len(item.path)))
            for name, routes in by_host.items()
        }
        entry.routes_of = table
    for route in entry.routes.get(host, ()):
        if path.startswith(route.path):
            return route
    return None


def target_left_s(entry: Entry, route: Route, wait_ms: int | None) -> float:
    """Return the time in which an answer is of full use to the caller.

    A caller that comes back after a refusal has less time left than it had at first,
    and by as much less for the target.
    """
    left_ms = float(route.target_latency_ms)
    if wait_ms is None:
        return left_ms / 1000
    full_ms = entry.full_wait_ms.get(route.name, 0)
    if wait_ms > full_ms:
        full_ms = entry.full_wait_ms[route.name] = wait_ms
    return (left_ms - (full_ms - wait_ms)) / 1000


def choose_service(entry: Entry, route: Route) -> str:
    """Return the service of the next call on a route."""
    if not route.parts:
        return route.service
    split = entry.splits.get(route.name)
    if split is None or split.parts != route.parts:
        start = entry.draw.randrange(1 << 16)
        split = entry.splits[route.name] = make_weighted_round_robin(route.parts, start)
    return choose_next(split)


def choose_version(entry: Entry, service: str) -> tuple[str, bool]:
    """Return the version for a first try, and whether it comes as a burst."""
    serving, on_trial = versions_of(entry.state, service)
    order = entry.state.orders.get(service)
    if on_trial is None or order is None:
        return serving, False
    key = (service, order.number)
    began_s = entry.state.trial_began_s.get(key)
    if began_s is None or key in entry.state.braked:
        return serving, False
    trial = entry.trials.get(key)
    if trial is None:
        trial = entry.trials[key] = TrialView(credit=-entry.draw.random())
    allowed = entry.context.deployment.bounds.expose_ratio
    elapsed_s = entry.context.clock.monotonic_s() - began_s
    share, burst = trial_share(allowed, elapsed_s)
    trial.credit = min(trial.credit + share, 2.0)
    if trial.credit < 1:
        return serving, False
    if not any(
        is_usable(entry.links, member)
        for member in targets_of(entry.state, service, on_trial)
    ):
        return serving, False
    trial.credit -= 1
    return on_trial, burst


def place(
    entry: Entry, journey: Journey, version: str, burst: bool
) -> tuple[Member, UpstreamInfo] | None:
    """Choose the upstream for the next try, None where none can be reached."""
    now_s = entry.context.clock.monotonic_s()
    own = entry.state.own
    members = [
        member
        for member in targets_of(entry.state, journey.service, version)
        if member.host not in journey.tried and is_usable(entry.links, member)
    ]
    if burst and members:
        first = rank([member.host for member in members], version)[0]
        members = [member for member in members if member.host == first]

    route = entry.route_costs.setdefault(journey.route.name, RouteCosts())

    def cost_ms(member: Member) -> float:
        return expected_cost_ms(
            load_of(entry.links, member.host),
            member.upstreams[0].slots,
            route,
            member.zone == own.zone,
            now_s,
        )

    chosen = select_cheapest(members, cost_ms, entry.draw)
    return (chosen, chosen.upstreams[0]) if chosen is not None else None
