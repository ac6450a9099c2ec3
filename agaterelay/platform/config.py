"""Decode the operator's configuration document."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
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


def decode_config(value: bytes, filename: str = "op/config") -> RouteTable | Finding:
    """Return a configuration document, or what is wrong with it."""
    place = Place(filename)
    try:
        tree = json.loads(value)
        limits = tree.get("limits") or {}
        standard = CallerLimits()
        return RouteTable(
            revision=int(tree["version"], 16),
            routes=tuple(_decode_route(row, place) for row in _records(tree["routes"])),
            health_paths={
                str(row["name"]): str(row.get("healthPath") or "/")
                for row in _records(tree["services"])
            },
            limits=CallerLimits(
                max_header_bytes=int(
                    limits.get("maxHeaderBytes", standard.max_header_bytes)
                ),
                max_body_bytes=int(limits.get("maxBodyBytes", standard.max_body_bytes)),
                header_timeout_s=_seconds(limits, "headerTimeout", 3.0),
                idle_timeout_s=_seconds(limits, "idleTimeout", 15.0),
            ),
            source=value,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Finding(place, f"not a configuration: {type(error).__name__}: {error}")


def _records(encoded: Any) -> Iterable[Mapping[str, Any]]:
    """Yield the records of a list that names its columns once; null means left out."""
    columns = encoded["columns"]
    for row in encoded["rows"]:
        pairs = zip(columns, row, strict=True)
        yield {name: value for name, value in pairs if value is not None}


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
