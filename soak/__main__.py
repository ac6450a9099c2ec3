"""Run a soak: random faults from outside real nodes, and what has to hold meanwhile.

    python -m soak --seeds 1-50

Prints a line a seed; a seed that fails keeps its folder with the settings and the output
of every node.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from soak.addresses import free_nets
from soak.callers import Callers, close, keep_calling
from soak.faults import draw_plan, play
from soak.fleet import SOON_S, Fleet, read_revision, start_fleet, stop_fleet
from soak.promises import check_answers, check_hosts, check_recovery

HOSTS = 6
DURATION_S = 20.0
START_S = 20.0
SHOWN = 12


async def run_seed(
    seed: int, duration_s: float, folder: Path, net: int, count: int = HOSTS
) -> tuple[list[str], str]:
    """Run one seed.

    Args:
        seed: Decides which faults come when.
        duration_s: Faults begin for so long.
        folder: Takes the settings and the output of the nodes.
        net: The second part of all addresses; no other run uses it.
        count: How many hosts there are.

    Returns:
        The promises that were broken, and a line on what callers got.
    """
    fleet = await start_fleet(net, folder, count)
    callers = Callers(fleet)
    try:
        await wait_for_start(fleet)
        calling = asyncio.create_task(keep_calling(callers))
        plan = draw_plan(seed, duration_s)
        (folder / "plan.txt").write_text("\n".join(map(str, plan)) + "\n")
        await play(fleet, plan)
        broken = await check_recovery(fleet, callers)
        calling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await calling
        broken += [*check_answers(fleet, callers.answers), *check_hosts(fleet)]
    finally:
        await close(callers)
        await stop_fleet(fleet)
    statuses = Counter(answer.status for answer in callers.answers)
    got = ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))
    return broken, f"{len(plan)} faults, answers by status {got}"


async def wait_for_start(fleet: Fleet) -> None:
    """Wait until all nodes serve the first configuration.

    Raises:
        TimeoutError: Some node does not.
    """
    async with asyncio.timeout(START_S):
        for host in fleet.hosts:
            while await read_revision(fleet, host) != fleet.revision:
                await asyncio.sleep(SOON_S)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a text like ``3`` or ``1-50``."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def run_all(seeds: list[int], duration_s: float, jobs: int, count: int) -> int:
    """Run seeds, some at a time; return how many broke a promise."""
    nets = free_nets(jobs)
    free = asyncio.Semaphore(jobs)
    failed = 0

    async def run(seed: int) -> None:
        nonlocal failed
        async with free:
            net = nets.pop(0)
            folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            began_s = time.monotonic()
            broken, got = await run_seed(seed, duration_s, folder, net, count)
            nets.append(net)
            took_s = time.monotonic() - began_s
            print(f"seed {seed}: {len(broken)} broken in {took_s:.0f} s; {got}")
            for item in broken[:SHOWN]:
                print(f"    {item}")
            if broken:
                failed += 1
                print(f"    kept in {folder}", flush=True)
            else:
                shutil.rmtree(folder)

    await asyncio.gather(*(run(seed) for seed in seeds))
    return failed


def main() -> int:
    """Run the seeds that the arguments name; return 1 where a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=HOSTS)
    arguments = parser.parse_args()
    failed = asyncio.run(
        run_all(arguments.seeds, arguments.duration_s, arguments.jobs, arguments.hosts)
    )
    print(f"{len(arguments.seeds)} seeds, {failed} broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
