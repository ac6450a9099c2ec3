"""Take in what this host's upstream says of itself, and confirm it."""

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
from agaterelay.mesh.gate import Gate, begin_instance, follow_line, probe
from agaterelay.mesh.own_row import tell_own, try_write_own_row
from agaterelay.mesh.watch import Watch

# A leave is confirmed within the second that the upstream waits, with the store or
# without; the links have been told by then.
LEAVE_WRITE_TIMEOUT_S = 0.5
# Announcements may be some seconds late.
LAPSE_HEARTBEATS = 4


async def take_announcement(watch: Watch, gate: Gate, word: Announcement) -> None:
    """Take in a word of the upstream; when this returns it may be confirmed."""
    line = gate.line
    before = line.current
    now_s = watch.context.clock.monotonic_s()
    was = line.state
    news = apply_announcement(line, word, now_s)
    if line.unconfirmed and not word.draining and line.current is word:
        news = await _ask_upstream(watch, gate, word.instance) and apply_confirmation(
            line
        )
    if not news:
        return
    if before is None or (before.instance, before.born_ms) != (
        word.instance,
        word.born_ms,
    ):
        begin_instance(gate)
    await _follow(watch, gate, was)


async def _ask_upstream(watch: Watch, gate: Gate, instance: str) -> bool:
    """Ask the upstream itself whether it is there and not about to leave.

    A restarted node does not know what it had confirmed before. Without this answer a
    second word of the upstream has to follow the first, which may be a late one.
    """
    table = watch.state.table
    service = watch.context.deployment.service
    path = table.health_paths.get(service) if table else None
    if path is None:
        return False
    return await probe(gate, path, instance)


async def take_withdrawal(
    watch: Watch, gate: Gate, instance: str, born_ms: int | None
) -> None:
    """Take in that an upstream ends; when this returns it may be confirmed."""
    was = gate.line.state
    if apply_withdrawal(gate.line, instance, born_ms):
        await _follow(watch, gate, was)


async def _follow(watch: Watch, gate: Gate, was: UpstreamState) -> None:
    line = gate.line
    word = line.current
    follow_line(gate)
    _publish(watch, gate)
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
            calls_in_flight=gate.queue.in_use,
        )
    if line.state in (UpstreamState.DRAINING, UpstreamState.GONE):
        try:
            async with asyncio.timeout(LEAVE_WRITE_TIMEOUT_S):
                await try_write_own_row(watch)
        except TimeoutError:
            watch.context.record(
                EventKind.PLATFORM_LOST, table="own row", reason="leave not written"
            )


def _publish(watch: Watch, gate: Gate) -> None:
    """Make this host's entry say what its upstream is, where that has changed."""
    word = gate.line.current
    state = gate.line.state
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


def lapse_if_silent(watch: Watch, gate: Gate) -> None:
    """Take an upstream that has not spoken for several heartbeats for crashed."""
    line = gate.line
    quiet_s = watch.context.clock.monotonic_s() - line.last_received_s
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
    follow_line(gate)
    _publish(watch, gate)
