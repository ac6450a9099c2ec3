"""Nodes beside crowds of callers that don't behave.

Each test starts real nodes with lowered limits, lets a crowd of one shape send to one of
them, and checks what does not depend on the speed of the machine: the process lives, its
memory and descriptors stay within its machine's, and an ordinary request is answered
while the crowd stays.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from pathlib import Path

import attrs
import pytest

from soak.addresses import find_free_networks, host_ip, store_address
from standins.instance import Instance, announce, start_instance, stop_instance
from standins.store import StandInStore, put_row, start_store
from tests.mesh.fleet import config, route

LINK_PORT, CALLS_PORT, READY_PORT, ANNOUNCE_PORT, INSTANCE_PORT = range(7410, 7415)
METRICS_PORT = 7390
MB = 1 << 20
MEMORY_MB = 128
MAX_DESCRIPTORS = 1000
HEARTBEAT_S = 0.5
# How long a crowd plays before the ordinary request.
CROWD_S = 6.0
# An ordinary caller gives up on one attempt, and on all of them, after these times.
ATTEMPT_S = 8.0
ANSWER_LIMIT_S = 30.0
START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
SAMPLE_S = 0.02
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4 * MB,
    "headerTimeout": "60s",
    "idleTimeout": "60s",
}

pytestmark = pytest.mark.scenario


@attrs.define(eq=False)
class Host:
    """A host's node and instance, and the most that its process held.

    Attributes:
        peak_bytes: The most resident memory and bytes that the kernel has received for
            the process and that it has not read.
        peak_kernel_bytes: The part of it that the kernel held.
        peak_descriptors: The most open descriptors.
    """

    ip: str
    instance: Instance
    memory_mb: int
    max_descriptors: int
    process: asyncio.subprocess.Process = None
    peak_bytes: int = 0
    peak_kernel_bytes: int = 0
    peak_descriptors: int = 0


@attrs.define(eq=False)
class Fleet:
    """The hosts of a test and its store."""

    store: StandInStore = attrs.field(factory=StandInStore)
    hosts: list[Host] = attrs.field(factory=list)


def settings_of(host, number, zones, service, store):
    return {
        "nodeName": f"host-{number}",
        "ip": host.ip,
        "zone": zones[0],
        "zones": dict.fromkeys(zones, "region"),
        "bind": {
            "inbound": f"{host.ip}:{LINK_PORT}",
            "outbound": f"{host.ip}:{CALLS_PORT}",
            "ready": f"{host.ip}:{READY_PORT}",
            "admin": f"{host.ip}:{ANNOUNCE_PORT}",
        },
        "bootstrap": True,
        "heartbeat": f"{HEARTBEAT_S}s",
        "bounds": {"retryBudgetSlack": 62, "grace": "6s"},
        "appAddr": f"{host.ip}:{INSTANCE_PORT}",
        "service": service,
        "limits": {"memoryMb": host.memory_mb, "maxFds": host.max_descriptors},
        "platform": {"address": store},
    }


@contextlib.asynccontextmanager
async def running_fleet(
    folder,
    services=("desk",),
    memory_mb=MEMORY_MB,
    max_descriptors=MAX_DESCRIPTORS,
    limits=None,
):
    """Start a store, and a node with an instance for each of ``services``."""
    (net,) = find_free_networks(1)
    fleet = Fleet()
    runner = await start_store(fleet.store, store_address(net))
    document = json.loads(
        config(1, [route("/read/", timeout="8000ms", targetLatency="4000ms")])
    )
    document["limits"] = {**LIMITS, **(limits or {})}
    await put_row(fleet.store, "op", "config", json.dumps(document).encode())
    tasks = []
    try:
        for number, service in enumerate(services, 1):
            ip = host_ip(net, number)
            instance = Instance(
                f"i-{number}", service, f"{ip}:{INSTANCE_PORT}", slots=8
            )
            host = Host(ip, instance, memory_mb, max_descriptors)
            fleet.hosts.append(host)
            await start_instance(instance)
            path = folder / f"host-{number}.json"
            settings = settings_of(host, number, ["a"], service, store_address(net))
            path.write_text(json.dumps(settings))
            with (folder / f"host-{number}.log").open("wb") as output:
                host.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "agaterelay.start",
                    env={**os.environ, "AGATERELAY_CONFIG": str(path)},
                    stdout=output,
                    stderr=output,
                )
            tasks.append(asyncio.create_task(announce_periodically(host)))
            tasks.append(asyncio.create_task(sample_periodically(host)))
        for host in fleet.hosts:
            await answer_of(host, START_LIMIT_S)
        yield fleet
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for host in fleet.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
            stop_instance(host.instance)
        await runner.cleanup()


async def announce_periodically(host):
    while True:
        with contextlib.suppress(Exception):
            async with asyncio.timeout(1.0):
                await announce(host.instance, f"{host.ip}:{ANNOUNCE_PORT}")
        await asyncio.sleep(HEARTBEAT_S)


def unread_bytes(ip):
    """Return what the kernel has received on an address and nobody has read."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    # The local and the remote address, the state, and the sizes of both queues. A
    # listening socket's queue counts connections.
    pattern = rf" {local}:(\w+) \S+ (?!0A)\w+ \w+:(\w+)"
    found = re.findall(pattern, Path("/proc/net/tcp").read_text())
    return sum(int(size, 16) for port, size in found if int(port, 16) != INSTANCE_PORT)


