"""Semantic checks of a configuration that parses.

A deployed node serves a configuration as written even if these checks have findings; the
operator runs them before writing it.
"""

from __future__ import annotations

from agaterelay.core.model import Finding, Place, Route, RouteTable


def check_route_table(table: RouteTable, filename: str) -> tuple[Finding, ...]:
    """Return all findings on a configuration.

    Args:
        table: The configuration.
        filename: The name of its file, for the findings.
    """
    place = Place(filename)
    findings = []
    rows_of: dict[tuple[str, str], list[int]] = {}
    for number, route in enumerate(table.routes, 1):
        rows_of.setdefault((route.host, route.path), []).append(number)
    for (host, path), rows in rows_of.items():
        if len(rows) > 1:
            message = (
                f"{len(rows)} routes of host {host!r} have the prefix {path!r} "
                f"(rows {', '.join(map(str, rows))}); only the first can match"
            )
            findings.append(Finding(place, message, "routes"))
    for number, route in enumerate(table.routes, 1):
        findings.extend(
            Finding(place, message, _section_of(number, route))
            for message in _check_route(route, table)
        )
    limits = table.limits
    for name, value in (
        ("header size", limits.max_header_bytes),
        ("body size", limits.max_body_bytes),
        ("header time-out", limits.header_timeout_s),
        ("idle time-out", limits.idle_timeout_s),
    ):
        if value <= 0:
            message = f"the {name} is {value}; it must be above 0"
            findings.append(Finding(place, message, "limits"))
    return tuple(findings)


def note_routes(table: RouteTable, filename: str) -> tuple[Finding, ...]:
    """Return what is legitimate in routes, but may be an oversight."""
    return tuple(
        Finding(
            Place(filename),
            f"the weight of {service} is 0, so it gets no request of this route",
            _section_of(number, route),
        )
        for number, route in enumerate(table.routes, 1)
        for service, weight in route.parts
        if weight == 0 and any(other > 0 for _, other in route.parts)
    )


def _section_of(number: int, route: Route) -> str:
    return f"routes, row {number}, route {route.name}"


def _check_route(route: Route, table: RouteTable) -> list[str]:
    messages = []
    if not route.path.startswith("/"):
        messages.append(f"the prefix {route.path!r} does not begin with /")
    if route.timeout_ms <= 0:
        messages.append(f"the time-out is {route.timeout_ms} ms; it must be above 0")
    elif route.timeout_ms < route.target_latency_ms:
        messages.append(
            f"the time-out of {route.timeout_ms} ms is below the target latency of "
            f"{route.target_latency_ms} ms"
        )
    # The node compares a request's host without its port, and its path without a query.
    if ":" in route.host:
        messages.append(f"the host {route.host!r} has a port, so it can never match")
    if "?" in route.path:
        messages.append(f"the prefix {route.path!r} has a query; it can never match")
    if route.max_attempts < 1:
        messages.append(
            f"{route.max_attempts} attempts are allowed; at least 1 is needed"
        )
    if not route.service and not route.parts:
        messages.append("the route names no service and no weighted services")
    if route.parts and sum(weight for _, weight in route.parts) <= 0:
        messages.append("the weights of its services add up to nothing")
    messages.extend(
        f"the weight {weight} of {service} is below 0"
        for service, weight in route.parts
        if weight < 0
    )
    named = [route.service] if route.service and not route.parts else []
    named += [service for service, _ in route.parts]
    messages.extend(
        f"the service {service} is not among the services"
        for service in named
        if service not in table.health_paths
    )
    return messages
