"""A small fleet on loopback: real nodes with a simulated store and simulated instances.

The nodes run in the test's process. A node is killed by closing its sockets and cancelling
its tasks, so that it sends nothing more.
"""

import asyncio
import contextlib
import itertools
import json
import os
import socket

import aiohttp
import attrs
import yarl

from agaterelay.adapters.clock import SystemClock
from agaterelay.core.deployment import Bounds, Deployment, StoreSettings
from agaterelay.deployed import build_node, make_servers
from agaterelay.mesh.links import start_links, update_links
from agaterelay.mesh.node import start_tasks
from agaterelay.mesh.servers import Listening, abort_all, listen
from agaterelay.platform.store import StoreClient
from standins.instance import Instance, announce, start_instance, stop_instance
from standins.store import StandInStore, put_row, start_store

WAIT_TIMEOUT_S = 5.0
PORT = 7400
_address_numbers = itertools.count()


class Sink:
    """Replaces the log's sink, of which the servers read only the dropped lines."""

    dropped = 0


def free_address():
    """Return a loopback address on which nothing listens.

    The addresses lie outside 127.0.0.1, since a free port there could be taken by an
    outgoing connection before a killed node is started again on it.
    """
    while True:
        number = next(_address_numbers)
        host = f"127.{100 + os.getpid() % 100}.{number // 250}.{number % 250 + 1}"
        with socket.socket() as probe:
            try:
                probe.bind((host, PORT))
            except OSError:
                continue
            return f"{host}:{PORT}"


async def wait_until(condition, timeout_s=WAIT_TIMEOUT_S):
    """Wait until a condition holds; raise TimeoutError if it does not in time."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def config(version, routes, services=("desk", "panel"), cold=(None, None)):
    """Return a configuration in the operator's format.

    ``cold`` has the ``coldStart`` and the ``coldPerS`` of all services.
    """
    service_columns = ["name", "healthPath", "maxConnections", "protocol", "tls"]
    if any(cold):
        service_columns += ["coldStart", "coldPerS"]
    columns = ["name", "host", "prefix", "kind", "timeout", "targetLatency"]
    columns += ["priority", "service", "maxAttempts", "weightedClusters"]
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {"columns": columns, "rows": routes},
            "services": {
                "columns": service_columns,
                "rows": [
                    [name, "/healthz", 130, "h1", False, *(cold if any(cold) else ())]
                    for name in services
                ],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1048576,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
        }
    ).encode()


def route(prefix="/read/", service="desk", kind="idempotent", **changes):
    """Return a row of the configuration's routes."""
    fields = {
        "name": f"r{prefix.strip('/')}",
        "host": "app.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": "1500ms",
        "targetLatency": "500ms",
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "weightedClusters": None,
        **changes,
    }
    return list(fields.values())


ROUTES = [route("/read/"), route("/fire/", kind="non_idempotent")]


@attrs.define
class Host:
    """One host with its node and its instance."""

    deployment: Deployment
    instance: Instance
    node: object = None
    tasks: list = attrs.field(factory=list)
    listening: Listening = attrs.field(factory=Listening)
    store: StoreClient = None
    inbound: list = attrs.field(factory=list)


@attrs.define
class Fleet:
    """The hosts and the store."""

    store: StandInStore = attrs.field(factory=StandInStore)
    store_address: str = ""
    store_runner: object = None
    hosts: list[Host] = attrs.field(factory=list)
    session: aiohttp.ClientSession = None


@contextlib.asynccontextmanager
async def running_fleet(
    services=("desk", "desk"),
    routes=ROUTES,
    announced=True,
    cold=(None, None),
    zones="",
):
    """Start a store with a configuration, and one host for each item of ``services``.

    ``zones`` has the zone of each host, "a" where it ends.
    """
    fleet = Fleet(store_address=free_address())
    fleet.session = aiohttp.ClientSession()
    fleet.store_runner = await start_store(fleet.store, fleet.store_address)
    await put_row(fleet.store, "op", "config", config(1, routes, cold=cold))
    for service, zone in zip(services, zones.ljust(len(services), "a"), strict=True):
        await add_host(fleet, service, zone)
    if announced:
        for host in fleet.hosts:
            assert await announce(host.instance, admin_address(host)) == 200
        await wait_until(lambda: all(is_converged(fleet, host) for host in fleet.hosts))
    try:
        yield fleet
    finally:
        for host in fleet.hosts:
            await kill_node(host)
            stop_instance(host.instance)
        await fleet.session.close()
        await fleet.store_runner.cleanup()