async def sample_periodically(host):
    status = Path(f"/proc/{host.process.pid}/status")
    descriptors = Path(f"/proc/{host.process.pid}/fd")
    while True:
        with contextlib.suppress(OSError, StopIteration):
            lines = status.read_text().splitlines()
            line = next(line for line in lines if line.startswith("VmRSS:"))
            resident_bytes = int(line.split()[1]) * 1024
            # Closed connections make the kernel's table long, so it is read apart.
            kernel_bytes = await asyncio.to_thread(unread_bytes, host.ip)
            if resident_bytes + kernel_bytes > host.peak_bytes:
                host.peak_bytes = resident_bytes + kernel_bytes
                host.peak_kernel_bytes = kernel_bytes
            count = len(list(descriptors.iterdir()))
            host.peak_descriptors = max(host.peak_descriptors, count)
        await asyncio.sleep(SAMPLE_S)


async def send_request(host, body):
    """Send one request on a connection of its own.

    Returns:
        The status, and in how many seconds the caller may come back.

    Raises:
        OSError, TimeoutError, asyncio.IncompleteReadError: There is no answer.
    """
    async with asyncio.timeout(ATTEMPT_S):
        reader, writer = await asyncio.open_connection(host.ip, CALLS_PORT)
        try:
            writer.write(
                b"POST /read/x HTTP/1.1\r\nHost: app.example\r\n"
                b"X-Attempt-Id: %s\r\nX-Request-Deadline: %d\r\n"
                b"Content-Length: %d\r\n\r\n"
                % (os.urandom(8).hex().encode(), ATTEMPT_S * 1000, len(body))
            )
            writer.write(body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        finally:
            writer.transport.abort()
    first, *lines = head.strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    return int(first.split(" ")[1]), float(headers.get("retry-after", 0.2))


async def answer_of(host, limit_s=ANSWER_LIMIT_S, body=b"a" * 1024):
    """Return the answer to an ordinary request, which is sent again when refused."""
    seen = []
    try:
        async with asyncio.timeout(limit_s):
            while True:
                retry_after_s = 0.2
                try:
                    status, retry_after_s = await send_request(host, body)
                    if status == 200:
                        return status
                    seen.append(status)
                except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                    if isinstance(error, TimeoutError) and limit_s < ATTEMPT_S:
                        raise
                    seen.append(type(error).__name__)
                await asyncio.sleep(retry_after_s)
    except TimeoutError:
        pytest.fail(f"an ordinary request had no answer: {seen}")


@contextlib.asynccontextmanager
async def crowd(host, shape, callers, port=CALLS_PORT, body_bytes=MB, path="/read/x"):
    """Let a crowd play in a process of its own; yields once all callers have begun."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.crowd",
        "--address",
        f"{host.ip}:{port}",
        "--shape",
        shape,
        "--callers",
        str(callers),
        "--body-bytes",
        str(body_bytes),
        "--path",
        path,
        "--limit-s",
        str(CROWD_S + 2 * ANSWER_LIMIT_S),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await process.stdout.readline()
        yield process
    finally:
        process.stdin.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10):
                print(shape, (await process.stdout.read()).decode())
                await process.wait()
        if process.returncode is None:
            process.kill()
            await process.wait()


async def play_for(hosts, duration_s):
    """Let a crowd play, for less long if a process exceeds its memory."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        if any(host.peak_bytes > host.memory_mb * MB for host in hosts):
            return
        await asyncio.sleep(SAMPLE_S)


def check_bounds(hosts):
    for host in hosts:
        assert host.process.returncode is None
        assert host.peak_bytes <= host.memory_mb * MB
        assert host.peak_descriptors <= host.max_descriptors
        print(
            f"{host.ip}: {host.peak_bytes / MB:.0f} MB, of them "
            f"{host.peak_kernel_bytes / MB:.0f} in the kernel; "
            f"{host.peak_descriptors} descriptors"
        )


async def check_beside_crowd(fleet, pressed, shape, callers, ordinary_bytes=1024, **to):
    async with crowd(pressed, shape, callers, **to):
        await play_for(fleet.hosts, CROWD_S)
        check_bounds(fleet.hosts)
        assert await answer_of(pressed, body=b"a" * ordinary_bytes) == 200
    assert await answer_of(pressed) == 200
    check_bounds(fleet.hosts)


def check_crowd(folder, shape, callers, limits=None, **options):
    async def scenario():
        async with running_fleet(folder, limits=limits) as fleet:
            (host,) = fleet.hosts
            await check_beside_crowd(fleet, host, shape, callers, **options)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "shape",
    [
        "unfinished_length",
        "finished_length",
        "unfinished_large_chunks",
        "announced_over",
        "sent_over",
    ],
)
def test_large_bodies(shape, tmp_path):
    check_crowd(tmp_path, shape, 200)


