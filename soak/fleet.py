"""What a soak runs: the store, instances and proxy here, and nodes as processes."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from soak import addresses
from soak.proxy import Route, close_route, open_route
from standins.instance import Instance, announce, start_instance, stop_instance
from standins.store import StandInStore, put_row, start_store

ZONES = ("a", "b", "c")
SERVICES = ("desk", "panel")
HEARTBEAT_S = 1.5
SOON_S = 0.3
ANSWER_S = 1.0
SLOTS = 8
WORK_S = 0.02
# One call's time: the callers' and the route's.
WAIT_S = 1.5
_REVISION = re.compile(r"^agaterelay_revision (\S+)", re.MULTILINE)


@attrs.define(eq=False)
class Host:
    """A host: its node's process, its instance, and the ways of what it dials.

    ``impaired_s`` are the times from which and until which its node's process was not
    running undisturbed; the last one may still be open. ``boot`` counts its starts.
    """

    number: int
    ip: str
    zone: str
    instance: Instance
    settings: Path
    output: Path
    process: asyncio.subprocess.Process | None = None
    boot: int = 0
    impaired_s: list[list[float]] = attrs.field(factory=list)
    store_route: Route | None = None
    instance_route: Route | None = None
    link_routes: dict[int, Route] = attrs.field(factory=dict)
    # Per confirmed leave: when, and of which start.
    departed: list[tuple[float, int]] = attrs.field(factory=list)
    leaving: bool = False
    overran_stop: int = 0
    # What the node said it serves: when, in which boot, which revision.
    revisions: list[tuple[float, int, int]] = attrs.field(factory=list)

    @property
    def routes(self) -> list[Route]:
        """All ways of what this host dials."""
        return [self.store_route, self.instance_route, *self.link_routes.values()]


@attrs.define(eq=False)
class Fleet:
    """Everything that runs in a soak."""

    net: int
    folder: Path
    store: StandInStore = attrs.field(factory=StandInStore)
    store_runner: Any = None
    hosts: list[Host] = attrs.field(factory=list)
    session: aiohttp.ClientSession | None = None
    revision: int = 0
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)


async def start_fleet(net: int, folder: Path, count: int) -> Fleet:
    """Start a store, and hosts with a node and an instance each."""
    fleet = Fleet(net, folder)
    fleet.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(ANSWER_S))
    fleet.store_runner = await start_store(fleet.store, addresses.store_address(net))
    await write_revision(fleet)
    for number in range(1, count + 1):
        await _add_host(fleet, number, count)
    await asyncio.gather(*(start_node(host) for host in fleet.hosts))
    fleet.tasks = [
        asyncio.create_task(task(fleet, host))
        for host in fleet.hosts
        for task in (_keep_announcing, _keep_asking)
    ]
    return fleet


async def write_revision(fleet: Fleet) -> None:
    """Write a configuration that differs from the one before, as the operator does."""
    fleet.revision += 1
    columns = ["name", "host", "prefix", "kind", "timeout", "targetLatency"]
    columns += ["priority", "service", "maxAttempts"]
    kinds = [("read", "idempotent", "desk", 2), ("fire", "non_idempotent", "desk", 1)]
    kinds += [("show", "idempotent", "panel", 2)]
    kinds += [(f"new-{fleet.revision}", "idempotent", "panel", 1)]
    rows = [
        [name, "app.example", f"/{name}/", kind, f"{WAIT_S}s", "500ms", 1, to, tries]
        for name, kind, to, tries in kinds
    ]
    services = [[name, "/healthz"] for name in SERVICES]
    tree = {
        "version": f"{fleet.revision:08x}",
        "routes": {"columns": columns, "rows": rows},
        "services": {"columns": ["name", "healthPath"], "rows": services},
    }
    await put_row(fleet.store, "op", "config", json.dumps(tree).encode())


async def _add_host(fleet: Fleet, number: int, count: int) -> None:
    net, ip = fleet.net, addresses.host_ip(fleet.net, number)
    service = SERVICES[number % len(SERVICES)]
    zone = ZONES[number * len(ZONES) // (count + 1)]
    instance = Instance(
        f"i-{number}",
        service,
        f"{ip}:{addresses.INSTANCE_PORT}",
        zone=zone,
        slots=SLOTS,
        service_time_s=WORK_S,
    )
    await start_instance(instance)
    host = Host(
        number,
        ip,
        zone,
        instance,
        fleet.folder / f"host-{number}.json",
        fleet.folder / f"host-{number}.log",
    )
    found_store = addresses.proxied_store(net, number)
    found_instance = addresses.proxied_instance(net, number)
    host.store_route = await open_route(found_store, addresses.store_address(net))
    host.instance_route = await open_route(found_instance, instance.address)
    for other in range(1, count + 1):
        if other != number:
            other_ip = addresses.host_ip(net, other)
            found = addresses.proxied_link(ip, other_ip)
            host.link_routes[other] = await open_route(
                f"{found}:{addresses.LINK_PORT}", f"{other_ip}:{addresses.LINK_PORT}"
            )
    settings = {
        "nodeName": f"host-{number}",
        "ip": ip,
        "zone": zone,
        "bind": {
            "inbound": f"{ip}:{addresses.LINK_PORT}",
            "outbound": f"{ip}:{addresses.CALLS_PORT}",
            "ready": f"{ip}:{addresses.READY_PORT}",
            "admin": f"{ip}:{addresses.ANNOUNCE_PORT}",
        },
        "bootstrap": True,
        "heartbeat": f"{HEARTBEAT_S}s",
        "bounds": {"retryBudgetSlack": 62, "grace": "6s"},
        "appAddr": found_instance,
        "service": service,
        "platform": {"address": found_store},
    }
    host.settings.write_text(json.dumps(settings))
    fleet.hosts.append(host)


async def start_node(host: Host) -> None:
    """Start a host's node; every start after the first one knows that it is none."""
    if host.boot:
        settings = json.loads(host.settings.read_text())
        host.settings.write_text(json.dumps({**settings, "bootstrap": False}))
    host.boot += 1
    with host.output.open("ab") as output:
        host.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.node",
            host.ip,
            env={**os.environ, "AGATERELAY_CONFIG": str(host.settings)},
            stdout=output,
            stderr=output,
        )
        output.write(f"soak: start {host.boot}, pid {host.process.pid}\n".encode())