def admin_address(host):
    """Return the address at which an instance announces itself."""
    return host.deployment.announce_address


def is_converged(fleet, host):
    """Return whether a node has links to all others and knows their instances."""
    if host.node is None:
        return True
    state = host.node.state
    running = [other for other in fleet.hosts if other.node is not None]
    return (
        state.table is not None
        and host.node.outbound.budget.slack > 0
        and sum(link.usable for link in host.node.links.links.values())
        >= len(running) - 1
        and sum(bool(member.upstreams) for member in state.members.values())
        >= len(running) - 1
    )


async def add_host(fleet, service, zone="a", version="v1", **changes):
    """Start a host with its node and an instance that has not announced itself."""
    number = len(fleet.hosts)
    instance = Instance(
        instance=f"i-{number}",
        service=service,
        address=free_address(),
        version=version,
        zone=zone,
        **changes,
    )
    await start_instance(instance)
    deployment = Deployment(
        name=f"host-{number}",
        zone=zone,
        link_address=free_address(),
        calls_address=free_address(),
        announce_address=free_address(),
        ready_address=free_address(),
        metrics_address=free_address(),
        service=service,
        upstream_address=instance.address,
        store=StoreSettings(fleet.store_address),
        bounds=Bounds(),
        heartbeat_s=1.5,
        first_start=True,
    )
    host = Host(deployment, instance)
    fleet.hosts.append(host)
    await start_node(host)
    return host


def record_events(host, kinds):
    """Return a list to which events of some kinds of a host's node are appended."""
    found = []
    record = host.node.context.record

    def keep(kind, **fields):
        if kind in kinds:
            found.append((kind, fields))
        record(kind, **fields)

    host.node.context.record = keep
    return found


async def start_node(host):
    """Start a host's node without any state from an earlier run."""
    host.store = StoreClient(host.deployment.store.address)
    await host.store.open()
    host.node = build_node(host.deployment, SystemClock(), host.store)
    await start_links(host.node.links)
    host.listening = Listening()
    for server, address in make_servers(host.node, Sink()):
        await listen(host.listening, server, address)
    host.tasks = start_tasks(host.node)
    update_links(host.node.links)


async def restart_node(host):
    """Kill a host's node and start it again on the same addresses."""
    await kill_node(host)
    host.deployment = attrs.evolve(host.deployment, first_start=False)
    await start_node(host)


async def kill_node(host):
    """End a host's node as SIGKILL does, without a message to other nodes."""
    if host.node is None:
        return
    links = host.node.links
    tasks = [*host.tasks, *(link.dialer for link in links.links.values())]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    links.server.close()
    for link in links.links.values():
        if link.connection is not None:
            link.connection.abort()
    for connection in {connection for connection, _ in links.running}:
        connection.abort()
    for connection in tuple(links.accepted):
        connection.abort()
    host.node.inbound.pool.close()
    abort_all(host.listening.servers)
    await host.store.close()
    host.node = None


async def send_request(
    fleet, host, path="/read/x", method="GET", wait_ms=1000, **options
):
    """Send a caller's request to a host; return the status, headers and body."""
    headers = {
        "Host": "app.example",
        "X-Request-Deadline": str(wait_ms),
        **options.pop("headers", {}),
    }
    headers.setdefault("X-Attempt-Id", f"call-{len(fleet.store.calls)}-{id(headers)}")
    url = yarl.URL(f"http://{host.deployment.calls_address}{path}", encoded=True)
    async with fleet.session.request(
        method, url, headers=headers, **options
    ) as response:
        return response.status, response.headers, await response.read()
