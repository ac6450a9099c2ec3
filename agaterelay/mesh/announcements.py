"""Take in what this host's upstream says of itself, and confirm it."""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.core.announcement import (
    Announcement,
    UpstreamState,
    accept,
    confirm,
    withdraw,
)
from agaterelay.core.membership import UpstreamInfo
from agaterelay.events import EventKind
from agaterelay.mesh.gate import (
    Inbound,
    apply_upstream_state,
    probe_upstream,
    reset_instance_state,
)
from agaterelay.mesh.own_row import tell_own, try_write_own_row
from agaterelay.mesh.watch import Watch

# A leave is confirmed within the second that the upstream waits, with the store or
# without; the links have been told by then.
LEAVE_WRITE_TIMEOUT_S = 0.5
# Announcements may be some seconds late.
LAPSE_HEARTBEATS = 4


async def take_announcement(watch: Watch, inbound: Inbound, word: Announcement) -> None:
    """Take in a word of the upstream; when this returns it may be confirmed."""
    line = inbound.line
    before = line.current
    now_s = watch.context.clock.monotonic_s()
    was = line.state
    news = accept(line, word, now_s)
    if line.doubted and not word.draining and line.current is word:
        news = await _ask_upstream(watch, inbound, word.instance) and confirm(line)
    if not news:
        return
    if before is None or (before.instance, before.born_ms) != (
        word.instance,
        word.born_ms,
    ):
        reset_instance_state(inbound)
    await _follow(watch, inbound, was)


async def _ask_upstream(watch: Watch, inbound: Inbound, instance: str) -> bool:
    """Ask the upstream itself whether it is there and not about to leave.

    A restarted node does not know what it had confirmed before. Without this answer a
    second word of the upstream has to follow the first, which may be a late one.
    """
    table = watch.state.table
    service = watch.context.deployment.service
    path = table.health_paths.get(service) if table else None
    if path is None:
        return False
    return await probe_upstream(inbound, path, instance)


async def take_withdrawal(
    watch: Watch, inbound: Inbound, instance: str, born_ms: int | None
) -> None:
    """Take in that an upstream ends; when this returns it may be confirmed."""
    was = inbound.line.state
    if withdraw(inbound.line, instance, born_ms):
        await _follow(watch, inbound, was)


async def _follow(watch: Watch, inbound: Inbound, was: UpstreamState) -> None:
    line = inbound.line
    word = line.current
    apply_upstream_state(inbound)
    _publish(watch, inbound)
    if line.state is was and line.state is not UpstreamState.READY:
        return
    kinds = {
        UpstreamState.READY: EventKind.UPSTREAM_ANNOUNCED,
        UpstreamState.DRAINING: EventKind.UPSTREAM_DRAINING,
        UpstreamState.GONE: EventKind.UPSTREAM_WITHDRAWN,
    }
    if line.state is not was and line.state in kinds:
        watch.context.record(
            kinds[line.state],
            instance=word.instance if word else "",
            born_ms=word.born_ms if word else 0,
            sequence=word.sequence if word else 0,
            version=word.version if word else "",
            before=was.value,
            calls_in_flight=inbound.queue.in_use,
        )
    if line.state in (UpstreamState.DRAINING, UpstreamState.GONE):
        try:
            async with asyncio.timeout(LEAVE_WRITE_TIMEOUT_S):
                await try_write_own_row(watch)
        except TimeoutError:
            watch.context.record(
                EventKind.PLATFORM_LOST, table="own row", reason="leave not written"
            )


def _publish(watch: Watch, inbound: Inbound) -> None:
    """Make this host's entry say what its upstream is, where that has changed."""
    word = inbound.line.current
    state = inbound.line.state
    upstreams: tuple[UpstreamInfo, ...] = ()
    if word is not None and state in (UpstreamState.READY, UpstreamState.DRAINING):
        upstreams = (
            UpstreamInfo(
                service=word.service,
                version=word.version,
                address=word.address,
                slots=word.slots,
                draining=state is UpstreamState.DRAINING,
                instance=word.instance,
                born_ms=word.born_ms,
            ),
        )
    own = watch.state.own
    if own.upstreams == upstreams:
        return
    watch.state.own = attrs.evolve(own, upstreams=upstreams, sequence=own.sequence + 1)
    tell_own(watch)


def tell_stopping(watch: Watch) -> None:
    """Tell all that this host's upstream takes no more calls from this node."""
    own = watch.state.own
    upstreams = tuple(attrs.evolve(item, draining=True) for item in own.upstreams)
    watch.state.own = attrs.evolve(own, upstreams=upstreams, sequence=own.sequence + 1)
    tell_own(watch)


def lapse_if_silent(watch: Watch, inbound: Inbound) -> None:
    """Take an upstream that has not spoken for several heartbeats for crashed."""
    line = inbound.line
    quiet_s = watch.context.clock.monotonic_s() - line.heard_s
    limit_s = LAPSE_HEARTBEATS * watch.context.deployment.heartbeat_s
    if line.state is not UpstreamState.READY or quiet_s < limit_s:
        return
    line.state = UpstreamState.UNKNOWN
    watch.context.record(
        EventKind.UPSTREAM_WITHDRAWN,
        instance=line.current.instance if line.current else "",
        before=UpstreamState.READY.value,
        quiet_s=round(quiet_s, 1),
    )
    apply_upstream_state(inbound)
    _publish(watch, inbound)
