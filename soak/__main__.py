"""Run a soak test: inject random faults around real nodes and check the guarantees.

    python -m soak --seeds 1-50

Prints one line per seed. The folder of a seed that fails is kept, with the plan of faults
and the settings and output of every node.
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

from soak.addresses import find_free_networks
from soak.callers import Callers, close_sessions, send_calls
from soak.faults import plan_crowds, plan_faults, run_plan
from soak.fleet import POLL_INTERVAL_S, Fleet, read_revision, start_fleet, stop_fleet
from soak.promises import check_answers, check_hosts, check_recovery

DEFAULT_HOST_COUNT = 6
DURATION_S = 20.0
START_TIMEOUT_S = 20.0
MAX_SHOWN_VIOLATIONS = 12


async def run_seed(
    seed: int,
    duration_s: float,
    folder: Path,
    net: int,
    count: int = DEFAULT_HOST_COUNT,
    crowds: bool = False,
) -> tuple[list[str], str]:
    """Run one seed.

    Args:
        seed: Determines the plan of faults.
        duration_s: The time within which faults begin.
        folder: Where the plan and the settings and output of the nodes are written.
        net: The second octet of all addresses; no other run may use it.
        count: The number of hosts.
        crowds: Whether crowds of callers that don't behave play, too.

    Returns:
        The violated guarantees, and a line with the number of answers by status.
    """
    fleet = await start_fleet(net, folder, count)
    callers = Callers(fleet)
    try:
        await wait_until_serving(fleet)
        calling = asyncio.create_task(send_calls(callers))
        plan = plan_faults(seed, duration_s)
        if crowds:
            plan += plan_crowds(seed, duration_s)
        (folder / "plan.txt").write_text("\n".join(map(str, plan)) + "\n")
        await run_plan(fleet, plan)
        violations = await check_recovery(fleet, callers)
        calling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await calling
        violations += [*check_answers(fleet, callers.answers), *check_hosts(fleet)]
    finally:
        await close_sessions(callers)
        await stop_fleet(fleet)
    statuses = Counter(answer.status for answer in callers.answers)
    summary = ", ".join(
        f"{status}: {count}" for status, count in sorted(statuses.items())
    )
    return violations, f"{len(plan)} faults, answers by status {summary}"


async def wait_until_serving(fleet: Fleet) -> None:
    """Wait until all nodes serve the first configuration.

    Raises:
        TimeoutError: Some node does not serve it in time.
    """
    async with asyncio.timeout(START_TIMEOUT_S):
        for host in fleet.hosts:
            while await read_revision(fleet, host) != fleet.revision:
                await asyncio.sleep(POLL_INTERVAL_S)


def parse_seeds(text: str) -> list[int]:
    """Parse a seed or an inclusive range of seeds, such as ``3`` or ``1-50``."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def run_all(
    seeds: list[int], duration_s: float, jobs: int, count: int, crowds: bool = False
) -> int:
    """Run seeds, ``jobs`` at a time; return how many violated a guarantee."""
    nets = find_free_networks(jobs)
    slots = asyncio.Semaphore(jobs)
    failed = 0

    async def run(seed: int) -> None:
        nonlocal failed
        async with slots:
            net = nets.pop(0)
            folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            began_s = time.monotonic()
            violations, summary = await run_seed(
                seed, duration_s, folder, net, count, crowds
            )
            nets.append(net)
            elapsed_s = time.monotonic() - began_s
            print(
                f"seed {seed}: {len(violations)} violations in {elapsed_s:.0f} s; {summary}"
            )
            for item in violations[:MAX_SHOWN_VIOLATIONS]:
                print(f"    {item}")
            if violations:
                failed += 1
                print(f"    files kept in {folder}", flush=True)
            else:
                shutil.rmtree(folder)

    await asyncio.gather(*(run(seed) for seed in seeds))
    return failed


def main() -> int:
    """Run the seeds of the command line; return 1 where a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=DEFAULT_HOST_COUNT)
    parser.add_argument("--crowds", action="store_true")
    arguments = parser.parse_args()
    failed = asyncio.run(
        run_all(
            arguments.seeds,
            arguments.duration_s,
            arguments.jobs,
            arguments.hosts,
            arguments.crowds,
        )
    )
    print(f"{len(arguments.seeds)} seeds, {failed} violated a guarantee")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
