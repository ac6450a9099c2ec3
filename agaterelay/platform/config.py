"""Decode the operator's configuration document."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

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


def decode_config(
    value: bytes, filename: str = "op/config"
) -> tuple[RouteTable | None, tuple[Finding, ...]]:
    """Decode a configuration document.

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
        route_rows = _records(tree["routes"])
        service_rows = _records(tree["services"])
    except _MALFORMED as error:
        note("", error)
        return None, tuple(findings)
    routes: list[Route] = []
    for number, row in enumerate(route_rows, 1):
        try:
            routes.append(_decode_route(row, Place(filename)))
        except _MALFORMED as error:
            note(f"routes, row {number}", error)
    health_paths: dict[str, str] = {}
    for number, row in enumerate(service_rows, 1):
        try:
            health_paths[str(row["name"])] = str(row.get("healthPath") or "/")
        except _MALFORMED as error:
            note(f"services, row {number}", error)
    if findings:
        return None, tuple(findings)
    return RouteTable(revision, tuple(routes), health_paths, limits, value), ()


def _records(encoded: Any) -> list[Mapping[str, Any]]:
    """Return the records of a list that names its columns once.

    Null means left out.

    Raises:
        ValueError: A row has more or fewer values than there are columns.
    """
    columns = encoded["columns"]
    return [
        {
            name: value
            for name, value in zip(columns, row, strict=True)
            if value is not None
        }
        for row in encoded["rows"]
    ]


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
