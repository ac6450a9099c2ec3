"""Semantic checks of the workspaces of a configuration that parses.

The operator runs them before writing a configuration; nodes serve it as written.
"""

from __future__ import annotations

from agaterelay.core.model import Finding, Place, RouteTable, Workspace

SECTION = "tenants"


def check_workspaces(
    table: RouteTable, filename: str, capacity_per_s: float | None = None
) -> tuple[Finding, ...]:
    """Return the limits of workspaces that contradict each other.

    Args:
        table: The configuration.
        filename: The name of its file, for the findings.
        capacity_per_s: The requests per second that all upstreams can run, None if it
            is not known.
    """
    place = Place(filename)
    workspaces = table.workspaces or ()
    findings = [
        Finding(
            place,
            f"the burst of {workspace.name} is {workspace.burst:g} and holds no "
            f"request, so its {workspace.rate_per_s:g} a second cannot be used",
            f"{SECTION}, row {number}",
        )
        for number, workspace in enumerate(workspaces, 1)
        if workspace.rate_per_s > 0 and workspace.burst < 1
    ]
    sum_per_s = sum(workspace.rate_per_s for workspace in workspaces)
    if capacity_per_s is not None and sum_per_s > capacity_per_s:
        message = (
            f"the rates add up to {sum_per_s:g} a second, more than the capacity "
            f"of {capacity_per_s:g}"
        )
        findings.append(Finding(place, message, SECTION))
    return tuple(findings)


def note_workspaces(table: RouteTable, filename: str) -> tuple[Finding, ...]:
    """Return what is legitimate in workspaces, but may be an oversight."""
    place = Place(filename)
    return tuple(
        Finding(place, f"{workspace.name} {message}", f"{SECTION}, row {number}")
        for number, workspace in enumerate(table.workspaces or (), 1)
        for message in _note_workspace(workspace)
    )


def _note_workspace(workspace: Workspace) -> list[str]:
    messages = []
    if not workspace.key_digests:
        messages.append("has no key, so no request belongs to it")
    if workspace.burst > 0 and workspace.rate_per_s == 0:
        messages.append("has a burst and no rate, so the burst has no effect")
    return messages
