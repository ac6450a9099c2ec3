"""Run an old and a new checkout side by side, as in a rolling upgrade.

    python -m soak.upgrade --old PATH

Covers both protocols between nodes: the links of the deployed node, and the RPCs and
hops of the node that operators run by themselves. All nodes start from the old checkout,
so that the new one reads rows, objects and settings that the old one wrote. Some nodes
are then upgraded, and one is downgraded again. Prints the measurements and each broken
promise.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import attrs

from agaterelay.core.outcome import Answered
from soak.__main__ import wait_until_serving
from soak.addresses import find_free_networks
from soak.callers import Callers, close_sessions, send_calls
from soak.fleet import (
    POLL_INTERVAL_S,
    Fleet,
    Host,
    read_revision,
    send_signal,
    start_fleet,
    start_node,
    stop_fleet,
    write_revision,
)
from soak.promises import check_answers, check_hosts, check_recovery
from standins.deployment import (
    ADMIN_KEY,
    RECORDS_SUFFIX,
    Deployment,
    HostProcesses,
    deployment,
    fetch,
    is_up,
    settings_text,
    start_upstream,
    stop,
    wait_until,
)
from standins.traffic import count_runs, find_problems, start_traffic, stop_traffic

NEW_CHECKOUT = Path(__file__).parent.parent
HOST_COUNT = 6
# How long nodes of both builds run side by side under load: long enough for calls
# between each pair of builds.
MIXED_BUILDS_S = 6.0
STOP_TIMEOUT_S = 7.0
IN_FORCE_TIMEOUT_S = 10.0
CALL_PERIOD_S = 0.02
TEAM_KEY = "desk-team-key"
DOCUMENT = """section: owners
owner: admin
owners:
  - name: desk-team
    {key_hash}
---
section: desk
owner: desk-team
services:
  - name: desk
    version: v1
routes:
  - name: desk-read
    path: /desk/read
    methods: [GET]
    service: desk
    idempotent: true
    timeout_ms: {timeout_ms}
  - name: desk-fire
    path: /desk/fire
    methods: [POST]
    service: desk
    idempotent: false
    timeout_ms: {timeout_ms}
