"""Decode the operator's configuration document."""

from __future__ import annotations

import json
from collections.abc import Hashable, Mapping, Sequence
from typing import Any

import attrs

from agaterelay.core.model import CallerLimits, Finding, Place, Route, RouteTable
from agaterelay.platform.units import parse_seconds

CONFIG_KEY = "config"
# A route that does not say is not repeated, and waits as long as a patient caller.
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_TARGET_S = 1.0
DEFAULT_RANK = 1
DEFAULT_MAX_ATTEMPTS = 1
_ALL_METHODS = ()
# What a document of another shape than the published one raises.
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


@attrs.define
class KnownRoutes:
    """The routes of the configuration decoded last, by their encoded rows."""

    columns: tuple[str, ...] = ()
    routes: dict[Hashable, Route] = attrs.field(factory=dict)


def decode_config(
    value: bytes, filename: str = "op/config", known: KnownRoutes | None = None
) -> tuple[RouteTable | None, tuple[Finding, ...]]:
    """Decode a configuration document.

    Args:
        value: The document.
        filename: What findings name as its place.
        known: The routes that were decoded last, changed in place. Successive
            configurations differ in a few of some thousand routes; the others are
            taken from here.

    Returns:
        The configuration and no findings, or None and all findings.
    """
    findings: list[Finding] = []

    def note(where: str, error: Exception) -> None:
        reason = f"no {error}" if isinstance(error, KeyError) else str(error)
        findings.append(Finding(Place(filename), reason, where))

    try:
        tree = json.loads(value)
        revision = int(tree["version"], 16)
        limits = _decode_limits(tree.get("limits") or {})
        columns = tuple(tree["routes"]["columns"])
        route_rows = list(tree["routes"]["rows"])
        service_rows = _records(tree["services"])
    except _MALFORMED as error:
        note("", error)
        return None, tuple(findings)
    routes: list[Route] = []
    before = known.routes if known and known.columns == columns else {}
    decoded: dict[Hashable, Route] = {}
    place = Place(filename)
    for number, row in enumerate(route_rows, 1):
        try:
            key = _row_key(row)
            route = before.get(key) or _decode_route(_record(columns, row), place)
        except _MALFORMED as error:
            note(f"routes, row {number}", error)
        else:
            routes.append(route)
            decoded[key] = route
    health_paths: dict[str, str] = {}
    for number, row in enumerate(service_rows, 1):
        try:
            health_paths[str(row["name"])] = str(row.get("healthPath") or "/")
        except _MALFORMED as error:
            note(f"services, row {number}", error)
    if findings:
        return None, tuple(findings)
    if known is not None:
        known.columns, known.routes = columns, decoded
    return RouteTable(revision, tuple(routes), health_paths, limits, value), ()


def _row_key(row: Any) -> Hashable:
    """Return what tells a row from all others that differ from it.

    Rows of a split hold a list and are told by their text.
    """
    key = tuple(row)
    try:
        hash(key)
    except TypeError:
        return repr(row)
    return key


def _record(columns: Sequence[str], row: Sequence[Any]) -> Mapping[str, Any]:
    """Return a row of a list that names its columns once; null means left out.

    Raises:
        ValueError: The row has more or fewer values than there are columns.
    """
    return {
        name: value
        for name, value in zip(columns, row, strict=True)
        if value is not None
    }


def _records(encoded: Any) -> list[Mapping[str, Any]]:
    """Return the records of a list that names its columns once.

    Raises:
        ValueError: A row has more or fewer values than there are columns.
    """
    return [_record(encoded["columns"], row) for row in encoded["rows"]]


def _decode_limits(fields: Mapping[str, Any]) -> CallerLimits:
    standard = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(fields.get("maxHeaderBytes", standard.max_header_bytes)),
        max_body_bytes=int(fields.get("maxBodyBytes", standard.max_body_bytes)),
        header_timeout_s=_seconds(fields, "headerTimeout", standard.header_timeout_s),
        idle_timeout_s=_seconds(fields, "idleTimeout", standard.idle_timeout_s),
    )


def _seconds(fields: Mapping[str, Any], name: str, default_s: float) -> float:
    return parse_seconds(fields[name]) if name in fields else default_s


def _decode_route(fields: Mapping[str, Any], place: Place) -> Route:
    parts = tuple(
        (str(part["service"]), int(part["weight"]))
        for part in fields.get("weightedClusters") or ()
    )
    return Route(
        name=str(fields["name"]),
        host=str(fields["host"]),
        path=str(fields["prefix"]),
        service=str(fields.get("service") or ""),
        place=place,
        methods=_ALL_METHODS,
        idempotent=fields.get("kind") == "idempotent",
        timeout_ms=round(1000 * _seconds(fields, "timeout", DEFAULT_TIMEOUT_S)),
        parts=parts,
        rank=int(fields.get("priority", DEFAULT_RANK)),
        max_attempts=int(fields.get("maxAttempts", DEFAULT_MAX_ATTEMPTS)),
        target_latency_ms=round(
            1000 * _seconds(fields, "targetLatency", DEFAULT_TARGET_S)
        ),
    )
