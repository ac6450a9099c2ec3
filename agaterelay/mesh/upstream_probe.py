"""Ask this host's upstream for its health, to learn what a restarted node has forgotten."""

from __future__ import annotations

import asyncio

from agaterelay.adapters.http_pool import AnswerLostError, NotSentError, render_head
from agaterelay.core.signals import NO_SIGNALS
from agaterelay.events import EventKind
from agaterelay.mesh.inbound import (
    Inbound,
    apply_health_cold,
    apply_signals,
    current_start,
)

# An announcement is confirmed within one second, and the probe is part of that time.
PROBE_TIMEOUT_S = 0.5


async def probe_upstream(inbound: Inbound, path: str, instance: str) -> bool:
    """Return whether the upstream's health check succeeds and names this instance.

    Its answer also says whether the upstream has a rate limit, is cold, or is about to
    leave. If it says nothing about that, nothing changes.
    """
    clock = inbound.context.clock
    started_s = clock.monotonic_s()
    headers = ((b"Host", inbound.context.deployment.upstream_address.encode()),)
    try:
        connection = await inbound.pool.acquire(started_s)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                answer = await connection.send(
                    render_head("GET", path, headers, b""), b"", b"", False
                )
        except BaseException:
            connection.close()
            raise
    except (NotSentError, AnswerLostError, TimeoutError) as error:
        inbound.context.record(
            EventKind.UPSTREAM_PROBED,
            instance=instance,
            outcome=f"{type(error).__name__}: {error}",
        )
        return False
    inbound.pool.release(connection, clock.monotonic_s())
    headers_by_name = {name.lower(): value for name, value in answer.headers}
    answering_instance = headers_by_name.get(inbound.wire.instance_header, b"").decode(
        "latin-1"
    )
    signals = inbound.wire.signals(answer.status, answer.headers) or NO_SIGNALS
    inbound.context.record(
        EventKind.UPSTREAM_PROBED,
        instance=instance,
        outcome=f"status {answer.status} of {answering_instance or 'an unnamed instance'}",
        rate_limit_per_s=signals.rate_limit_per_s,
    )
    if answering_instance != instance:
        return False
    cold_left_s = inbound.wire.cold_left_s(answer.headers)
    if cold_left_s is not None:
        apply_health_cold(inbound, cold_left_s, started_s)
    if signals != NO_SIGNALS:
        apply_signals(inbound, signals, started_s, current_start(inbound), "")
    return answer.status == 200 and not signals.leaving
