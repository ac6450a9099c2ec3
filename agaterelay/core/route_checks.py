"""What is wrong with a configuration whose every field can be read.

A deployed node serves what the operator wrote, also where this finds something; the
operator asks before writing it.
"""

from __future__ import annotations

from collections import Counter

from agaterelay.core.model import Finding, Place, Route, RouteTable


def check_route_table(table: RouteTable, filename: str) -> tuple[Finding, ...]:
    """Return all findings on a configuration.

    Args:
        table: The configuration.
        filename: Where it stands, for the findings.
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
            message = f"the {name} is {value}; no caller can keep that"
            findings.append(Finding(place, message, "limits"))
    return tuple(findings)


def _check_route(route: Route, table: RouteTable) -> list[str]:
    found = []
    if not route.path.startswith("/"):
        found.append(f"the prefix {route.path!r} does not begin with /")
    if route.timeout_ms <= 0:
        found.append(f"the time-out is {route.timeout_ms} ms; no call can end in it")
    if route.max_attempts < 1:
        found.append(f"{route.max_attempts} attempts: no call would be sent")
    if not route.service and not route.parts:
        found.append("it leads to no service")
    if route.parts and sum(weight for _, weight in route.parts) <= 0:
        found.append("its weights add up to nothing")
    found.extend(
        f"the weight {weight} of {service} is below 0"
        for service, weight in route.parts
        if weight < 0
    )
    named = [route.service] if route.service and not route.parts else []
    named += [service for service, _ in route.parts]
    found.extend(
        f"the service {service} is not among the services"
        for service in named
        if service not in table.health_paths
    )
    return found
