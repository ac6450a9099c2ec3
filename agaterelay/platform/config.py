"""Decoding of the operator's configuration document."""

from __future__ import annotations

import operator
from collections.abc import Hashable, Mapping, Sequence
from typing import Any

import attrs

from agaterelay.core.checked import (
    MALFORMED,
    MAX_WHOLE,
    DecodeError,
    check_flag,
    check_name,
    check_number,
    check_path,
    check_text,
    check_whole,
    load_json,
)
from agaterelay.core.model import (
    CallerLimits,
    ColdLimit,
    Finding,
    Place,
    Route,
    RouteTable,
    Workspace,
)
from agaterelay.core.workspaces import digest_key, find_conflicts
from agaterelay.platform.units import parse_seconds

CONFIG_KEY = "config"
# Defaults for routes without these fields: no retries, and a time-out as long as that of
# a patient caller.
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_TARGET_LATENCY_S = 1.0
DEFAULT_RANK = 1
DEFAULT_MAX_ATTEMPTS = 1
_ALL_METHODS = ()


@attrs.define
class KnownRoutes:
    """A cache of what the last configuration was decoded to, by encoded row.

    ``workspaces`` are cached by the digest of their row, so that no key stays in memory.
    ``workspace_rows`` is the last complete table; it is reused while no row changes.
    """

    columns: tuple[str, ...] = ()
    routes: dict[Hashable, Route] = attrs.field(factory=dict)
    workspace_columns: tuple[str, ...] = ()
    workspaces: dict[bytes, Workspace] = attrs.field(factory=dict)
    workspace_rows: tuple[Workspace, ...] | None = None


def decode_config(
    value: bytes, filename: str = "op/config", known: KnownRoutes | None = None
) -> tuple[RouteTable | None, tuple[Finding, ...]]:
    """Decode a configuration document.

    Args:
        value: The document.
        filename: The document's name in findings.
        known: The cache of decoded rows, updated in place. Successive configurations
            differ in a few of several thousand rows; the others are reused.

    Returns:
        The configuration and no findings, or None and every finding.
    """
    findings: list[Finding] = []

    def add_finding(section: str, error: Exception) -> None:
        reason = f"missing key {error}" if isinstance(error, KeyError) else str(error)
        findings.append(Finding(Place(filename), reason, section))

    try:
        tree = load_json(value)
        revision = check_whole(int(tree["version"], 16))
        limits = _decode_limits(tree.get("limits") or {})
        columns = tuple(tree["routes"]["columns"])
        route_rows = list(tree["routes"]["rows"])
        service_rows = _records(tree["services"])
        tenants = tree.get("tenants")
        tenant_columns = tuple(tenants["columns"]) if tenants is not None else ()
        tenant_rows = list(tenants["rows"]) if tenants is not None else []
    except MALFORMED as error:
        add_finding("", error)
        return None, tuple(findings)
    routes: list[Route] = []
    previous = known.routes if known and known.columns == columns else {}
    decoded: dict[Hashable, Route] = {}
    place = Place(filename)
    for number, row in enumerate(route_rows, 1):
        try:
            key = _row_key(row)
            route = previous.get(key) or _decode_route(_record(columns, row), place)
        except MALFORMED as error:
            add_finding(f"routes, row {number}", error)
        else:
            routes.append(route)
            decoded[key] = route
    health_paths: dict[str, str] = {}
    cold_limits: dict[str, ColdLimit] = {}
    for number, row in enumerate(service_rows, 1):
        try:
            health_paths[check_name(row["name"])] = check_path(
                row.get("healthPath") or "/"
            )
            cold_limit = _decode_cold_limit(row)
            if cold_limit is not None:
                cold_limits[row["name"]] = cold_limit
        except MALFORMED as error:
            add_finding(f"services, row {number}", error)
    workspaces: list[Workspace] = []
    known_workspaces = (
        known.workspaces if known and known.workspace_columns == tenant_columns else {}
    )
    decoded_workspaces: dict[bytes, Workspace] = {}
    for number, row in enumerate(tenant_rows, 1):
        try:
            digest = digest_key(repr(row).encode())
            workspace = known_workspaces.get(digest) or _decode_workspace(
                _record(tenant_columns, row)
            )
        except MALFORMED as error:
            add_finding(f"tenants, row {number}", error)
        else:
            workspaces.append(workspace)
            decoded_workspaces[digest] = workspace
    if findings:
        return None, tuple(findings)
    workspace_rows = tuple(workspaces)
    if known is not None and _are_same(known.workspace_rows, workspace_rows):
        workspace_rows = known.workspace_rows
    else:
        for position, message in find_conflicts(workspaces):
            place_of_row = f"tenants, row {position + 1}"
            findings.append(Finding(place, message, place_of_row))
        if findings:
            return None, tuple(findings)
    if known is not None:
        known.columns, known.routes = columns, decoded
        known.workspace_columns = tenant_columns
        known.workspaces = decoded_workspaces
        known.workspace_rows = workspace_rows
    table = RouteTable(
        revision,
        tuple(routes),
        health_paths,
        limits,
        workspaces=None if tenants is None else workspace_rows,
        cold_limits=cold_limits,
        source=value,
    )
    return table, ()