def note_signal(host: Host, number: signal.Signals) -> None:
    """Write into a node's output that it was sent a signal."""
    line = f"soak: {number.name} to {host.process.pid}\n"
    with host.output.open("ab") as output:
        output.write(line.encode())


def send_signal(host: Host, number: signal.Signals) -> None:
    """Send a signal to a host's node where it runs."""
    if host.process is not None and host.process.returncode is None:
        note_signal(host, number)
        host.process.send_signal(number)


async def say(host: Host, state: str) -> bool:
    """Send one word of the host's instance; return whether it was confirmed."""
    try:
        async with asyncio.timeout(ANSWER_S):
            node = f"{host.ip}:{addresses.ANNOUNCE_PORT}"
            return await announce(host.instance, node, state) == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


async def _keep_announcing(fleet: Fleet, host: Host) -> None:
    while True:
        confirmed = host.leaving or await say(host, "ready")
        await asyncio.sleep(HEARTBEAT_S if confirmed else SOON_S)


async def _keep_asking(fleet: Fleet, host: Host) -> None:
    while True:
        await asyncio.sleep(SOON_S)
        boot = host.boot
        revision = await read_revision(fleet, host)
        if revision and boot == host.boot:
            host.revisions.append((time.monotonic(), boot, revision))


async def read_revision(fleet: Fleet, host: Host) -> int:
    """Return which revision a node says that it serves, 0 where it says nothing."""
    try:
        url = f"http://{host.ip}:{addresses.METRICS_PORT}/metrics"
        async with fleet.session.get(url) as response:
            found = _REVISION.search(await response.text())
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0
    return int(float(found[1])) if found else 0


async def stop_fleet(fleet: Fleet) -> None:
    """End everything that was started, by its id."""
    for task in fleet.tasks:
        task.cancel()
    await asyncio.gather(*fleet.tasks, return_exceptions=True)
    for host in fleet.hosts:
        send_signal(host, signal.SIGKILL)
    for host in fleet.hosts:
        if host.process is not None:
            await host.process.wait()
        stop_instance(host.instance)
        for route in host.routes:
            close_route(route)
    await fleet.session.close()
    await fleet.store_runner.cleanup()
