"""Semantic checks of a configuration that parses.

A deployed node serves a configuration as written even if these checks have findings; the
operator runs them before writing it.
"""

from __future__ import annotations

from collections import Counter

from agaterelay.core.model import Finding, Place, Route, RouteTable


def check_route_table(table: RouteTable, filename: str) -> tuple[Finding, ...]:
    """Return all findings on a configuration.

    Args:
        table: The configuration.
        filename: The name of its file, for the findings.
    """
    place = Place(filename)
    findings = []
    keys = Counter((route.host, route.path) for route in table.routes)
    for (host, path), count in keys.items():
        if count > 1:
            message = f"{count} routes of host {host!r} have the prefix {path!r}"
            findings.append(Finding(place, message, "routes"))
    for route in table.routes:
        findings.extend(
            Finding(place, message, f"route {route.name}")
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


def _check_route(route: Route, table: RouteTable) -> list[str]:
    messages = []
    if not route.path.startswith("/"):
        messages.append(f"the prefix {route.path!r} does not begin with /")
    if route.timeout_ms <= 0:
        messages.append(f"the time-out is {route.timeout_ms} ms; it must be above 0")
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