"""


@attrs.define
class Builds:
    """The checkouts that each host's node has run, and since when.

    ``history`` maps the number of a host to pairs of a start time, in seconds of the
    monotonic clock, and the checkout started then; until the first of them the node runs
    the old checkout.
    """

    old: Path
    history: dict[int, list[tuple[float, Path]]] = attrs.field(factory=dict)

    def find_build(self, number: int, time_s: float) -> str:
        """Return "old" or "new", the checkout that a host ran at a time."""
        checkouts = [
            path for since_s, path in self.history[number] if since_s <= time_s
        ]
        return "old" if not checkouts or checkouts[-1] == self.old else "new"


async def restart_node(builds: Builds, host: Host, checkout: Path) -> None:
    """Stop a host's node gracefully and start it from a checkout."""
    impaired_span_s = [time.monotonic(), float("inf")]
    host.impaired_s.append(impaired_span_s)
    send_signal(host, signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await host.process.wait()
    except TimeoutError:
        host.stop_timeouts += 1
        send_signal(host, signal.SIGKILL)
        await host.process.wait()
    # Python looks for the modules first in the directory where the node is started.
    with contextlib.chdir(checkout):
        await start_node(host)
    impaired_span_s[1] = time.monotonic()
    builds.history[host.number].append((impaired_span_s[1], checkout))


async def measure_activation_s(fleet: Fleet) -> float:
    """Write a revision and return how many seconds it took to be in force everywhere.

    Raises:
        TimeoutError: Some node does not serve it in time.
    """
    began_s = time.monotonic()
    await write_revision(fleet)
    async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
        for host in fleet.hosts:
            while await read_revision(fleet, host) != fleet.revision:
                await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - began_s


def count_pairs(
    fleet: Fleet, builds: Builds, callers: Callers, since_s: float, until_s: float
) -> Counter[str]:
    """Count the answered calls by the builds of the first and the last node."""
    runs = {
        call_id: (host.number, began_s)
        for host in fleet.hosts
        for began_s, _, call_id in host.instance.started_calls
    }
    pairs: Counter[str] = Counter()
    for answer in callers.answers:
        if answer.status != 200 or not since_s <= answer.began_s < until_s:
            continue
        number, began_s = runs[answer.call_id]
        first = builds.find_build(answer.host, answer.began_s)
        pairs[f"{first} to {builds.find_build(number, began_s)}"] += (
            number != answer.host
        )
    return pairs


async def check_links(old: Path, folder: Path, net: int) -> list[str]:
    """Upgrade a fleet of deployed nodes under load; return the broken promises."""
    with contextlib.chdir(old):
        fleet = await start_fleet(net, folder, HOST_COUNT)
    builds = Builds(old, {host.number: [] for host in fleet.hosts})
    callers = Callers(fleet)
    try:
        await wait_until_serving(fleet)
        calling_task = asyncio.create_task(send_calls(callers))
        # Calls stay in their zone, so one zone is all new, one mixed and one all old.
        for host in fleet.hosts[: HOST_COUNT // 2]:
            await restart_node(builds, host, NEW_CHECKOUT)
            await asyncio.sleep(POLL_INTERVAL_S)
        print(f"links: mixed, in force after {await measure_activation_s(fleet):.2f} s")
        began_s = time.monotonic()
        await asyncio.sleep(MIXED_BUILDS_S)
        pairs = count_pairs(fleet, builds, callers, began_s, time.monotonic())
        print(f"links: answered calls that took a hop, by builds: {dict(pairs)}")
        await restart_node(builds, fleet.hosts[1], old)
        print(
            f"links: one went back, in force after {await measure_activation_s(fleet):.2f} s"
        )
        for host in fleet.hosts:
            if builds.find_build(host.number, time.monotonic()) == "old":
                await restart_node(builds, host, NEW_CHECKOUT)
        print(
            f"links: all new, in force after {await measure_activation_s(fleet):.2f} s"
        )
        broken = await check_recovery(fleet, callers)
        calling_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await calling_task
        broken += [*check_answers(fleet, callers.answers), *check_hosts(fleet)]
    finally:
        await close_sessions(callers)
        await stop_fleet(fleet)
    statuses = Counter(answer.status for answer in callers.answers)
    print(f"links: answers by status {dict(sorted(statuses.items()))}")
    directions = [
        f"{first} to {last}" for first in ("old", "new") for last in ("old", "new")
    ]
    return broken + [
        f"no answered call went {direction}"
        for direction in directions
        if not pairs[direction]
    ]


def restart_operated_node(
    running: Deployment, host: HostProcesses, checkout: Path
) -> None:
    """Stop a host's node gracefully and start it from a checkout."""
    stop(host.node)
    path = running.folder / f"{host.ip}.toml"
    path.write_text(settings_text(running, host))
    arguments = ["-m", *running.node_command, "--settings", str(path)]
    with (running.folder / f"{host.ip}.log").open("ab") as log:
        host.node = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=checkout,
        )
    wait_until(lambda: is_up(host), f"{host.ip} is up")


def run_command(checkout: Path, *arguments: str | Path) -> str:
    """Run an operators' command of a checkout and return what it prints.

    Raises:
        ChildProcessError: The command exited with a status other than 0.
    """
    command = [sys.executable, "-m", "agaterelay.cli.main", *map(str, arguments)]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False, cwd=checkout
    )
    if completed.returncode:
        raise ChildProcessError(f"{arguments[0]}: {completed.stderr.strip()}")
    return completed.stdout


