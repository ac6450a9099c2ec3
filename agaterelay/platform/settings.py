"""Read the platform's settings file and check it whole."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from agaterelay.core.deployment import Bounds, Deployment, StoreSettings
from agaterelay.core.model import Finding, Place
from agaterelay.platform.units import parse_seconds

SETTINGS_VARIABLE = "AGATERELAY_CONFIG"
DEFAULT_PATH = "/etc/agaterelay/boot.json"
# Within the ports that the platform leaves to the nodes; deploy/system.toml names it.
METRICS_PORT = 7390

Check = Callable[[Any], Any]


def settings_path() -> Path:
    """Return where the settings of this process are."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"must be a text, not {value!r}")
    return value


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"must be an address like 10.0.0.1:80, not {value!r}")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"must be a number from 0, not {value!r}")
    return float(value)


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, not {value!r}")
    return value


def load_deployment(path: Path) -> tuple[Deployment | None, tuple[Finding, ...]]:
    """Read a settings file.

    Returns:
        The settings and no findings, or None and all findings.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return None, (Finding(Place(str(path)), f"cannot be read: {error}"),)
    return parse_deployment(text, str(path))


def parse_deployment(
    text: str, filename: str
) -> tuple[Deployment | None, tuple[Finding, ...]]:
    """Check the text of a settings file; fields that are not known are ignored."""
    try:
        tree = json.loads(text)
    except ValueError as error:
        line = getattr(error, "lineno", 1)
        return None, (Finding(Place(filename, line), f"is not JSON: {error}"),)
    findings: list[Finding] = []

    def take(path: str, check: Check, default: Any = None) -> Any:
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
        address=take("platform.address", _address),
        max_row_bytes=take("platform.rowBytes", _number, 65_536),
    )
    standard = Bounds()
    bounds = Bounds(
        drain_s=take("bounds.drainTimeout", parse_seconds, standard.drain_s),
        grace_s=take("bounds.grace", parse_seconds, standard.grace_s),
        config_apply_s=take(
            "bounds.configApply", parse_seconds, standard.config_apply_s
        ),
        retry_ratio=take("bounds.retryBudgetRatio", _number, standard.retry_ratio),
        retry_window_s=take(
            "bounds.budgetWindow", parse_seconds, standard.retry_window_s
        ),
        retry_slack=take("bounds.retryBudgetSlack", _number, standard.retry_slack),
        expose_ratio=take("bounds.exposeShare", _number, standard.expose_ratio),
    )
    address = take("ip", _text) or ""
    deployment = Deployment(
        name=take("nodeName", _text),
        zone=take("zone", _text),
        link_address=take("bind.inbound", _address),
        calls_address=take("bind.outbound", _address),
        announce_address=take("bind.admin", _address),
        ready_address=take("bind.ready", _address),
        metrics_address=f"{address}:{METRICS_PORT}",
        service=take("service", _text),
        upstream_address=take("appAddr", _address),
        store=store,
        bounds=bounds,
        heartbeat_s=take("heartbeat", parse_seconds, 1.5),
        first_start=take("bootstrap", _flag, False),
        link_mbps=int(take("limits.linkMbps", _number, 0.0) or 0),
    )
    return (None if findings else deployment), tuple(findings)
