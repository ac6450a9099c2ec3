"""Start and stop a deployment of real processes for demos, tests and benchmarks.

Every deployment claims its own block of loopback addresses, so several can run at the
same time. Processes are signalled only by their own process ids.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import attrs

CALLS_PORT = 7000
PEERS_PORT = 7001
OPERATORS_PORT = 7002
UPSTREAM_PORT = 9000
PLATFORM_PORT = 7100
LOCK_PORT = 7999
FIRST_BLOCK, END_BLOCK = 20, 220
RECORDS_SUFFIX = ".records"
ADMIN_KEY = "admin-key"
FAULT_PORT = 7003
START_TIMEOUT_S = 20.0


@attrs.define
class HostProcesses:
    """The processes of one host: its node, and its upstreams by address."""

    zone: str
    ip: str
    node: subprocess.Popen | None = None
    upstreams: dict[str, subprocess.Popen] = attrs.field(factory=dict)

    @property
    def calls(self) -> str:
        """The address of the host's node for callers."""
        return f"{self.ip}:{CALLS_PORT}"

    @property
    def peers(self) -> str:
        """The address of the host's node for other nodes, which is also its name."""
        return f"{self.ip}:{PEERS_PORT}"

    @property
    def operators(self) -> str:
        """The address of the host's node for operators."""
        return f"{self.ip}:{OPERATORS_PORT}"


@attrs.define
class Deployment:
    """The processes of one deployment, its addresses and its folder.

    ``block`` is the second octet of all addresses, and ``lock`` is the bound socket that
    reserves it.
    """

    block: int
    folder: Path
    lock: socket.socket
    timing: dict[str, float] = attrs.field(factory=dict)
    hosts: list[HostProcesses] = attrs.field(factory=list)
    platform: subprocess.Popen | None = None
    zones: tuple[str, ...] = ()
    node_command: tuple[str, ...] = ("agaterelay.cli.main", "node")
    has_seeds: bool = True

    @property
    def platform_address(self) -> str:
        """The address of the platform stand-in."""
        return f"127.{self.block}.0.1:{PLATFORM_PORT}"


