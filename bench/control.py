"""The cost of the control plane for a node: bytes, processor time and memory.

It is measured by number of nodes. Bytes are counted at the loopback interface, headers
and acknowledgements included, so nothing else may run on the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from typing import Any

import aiohttp

from bench.fleet import Fleet, build_document, build_section, distribute_nodes
from bench.measure import (
    MIB,
    measure_usage,
    read_loopback_bytes,
    summarize_values,
    write_result,
)
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
CHANGE_COUNT = 10
CHANGE_PERIOD_S = 2.0
CHURN_S = 20.0
CALLS_PER_S = 186
LOAD_S = 15.0


def node_pids(running: Deployment) -> list[int]:
    """Return the process ids of all nodes."""
    return [host.node.pid for host in running.hosts]


async def measure_idle(running: Deployment) -> dict[str, float]:
    """Measure a fleet that has no calls and no changes."""
    url = f"http://{running.platform_address}/counts"
    pids, reads = node_pids(running), fetch(url)
    before, sent_bytes = measure_usage(pids), read_loopback_bytes()
    await asyncio.sleep(IDLE_S)
    after, sent_bytes_after = measure_usage(pids), read_loopback_bytes()
    reads_after = fetch(url)
    nodes = len(pids)
    return {
        "bytes_per_node_s": round((sent_bytes_after - sent_bytes) / IDLE_S / nodes),
        "cpu_percent_per_node": round(
            (after.cpu_s - before.cpu_s) / IDLE_S / nodes * 100, 3
        ),
        "rss_mib_per_node": round(after.rss_bytes / nodes / MIB, 1),
        "unique_mib_per_node": round(after.unique_bytes / nodes / MIB, 1),
        "table_reads_per_s": round(
            (reads_after["table"]["reads"] - reads["table"]["reads"]) / IDLE_S, 2
        ),
    }


async def measure_changes(
    running: Deployment, fleet: Fleet, idle: dict[str, float]
) -> dict[str, float]:
    """Measure the cost of one change for a node, less the cost of an idle node."""
    pids = node_pids(running)
    before, sent_bytes, started_s = (
        measure_usage(pids),
        read_loopback_bytes(),
        time.monotonic(),
    )
    for number in range(CHANGE_COUNT):
        await fleet.change("service-0", build_section("service-0", "v1", 2000 + number))
        await asyncio.sleep(CHANGE_PERIOD_S)
    elapsed_s = time.monotonic() - started_s
    nodes = len(pids)
    idle_bytes = idle["bytes_per_node_s"] * elapsed_s
    idle_cpu_s = idle["cpu_percent_per_node"] / 100 * elapsed_s
    cpu_s = measure_usage(pids).cpu_s - before.cpu_s
    return {
        "bytes_per_node_change": round(
            ((read_loopback_bytes() - sent_bytes) / nodes - idle_bytes) / CHANGE_COUNT
        ),
        "cpu_ms_per_node_change": round(
            (cpu_s / nodes - idle_cpu_s) / CHANGE_COUNT * 1000, 2
        ),
    }


async def measure_churn(running: Deployment) -> dict[str, float]:
    """Measure while one host after another is killed and started again."""
    sent_bytes, started_s, restarts = read_loopback_bytes(), time.monotonic(), 0
    while time.monotonic() - started_s < CHURN_S:
        host = running.hosts[1 + restarts % (len(running.hosts) - 1)]
        stop(host.node, signal.SIGKILL)
        start_node(running, host)
        restarts += 1
        await asyncio.sleep(2.0)
    elapsed_s = time.monotonic() - started_s
    sent_per_node = (read_loopback_bytes() - sent_bytes) / len(running.hosts)
    return {
        "restarts": restarts,
        "bytes_per_node_s": round(sent_per_node / elapsed_s),
    }


async def measure_fleet(running: Deployment) -> dict[str, Any]:
    """Measure one deployment idle, under changes and under churn."""
    async with Fleet(running) as fleet:
        await asyncio.sleep(3)
        await fleet.commit_document()
        await asyncio.sleep(5)
        idle = await measure_idle(running)
        changes = await measure_changes(running, fleet, idle)
        await asyncio.sleep(2)
        churn_figures = await measure_churn(running)
    return {"idle": idle, "change": changes, "churn": churn_figures}


async def send_load(address: str, seconds: float) -> list[float]:
    """Send calls at the target rate to a node; return their latencies in ms."""
    latencies = []

    async def send_one(session: aiohttp.ClientSession) -> None:
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
            group.create_task(send_one(session))
    return latencies


async def measure_load(pid: int, address: str) -> dict[str, Any]:
    """Measure one node under the target's call rate, and then idle."""
    await send_load(address, 2.0)
    before = measure_usage([pid])
    latencies = await send_load(address, LOAD_S)
    after = measure_usage([pid])
    idle_before = measure_usage([pid])
    await asyncio.sleep(LOAD_S)
    idle_after = measure_usage([pid])
    return {
        "cpu_percent_loaded": round((after.cpu_s - before.cpu_s) / LOAD_S * 100, 2),
        "cpu_percent_idle": round(
            (idle_after.cpu_s - idle_before.cpu_s) / LOAD_S * 100, 2
        ),
        "rss_mib": round(after.rss_bytes / MIB, 1),
        "unique_mib": round(after.unique_bytes / MIB, 1),
        "latency_ms": summarize_values(latencies),
    }


async def measure_control(running: Deployment) -> dict[str, Any]:
    """Compare a node with and without its control plane."""
    host = running.hosts[0]
    upstream = start_upstream(running, host, "service-0", "v1", slots=64)
    async with Fleet(running) as fleet:
        await asyncio.sleep(3)
        await fleet.commit_document()
        await asyncio.sleep(3)
        with_control = await measure_load(host.node.pid, host.calls)
    stop(host.node)
    path = running.folder / "document.yaml"
    path.write_text("---\n".join(build_document().values()))
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
    without_control = await measure_load(host.node.pid, host.calls)
    return {"with_control": with_control, "without_control": without_control}


def main() -> None:
    """Measure and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 24, 96])
    parser.add_argument("--zones", type=int, default=8)
    arguments = parser.parse_args()
    with deployment(distribute_nodes(6)) as running:
        control = asyncio.run(measure_control(running))
    print(control, flush=True)
    sizes = {}
    for nodes in arguments.nodes:
        with deployment(
            distribute_nodes(nodes, min(arguments.zones, nodes))
        ) as running:
            sizes[str(nodes)] = asyncio.run(measure_fleet(running))
        print(nodes, sizes[str(nodes)], flush=True)
    write_result("control", {"control": control, "sizes": sizes})


if __name__ == "__main__":
    main()