def apply_document(
    running: Deployment, checkout: Path, host: HostProcesses, timeout_ms: int
) -> None:
    """Apply the document with a checkout's command, through a host's node."""
    keys = {"owners": ADMIN_KEY, "desk": TEAM_KEY}
    files = {name: running.folder / f"{name}.key" for name in keys}
    for name, key in keys.items():
        files[name].write_text(key)
    key_hash = run_command(checkout, "key", "hash", files["desk"]).strip()
    path = running.folder / "document.yaml"
    path.write_text(DOCUMENT.format(key_hash=key_hash, timeout_ms=timeout_ms))
    for name, file in files.items():
        output = run_command(
            checkout, "apply", path, "--section", name, "--key-file", file,
            "--node", host.operators, "--wait",
        )  # fmt: skip
        print(f"rpc: {output.strip().splitlines()[-1]}")


def check_rpc(old: Path) -> list[str]:
    """Upgrade nodes that operators run; return the broken promises."""
    broken = []
    with deployment({"east": 2, "west": 2}) as running:
        for host in running.hosts:
            restart_operated_node(running, host, old)
        first, second, third, fourth = running.hosts
        for host in (first, second):
            start_upstream(running, host, "desk", "v1", slots=8)
        apply_document(running, old, first, 1500)
        for host in (second, fourth):
            restart_operated_node(running, host, NEW_CHECKOUT)
        kinds = (("GET", "/desk/read"), ("POST", "/desk/fire"))
        traffic = {
            name: start_traffic((host.calls,), kinds, CALL_PERIOD_S, seed)
            for seed, (name, host) in enumerate((("old", third), ("new", fourth)), 1)
        }
        try:
            apply_document(running, NEW_CHECKOUT, second, 1400)
            apply_document(running, old, third, 1300)
            apply_document(running, NEW_CHECKOUT, first, 1200)
            time.sleep(MIXED_BUILDS_S)
        finally:
            for item in traffic.values():
                stop_traffic(item)
        for checkout, host in ((old, second), (NEW_CHECKOUT, first)):
            run_command(checkout, "status", "--upstreams", "--node", host.operators)
            run_command(checkout, "timeline", "--most", "20", "--node", host.operators)
        statuses = [
            fetch(f"http://{host.operators}/v1/status") for host in running.hosts
        ]
        for host, fleet in zip(running.hosts, statuses, strict=True):
            revisions = {node["active_revision"] for node in fleet["nodes"]}
            if len(fleet["nodes"]) != len(running.hosts) or len(revisions) != 1:
                broken.append(f"{host.ip} sees the fleet as {fleet['nodes']}")
        for name, item in traffic.items():
            broken += find_problems(item, count_runs(running))
            outcome_counts = Counter(
                f"status {outcome.status}"
                if isinstance(outcome, Answered)
                else f"{type(outcome).__name__}: {outcome.reason}"
                for outcome in item.outcomes.values()
            )
            print(f"rpc: calls by way of the {name} node: {dict(outcome_counts)}")
            for build, host in (("old", first), ("new", second)):
                records = "".join(
                    path.read_text()
                    for path in running.folder.glob(f"{host.ip}:*{RECORDS_SUFFIX}")
                )
                count = sum(call_id in records for call_id in item.sent)
                print(f"rpc: {count} calls went {name} to {build}")
                if not count:
                    broken.append(f"no call went {name} to {build}")
        for host in (first, third):
            restart_operated_node(running, host, NEW_CHECKOUT)
        apply_document(running, NEW_CHECKOUT, third, 1100)
        restart_operated_node(running, fourth, old)
        apply_document(running, old, fourth, 1000)
    return broken


def main() -> int:
    """Run both parts; return 1 where a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=Path, required=True, help="the old checkout")
    old = parser.parse_args().old.resolve()
    folder = Path(tempfile.mkdtemp(prefix="upgrade-"))
    (net,) = find_free_networks(1)
    broken = asyncio.run(check_links(old, folder, net))
    broken += check_rpc(old)
    for item in broken:
        print(f"    {item}")
    print(f"{len(broken)} broken")
    if broken:
        print(f"    kept in {folder}")
    else:
        shutil.rmtree(folder)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