def claim_block() -> tuple[int, socket.socket]:
    """Reserve a free block of loopback addresses by binding a port in it.

    Returns:
        The second octet of the block, and the socket that reserves it until it is closed.

    Raises:
        OSError: No block is free.
    """
    span = END_BLOCK - FIRST_BLOCK
    for step in range(span):
        block = FIRST_BLOCK + (os.getpid() + step) % span
        lock = socket.socket()
        try:
            lock.bind((f"127.{block}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return block, lock
    raise OSError("no free block of loopback addresses: the lock port of each is bound")


@contextlib.contextmanager
def deployment(
    zones: dict[str, int], faulty: bool = False, seeds: bool = True, **timing: float
) -> Any:
    """Run the platform stand-in and the nodes of each zone; stop all of them on exit.

    Args:
        zones: The number of nodes by availability zone.
        faulty: Whether the nodes accept injected network faults, see ``cut``.
        seeds: Whether the nodes' settings name a host of each zone as a seed.
        timing: The nodes' ``[timing]`` settings.

    Raises:
        OSError: No block of loopback addresses is free.
        TimeoutError: The platform or a node did not start in time.
        ChildProcessError: A node ended while it was starting.
    """
    block, lock = claim_block()
    with tempfile.TemporaryDirectory(prefix="agaterelay-") as folder:
        running = Deployment(block, Path(folder), lock, timing, zones=tuple(zones))
        running.has_seeds = seeds
        if faulty:
            running.node_command = ("standins.faulty_node",)
        try:
            start_platform(running)
            for number, (zone, count) in enumerate(zones.items(), start=1):
                for index in range(1, count + 1):
                    ip = f"127.{block}.{number}.{index}"
                    running.hosts.append(HostProcesses(zone, ip))
            for host in running.hosts:
                start_node(running, host)
            for host in running.hosts:
                wait_until(lambda host=host: is_up(host), f"{host.ip} is up")
            yield running
        finally:
            stop_all(running)
            lock.close()


def spawn(running: Deployment, name: str, arguments: list[str]) -> subprocess.Popen:
    """Run a Python module as a process whose output is appended to ``NAME.log``."""
    log = (running.folder / f"{name}.log").open("ab")
    with log:
        return subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=Path(__file__).parent.parent,
        )


def start_platform(running: Deployment) -> None:
    """Start the platform stand-in and wait until it answers."""
    address = running.platform_address
    running.platform = spawn(
        running, "platform", ["standins.platform", "--listen", address]
    )
    wait_until(lambda: fetch(f"http://{address}/counts") is not None, "the platform")


def settings_text(running: Deployment, host: HostProcesses) -> str:
    """Return the settings of a host's node as TOML."""
    first_hosts = [item.peers for item in running.hosts if item.ip.endswith(".1")]
    seeds = first_hosts if running.has_seeds else []
    timing = "\n".join(f"{key} = {value}" for key, value in running.timing.items())
    admin = hashlib.sha256(ADMIN_KEY.encode()).hexdigest()
    return f"""[node]
zone = "{host.zone}"
region = "region-1"
peers_address = "{host.peers}"
calls_address = "{host.calls}"
operators_address = "{host.operators}"
seeds = {json.dumps(seeds)}
zones = {json.dumps(list(running.zones))}

[platform]
table_url = "http://{running.platform_address}/table"
objects_url = "http://{running.platform_address}/objects"

[operators]
admin_key_sha256 = "{admin}"

[timing]
{timing}
"""


def start_node(running: Deployment, host: HostProcesses) -> None:
    """Write the settings of a host's node and start it."""
    path = running.folder / f"{host.ip}.toml"
    path.write_text(settings_text(running, host))
    arguments = [*running.node_command, "--settings", str(path)]
    host.node = spawn(running, host.ip, arguments)


def start_upstream(
    running: Deployment, host: HostProcesses, service: str, version: str, **options: Any
) -> str:
    """Start an upstream on a host.

    Args:
        running: The deployment.
        host: The host to run on.
        service: The service that the upstream announces.
        version: The version that it announces.
        options: Further command line options of ``standins.upstream``.

    Returns:
        The name of the upstream, which is its address.
    """
    port = UPSTREAM_PORT + len(host.upstreams)
    address = f"{host.ip}:{port}"
    arguments = ["standins.upstream", "--listen", address, "--node", host.operators]
    arguments += ["--service", service, "--version", version]
    arguments += ["--records", str(running.folder / f"{address}{RECORDS_SUFFIX}")]
    for name, value in options.items():
        arguments += ["--" + name.replace("_", "-"), str(value)]
    host.upstreams[address] = spawn(running, f"upstream-{address}", arguments)
    return address


def cut(host: HostProcesses, prefixes: list[str]) -> None:
    """Make addresses with these prefixes unreachable for a host.

    The list replaces the one before; an empty list ends all cuts of the host.
    """
    fetch(f"http://{host.ip}:{FAULT_PORT}/cuts", "PUT", prefixes)


def zone_prefix(running: Deployment, zone: str) -> str:
    """Return the common prefix of all addresses of a zone."""
    return f"127.{running.block}.{running.zones.index(zone) + 1}."


def cut_zone(running: Deployment, zone: str, platform: bool = True) -> None:
    """Partition a zone from all others, and by default from the platform too."""
    own = zone_prefix(running, zone)
    others = [zone_prefix(running, name) for name in running.zones if name != zone]
    if platform:
        others.append(running.platform_address)
    for host in running.hosts:
        cut(host, others if host.zone == zone else [own])


def heal(running: Deployment) -> None:
    """End the cuts of all hosts."""
    for host in running.hosts:
        cut(host, [])


def is_up(host: HostProcesses) -> bool:
    """Return whether a host's node answers at its operators address.

    Raises:
        ChildProcessError: The process of the node has ended.
    """
    if host.node is not None and host.node.poll() is not None:
        raise ChildProcessError(
            f"node of {host.ip} ended with exit status {host.node.poll()}"
        )
    return fetch(f"http://{host.operators}/v1/node") is not None


def fetch(
    url: str, method: str = "GET", body: Any = None, timeout_s: float = 10.0
) -> Any:
    """Return the decoded JSON answer of a URL.

    Returns:
        An empty dictionary for an empty answer; None where the request failed or was
        answered with an error status.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            content = response.read()
    except (OSError, urllib.error.URLError):
        return None
    return json.loads(content) if content else {}


def wait_until(condition: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll a condition until it is true.

    Args:
        condition: Called without arguments.
        what: Describes the condition in the error message.
        timeout_s: The longest time to wait.

    Raises:
        TimeoutError: The condition was not true in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"timed out waiting for: {what}")
        time.sleep(0.05)


def stop(process: subprocess.Popen | None, number: int = signal.SIGTERM) -> int | None:
    """Send a signal to a process and wait until it ends; return its exit status.

    A suspended process is resumed before. One that has not ended after 40 s is killed.
    """
    if process is None:
        return None
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
    try:
        return process.wait(timeout=40)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def stop_all(running: Deployment) -> None:
    """Kill every process of the deployment and wait until all have ended."""
    processes = [
        process for host in running.hosts for process in host.upstreams.values()
    ]
    processes += [host.node for host in running.hosts if host.node is not None]
    if running.platform is not None:
        processes.append(running.platform)
    for process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
    for process in processes:
        process.wait()
