"""This host's upstreams: announcement, renewal, draining, withdrawal and expiry.

A withdrawal takes effect at once. Admission reads the same slots, so this node sends the
upstream no new calls from then on, even while other hosts still list it.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from agaterelay.core.admission import SlotsByAddress, UpstreamSlots
from agaterelay.core.membership import UpstreamInfo
from agaterelay.events import EventKind
from agaterelay.tasks.board import NodeContext

HEARTBEAT_TIMEOUT_S = 4.0
EXPIRY_CHECK_PERIOD_S = 0.5
FINISH_TIMEOUT_S = 30.0
FINISH_POLL_S = 0.02


@attrs.define
class Upstreams:
    """The upstreams of this host.

    Attributes:
        publish: Called with all announced upstreams after each change, to publish them
            in the membership.
        slots: The upstreams with their slots, by address.
    """

    node_context: NodeContext
    publish: Callable[[tuple[UpstreamInfo, ...]], None]
    slots: SlotsByAddress = attrs.field(factory=dict)


def apply_announcement(upstreams: Upstreams, info: UpstreamInfo) -> None:
    """Add an upstream, or renew and update a known one, and publish the change."""
    now_s = upstreams.node_context.clock.monotonic_s()
    known = upstreams.slots.get(info.address)
    if known is None:
        upstreams.slots[info.address] = UpstreamSlots(info, now_s)
        upstreams.node_context.record(
            EventKind.UPSTREAM_ANNOUNCED,
            upstream=info.address,
            service=info.service,
            version=info.version,
        )
    else:
        if info.draining and not known.info.draining:
            upstreams.node_context.record(
                EventKind.UPSTREAM_DRAINING, upstream=info.address
            )
        known.info = info
        known.heartbeat_s = now_s
    upstreams.publish(announced_upstreams(upstreams))


def apply_withdrawal(upstreams: Upstreams, address: str) -> UpstreamSlots | None:
    """Remove an upstream and publish the change; its calls in flight continue.

    Returns:
        The upstream's slots with its calls in flight, or None if it is unknown.
    """
    item = upstreams.slots.pop(address, None)
    if item is not None:
        upstreams.node_context.record(EventKind.UPSTREAM_WITHDRAWN, upstream=address)
        upstreams.publish(announced_upstreams(upstreams))
    return item


async def finish_calls(upstreams: Upstreams, item: UpstreamSlots | None) -> bool:
    """Wait until a withdrawn upstream has no calls in flight.

    An upstream may stop as soon as this returns True, since no call is on its way to it.

    Returns:
        Whether all calls ended within ``FINISH_TIMEOUT_S`` seconds.
    """
    clock = upstreams.node_context.clock
    deadline_s = clock.monotonic_s() + FINISH_TIMEOUT_S
    while item is not None and item.in_flight:
        if clock.monotonic_s() >= deadline_s:
            return False
        await clock.sleep(FINISH_POLL_S)
    return True


def expire_upstreams(upstreams: Upstreams) -> None:
    """Withdraw upstreams without a heartbeat for ``HEARTBEAT_TIMEOUT_S`` seconds."""
    now_s = upstreams.node_context.clock.monotonic_s()
    for address, item in list(upstreams.slots.items()):
        if now_s - item.heartbeat_s > HEARTBEAT_TIMEOUT_S:
            apply_withdrawal(upstreams, address)


def announced_upstreams(upstreams: Upstreams) -> tuple[UpstreamInfo, ...]:
    """Return this host's upstreams, sorted by address."""
    slots = upstreams.slots
    return tuple(slots[address].info for address in sorted(slots))


def extend_heartbeats(upstreams: Upstreams, pause_s: float) -> None:
    """Exclude the time in which this process was paused from all heartbeats' ages."""
    for item in upstreams.slots.values():
        item.heartbeat_s += pause_s


async def run_upstreams(upstreams: Upstreams) -> None:
    """Expire upstreams periodically until cancelled.

    A sleep that takes far longer than requested means that the whole process was
    paused, and heartbeats could not arrive.
    """
    clock = upstreams.node_context.clock
    while True:
        started_s = clock.monotonic_s()
        await clock.sleep(EXPIRY_CHECK_PERIOD_S)
        pause_s = clock.monotonic_s() - started_s - EXPIRY_CHECK_PERIOD_S
        if pause_s > EXPIRY_CHECK_PERIOD_S:
            extend_heartbeats(upstreams, pause_s)
        expire_upstreams(upstreams)
