"""What control costs a node: bytes, processor time and memory, by number of nodes.

Bytes are read off the loopback interface, so headers and acknowledgements count; the
machine must be quiet otherwise.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from typing import Any

import aiohttp

from bench.fleet import Fleet, document, section, zones_of
from bench.measure import MIB, loopback_bytes, summary, usage, write
from standins.deployment import (
    Deployment,
    deployment,
    fetch,
    settings_text,
    spawn,
    start_node,
    start_upstream,
    stop,
    wait_until,
)

IDLE_S = 20.0
CHANGES = 10
CHANGE_PERIOD_S = 2.0
CHURN_S = 20.0
CALLS_PER_S = 186
LOAD_S = 15.0


def pids_of(running: Deployment) -> list[int]:
    """Return the process ids of all nodes."""
    return [host.node.pid for host in running.hosts]


async def watch_idle(running: Deployment) -> dict[str, float]:
    """Measure a fleet that is left alone."""
    url = f"http://{running.platform_address}/counts"
    pids, reads = pids_of(running), fetch(url)
    before, sent = usage(pids), loopback_bytes()
    await asyncio.sleep(IDLE_S)
    after, sent_after = usage(pids), loopback_bytes()
    reads_after = fetch(url)
    nodes = len(pids)
    return {
        "bytes_per_node_s": round((sent_after - sent) / IDLE_S / nodes),
        "cpu_percent_per_node": round(
            (after.cpu_s - before.cpu_s) / IDLE_S / nodes * 100, 3
        ),
        "rss_mib_per_node": round(after.rss_bytes / nodes / MIB, 1),
        "unique_mib_per_node": round(after.unique_bytes / nodes / MIB, 1),
        "table_reads_per_s": round(
            (reads_after["table"]["reads"] - reads["table"]["reads"]) / IDLE_S, 2
        ),
    }


async def watch_changes(
    running: Deployment, fleet: Fleet, idle: dict[str, float]
) -> dict[str, float]:
    """Measure what one change costs a node above idling."""
    pids = pids_of(running)
    before, sent, started_s = usage(pids), loopback_bytes(), time.monotonic()
    for number in range(CHANGES):
        await fleet.change("service-0", section("service-0", "v1", 2000 + number))
        await asyncio.sleep(CHANGE_PERIOD_S)
    elapsed_s = time.monotonic() - started_s
    nodes = len(pids)
    idle_bytes = idle["bytes_per_node_s"] * elapsed_s
    idle_cpu_s = idle["cpu_percent_per_node"] / 100 * elapsed_s
    used = usage(pids).cpu_s - before.cpu_s
    return {
        "bytes_per_node_change": round(
            ((loopback_bytes() - sent) / nodes - idle_bytes) / CHANGES
        ),
        "cpu_ms_per_node_change": round(
            (used / nodes - idle_cpu_s) / CHANGES * 1000, 2
        ),
    }


async def watch_churn(running: Deployment) -> dict[str, float]:
    """Measure while one host after the other is killed and started."""
    sent, started_s, restarts = loopback_bytes(), time.monotonic(), 0
    while time.monotonic() - started_s < CHURN_S:
        host = running.hosts[1 + restarts % (len(running.hosts) - 1)]
        stop(host.node, signal.SIGKILL)
        start_node(running, host)
        restarts += 1
        await asyncio.sleep(2.0)
    elapsed_s = time.monotonic() - started_s
    sent_per_node = (loopback_bytes() - sent) / len(running.hosts)
    return {
        "restarts": restarts,
        "bytes_per_node_s": round(sent_per_node / elapsed_s),
    }


async def measure_fleet(running: Deployment) -> dict[str, Any]:
    """Measure one deployment idle, under changes and under churn."""
    async with Fleet(running) as fleet:
        await asyncio.sleep(3)
        await fleet.settle()
        await asyncio.sleep(5)
        idle = await watch_idle(running)
        changes = await watch_changes(running, fleet, idle)
        await asyncio.sleep(2)
        churn = await watch_churn(running)
    return {"idle": idle, "change": changes, "churn": churn}


async def load_node(address: str, seconds: float) -> list[float]:
    """Send calls at the target rate to a node; return their latencies in ms."""
    latencies = []

    async def one(session: aiohttp.ClientSession) -> None:
        started_s = time.perf_counter()
        async with session.get(f"http://{address}/service-0/first") as response:
            await response.read()
            if response.status == 200:
                latencies.append((time.perf_counter() - started_s) * 1000)

    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        started_s = time.monotonic()
        for index in range(int(seconds * CALLS_PER_S)):
            delay_s = started_s + index / CALLS_PER_S - time.monotonic()
            await asyncio.sleep(max(delay_s, 0))
            group.create_task(one(session))
    return latencies


async def watch_load(pid: int, address: str) -> dict[str, Any]:
    """Measure one node idle and under the target's call rate."""
    await load_node(address, 2.0)
    before = usage([pid])
    latencies = await load_node(address, LOAD_S)
    after = usage([pid])
    idle_before = usage([pid])
    await asyncio.sleep(LOAD_S)
    idle_after = usage([pid])
    return {
        "cpu_percent_loaded": round((after.cpu_s - before.cpu_s) / LOAD_S * 100, 2),
        "cpu_percent_idle": round(
            (idle_after.cpu_s - idle_before.cpu_s) / LOAD_S * 100, 2
        ),
        "rss_mib": round(after.rss_bytes / MIB, 1),
        "unique_mib": round(after.unique_bytes / MIB, 1),
        "latency_ms": summary(latencies),
    }


async def measure_control(running: Deployment) -> dict[str, Any]:
    """Compare a node with control and the same node with control switched off."""
    host = running.hosts[0]
    upstream = start_upstream(running, host, "service-0", "v1", slots=64)
    async with Fleet(running) as fleet:
        await asyncio.sleep(3)
        await fleet.settle()
        await asyncio.sleep(3)
        full = await watch_load(host.node.pid, host.calls)
    stop(host.node)
    path = running.folder / "document.yaml"
    path.write_text("---\n".join(document().values()))
    settings = running.folder / "bare.toml"
    settings.write_text(settings_text(running, host))
    arguments = [
        "bench.bare_node",
        "--settings",
        str(settings),
        "--document",
        str(path),
    ]
    arguments += ["--upstream", upstream, "--service", "service-0"]
    host.node = spawn(running, "bare", arguments)
    log = running.folder / "bare.log"
    wait_until(lambda: "ready" in log.read_text(), "the bare node")
    bare = await watch_load(host.node.pid, host.calls)
    return {"with_control": full, "without_control": bare}


def main() -> None:
    """Measure and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 24, 96])
    parser.add_argument("--zones", type=int, default=8)
    arguments = parser.parse_args()
    with deployment(zones_of(6)) as running:
        control = asyncio.run(measure_control(running))
    print(control, flush=True)
    sizes = {}
    for nodes in arguments.nodes:
        with deployment(zones_of(nodes, min(arguments.zones, nodes))) as running:
            sizes[str(nodes)] = asyncio.run(measure_fleet(running))
        print(nodes, sizes[str(nodes)], flush=True)
    write("control", {"control": control, "sizes": sizes})


if __name__ == "__main__":
    main()
