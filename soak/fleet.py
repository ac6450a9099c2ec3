"""The processes and stand-ins of a soak test.

The store, the instances and the proxy run in this process, and each node in its own.
"""

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
POLL_INTERVAL_S = 0.3
REQUEST_TIMEOUT_S = 1.0
SLOTS = 8
SERVICE_TIME_S = 0.02
# The deadline of each call, and the timeout of its route.
CALL_TIMEOUT_S = 1.5
_REVISION_PATTERN = re.compile(r"^agaterelay_revision (\S+)", re.MULTILINE)


@attrs.define(eq=False)
class Host:
    """A host: the process of its node, its instance, and the routes of its connections.

    ``impaired_s`` are the intervals, as begin and end on the monotonic clock, in which a
    fault affected the process of the node; the end is infinite while the fault lasts.
    ``start_count`` counts the starts of the node, and ``stop_timeouts`` the stops that
    took too long.
    """

    number: int
    ip: str
    zone: str
    instance: Instance
    settings: Path
    output: Path
    process: asyncio.subprocess.Process | None = None
    start_count: int = 0
    impaired_s: list[list[float]] = attrs.field(factory=list)
    store_route: Route | None = None
    instance_route: Route | None = None
    link_routes: dict[int, Route] = attrs.field(factory=dict)
    # For each confirmed leave: its time, and the ``born_ms`` of the instance.
    departed: list[tuple[float, int]] = attrs.field(factory=list)
    leaving: bool = False
    stop_timeouts: int = 0
    # The most memory that the node's processes have had.
    peak_memory_bytes: int = 0
    # For each answer of the node's metrics: its time, the start count and the revision.
    revisions: list[tuple[float, int, int]] = attrs.field(factory=list)

    @property
    def routes(self) -> list[Route]:
        """The routes of all connections that this host opens."""
        return [self.store_route, self.instance_route, *self.link_routes.values()]


@attrs.define(eq=False)
class Fleet:
    """Everything that runs in a soak test; ``revision`` is the newest one written."""

    net: int
    folder: Path
    store: StandInStore = attrs.field(factory=StandInStore)
    store_runner: Any = None
    hosts: list[Host] = attrs.field(factory=list)
    session: aiohttp.ClientSession | None = None
    revision: int = 0
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)


async def start_fleet(net: int, folder: Path, count: int) -> Fleet:
    """Start the store, and hosts with a node and an instance each."""
    fleet = Fleet(net, folder)
    fleet.session = aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(REQUEST_TIMEOUT_S)
    )
    fleet.store_runner = await start_store(fleet.store, addresses.store_address(net))
    await write_revision(fleet)
    for number in range(1, count + 1):
        await _add_host(fleet, number, count)
    await asyncio.gather(*(start_node(host) for host in fleet.hosts))
    fleet.tasks = [
        asyncio.create_task(task(fleet, host))
        for host in fleet.hosts
        for task in (_announce_periodically, _record_revisions)
    ]
    return fleet


async def write_revision(fleet: Fleet) -> None:
    """Write the next revision of the configuration as an operator does.

    Every revision has a route of its own, so that it differs from the one before.
    """
    fleet.revision += 1
    columns = ["name", "host", "prefix", "kind", "timeout", "targetLatency"]
    columns += ["priority", "service", "maxAttempts"]
    kinds = [("read", "idempotent", "desk", 2), ("fire", "non_idempotent", "desk", 1)]
    kinds += [("show", "idempotent", "panel", 2)]
    kinds += [(f"new-{fleet.revision}", "idempotent", "panel", 1)]
    rows = [
        [
            name,
            "app.example",
            f"/{name}/",
            kind,
            f"{CALL_TIMEOUT_S}s",
            "500ms",
            1,
            to,
            tries,
        ]
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
        service_time_s=SERVICE_TIME_S,
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
    store_listen = addresses.proxied_store_address(net, number)
    instance_listen = addresses.proxied_instance_address(net, number)
    host.store_route = await open_route(store_listen, addresses.store_address(net))
    host.instance_route = await open_route(instance_listen, instance.address)
    for other in range(1, count + 1):
        if other != number:
            other_ip = addresses.host_ip(net, other)
            found = addresses.proxied_link_ip(ip, other_ip)
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
        "appAddr": instance_listen,
        "service": service,
        "platform": {"address": store_listen},
    }
    host.settings.write_text(json.dumps(settings))
    fleet.hosts.append(host)


async def start_node(host: Host) -> None:
    """Start the node of a host; only its first start has the ``bootstrap`` setting."""
    if host.start_count:
        settings = json.loads(host.settings.read_text())
        host.settings.write_text(json.dumps({**settings, "bootstrap": False}))
    host.start_count += 1
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
        output.write(
            f"soak: start {host.start_count}, pid {host.process.pid}\n".encode()
        )


def log_signal(host: Host, number: signal.Signals) -> None:
    """Record in the output of a node that a signal is sent to it."""
    line = f"soak: {number.name} to {host.process.pid}\n"
    with host.output.open("ab") as output:
        output.write(line.encode())


def send_signal(host: Host, number: signal.Signals) -> None:
    """Send a signal to the node of a host if it is running."""
    if host.process is not None and host.process.returncode is None:
        log_signal(host, number)
        host.process.send_signal(number)


async def announce_state(host: Host, state: str) -> bool:
    """Announce a state of the host's instance; return whether the node confirmed it."""
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            node = f"{host.ip}:{addresses.ANNOUNCE_PORT}"
            return await announce(host.instance, node, state) == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


async def _announce_periodically(fleet: Fleet, host: Host) -> None:
    while True:
        confirmed = host.leaving or await announce_state(host, "ready")
        await asyncio.sleep(HEARTBEAT_S if confirmed else POLL_INTERVAL_S)


async def _record_revisions(fleet: Fleet, host: Host) -> None:
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        start_count = host.start_count
        host.peak_memory_bytes = max(host.peak_memory_bytes, _read_memory_bytes(host))
        revision = await read_revision(fleet, host)
        if revision and start_count == host.start_count:
            host.revisions.append((time.monotonic(), start_count, revision))


def _read_memory_bytes(host: Host) -> int:
    """Return the most memory that the node's process has had, 0 if it has ended."""
    try:
        status = Path(f"/proc/{host.process.pid}/status").read_text()
    except OSError:
        return 0
    found = re.search(r"^VmHWM:\s+(\d+) kB", status, re.MULTILINE)
    return int(found[1]) * 1024 if found else 0


async def read_revision(fleet: Fleet, host: Host) -> int:
    """Return the revision in the metrics of a node, 0 where there is none."""
    try:
        url = f"http://{host.ip}:{addresses.METRICS_PORT}/metrics"
        async with fleet.session.get(url) as response:
            found = _REVISION_PATTERN.search(await response.text())
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0
    return int(float(found[1])) if found else 0


async def stop_fleet(fleet: Fleet) -> None:
    """Stop all tasks, processes, instances, routes and the store."""
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
