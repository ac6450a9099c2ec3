"""This host's upstreams: announce, renew, drain, withdraw, and expire.

An upstream leaves in the moment it says so: admission reads the same slots, so its
own node gives it no new work from then on, whatever other hosts still believe.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from agaterelay.core.admission import SlotsByAddress, UpstreamSlots
from agaterelay.core.membership import UpstreamInfo
from agaterelay.events import EventKind
from agaterelay.tasks.board import NodeContext

HEARTBEAT_TIMEOUT_S = 4.0
CHECK_PERIOD_S = 0.5
FINISH_TIMEOUT_S = 30.0
FINISH_POLL_S = 0.02


@attrs.define
class Upstreams:
    """The upstreams of this host; ``publish`` tells the fleet of them."""

    node_context: NodeContext
    publish: Callable[[tuple[UpstreamInfo, ...]], None]
    slots: SlotsByAddress = attrs.field(factory=dict)


def announce(upstreams: Upstreams, info: UpstreamInfo) -> None:
    """Take in or renew the announcement of an upstream."""
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
    upstreams.publish(announced(upstreams))


def withdraw(upstreams: Upstreams, address: str) -> UpstreamSlots | None:
    """Forget an upstream that leaves; its calls in flight go on.

    Returns:
        The upstream with its calls in flight, None where it was not known.
    """
    item = upstreams.slots.pop(address, None)
    if item is not None:
        upstreams.node_context.record(EventKind.UPSTREAM_WITHDRAWN, upstream=address)
        upstreams.publish(announced(upstreams))
    return item


async def finish_calls(upstreams: Upstreams, item: UpstreamSlots | None) -> bool:
    """Wait until no call is in flight on an upstream that was withdrawn.

    An upstream may stop as soon as this returns True: nothing is on its way to it.

    Returns:
        Whether all calls ended in time.
    """
    clock = upstreams.node_context.clock
    give_up_s = clock.monotonic_s() + FINISH_TIMEOUT_S
    while item is not None and item.in_flight:
        if clock.monotonic_s() >= give_up_s:
            return False
        await clock.sleep(FINISH_POLL_S)
    return True


def expire_upstreams(upstreams: Upstreams) -> None:
    """Forget upstreams whose heartbeat lapsed."""
    now_s = upstreams.node_context.clock.monotonic_s()
    for address, item in list(upstreams.slots.items()):
        if now_s - item.heartbeat_s > HEARTBEAT_TIMEOUT_S:
            withdraw(upstreams, address)


def announced(upstreams: Upstreams) -> tuple[UpstreamInfo, ...]:
    """Return this host's upstreams, sorted by address."""
    slots = upstreams.slots
    return tuple(slots[address].info for address in sorted(slots))


def forgive_pause(upstreams: Upstreams, pause_s: float) -> None:
    """Leave the time in which this process was paused out of all heartbeats' ages."""
    for item in upstreams.slots.values():
        item.heartbeat_s += pause_s


async def run_upstreams(upstreams: Upstreams) -> None:
    """Expire upstreams until cancelled."""
    clock = upstreams.node_context.clock
    while True:
        before_s = clock.monotonic_s()
        await clock.sleep(CHECK_PERIOD_S)
        late_s = clock.monotonic_s() - before_s - CHECK_PERIOD_S
        if late_s > CHECK_PERIOD_S:
            forgive_pause(upstreams, late_s)
        expire_upstreams(upstreams)
