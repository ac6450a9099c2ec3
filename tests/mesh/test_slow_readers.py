"""Callers that ask for long answers and read nothing end no node.

The nodes are processes of their own, with a memory of 200 MB and few descriptors in their
settings, and the bounds are those of docs/HARD-LOAD.md: a peak under 0.6 of the memory,
descriptors under the limit, and an ordinary request that is answered afterwards.
"""

import asyncio
import contextlib
import json
import os
import socket
import sys
from pathlib import Path

import attrs

from standins.instance import Instance, announce, start_instance, stop_instance
from standins.store import StandInStore, put_row, start_store
from tests.mesh.fleet import config, free_address, route

MEMORY_MB = 200
PEAK_RATIO = 0.6
MAX_DESCRIPTORS = 256
# 40 answers of 8 MiB are more than the whole memory of a node. The kernel takes less than
# 3 MiB of each.
CROWD = 40
LONG_ANSWER_BYTES = 8 << 20
LONGEST_ANSWER_BYTES = 16 << 20
LINKS_CROWD = 12
IDLE_CROWD = 400
# Less than the upstream can take, so that the node refuses none of the crowd for load.
CROWD_INTERVAL_S = 0.1
# 5 Mbit/s.
SLOW_BYTES_PER_S = 625_000
SLOW_BUFFER_BYTES = 32 << 10
SLOW_PART_BYTES = 64 << 10
SLOW_READERS_CROWD = 12
CROWD_TIME_S = 6.0
RENEWAL_S = 1.0


@attrs.define
class Process:
    """A node's process with the addresses of its servers and its instance."""

    addresses: dict
    instance: Instance
    process: object = None

    def status_kb(self, field):
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith(field))
        return int(line.split()[1])

    def descriptor_count(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    @property
    def alive(self):
        return self.process.returncode is None


async def start_process(tmp_path, number, service, store_address):
    names = ("inbound", "outbound", "ready", "admin", "upstream")
    addresses = {name: free_address() for name in names}
    instance = Instance(f"i-{service}-{number}", service, addresses["upstream"])
    instance.slots = 8
    await start_instance(instance)
    settings = {
        "nodeName": f"host-{number}",
        "ip": addresses["admin"].partition(":")[0],
        "zone": "a",
        "bind": {name: addresses[name] for name in names[:4]},
        "appAddr": addresses["upstream"],
        "service": service,
        "bootstrap": True,
        "platform": {"address": store_address},
        "limits": {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS},
    }
    path = tmp_path / f"{number}.json"
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "agaterelay.start"),
        env={**os.environ, "AGATERELAY_CONFIG": str(path)},
        stdout=(tmp_path / f"{number}.log").open("wb"),
        stderr=asyncio.subprocess.STDOUT,
    )
    return Process(addresses, instance, process)


@contextlib.asynccontextmanager
async def running_processes(tmp_path, services=("panel", "desk")):
    store, store_address = StandInStore(), free_address()
    runner = await start_store(store, store_address)
    routes = [
        route(f"/{service}/", service, "non_idempotent", timeout="20s")
        for service in services
    ]
    await put_row(store, "op", "config", config(1, routes, services))
    processes = [
        await start_process(tmp_path, number, service, store_address)
        for number, service in enumerate(services)
    ]
    try:
        for item in processes:
            await until_announced(item)
        renewing = asyncio.create_task(renew(processes))
        await until_answered(processes[0])
        yield processes
        renewing.cancel()
    finally:
        for item in processes:
            if item.alive:
                item.process.kill()
            await item.process.wait()
            stop_instance(item.instance)
        await runner.cleanup()


async def until_announced(item):
    async with asyncio.timeout(20):
        while True:
            with contextlib.suppress(Exception):
                if await announce(item.instance, item.addresses["admin"]) == 200:
                    return
            await asyncio.sleep(0.1)


async def renew(processes):
    while True:
        await asyncio.sleep(RENEWAL_S)
        for item in processes:
            with contextlib.suppress(Exception):
                await announce(item.instance, item.addresses["admin"])


async def open_request(item, service="desk", call_id="one", receive_bytes=None):
    """Send a request on a connection of its own."""
    host, port = item.addresses["outbound"].rsplit(":", 1)
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    head = f"GET /{service}/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {call_id}\r\n\r\n"
    await asyncio.get_running_loop().sock_sendall(sock, head.encode())
    return sock


async def request(item, timeout_s=20):
    """Return the status and the size of the body of an ordinary request."""
    sock = await open_request(item)
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        async with asyncio.timeout(timeout_s):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            return int(head.split()[1]), len(await reader.readexactly(length))
    finally:
        writer.transport.abort()


async def until_answered(item):
    async with asyncio.timeout(20):
        while True:
            with contextlib.suppress(OSError, EOFError):
                if (await request(item))[0] == 200:
                    return
            await asyncio.sleep(0.1)


