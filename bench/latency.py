"""The latency that nodes add to a call, compared with calling the upstream directly.

One run alternates between all variants, so that changes in the machine's speed affect
them alike: the upstream itself; through the node of the upstream's own host; through
another node, which adds a hop; and through the caller library, which routes in its own
process.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import Any

from agaterelay.adapters.http import open_session, send_once
from agaterelay.client import Caller
from agaterelay.core.outcome import Answered
from bench.fleet import Fleet
from bench.measure import summarize_values, write_result
from standins.deployment import deployment, fetch, start_upstream, wait_until

RATE_PER_S = 186
ROUND_DURATION_S = 4.0
ROUND_COUNT = 4
IN_FLIGHT_COUNT = 48
SATURATED_DURATION_S = 4.0
TIMEOUT_S = 5.0
TARGET_P99_MS = 0.92
PATH = "/service-0/first"
SLOTS = 64

Send = Callable[[], Awaitable[bool]]


async def send_at_rate(send: Send, rate_per_s: float, duration_s: float) -> list[float]:
    """Send at a rate in an open loop; return each call's latency in milliseconds."""
    latencies_ms: list[float] = []

    async def send_one() -> None:
        started_s = time.perf_counter()
        if await send():
            latencies_ms.append((time.perf_counter() - started_s) * 1000)

    async with asyncio.TaskGroup() as group:
        first_send_s = time.perf_counter()
        for number in range(int(rate_per_s * duration_s)):
            delay_s = first_send_s + number / rate_per_s - time.perf_counter()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            group.create_task(send_one())
    return latencies_ms


async def send_closed_loop(
    send: Send, concurrency: int, duration_s: float
) -> list[float]:
    """Keep a number of calls in flight; return each one's latency in milliseconds."""
    latencies_ms: list[float] = []
    end_s = time.perf_counter() + duration_s

    async def send_many() -> None:
        while time.perf_counter() < end_s:
            started_s = time.perf_counter()
            if await send():
                latencies_ms.append((time.perf_counter() - started_s) * 1000)

    await asyncio.gather(*(send_many() for _ in range(concurrency)))
    return latencies_ms


def make_http_sender(session: Any, address: str) -> Send:
    """Return a function that sends one plain request to an address."""

    async def send() -> bool:
        headers = [("Request-Id", "bench")]
        answer = await send_once(session, "GET", address, PATH, b"", headers, TIMEOUT_S)
        return answer.status == 200

    return send


def make_library_sender(caller: Caller) -> Send:
    """Return a function that sends one request through the caller library."""

    async def send() -> bool:
        return isinstance(await caller.call("GET", PATH, idempotent=True), Answered)

    return send


def summarize_added_latency(
    variants: dict[str, list[float]],
) -> dict[str, dict[str, float]]:
    """Return each variant's latencies, with p50 and p99 relative to the direct one."""
    direct = summarize_values(variants["direct"])
    figures = {}
    for name, latencies_ms in variants.items():
        total = summarize_values(latencies_ms)
        figures[name] = {
            **total,
            "added_p50_ms": round(total["p50"] - direct["p50"], 4),
            "added_p99_ms": round(total["p99"] - direct["p99"], 4),
        }
    return figures


async def measure_at_rate(senders: dict[str, Send]) -> dict[str, Any]:
    """Measure all variants in turn, at the call rate of one node."""
    latencies_ms: dict[str, list[float]] = {name: [] for name in senders}
    for send in senders.values():
        await send_at_rate(send, RATE_PER_S, 1.0)
    rounds: dict[str, list[float]] = {name: [] for name in senders}
    for _ in range(ROUND_COUNT):
        for name, send in senders.items():
            measured_ms = await send_at_rate(send, RATE_PER_S, ROUND_DURATION_S)
            latencies_ms[name] += measured_ms
            rounds[name].append(summarize_values(measured_ms)["p99"])
    figures = summarize_added_latency(latencies_ms)
    for name, values in rounds.items():
        figures[name]["round_p99_median"] = statistics.median(values)
    return figures


async def measure_saturated(senders: dict[str, Send]) -> dict[str, Any]:
    """Measure all variants with a constant number of calls in flight."""
    figures = {}
    for name, send in senders.items():
        measured_ms = await send_closed_loop(
            send, IN_FLIGHT_COUNT, SATURATED_DURATION_S
        )
        figures[name] = {
            **summarize_values(measured_ms),
            "calls_per_s": round(len(measured_ms) / SATURATED_DURATION_S),
        }
    return figures


async def run(only_rate: bool) -> dict[str, Any]:
    """Measure all variants in a deployment of two nodes and one upstream."""
    with deployment({"zone-1": 2}) as running:
        upstream_host, other_host = running.hosts
        upstream = start_upstream(
            running, upstream_host, "service-0", "v1", slots=SLOTS, work_ms=0.0
        )
        async with Fleet(running) as fleet:
            await fleet.commit_document(1)

        def is_announced() -> bool:
            status = fetch(f"http://{other_host.operators}/v1/status")
            return bool(status and status["upstreams"])

        wait_until(is_announced, "the upstream's announcement")
        await asyncio.sleep(4)
        async with (
            open_session() as session,
            Caller((other_host.calls,)) as caller,
            Caller((other_host.calls,), direct=True) as direct,
        ):
            senders = {
                "direct": make_http_sender(session, upstream),
                "own host": make_http_sender(session, upstream_host.calls),
                "one hop": make_http_sender(session, other_host.calls),
                "library through a node": make_library_sender(caller),
                "library direct": make_library_sender(direct),
            }
            result: dict[str, Any] = {
                "load_average": os.getloadavg()[0],
                "target_added_p99_ms": TARGET_P99_MS,
                "at_rate": {
                    "calls_per_s": RATE_PER_S,
                    "ms": await measure_at_rate(senders),
                },
            }
            if not only_rate:
                result["saturated"] = {
                    "in_flight": IN_FLIGHT_COUNT,
                    "ms": await measure_saturated(senders),
                }
            result["load_average_after"] = os.getloadavg()[0]
    return result


def main() -> None:
    """Measure and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only-rate", action="store_true")
    write_result("latency", asyncio.run(run(parser.parse_args().only_rate)))


if __name__ == "__main__":
    main()
