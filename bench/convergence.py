"""Convergence time by number of nodes: quiet, under restarts, and after a cut.

The baseline runs in the same call: nodes that poll the whole document by themselves.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import time
from datetime import datetime
from typing import Any

from bench.fleet import Fleet, section, zones_of
from bench.measure import summary, write
from bench.polling import measure_polling
from standins.deployment import (
    Deployment,
    cut_zone,
    deployment,
    heal,
    start_node,
    stop,
)

CHANGES = 20
RESTART_PERMILLE = 100
RESTART_PERIOD_S = 3.0
CUT_S = 5.0


def committed_ms(record: dict[str, Any]) -> int:
    """Return when a change was committed."""
    return int(datetime.fromisoformat(record["committed_at"]).timestamp() * 1000)


async def change_and_watch(
    fleet: Fleet, number: int, skip: set[str] | None = None
) -> list[float]:
    """Change one section; return each node's delay in seconds."""
    record = await fleet.change("service-0", section("service-0", "v1", 1000 + number))
    start_ms = committed_ms(record)
    activations = await fleet.activations_ms(record["revision"], skip or ())
    return [max(at_ms - start_ms, 0) / 1000 for at_ms in activations]


async def measure_quiet(fleet: Fleet) -> list[float]:
    """Measure with nothing else going on."""
    delays = []
    for number in range(CHANGES):
        delays += await change_and_watch(fleet, number)
        await asyncio.sleep(random.uniform(0.1, 0.6))
    return delays


async def measure_restarts(fleet: Fleet, running: Deployment) -> list[float]:
    """Measure while a tenth of the nodes is killed and started, over and over.

    Only nodes that were up throughout a change count for its delay.
    """
    draw = random.Random(2)
    delays = []
    size = max(1, len(running.hosts) * RESTART_PERMILLE // 1000)
    for number in range(CHANGES // 2):
        victims = draw.sample(running.hosts[1:], size)
        for host in victims:
            stop(host.node, signal.SIGKILL)
            start_node(running, host)
        skip = {host.ip for host in victims}
        delays += await change_and_watch(fleet, 1000 + number, skip)
        await asyncio.sleep(RESTART_PERIOD_S)
    return delays


async def measure_cut(fleet: Fleet, running: Deployment) -> dict[str, Any]:
    """Cut a zone off, change the document, heal; time the zone from the healing."""
    zone = running.zones[-1]
    cut_zone(running, zone)
    await asyncio.sleep(CUT_S)
    apart = {host.ip for host in running.hosts if host.zone == zone}
    rest = await change_and_watch(fleet, 5000, apart)
    newest = max(node["active_revision"] for node in await fleet.nodes() if node)
    healed_ms = time.time() * 1000
    heal(running)
    activations = await fleet.activations_ms(newest)
    after = [max(at_ms - healed_ms, 0) / 1000 for at_ms in activations]
    return {"rest_s": summary(rest), "after_heal_s": summary(after)}


async def measure_herd(fleet: Fleet, running: Deployment) -> dict[str, Any]:
    """Kill and start all nodes of a zone at once; time until all serve again."""
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
    await fleet.activations_ms(newest)
    seconds = time.monotonic() - started_s
    after = await fleet.get(counts_url)
    reads = {name: after[name]["reads"] - before[name]["reads"] for name in after}
    peaks = {name: after[name]["peak"] for name in after}
    return {
        "nodes": len(hosts),
        "seconds": round(seconds, 2),
        "reads": reads,
        "peaks": peaks,
    }


async def measure_fleet(running: Deployment) -> dict[str, Any]:
    """Measure one deployment in all conditions."""
    async with Fleet(running) as fleet:
        await asyncio.sleep(2)
        await fleet.settle()
        await asyncio.sleep(3)
        result = {"quiet_s": summary(await measure_quiet(fleet))}
        result["cut"] = await measure_cut(fleet, running)
        result["herd"] = await measure_herd(fleet, running)
        restarts = await measure_restarts(fleet, running)
        result["restarts_s"] = summary(restarts)
        return result


def main() -> None:
    """Measure each size and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 24, 96])
    arguments = parser.parse_args()
    sizes = {}
    for nodes in arguments.nodes:
        with deployment(zones_of(nodes), faulty=True) as running:
            measured = asyncio.run(measure_fleet(running))
        print(nodes, measured, flush=True)
        measured["baseline_polling"] = measure_polling(nodes)
        sizes[str(nodes)] = measured
    write("convergence", {"sizes": sizes})


if __name__ == "__main__":
    main()