def _are_same(
    earlier: tuple[Workspace, ...] | None, workspaces: tuple[Workspace, ...]
) -> bool:
    """Return whether all workspaces were reused from the cache, in the same order."""
    return (
        earlier is not None
        and len(earlier) == len(workspaces)
        and all(map(operator.is_, earlier, workspaces))
    )


def _row_key(row: Any) -> Hashable:
    """Return a hashable key that is equal only for equal rows.

    The types are part of it, since true and 1 are equal in Python but not in a row. Rows
    with weighted clusters hold a list and are identified by their ``repr``.
    """
    key = (*row, *map(type, row))
    try:
        hash(key)
    except TypeError:
        return repr(row)
    return key


def _record(columns: Sequence[str], row: Sequence[Any]) -> Mapping[str, Any]:
    """Return a row as a mapping by column; null stands for an omitted field.

    Raises:
        ValueError: The row has more or fewer values than there are columns.
    """
    return {
        name: value
        for name, value in zip(columns, row, strict=True)
        if value is not None
    }


def _records(encoded: Any) -> list[Mapping[str, Any]]:
    """Decode a list that names its columns once for all rows.

    Raises:
        ValueError: A row has more or fewer values than there are columns.
    """
    return [_record(encoded["columns"], row) for row in encoded["rows"]]


def _decode_limits(fields: Mapping[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=check_whole(
            fields.get("maxHeaderBytes", defaults.max_header_bytes)
        ),
        max_body_bytes=check_whole(fields.get("maxBodyBytes", defaults.max_body_bytes)),
        header_timeout_s=_seconds(fields, "headerTimeout", defaults.header_timeout_s),
        idle_timeout_s=_seconds(fields, "idleTimeout", defaults.idle_timeout_s),
    )


def _seconds(fields: Mapping[str, Any], name: str, default_s: float) -> float:
    return parse_seconds(fields[name]) if name in fields else default_s


def _decode_cold_limit(fields: Mapping[str, Any]) -> ColdLimit | None:
    """Return a service's cold limit, None if one of its fields is absent or 0."""
    duration_s = parse_seconds(fields["coldStart"]) if fields.get("coldStart") else 0.0
    rate_per_s = check_number(fields.get("coldPerS", 0))
    if rate_per_s < 0:
        raise ValueError("coldPerS must not be negative")
    return ColdLimit(duration_s, rate_per_s) if duration_s and rate_per_s else None


def _decode_route(fields: Mapping[str, Any], place: Place) -> Route:
    parts = tuple(
        (check_name(part["service"]), check_whole(part["weight"], -MAX_WHOLE))
        for part in fields.get("weightedClusters") or ()
    )
    return Route(
        name=check_text(fields["name"]),
        host=check_text(fields["host"]),
        path=check_text(fields["prefix"]),
        service=check_name(fields["service"]) if fields.get("service") else "",
        place=place,
        methods=_ALL_METHODS,
        idempotent=fields.get("kind") == "idempotent",
        timeout_ms=round(1000 * _seconds(fields, "timeout", DEFAULT_TIMEOUT_S)),
        parts=parts,
        rank=check_whole(fields.get("priority", DEFAULT_RANK)),
        max_attempts=check_whole(fields.get("maxAttempts", DEFAULT_MAX_ATTEMPTS)),
        target_latency_ms=round(
            1000 * _seconds(fields, "targetLatency", DEFAULT_TARGET_LATENCY_S)
        ),
        public=check_flag(fields.get("public", False)),
    )


def _decode_workspace(fields: Mapping[str, Any]) -> Workspace:
    name = check_name(fields["name"])
    if not name.isascii():
        raise DecodeError("the name must be of ASCII characters to be sent in a header")
    keys = fields.get("apiKeys", [])
    if not isinstance(keys, list):
        raise DecodeError(f"apiKeys must be a list, not {type(keys).__name__}")
    digests = [digest_key(check_text(key).encode()) for key in keys]
    rank = fields.get("priority")
    return Workspace(
        name=name,
        key_digests=tuple(dict.fromkeys(digests)),
        rank=None if rank is None else check_whole(rank),
        rate_per_s=_check_not_negative("ratePerS", fields.get("ratePerS", 0)),
        burst=_check_not_negative("burst", fields.get("burst", 0)),
    )


def _check_not_negative(name: str, value: Any) -> float:
    number = check_number(value)
    if number < 0:
        raise DecodeError(f"{name} must not be below 0")
    return number
