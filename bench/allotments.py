"""What allotments cost: frames and bytes a second and host, in simulated time.

``python -m bench.allotments --hosts 66`` starts real nodes in three zones on links in
memory, and sends requests of 76 workspaces at 0.62 of their rates.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import time

import attrs
import msgpack
import structlog

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.model import Workspace
from agaterelay.core.outcome import Answered
from agaterelay.mesh.allotments import acquire_allotment
from tests.mesh.simulation import (
    Simulation,
    now_s,
    put_config,
    run_simulated,
    start_host,
)

ZONES = "abc"
SMALL_COUNT = 60
LARGE_COUNT = 16
SMALL_RATE_PER_S = 2.0
USUAL_DEMAND = 0.62
SETTLE_S = 25.0
KINDS = (Frame.ASK_GRANT, Frame.GRANT, Frame.ASK_LOAN, Frame.LOAN)
SIZE_BYTES = 4
# The headers of IPv4 and TCP with time stamps, of a frame that is sent alone.
PACKET_HEADERS_BYTES = 52


@attrs.define
class Cost:
    """Frames and bytes by kind, and what became of the requests."""

    frames: dict[int, int] = attrs.field(factory=lambda: dict.fromkeys(KINDS, 0))
    sizes_bytes: dict[int, int] = attrs.field(factory=lambda: dict.fromkeys(KINDS, 0))
    granted: int = 0
    refused: int = 0
    waits_s: list[float] = attrs.field(factory=list)


def count_frames(cost: Cost) -> None:
    """Count the frames of allotments that are sent on all connections."""
    send = FrameConnection.send

    def counting(connection: FrameConnection, frame: list) -> bool:
        if frame[0] in cost.frames:
            cost.frames[frame[0]] += 1
            cost.sizes_bytes[frame[0]] += SIZE_BYTES + len(msgpack.packb(frame))
        return send(connection, frame)

    FrameConnection.send = counting


def make_workspaces(requests_per_s: float) -> list[Workspace]:
    """Return workspaces whose usual demand is the given rate in all."""
    left_per_s = requests_per_s / USUAL_DEMAND - SMALL_COUNT * SMALL_RATE_PER_S
    weights = [1 / (number + 1) for number in range(LARGE_COUNT)]
    rates = [SMALL_RATE_PER_S] * SMALL_COUNT
    rates += [left_per_s * weight / sum(weights) for weight in weights]
    return [
        Workspace(f"workspace-{number}", (), None, rate, rate)
        for number, rate in enumerate(rates)
    ]


async def send_requests(
    simulation: Simulation,
    workspace: Workspace,
    factor: float,
    cost: Cost,
    end_s: float,
) -> None:
    """Send Poisson arrivals of a workspace to random hosts until ``end_s``."""

    async def send_one() -> None:
        host = random.choice(simulation.hosts)
        began_s = now_s()
        token = await acquire_allotment(
            host.node.outbound.allotments, workspace.name, 1.0
        )
        cost.waits_s.append(now_s() - began_s)
        cost.refused += isinstance(token, Answered)
        cost.granted += not isinstance(token, Answered)

    tasks = []
    while now_s() < end_s:
        await asyncio.sleep(random.expovariate(workspace.rate_per_s * factor))
        tasks.append(asyncio.create_task(send_one()))
    await asyncio.gather(*tasks)


async def measure(
    host_count: int, requests_per_s: float, duration_s: float, hot: int
) -> None:
    """Run a fleet and print the cost."""
    simulation, cost = Simulation(), Cost()
    await put_config(simulation)
    for zone in ZONES:
        for number in range(host_count // len(ZONES)):
            await start_host(simulation, zone, number, link_mbps=100)
    await asyncio.sleep(SETTLE_S)
    workspaces = make_workspaces(requests_per_s)
    for host in simulation.hosts:
        state = host.node.state
        state.table = attrs.evolve(state.table, workspaces=tuple(workspaces))
    # Buckets fill before the measure.
    await asyncio.sleep(5.0)
    count_frames(cost)
    end_s = now_s() + duration_s
    began_s = time.process_time()
    await asyncio.gather(
        *(
            send_requests(
                simulation,
                item,
                USUAL_DEMAND * (9 if number >= len(workspaces) - hot else 1),
                cost,
                end_s,
            )
            for number, item in enumerate(workspaces)
        )
    )
    host_s = len(simulation.hosts) * duration_s
    frames, sizes_bytes = sum(cost.frames.values()), sum(cost.sizes_bytes.values())
    waits_s = sorted(cost.waits_s)
    print(
        f"hosts {len(simulation.hosts)}, requests/s {len(waits_s) / duration_s:.0f}, "
        f"refused {cost.refused / len(waits_s):.4f}, frames/s a host "
        f"{frames / host_s:.1f}, bytes/s a host {sizes_bytes / host_s:.0f}, with packet "
        f"headers {(sizes_bytes + frames * PACKET_HEADERS_BYTES) / host_s:.0f}, "
        f"wait p50 {waits_s[len(waits_s) // 2] * 1000:.2f} ms, "
        f"p99 {waits_s[len(waits_s) * 99 // 100] * 1000:.2f} ms, links a host "
        f"{len(simulation.hosts[0].node.links.links)}, processor time "
        f"{(time.process_time() - began_s) / host_s:.4f} of a core a host"
    )
    for kind in KINDS:
        print(f"  {kind.name} {cost.frames[kind] / host_s:.2f}/s a host")


def main() -> None:
    """Run the measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=66)
    parser.add_argument("--requests-per-s", type=float, default=2000.0)
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument("--hot", type=int, default=0, help="workspaces at 9 times")
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    run_simulated(
        lambda: measure(
            arguments.hosts,
            arguments.requests_per_s,
            arguments.duration_s,
            arguments.hot,
        )
    )


if __name__ == "__main__":
    main()
