"""The processor time of a request by hop on two deployed nodes, and that of its log.

The nodes are processes; a stand-in store and the instances run in this one. All
requests enter at the first node and are routed to a service of the second, so they go
over a link to its inbound proxy. Each variant runs on new processes: with the log,
without it, and with an upstream that fails every call, so that each outcome is logged.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import pstats
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from agaterelay.adapters.log import (
    LineSink,
    Recorder,
    configure_log,
    make_recorder,
)
from agaterelay.core.timeline import Timeline
from agaterelay.events import EventKind
from bench.measure import measure_usage, summarize_values, write_result
from standins.instance import Instance, announce, start_instance, stop_instance
from standins.store import StandInStore, put_row, start_store

RATE_PER_S = 150.0
DURATION_S = 10.0
SERVICE_TIME_S = 0.01
SLOTS_PER_INSTANCE = 16
METRICS_PORT = 7390
READY_TIMEOUT_S = 10.0
HEARTBEAT_PERIOD_S = 1.5
HOSTS = ("127.90.0.1", "127.90.0.2")
SERVICES = ("panel", "desk")
STORE_ADDRESS = "127.90.0.9:7401"
PROFILED_FUNCTION_COUNT = 14
LINE_COUNT = 20_000


@attrs.define
class NodePair:
    """The two nodes and their instances."""

    processes: list[asyncio.subprocess.Process] = attrs.field(factory=list)
    instances: list[Instance] = attrs.field(factory=list)


def build_configuration() -> bytes:
    """Return an operator's configuration: a route to the second node's service."""
    columns = ["name", "host", "prefix", "kind", "timeout", "targetLatency"]
    columns += ["priority", "service", "maxAttempts"]
    row = ["r", "app.example", "/", "idempotent", "2s", "500ms", 1, "desk", 1]
    services = [[name, "/healthz"] for name in SERVICES]
    tree = {
        "version": "00000001",
        "routes": {"columns": columns, "rows": [row]},
        "services": {"columns": ["name", "healthPath"], "rows": services},
    }
    return json.dumps(tree).encode()


def build_settings(ip: str, service: str) -> dict[str, Any]:
    """Return the settings of a node."""
    ports = {"inbound": 7410, "outbound": 7411, "ready": 7412, "admin": 7413}
    return {
        "nodeName": f"host-{ip}",
        "ip": ip,
        "zone": "a",
        "bind": {name: f"{ip}:{port}" for name, port in ports.items()},
        "bootstrap": True,
        "heartbeat": "1500ms",
        "bounds": {"retryBudgetSlack": 62},
        "appAddr": f"{ip}:7414",
        "service": service,
        "platform": {"address": STORE_ADDRESS},
    }


@contextlib.asynccontextmanager
async def run_pair(folder: Path, options: list[str]) -> AsyncIterator[NodePair]:
    """Run the store, two nodes and their instances, and stop them at the end."""
    store = StandInStore()
    runner = await start_store(store, STORE_ADDRESS)
    await put_row(store, "op", "config", build_configuration())
    pair = NodePair()
    try:
        for ip, service in zip(HOSTS, SERVICES, strict=True):
            path = folder / f"{ip}.json"
            path.write_text(json.dumps(build_settings(ip, service)))
            profile = str(folder / f"{service}.prof")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bench.measured_node",
                *(option.format(profile=profile) for option in options),
                env={**os.environ, "AGATERELAY_CONFIG": str(path)},
                stdout=asyncio.subprocess.DEVNULL,
            )
            pair.processes.append(process)
            instance = Instance(
                f"i-{service}",
                service,
                f"{ip}:7414",
                slots=SLOTS_PER_INSTANCE,
                service_time_s=SERVICE_TIME_S,
            )
            await start_instance(instance)
            pair.instances.append(instance)
        await _announce_all(pair)
        heartbeats = asyncio.create_task(_keep_announcing(pair))
        yield pair
        heartbeats.cancel()
    finally:
        for process in pair.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in pair.processes:
            await process.wait()
        for instance in pair.instances:
            stop_instance(instance)
        await runner.cleanup()


async def _announce_all(pair: NodePair) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        for ip, instance in zip(HOSTS, pair.instances, strict=True):
            while True:
                try:
                    if await announce(instance, f"{ip}:7413") == 200:
                        break
                except aiohttp.ClientError:
                    await asyncio.sleep(0.1)
    # Links and the retry budget are only available after some heartbeats.
    await asyncio.sleep(2.0)


async def _keep_announcing(pair: NodePair) -> None:
    while True:
        await asyncio.sleep(HEARTBEAT_PERIOD_S)
        for ip, instance in zip(HOSTS, pair.instances, strict=True):
            await announce(instance, f"{ip}:7413")


async def send_requests(pair: NodePair) -> dict[str, Any]:
    """Send requests at a steady rate and return their cost and latencies."""
    before = [measure_usage([process.pid]).cpu_s for process in pair.processes]
    latencies_ms: list[float] = []
    statuses: dict[int, int] = {}
    connector = aiohttp.TCPConnector(limit=0, family=socket.AF_INET)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        started_s = time.monotonic()
        for number in range(int(RATE_PER_S * DURATION_S)):
            await asyncio.sleep(started_s + number / RATE_PER_S - time.monotonic())
            send = _send(session, number, latencies_ms, statuses)
            tasks.append(asyncio.create_task(send))
        await asyncio.gather(*tasks)
    after = [measure_usage([process.pid]).cpu_s for process in pair.processes]
    count = len(latencies_ms)
    per_call_us = [
        round(1e6 * (after_s - before_s) / count)
        for before_s, after_s in zip(before, after, strict=True)
    ]
    return {
        "entry_us": per_call_us[0],
        "gate_us": per_call_us[1],
        "latency_ms": summarize_values(latencies_ms),
        "statuses": statuses,
    }


async def _send(
    session: aiohttp.ClientSession,
    number: int,
    latencies_ms: list[float],
    statuses: dict[int, int],
) -> None:
    headers = {
        "Host": "app.example",
        "X-Attempt-Id": f"call-{number}",
        "X-Request-Deadline": "2000",
    }
    started_s = time.monotonic()
    url = f"http://{HOSTS[0]}:7411/x"
    async with session.get(url, headers=headers) as response:
        await response.read()
    latencies_ms.append(1000 * (time.monotonic() - started_s))
    statuses[response.status] = statuses.get(response.status, 0) + 1


async def run_variant(folder: Path, options: list[str], fault: str) -> dict[str, Any]:
    """Run one variant on new processes."""
    async with run_pair(folder, options) as pair:
        pair.instances[1].fault = fault
        return await send_requests(pair)


def list_largest_functions(path: Path) -> list[str]:
    """Return the profiled functions with the most self time, polling left out."""
    stats = pstats.Stats(str(path))
    total_s = stats.total_tt
    rows = sorted(stats.stats.items(), key=lambda item: -item[1][2])
    return [
        f"{100 * own_s / total_s:.1f} % {Path(place[0]).name}:{place[2]} ({calls} calls)"
        for place, (_, calls, own_s, _, _) in rows
        if "poll" not in place[2]
    ][:PROFILED_FUNCTION_COUNT]


def measure_line_costs() -> dict[str, float]:
    """Return the processor time of a log line in us, within and over its rate limit."""
    with open(os.devnull, "wb") as null:
        configure_log(LineSink(null.fileno()))
        seconds = itertools.count()
        moment = datetime(2026, 1, 1, tzinfo=UTC)

        def read_next_second() -> datetime:
            return moment + timedelta(seconds=next(seconds))

        return {
            "line_us": _measure_line_us(
                make_recorder(Timeline("host", read_next_second))
            ),
            "over_the_limit_us": _measure_line_us(
                make_recorder(Timeline("h", lambda: moment))
            ),
        }


def _measure_line_us(record: Recorder) -> float:
    started_s = time.process_time()
    for number in range(LINE_COUNT):
        record(
            EventKind.CALL_FAILED,
            request_id=f"call-{number}",
            route="r",
            instance="i-desk",
            outcome="status 500",
            waited_ms=1,
            ran_ms=10,
            in_use=3,
            waiting=0,
        )
    return round(1e6 * (time.process_time() - started_s) / LINE_COUNT, 1)


def main() -> None:
    """Run all variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=2)
    arguments = parser.parse_args()
    variants = {
        "with its log": ([], ""),
        "without a log": (["--no-log"], ""),
        "all fail, with the log": ([], "error"),
        "all fail, without a log": (["--no-log"], "error"),
    }
    result: dict[str, Any] = {name: [] for name in variants}
    result["log"] = measure_line_costs()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for _ in range(arguments.rounds):
            for variant, (options, fault) in variants.items():
                result[variant].append(asyncio.run(run_variant(folder, options, fault)))
        asyncio.run(run_variant(folder, ["--profile={profile}"], ""))
        result["profile"] = {
            "entry": list_largest_functions(folder / "panel.prof"),
            "gate": list_largest_functions(folder / "desk.prof"),
        }
    write_result("mesh_cost", {"rate_per_s": RATE_PER_S, **result})


if __name__ == "__main__":
    main()
