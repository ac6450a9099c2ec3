"""What differs between two configurations.

Routes are compared by host and path prefix, since these decide which requests they get;
services and workspaces by name. Keys are counted, never shown.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from agaterelay.core.model import Route, RouteTable, Workspace

ADDED, REMOVED, CHANGED = "added", "removed", "changed"
_ROUTE_KEY_FIELDS = frozenset({"host", "path", "place"})
_UNITS = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}


@attrs.frozen
class Difference:
    """An entry that one configuration has otherwise, or not at all.

    Attributes:
        section: The table of the configuration.
        name: The entry's name there, empty for the whole table.
        change: One of added, removed and changed.
        details: What changed in the entry.
    """

    section: str
    name: str
    change: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        details = f": {'; '.join(self.details)}" if self.details else ""
        name = f" {self.name}" if self.name else ""
        return f"{self.section}{name} {self.change}{details}"


def compare_tables(
    before: RouteTable, after: RouteTable, field_names: Mapping[str, str]
) -> tuple[Difference, ...]:
    """Return what differs between two configurations, besides their revisions.

    Args:
        before: The earlier configuration.
        after: The later one.
        field_names: The operator's names of fields; the others keep theirs.
    """
    differences = _compare_entries(
        "routes",
        _routes_by_prefix(before),
        _routes_by_prefix(after),
        lambda old, new: _compare_fields(old, new, _ROUTE_KEY_FIELDS, field_names),
    )
    differences += _compare_entries(
        "services",
        before.health_paths,
        after.health_paths,
        lambda old, new: [] if old == new else [f"health path {old} -> {new}"],
    )
    differences += _compare_entries(
        "cold limits",
        before.cold_limits,
        after.cold_limits,
        lambda old, new: _compare_fields(old, new, frozenset(), field_names),
    )
    details = _compare_fields(before.limits, after.limits, frozenset(), field_names)
    if details:
        differences.append(Difference("limits", "", CHANGED, tuple(details)))
    return tuple(differences + _compare_workspaces(before, after, field_names))


def _compare_workspaces(
    before: RouteTable, after: RouteTable, field_names: Mapping[str, str]
) -> list[Difference]:
    differences = []
    if (before.workspaces is None) != (after.workspaces is None):
        change, effect = (ADDED, "need a key")
        if after.workspaces is None:
            change, effect = (REMOVED, "need no key")
        detail = f"requests on routes that are not public {effect} from now on"
        differences.append(Difference("tenants", "", change, (detail,)))

    def compare(old: Workspace, new: Workspace) -> list[str]:
        details = _compare_fields(old, new, frozenset({"key_digests"}), field_names)
        old_keys, new_keys = set(old.key_digests), set(new.key_digests)
        for count, what in (
            (len(new_keys - old_keys), ADDED),
            (len(old_keys - new_keys), REMOVED),
        ):
            if count:
                details.append(f"{count} key{'s' if count > 1 else ''} {what}")
        return details

    return differences + _compare_entries(
        "tenants",
        {workspace.name: workspace for workspace in before.workspaces or ()},
        {workspace.name: workspace for workspace in after.workspaces or ()},
        compare,
    )


def _routes_by_prefix(table: RouteTable) -> dict[str, Route]:
    """Return the routes by host and prefix; only the first of equal ones matches."""
    routes: dict[str, Route] = {}
    for route in table.routes:
        routes.setdefault(f"{route.host}{route.path}", route)
    return routes


def _compare_entries(
    section: str, before: Mapping[str, Any], after: Mapping[str, Any], compare: Any
) -> list[Difference]:
    """Return the entries that were added, removed or changed, in the order of names.

    Args:
        section: The table of the entries.
        before: The earlier entries by name.
        after: The later ones.
        compare: Returns what differs between two entries, nothing if they are equal.
    """
    differences = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            differences.append(Difference(section, name, ADDED))
        elif name not in after:
            differences.append(Difference(section, name, REMOVED))
        elif details := compare(before[name], after[name]):
            differences.append(Difference(section, name, CHANGED, tuple(details)))
    return differences


def _compare_fields(
    old: Any, new: Any, left_out: frozenset[str], field_names: Mapping[str, str]
) -> list[str]:
    """Return the fields of two objects of one class that differ, with their values."""
    details = []
    for field in attrs.fields(type(old)):
        name = field.name
        old_value, new_value = getattr(old, name), getattr(new, name)
        if name in left_out or old_value == new_value:
            continue
        unit = next(
            (f" {unit}" for end, unit in _UNITS.items() if name.endswith(end)), ""
        )
        if name.endswith("_per_s"):
            unit = " a second"
        shown = field_names.get(name, name)
        details.append(f"{shown} {_show(old_value)} -> {_show(new_value)}{unit}")
    return details


def _show(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return ", ".join(f"{name} {weight}" for name, weight in value) or "none"
    return str(value)
