"""Start and stop a whole deployment of real processes, for demos, tests and benches.

Every deployment takes a block of loopback addresses of its own, so several can run at
once. Processes are ended by their own ids only.
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
FIRST_BLOCK, LAST_BLOCK = 20, 220
RECORDS_SUFFIX = ".records"
ADMIN_KEY = "admin-key"
FAULT_PORT = 7003
START_TIMEOUT_S = 20.0


@attrs.define
class HostProcesses:
    """One host: its node, and its upstreams by name."""

    zone: str
    ip: str
    node: subprocess.Popen | None = None
    upstreams: dict[str, subprocess.Popen] = attrs.field(factory=dict)

    @property
    def calls(self) -> str:
        """The callers' address of the host's node."""
        return f"{self.ip}:{CALLS_PORT}"

    @property
    def peers(self) -> str:
        """The address of the host's node for other nodes, which is also its name."""
        return f"{self.ip}:{PEERS_PORT}"

    @property
    def operators(self) -> str:
        """The operators' address of the host's node."""
        return f"{self.ip}:{OPERATORS_PORT}"


@attrs.define
class Deployment:
    """The processes of one deployment and where they keep their files."""

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
        """The platform stand-in's address."""
        return f"127.{self.block}.0.1:{PLATFORM_PORT}"


def claim_block() -> tuple[int, socket.socket]:
    """Claim a free block of loopback addresses by holding a port in it.

    Raises:
        OSError: No block is free.
    """
    span = LAST_BLOCK - FIRST_BLOCK
    for step in range(span):
        block = FIRST_BLOCK + (os.getpid() + step) % span
        lock = socket.socket()
        try:
            lock.bind((f"127.{block}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return block, lock
    raise OSError("no free block of loopback addresses")


@contextlib.contextmanager
def deployment(
    zones: dict[str, int], faulty: bool = False, seeds: bool = True, **timing: float
) -> Any:
    """Run the platform and a number of nodes by zone; stop all at the end.

    Args:
        zones: The number of nodes by availability zone.
        faulty: Whether the nodes take cuts, see ``cut``.
        seeds: Whether the nodes' settings name a host of each zone as a seed.
        timing: The nodes' ``[timing]`` settings.
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
    """Start a Python module as a process whose output goes to a file."""
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
    """Return the settings of a host's node."""
    first = [item.peers for item in running.hosts if item.ip.endswith(".1")]
    seeds = first if running.has_seeds else []
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
    """Start the node of a host."""
    path = running.folder / f"{host.ip}.toml"
    path.write_text(settings_text(running, host))
    arguments = [*running.node_command, "--settings", str(path)]
    host.node = spawn(running, host.ip, arguments)


def start_upstream(
    running: Deployment, host: HostProcesses, service: str, version: str, **options: Any
) -> str:
    """Start an upstream on a host; return its name, which is its address."""
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
    """Put addresses with these prefixes out of a host's reach; none heals all."""
    fetch(f"http://{host.ip}:{FAULT_PORT}/cuts", "PUT", prefixes)


def zone_prefix(running: Deployment, zone: str) -> str:
    """Return the prefix that all addresses of a zone share."""
    return f"127.{running.block}.{running.zones.index(zone) + 1}."


def cut_zone(running: Deployment, zone: str, platform: bool = True) -> None:
    """Cut a zone off from all others, and from the platform unless told not to."""
    own = zone_prefix(running, zone)
    others = [zone_prefix(running, name) for name in running.zones if name != zone]
    if platform:
        others.append(running.platform_address)
    for host in running.hosts:
        cut(host, others if host.zone == zone else [own])


def heal(running: Deployment) -> None:
    """End all cuts."""
    for host in running.hosts:
        cut(host, [])


def is_up(host: HostProcesses) -> bool:
    """Return whether a host's node answers operators.

    Raises:
        ChildProcessError: The node has ended.
    """
    if host.node is not None and host.node.poll() is not None:
        raise ChildProcessError(f"{host.ip} ended with status {host.node.poll()}")
    return fetch(f"http://{host.operators}/v1/node") is not None


def fetch(
    url: str, method: str = "GET", body: Any = None, timeout_s: float = 10.0
) -> Any:
    """Return the JSON at an address, None where there is no good answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            content = response.read()
    except (OSError, urllib.error.URLError):
        return None
    return json.loads(content) if content else {}


def wait_until(condition: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: It did not come true in time.
    """
    give_up_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up_s:
            raise TimeoutError(f"not in time: {what}")
        time.sleep(0.05)


def stop(process: subprocess.Popen | None, number: int = signal.SIGTERM) -> int | None:
    """Stop a process by a signal and wait for it; return its exit status."""
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
    """Stop every process of the deployment."""
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
