"""Admit calls to this host's upstreams: slots, drain, and who waits."""

from __future__ import annotations

import attrs

from agaterelay.core.membership import UpstreamInfo


@attrs.define
class UpstreamSlots:
    """The calls in flight on one upstream of this host."""

    info: UpstreamInfo
    heartbeat_s: float
    in_flight: int = 0


# Slots by the upstream's address.
Slots = dict[str, UpstreamSlots]


def admit(slots: Slots, service: str, version: str) -> UpstreamSlots | None:
    """Take a slot of the least loaded upstream that serves a version.

    Returns:
        The upstream, None where none takes new work.
    """
    candidates = [
        item
        for item in slots.values()
        if item.info.service == service
        and item.info.version == version
        and not item.info.draining
        and item.in_flight < item.info.slots
    ]
    if not candidates:
        return None
    chosen = min(candidates, key=lambda item: item.in_flight / item.info.slots)
    chosen.in_flight += 1
    return chosen


def release(item: UpstreamSlots) -> None:
    """Give a slot back."""
    item.in_flight -= 1