async def hold_crowd(item, size, ask, after_crowd=lambda: None):
    """Let a crowd connect, and read nothing for some seconds; return most descriptors."""
    socks = []
    most_descriptors = 0
    try:
        for number in range(size):
            with contextlib.suppress(OSError):
                socks.append(await ask(number))
        end_s = asyncio.get_running_loop().time() + CROWD_TIME_S
        while asyncio.get_running_loop().time() < end_s and item.alive:
            most_descriptors = max(most_descriptors, item.descriptor_count())
            await asyncio.sleep(0.02)
        if item.alive:
            after_crowd()
            return most_descriptors, await request(item)
        return most_descriptors, None
    finally:
        for sock in socks:
            sock.close()


def check_memory(processes):
    for item in processes:
        assert item.alive
        peak_mb = item.status_kb("VmHWM:") / 1024
        print(f"{item.instance.service}: peak {peak_mb:.0f} MB")
    for item in processes:
        assert item.status_kb("VmHWM:") << 10 < PEAK_RATIO * MEMORY_MB * (1 << 20)


async def hold_long_answers(
    processes, size=CROWD, answer_bytes=LONG_ANSWER_BYTES, services=("desk",)
):
    caller = processes[0]
    for item in processes:
        item.instance.body_bytes = answer_bytes

    async def ask(number):
        if number % len(services) == 0:
            await asyncio.sleep(CROWD_INTERVAL_S)
        service = services[number % len(services)]
        return await open_request(caller, service, f"c-{number}", 4096)

    def shorten_answers():
        for item in processes:
            item.instance.body_bytes = 0

    descriptors, answered = await hold_crowd(caller, size, ask, shorten_answers)
    check_memory(processes)
    assert descriptors < MAX_DESCRIPTORS
    assert answered[0] == 200


# Guards against a node that ends because callers of another node's upstream don't read.
def test_long_answers_that_nobody_reads_fit_into_the_memory_of_both_nodes(tmp_path):
    async def scenario():
        async with running_processes(tmp_path) as processes:
            await hold_long_answers(processes)

    asyncio.run(scenario())


# Guards against the same fault where the answers come over no link.
def test_long_answers_of_the_own_upstream_that_nobody_reads_fit_too(tmp_path):
    async def scenario():
        async with running_processes(tmp_path, ("desk",)) as processes:
            await hold_long_answers(processes)

    asyncio.run(scenario())


# Guards against frames that fit one by one, and not on all links together.
def test_the_longest_answers_over_several_links_at_once_fit_too(tmp_path):
    async def scenario():
        services = ("desk", "shelf", "lamp")
        async with running_processes(tmp_path, ("panel", *services)) as processes:
            await hold_long_answers(
                processes, LINKS_CROWD, LONGEST_ANSWER_BYTES, services
            )

    asyncio.run(scenario())


# Guards against closing a caller that reads, slowly, for others that don't.
def test_a_caller_that_reads_at_5_mbit_per_second_gets_its_whole_answer(tmp_path):
    async def scenario():
        async with running_processes(tmp_path) as processes:
            processes[1].instance.body_bytes = LONG_ANSWER_BYTES
            loop = asyncio.get_running_loop()
            reader = await open_request(processes[0], "desk", "slow", SLOW_BUFFER_BYTES)
            received_bytes = len(await loop.sock_recv(reader, SLOW_PART_BYTES))
            crowd = [
                await open_request(processes[0], "desk", f"c-{number}", 4096)
                for number in range(SLOW_READERS_CROWD)
            ]
            began_s = loop.time()
            while received_bytes < LONG_ANSWER_BYTES:
                part = await loop.sock_recv(reader, SLOW_PART_BYTES)
                assert part
                received_bytes += len(part)
                due_s = began_s + received_bytes / SLOW_BYTES_PER_S
                await asyncio.sleep(max(due_s - loop.time(), 0))
            check_memory(processes)
            for sock in (reader, *crowd):
                sock.close()

    asyncio.run(scenario())


# Guards against a limit that refuses what a node has room for.
def test_the_longest_answer_is_served_in_calm(tmp_path):
    async def scenario():
        async with running_processes(tmp_path) as processes:
            processes[1].instance.body_bytes = LONGEST_ANSWER_BYTES
            assert await request(processes[0]) == (200, LONGEST_ANSWER_BYTES)
            check_memory(processes)

    asyncio.run(scenario())


# Guards against a node that has no descriptor left for its links and its upstream.
def test_idle_connections_of_a_crowd_leave_descriptors_to_others(tmp_path):
    async def scenario():
        async with running_processes(tmp_path, ("desk",)) as processes:
            host, port = processes[0].addresses["outbound"].rsplit(":", 1)

            async def connect(number):
                sock = socket.socket()
                sock.setblocking(False)
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(1):
                    await loop.sock_connect(sock, (host, int(port)))
                return sock

            descriptors, answered = await hold_crowd(processes[0], IDLE_CROWD, connect)
            print(f"most descriptors {descriptors}")
            check_memory(processes)
            assert descriptors < MAX_DESCRIPTORS
            assert answered[0] == 200

    asyncio.run(scenario())
