"""What a configuration's text shows that its decoded form does not."""

from __future__ import annotations

from agaterelay.core.checked import load_json
from agaterelay.core.model import Finding, Place
from agaterelay.platform.headers import find_key_fault

# The operator's names of fields, for differences between configurations.
FIELD_NAMES = {
    "burst": "burst",
    "duration_s": "coldStart",
    "header_timeout_s": "headerTimeout",
    "idle_timeout_s": "idleTimeout",
    "max_attempts": "maxAttempts",
    "max_body_bytes": "maxBodyBytes",
    "max_header_bytes": "maxHeaderBytes",
    "parts": "weightedClusters",
    "rank": "priority",
    "rate_per_s": "rate",
    "target_latency_ms": "targetLatency",
    "timeout_ms": "timeout",
}


def check_keys(value: bytes, filename: str) -> tuple[Finding, ...]:
    """Return the keys that have no effect: given twice, or not to be sent.

    Args:
        value: A document that can be decoded.
        filename: The name of its file, for the findings.
    """
    tenants = load_json(value).get("tenants")
    if tenants is None or "apiKeys" not in tenants["columns"]:
        return ()
    column = tenants["columns"].index("apiKeys")
    findings = []
    for number, row in enumerate(tenants["rows"], 1):
        first_at: dict[str, int] = {}
        for position, key in enumerate(row[column] or (), 1):
            message = find_key_fault(key.encode())
            if key != key.strip(" \t"):
                message = "the key begins or ends with a space"
            first = first_at.setdefault(key, position)
            if first != position:
                message = f"the key is given before, as key {first}"
            if message:
                section = f"tenants, row {number}, key {position}"
                findings.append(Finding(Place(filename), message, section))
    return tuple(findings)