def test_chunks_of_one_byte(tmp_path):
    check_crowd(tmp_path, "unfinished_tiny_chunks", 250)


def test_small_bodies_that_stop_short_of_their_end(tmp_path):
    size_bytes = 60_000
    check_crowd(
        tmp_path,
        "unfinished_length",
        500,
        body_bytes=size_bytes,
        ordinary_bytes=size_bytes,
    )


@pytest.mark.parametrize("shape", ["endless_trailer", "endless_chunk_extension"])
def test_framing_without_an_end(shape, tmp_path):
    check_crowd(tmp_path, shape, 100)


def test_heads_of_many_short_headers(tmp_path):
    check_crowd(tmp_path, "many_headers", 500)


def test_requests_sent_ahead_of_their_answers(tmp_path):
    check_crowd(tmp_path, "requests_ahead", 100)


@pytest.mark.parametrize("port", [ANNOUNCE_PORT, READY_PORT, METRICS_PORT])
def test_connections_to_the_other_addresses(port, tmp_path):
    async def scenario():
        async with running_fleet(tmp_path, max_descriptors=400) as fleet:
            (host,) = fleet.hosts
            await check_beside_crowd(fleet, host, "silent", 500, port=port)

    asyncio.run(scenario())


def test_large_bodies_of_many_hosts_for_one_upstream(tmp_path):
    async def scenario():
        services = ("desk", "panel", "panel", "panel", "panel")
        async with running_fleet(tmp_path, services) as fleet:
            upstream, *others = fleet.hosts
            upstream.instance.service_time_s = 1.0
            async with contextlib.AsyncExitStack() as crowds:
                for host in others:
                    sending = crowd(host, "finished_length", 40, body_bytes=4 * MB)
                    await crowds.enter_async_context(sending)
                await play_for(fleet.hosts, CROWD_S)
                check_bounds(fleet.hosts)
                assert await answer_of(others[0]) == 200
            assert await answer_of(upstream) == 200
            check_bounds(fleet.hosts)

    asyncio.run(scenario())


@pytest.mark.parametrize("services", [("desk",), ("panel", "desk")])
def test_a_single_body_of_the_longest_legal_size_is_served(services, tmp_path):
    async def scenario():
        async with running_fleet(
            tmp_path, services, memory_mb=200, limits={"maxBodyBytes": 64 * MB}
        ) as fleet:
            body = b"a" * (64 * MB)
            status, _ = await send_request(fleet.hosts[0], body)
            assert status == 200
            received = fleet.hosts[-1].instance.bodies[-1]
            assert received == body
            check_bounds(fleet.hosts)

    asyncio.run(scenario())


def test_a_stop_in_the_midst_of_a_crowd(tmp_path):
    async def scenario():
        async with running_fleet(tmp_path) as fleet:
            (host,) = fleet.hosts
            async with crowd(host, "unfinished_tiny_chunks", 250):
                await play_for(fleet.hosts, CROWD_S / 2)
                host.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(STOP_LIMIT_S):
                    assert await host.process.wait() == 0
            assert host.peak_bytes <= host.memory_mb * MB

    asyncio.run(scenario())
