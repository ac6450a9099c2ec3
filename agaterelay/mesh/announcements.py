"""Handle the announcements of this host's upstream, and publish its state."""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.core.announcement import (
    Announcement,
    UpstreamState,
    apply_announcement,
    apply_confirmation,
    apply_withdrawal,
)
from agaterelay.core.membership import UpstreamInfo
from agaterelay.events import EventKind
from agaterelay.mesh.inbound import (
    SILENCE_LIMIT_HEARTBEATS,
    Inbound,
    apply_announcement_cold,
    apply_upstream_state,
    reset_instance_state,
    treat_as_cold,
)
from agaterelay.mesh.member_rows import publish_own_member, try_write_own_row
from agaterelay.mesh.store_watch import StoreWatch
from agaterelay.mesh.upstream_probe import probe_upstream

# An upstream waits one second for its draining or withdrawal to be confirmed. It is
# confirmed in time even without the store; the linked nodes are notified before the write.
LEAVE_WRITE_TIMEOUT_S = 0.5
# How long the answer to an announcement waits for the configuration, which names the path
# of the health check. The upstream announces itself again only after a heartbeat.
TABLE_WAIT_S = 0.4
TABLE_POLL_S = 0.02


async def handle_announcement(
    watch: StoreWatch, inbound: Inbound, announcement: Announcement
) -> None:
    """Handle an announcement of the upstream; it may be confirmed on return."""
    line = inbound.line
    before = line.current
    now_s = watch.context.clock.monotonic_s()
    previous_state = line.state
    changed = apply_announcement(line, announcement, now_s)
    if line.current is announcement and (
        before is None
        or (before.instance, before.born_ms)
        != (announcement.instance, announcement.born_ms)
    ):
        reset_instance_state(inbound)
    if line.current is announcement:
        apply_announcement_cold(inbound, announcement.warm_up_s)
    if line.unconfirmed and not announcement.draining and line.current is announcement:
        changed = await _confirm_by_probe(
            watch, inbound, announcement.instance
        ) and apply_confirmation(line)
    if changed:
        await _publish_state_change(watch, inbound, previous_state)


async def _confirm_by_probe(watch: StoreWatch, inbound: Inbound, instance: str) -> bool:
    """Probe whether the upstream is running and not about to leave.

    A restarted node does not know which announcements it confirmed before, so those that
    come may be out of date. If the probe fails, the next announcement is probed.
    """
    await _await_table(watch)
    table = watch.state.table
    service = watch.context.deployment.service
    path = table.health_paths.get(service) if table else None
    if path is None or not await probe_upstream(inbound, path, instance):
        return False
    current = inbound.line.current
    return current is not None and current.instance == instance


async def _await_table(watch: StoreWatch) -> None:
    """Wait until a configuration is active, for a limited time."""
    clock = watch.context.clock
    give_up_s = clock.monotonic_s() + TABLE_WAIT_S
    while watch.state.table is None and clock.monotonic_s() < give_up_s:
        await clock.sleep(TABLE_POLL_S)


async def handle_withdrawal(
    watch: StoreWatch, inbound: Inbound, instance: str, born_ms: int | None
) -> None:
    """Handle an upstream's withdrawal; it may be confirmed on return."""
    previous_state = inbound.line.state
    if apply_withdrawal(inbound.line, instance, born_ms):
        await _publish_state_change(watch, inbound, previous_state)


def apply_leaving(
    watch: StoreWatch, inbound: Inbound, previous_state: UpstreamState
) -> None:
    """Apply and publish that the upstream leaves, as it has said in an answer.

    The row in the store is written by its own task, as no confirmation waits for it.
    """
    _apply_state_change(watch, inbound, previous_state, source="answer")


async def _publish_state_change(
    watch: StoreWatch, inbound: Inbound, previous_state: UpstreamState
) -> None:
    line = inbound.line
    _apply_state_change(watch, inbound, previous_state, source="announcement")
    if line.state is previous_state and line.state is not UpstreamState.READY:
        return
    if line.state in (UpstreamState.DRAINING, UpstreamState.GONE):
        try:
            async with asyncio.timeout(LEAVE_WRITE_TIMEOUT_S):
                await try_write_own_row(watch)
        except TimeoutError:
            watch.context.record(
                EventKind.PLATFORM_LOST, table="own row", reason="leave not written"
            )


def _apply_state_change(
    watch: StoreWatch, inbound: Inbound, previous_state: UpstreamState, source: str
) -> None:
    """Apply the upstream's state to the inbound proxy, publish and log it."""
    line = inbound.line
    announcement = line.current
    apply_upstream_state(inbound)
    _publish_upstream(watch, inbound)
    kinds = {
        UpstreamState.READY: EventKind.UPSTREAM_ANNOUNCED,
        UpstreamState.DRAINING: EventKind.UPSTREAM_DRAINING,
        UpstreamState.GONE: EventKind.UPSTREAM_WITHDRAWN,
    }
    if line.state is not previous_state and line.state in kinds:
        watch.context.record(
            kinds[line.state],
            instance=announcement.instance if announcement else "",
            born_ms=announcement.born_ms if announcement else 0,
            sequence=announcement.sequence if announcement else 0,
            version=announcement.version if announcement else "",
            source=source,
            before=previous_state.value,
            calls_in_flight=inbound.queue.in_use,
        )


def _publish_upstream(watch: StoreWatch, inbound: Inbound) -> None:
    """Publish this host's member record if its upstream has changed."""
    announcement = inbound.line.current
    state = inbound.line.state
    upstreams: tuple[UpstreamInfo, ...] = ()
    if announcement is not None and state in (
        UpstreamState.READY,
        UpstreamState.DRAINING,
    ):
        upstreams = (
            UpstreamInfo(
                service=announcement.service,
                version=announcement.version,
                address=announcement.address,
                slots=announcement.slots,
                draining=state is UpstreamState.DRAINING,
                instance=announcement.instance,
                born_ms=announcement.born_ms,
            ),
        )
    own = watch.state.own
    if own.upstreams == upstreams:
        return
    watch.state.own = attrs.evolve(own, upstreams=upstreams, sequence=own.sequence + 1)
    publish_own_member(watch)


def publish_stopping(watch: StoreWatch) -> None:
    """Publish that this host's upstream is draining, because this node stops."""
    own = watch.state.own
    upstreams = tuple(attrs.evolve(item, draining=True) for item in own.upstreams)
    watch.state.own = attrs.evolve(own, upstreams=upstreams, sequence=own.sequence + 1)
    publish_own_member(watch)


def expire_silent_upstream(watch: StoreWatch, inbound: Inbound) -> None:
    """Consider an upstream crashed that has been silent for several heartbeats."""
    line = inbound.line
    quiet_s = watch.context.clock.monotonic_s() - line.last_received_s
    limit_s = SILENCE_LIMIT_HEARTBEATS * watch.context.deployment.heartbeat_s
    if line.state is not UpstreamState.READY or quiet_s < limit_s:
        return
    line.state = UpstreamState.UNKNOWN
    treat_as_cold(inbound, "silent")
    watch.context.record(
        EventKind.UPSTREAM_WITHDRAWN,
        instance=line.current.instance if line.current else "",
        before=UpstreamState.READY.value,
        quiet_s=round(quiet_s, 1),
    )
    apply_upstream_state(inbound)
    _publish_upstream(watch, inbound)
