"""Decode what an upstream says of itself, and encode the answer."""

from __future__ import annotations

import json
from typing import Any

from agaterelay.core.announcement import Announcement
from agaterelay.platform.units import parse_seconds

PATH_PREFIX = "/v1/instances/"
READY_PATH = "/v1/ready"
MAX_BODY_BYTES = 16 << 10
_STATES = {"ready": False, "draining": True}


def decode_announcement(instance: str, body: bytes) -> Announcement | str:
    """Return an announcement, or why it names no upstream to use."""
    try:
        tree = json.loads(body)
    except (ValueError, RecursionError):
        return "not JSON"
    if not isinstance(tree, dict):
        return "not an object"
    if not instance:
        return "no instance id"
    for name in ("service", "address", "zone", "version"):
        if not isinstance(tree.get(name), str) or not tree[name]:
            return f"{name} is no text"
    if tree.get("state") not in _STATES:
        return "unknown state"
    for name in ("concurrency", "sequence"):
        if not _is_whole(tree.get(name)):
            return f"{name} is no whole number"
    # "born" is the Unix millisecond of the start; older senders leave it out.
    born = tree.get("born", 0)
    if not _is_whole(born):
        return "born is no whole number"
    try:
        warm_in_s = parse_seconds(tree.get("coldLeft", "0ms"))
    except ValueError:
        return "coldLeft is no time"
    return Announcement(
        instance=instance,
        born_ms=born,
        sequence=tree["sequence"],
        service=tree["service"],
        version=tree["version"],
        address=tree["address"],
        zone=tree["zone"],
        slots=tree["concurrency"],
        draining=_STATES[tree["state"]],
        warm_up_s=warm_in_s,
    )


def decode_born_ms(body: bytes) -> int | None:
    """Return the start that a withdrawal is of, None where it does not say."""
    try:
        tree = json.loads(body) if body else {}
    except (ValueError, RecursionError):
        return None
    born = tree.get("born") if isinstance(tree, dict) else None
    return born if _is_whole(born) else None


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
