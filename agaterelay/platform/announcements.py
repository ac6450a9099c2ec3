"""Decoding of the announcements that upstreams send to their host's node."""

from __future__ import annotations

from typing import Any

from agaterelay.core.announcement import Announcement
from agaterelay.core.checked import (
    DecodeError,
    check_address,
    check_name,
    check_whole,
    load_json,
)
from agaterelay.platform.units import parse_seconds

PATH_PREFIX = "/v1/instances/"
READY_PATH = "/v1/ready"
MAX_BODY_BYTES = 16 << 10
_STATES = {"ready": False, "draining": True}


def decode_announcement(instance: str, body: bytes) -> Announcement | str:
    """Return an announcement, or the reason why it is invalid.

    Args:
        instance: The instance id from the request's path.
        body: The JSON body of the request.
    """
    try:
        fields = load_json(body)
    except DecodeError:
        return "not JSON"
    if not isinstance(fields, dict):
        return "not an object"
    for name, value in (
        ("instance id", instance),
        *((name, fields.get(name)) for name in ("service", "zone", "version")),
    ):
        try:
            check_name(value)
        except DecodeError as error:
            return f"{name} {error}"
    try:
        check_address(fields.get("address"))
    except DecodeError:
        return "address is no address"
    if not isinstance(fields.get("state"), str) or fields["state"] not in _STATES:
        return "unknown state"
    for name in ("concurrency", "sequence"):
        if not _is_non_negative_int(fields.get(name)):
            return f"{name} is no whole number"
    # "born" is the upstream's start time in Unix milliseconds; older senders omit it.
    born = fields.get("born", 0)
    if not _is_non_negative_int(born):
        return "born is no whole number"
    try:
        warm_in_s = parse_seconds(fields.get("coldLeft", "0ms"))
    except ValueError:
        return "coldLeft is no time"
    return Announcement(
        instance=instance,
        born_ms=born,
        sequence=fields["sequence"],
        service=fields["service"],
        version=fields["version"],
        address=fields["address"],
        zone=fields["zone"],
        slots=fields["concurrency"],
        draining=_STATES[fields["state"]],
        warm_up_s=warm_in_s,
    )


def decode_born_ms(body: bytes) -> int | None:
    """Return the start time of the withdrawn upstream, or None if it is not stated."""
    try:
        fields = load_json(body) if body else {}
    except DecodeError:
        return None
    born = fields.get("born") if isinstance(fields, dict) else None
    return born if _is_non_negative_int(born) else None


def _is_non_negative_int(value: Any) -> bool:
    try:
        return check_whole(value) >= 0
    except DecodeError:
        return False
