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
    treat_as_cold,
)

# An announcement is confirmed within one second, and the probe is part of that time.
PROBE_TIMEOUT_S = 0.5
# An upstream that ends closes its connections some time before its listening socket.
CLOSING_S = 0.02


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


def check_for_end(inbound: Inbound) -> None:
    """Check whether the upstream has ended, after it has closed an idle connection.

    Without a call that finds it gone, nothing else tells of its end before it announces
    its next start. This is of no use where the service has no cold limit.
    """
    if inbound.end_check is None and inbound.cold_limit() is not None:
        inbound.end_check = asyncio.get_running_loop().create_task(_connect(inbound))


async def _connect(inbound: Inbound) -> None:
    """Open a connection to the upstream; if it is refused, treat the upstream as cold."""
    clock = inbound.context.clock
    try:
        await clock.sleep(CLOSING_S)
        connection = await inbound.pool.acquire(clock.monotonic_s())
    except NotSentError:
        treat_as_cold(inbound, "no connection")
    else:
        if connection.was_used:
            inbound.pool.release(connection, clock.monotonic_s())
        else:
            # Kept in the pool, it would be checked again whenever it is idle too long.
            connection.close()
    finally:
        inbound.end_check = None
