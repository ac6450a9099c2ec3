"""Convergence time by number of nodes: quiet, under restarts, and after a partition.

The same run measures the baseline, in which each node polls the whole document.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import time
from datetime import datetime
from typing import Any

from bench.fleet import Fleet, build_section, distribute_nodes
from bench.measure import summarize_values, write_result
from bench.polling import measure_polling
from standins.deployment import (
    Deployment,
    cut_zone,
    deployment,
    heal,
    start_node,
    stop,
)

CHANGE_COUNT = 20
RESTART_PERMILLE = 100
RESTART_PERIOD_S = 3.0
PARTITION_S = 5.0


def parse_committed_ms(record: dict[str, Any]) -> int:
    """Return the time of a change's commit in milliseconds since the epoch."""
    return int(datetime.fromisoformat(record["committed_at"]).timestamp() * 1000)


async def measure_change(
    fleet: Fleet, number: int, skipped_ips: set[str] | None = None
) -> list[float]:
    """Change one section; return each node's delay until it serves the change, in s."""
    record = await fleet.change(
        "service-0", build_section("service-0", "v1", 1000 + number)
    )
    committed_ms = parse_committed_ms(record)
    activations = await fleet.wait_for_activations(
        record["revision"], skipped_ips or ()
    )
    return [max(at_ms - committed_ms, 0) / 1000 for at_ms in activations]


async def measure_quiet(fleet: Fleet) -> list[float]:
    """Measure while nothing fails."""
    delays_s = []
    for number in range(CHANGE_COUNT):
        delays_s += await measure_change(fleet, number)
        await asyncio.sleep(random.uniform(0.1, 0.6))
    return delays_s


async def measure_restarts(fleet: Fleet, running: Deployment) -> list[float]:
    """Measure while a tenth of the nodes is killed and started again, repeatedly.

    Only nodes that were up during the whole change count towards its delays.
    """
    draw = random.Random(2)
    delays_s = []
    size = max(1, len(running.hosts) * RESTART_PERMILLE // 1000)
    for number in range(CHANGE_COUNT // 2):
        restarted = draw.sample(running.hosts[1:], size)
        for host in restarted:
            stop(host.node, signal.SIGKILL)
            start_node(running, host)
        skipped_ips = {host.ip for host in restarted}
        delays_s += await measure_change(fleet, 1000 + number, skipped_ips)
        await asyncio.sleep(RESTART_PERIOD_S)
    return delays_s


async def measure_partition(fleet: Fleet, running: Deployment) -> dict[str, Any]:
    """Measure a change during a partition, and the delay after it has healed.

    Delays after the partition count from its end.
    """
    zone = running.zones[-1]
    cut_zone(running, zone)
    await asyncio.sleep(PARTITION_S)
    cut_off_ips = {host.ip for host in running.hosts if host.zone == zone}
    other_delays_s = await measure_change(fleet, 5000, cut_off_ips)
    newest = max(node["active_revision"] for node in await fleet.nodes() if node)
    healed_ms = time.time() * 1000
    heal(running)
    activations = await fleet.wait_for_activations(newest)
    heal_delays_s = [max(at_ms - healed_ms, 0) / 1000 for at_ms in activations]
    return {
        "rest_s": summarize_values(other_delays_s),
        "after_heal_s": summarize_values(heal_delays_s),
    }


async def measure_zone_restart(fleet: Fleet, running: Deployment) -> dict[str, Any]:
    """Kill and start all nodes of a zone at once; measure until all serve again."""
    zone = running.zones[-1]
    hosts = [host for host in running.hosts if host.zone == zone]
    newest = max(node["active_revision"] for node in await fleet.nodes() if node)
    counts_url = f"http://{running.platform_address}/counts"
    before = await fleet.get(counts_url)
    started_s = time.monotonic()
    for host in hosts:
        stop(host.node, signal.SIGKILL)
    for host in hosts:
        start_node(running, host)
    await fleet.wait_for_activations(newest)
    elapsed_s = time.monotonic() - started_s
    after = await fleet.get(counts_url)
    reads = {name: after[name]["reads"] - before[name]["reads"] for name in after}
    peaks = {name: after[name]["peak"] for name in after}
    return {
        "nodes": len(hosts),
        "seconds": round(elapsed_s, 2),
        "reads": reads,
        "peaks": peaks,
    }


async def measure_fleet(running: Deployment) -> dict[str, Any]:
    """Measure one deployment under all conditions."""
    async with Fleet(running) as fleet:
        await asyncio.sleep(2)
        await fleet.commit_document()
        await asyncio.sleep(3)
        result = {"quiet_s": summarize_values(await measure_quiet(fleet))}
        result["cut"] = await measure_partition(fleet, running)
        result["herd"] = await measure_zone_restart(fleet, running)
        restarts = await measure_restarts(fleet, running)
        result["restarts_s"] = summarize_values(restarts)
        return result


def main() -> None:
    """Measure each number of nodes and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 24, 96])
    arguments = parser.parse_args()
    sizes = {}
    for nodes in arguments.nodes:
        with deployment(distribute_nodes(nodes), faulty=True) as running:
            measured = asyncio.run(measure_fleet(running))
        print(nodes, measured, flush=True)
        measured["baseline_polling"] = measure_polling(nodes)
        sizes[str(nodes)] = measured
    write_result("convergence", {"sizes": sizes})


if __name__ == "__main__":
    main()
