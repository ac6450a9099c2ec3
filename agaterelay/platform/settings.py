"""Parsing and validation of the platform's settings file."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from agaterelay.core.checked import check_name, check_number
from agaterelay.core.deployment import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    Bounds,
    Deployment,
    StoreSettings,
)
from agaterelay.core.model import Finding, Place
from agaterelay.platform.units import parse_seconds

SETTINGS_PATH_VARIABLE = "AGATERELAY_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/agaterelay/boot.json"
# In the port range that the platform assigns to nodes; must match deploy/system.toml.
METRICS_PORT = 7390

Check = Callable[[Any], Any]


def settings_path() -> Path:
    """Return the path of this process's settings file."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"must be a non-empty text, not {value!r}")
    return value


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"must be an address like 10.0.0.1:80, not {value!r}")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"must be a number from 0, not {value!r}")
    return float(check_number(value))


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, not {value!r}")
    return value


def _zone_names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, dict):
        raise ValueError("must be a table of zones and their regions")
    return tuple(sorted(check_name(name) for name in value))


def load_deployment(path: Path) -> tuple[Deployment | None, tuple[Finding, ...]]:
    """Read and check a settings file.

    Returns:
        The settings and no findings, or None and every finding.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return None, (Finding(Place(str(path)), f"cannot be read: {error}"),)
    return parse_deployment(text, str(path))


def parse_deployment(
    text: str, filename: str
) -> tuple[Deployment | None, tuple[Finding, ...]]:
    """Parse and check the text of a settings file; unknown fields are ignored."""
    try:
        tree = json.loads(text)
    except (ValueError, RecursionError) as error:
        line = getattr(error, "lineno", 1)
        return None, (Finding(Place(filename, line), f"is not JSON: {error}"),)
    findings: list[Finding] = []

    def read_setting(path: str, check: Check, default: Any = None) -> Any:
        value: Any = tree
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        if value is None and default is not None:
            return default
        try:
            return check(value)
        except ValueError as error:
            findings.append(Finding(Place(filename), f"{path}: {error}"))
            return None

    store = StoreSettings(
        address=read_setting("platform.address", _address),
        max_row_bytes=read_setting("platform.rowBytes", _number, 65_536),
    )
    defaults = Bounds()
    bounds = Bounds(
        drain_s=read_setting("bounds.drainTimeout", parse_seconds, defaults.drain_s),
        grace_s=read_setting("bounds.grace", parse_seconds, defaults.grace_s),
        config_apply_s=read_setting(
            "bounds.configApply", parse_seconds, defaults.config_apply_s
        ),
        retry_ratio=read_setting(
            "bounds.retryBudgetRatio", _number, defaults.retry_ratio
        ),
        retry_window_s=read_setting(
            "bounds.budgetWindow", parse_seconds, defaults.retry_window_s
        ),
        retry_slack=read_setting(
            "bounds.retryBudgetSlack", _number, defaults.retry_slack
        ),
        expose_ratio=read_setting("bounds.exposeShare", _number, defaults.expose_ratio),
        cold_ratio=read_setting("bounds.coldOver", _number, defaults.cold_ratio),
        cold_slack=read_setting("bounds.coldSlack", _number, defaults.cold_slack),
        evacuation_s=read_setting("bounds.evac", parse_seconds, defaults.evacuation_s),
        allotment_window_s=read_setting(
            "bounds.quotaWindow", parse_seconds, defaults.allotment_window_s
        ),
        allotment_excess_ratio=read_setting(
            "bounds.quotaOver", _number, defaults.allotment_excess_ratio
        ),
        allotment_slack=read_setting(
            "bounds.quotaSlack", _number, defaults.allotment_slack
        ),
    )
    address = read_setting("ip", _text) or ""
    deployment = Deployment(
        name=read_setting("nodeName", check_name),
        zone=read_setting("zone", check_name),
        link_address=read_setting("bind.inbound", _address),
        calls_address=read_setting("bind.outbound", _address),
        announce_address=read_setting("bind.admin", _address),
        ready_address=read_setting("bind.ready", _address),
        metrics_address=f"{address}:{METRICS_PORT}",
        service=read_setting("service", check_name),
        upstream_address=read_setting("appAddr", _address),
        store=store,
        bounds=bounds,
        heartbeat_s=read_setting("heartbeat", parse_seconds, 1.5),
        first_start=read_setting("bootstrap", _flag, False),
        memory_mb=int(read_setting("limits.memoryMb", _number, DEFAULT_MEMORY_MB) or 0),
        link_mbps=int(read_setting("limits.linkMbps", _number, 0.0) or 0),
        zones=read_setting("zones", _zone_names, ()),
        max_descriptors=int(
            read_setting("limits.maxFds", _number, DEFAULT_MAX_DESCRIPTORS) or 0
        ),
    )
    return (None if findings else deployment), tuple(findings)
