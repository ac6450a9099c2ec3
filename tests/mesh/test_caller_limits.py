"""Limits on the size of callers' requests, on their time and on idle connections."""

import asyncio
import json

import pytest

from agaterelay.core.memory_account import STALL_S
from standins.store import put_row
from tests.mesh.fleet import (
    ROUTES,
    config,
    restart_node,
    running_fleet,
    wait_until,
)

HEAD = b"GET /read/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: slow\r\n"
CLOSE_TIMEOUT_S = 5.0


def with_limits(**limits):
    """Return a configuration with some limits replaced."""
    document = json.loads(config(2, ROUTES))
    document["limits"].update(limits)
    return json.dumps(document).encode()


async def use_limits(fleet, **limits):
    await put_row(fleet.store, "op", "config", with_limits(**limits))
    node = fleet.hosts[0].node
    await wait_until(lambda: node.state.table.revision == 2)


async def connect(fleet):
    host, port = fleet.hosts[0].deployment.calls_address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def read_to_end(reader):
    """Return all bytes until the connection is closed; fail if it stays open."""
    async with asyncio.timeout(CLOSE_TIMEOUT_S):
        return await reader.read()


def status_of(answer):
    return int(answer.split(b" ", 2)[1])


def test_a_head_that_does_not_end_is_given_up_on():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, headerTimeout="200ms")
            reader, writer = await connect(fleet)
            writer.write(HEAD)
            assert status_of(await read_to_end(reader)) == 408
            writer.close()

    asyncio.run(scenario())


def test_a_trickled_head_gets_no_more_time_than_a_silent_one():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, headerTimeout="300ms")
            reader, writer = await connect(fleet)
            writer.write(HEAD)
            answer = asyncio.create_task(read_to_end(reader))
            while not answer.done():
                writer.write(b"X-More: 1\r\n")
                await asyncio.sleep(0.05)
            assert status_of(answer.result()) == 408
            writer.close()

    asyncio.run(scenario())


def test_the_limit_holds_for_later_requests_of_a_connection_too():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, headerTimeout="300ms")
            reader, writer = await connect(fleet)
            writer.write(HEAD + b"\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert status_of(head) == 200
            # A connection may be idle for longer than a head may take.
            await asyncio.sleep(0.6)
            writer.write(HEAD)
            assert b"HTTP/1.1 408" in await read_to_end(reader)
            writer.close()

    asyncio.run(scenario())


def test_a_connection_on_which_nothing_comes_is_closed_without_an_answer():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, idleTimeout="200ms")
            reader, writer = await connect(fleet)
            assert await read_to_end(reader) == b""
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "size", [b"Content-Length: 8\r\n\r\nab", b"Transfer-Encoding: chunked\r\n\r\n2\r\n"]
)
def test_a_body_that_stays_out_is_given_up_on(size):
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, idleTimeout="200ms")
            reader, writer = await connect(fleet)
            writer.write(HEAD.replace(b"GET", b"POST") + size)
            assert status_of(await read_to_end(reader)) == 408
            assert not fleet.hosts[0].instance.ran
            writer.close()

    asyncio.run(scenario())


def test_headers_are_limited_together_not_only_one_by_one():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, maxHeaderBytes=4096)
            reader, writer = await connect(fleet)
            more = b"".join(b"X-%d: %s\r\n" % (n, b"a" * 1000) for n in range(5))
            writer.write(HEAD + more + b"\r\n")
            assert status_of(await read_to_end(reader)) == 431
            assert not fleet.hosts[0].instance.ran
            writer.close()

    asyncio.run(scenario())


def test_a_body_over_the_limit_is_refused_before_it_is_read():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, maxBodyBytes=100)
            reader, writer = await connect(fleet)
            writer.write(HEAD.replace(b"GET", b"POST") + b"Content-Length: 101\r\n\r\n")
            assert status_of(await read_to_end(reader)) == 413
            assert not fleet.hosts[0].instance.ran
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Content-Length : 4\r\n",
    ],
)
def test_a_request_whose_end_is_doubtful_is_refused(lines):
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            reader, writer = await connect(fleet)
            writer.write(HEAD.replace(b"GET", b"POST") + lines + b"\r\n0\r\n\r\n")
            assert status_of(await read_to_end(reader)) in (400, 501)
            assert not fleet.hosts[0].instance.ran
            writer.close()

    asyncio.run(scenario())


async def post(writer, size_bytes):
    """Send a request with a body of some size."""
    head = HEAD.replace(b"GET", b"POST")
    writer.write(head + b"Content-Length: %d\r\n\r\n" % size_bytes)
    writer.write(b"a" * size_bytes)


# Guards against uploads that are denied by limits that no configuration has set.
def test_a_node_that_knows_no_configuration_refuses_no_request_for_its_size():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            host = fleet.hosts[0]
            fleet.store.faults.down = True
            await restart_node(host)
            reader, writer = await connect(fleet)
            await post(writer, 2 << 20)
            assert status_of(await reader.readuntil(b"\r\n\r\n")) == 503
            writer.close()

    asyncio.run(scenario())


def test_a_new_limit_holds_on_connections_that_are_open():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            reader, writer = await connect(fleet)
            writer.write(HEAD + b"\r\n")
            assert status_of(await reader.readuntil(b"\r\n\r\n")) == 200
            await use_limits(fleet, maxBodyBytes=4 << 20)
            await post(writer, 2 << 20)
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                assert b"HTTP/1.1 200" in await reader.readuntil(b"\r\n\r\n")
            writer.close()

    asyncio.run(scenario())


# Guards against one upload that takes a node over its memory and ends other requests.
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_for_which_there_is_no_room_is_refused_and_others_are_served(is_chunked):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            await use_limits(fleet, maxBodyBytes=64 << 20)
            await wait_until(
                lambda: fleet.hosts[1].node.state.table.limits.max_body_bytes > 1 << 20
            )
            account = fleet.hosts[0].node.inbound.account
            account.limit_bytes = 24 << 20
            reader, writer = await connect(fleet)
            head = HEAD.replace(b"GET", b"POST")
            if is_chunked:
                writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
                writer.write((b"100000\r\n" + b"a" * (1 << 20) + b"\r\n") * 32)
            else:
                writer.write(head + b"Content-Length: 67000000\r\n\r\nabc")
            answer = await reader.readuntil(b"\r\n\r\n")
            assert status_of(answer) == 503
            assert b"Retry-After: " in answer
            assert account.used_bytes == 0
            writer.close()
            reader, writer = await connect(fleet)
            await post(writer, 1 << 20)
            assert status_of(await reader.readuntil(b"\r\n\r\n")) == 200
            assert account.used_bytes == 0
            assert fleet.hosts[1].node.inbound.account.used_bytes == 0
            assert [len(body) for body in fleet.hosts[1].instance.bodies] == [1 << 20]
            writer.close()

    asyncio.run(scenario())


def test_a_caller_that_leaves_frees_the_room_of_its_body():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await use_limits(fleet, maxBodyBytes=64 << 20)
            account = fleet.hosts[0].node.inbound.account
            fleet.hosts[0].instance.fault = "silent"
            _, writer = await connect(fleet)
            await post(writer, 1 << 20)
            await wait_until(lambda: fleet.hosts[0].instance.running)
            assert account.used_bytes > 0
            writer.transport.abort()
            _, writer = await connect(fleet)
            writer.write(HEAD + b"Content-Length: 1000000\r\n\r\nabc")
            await wait_until(lambda: account.large_bytes == 1_000_000)
            writer.transport.abort()
            await wait_until(lambda: account.used_bytes == 0)

    asyncio.run(scenario())


def test_a_call_of_another_node_without_room_for_its_body_is_not_run():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            fleet.hosts[1].node.inbound.account.limit_bytes = 1000
            reader, writer = await connect(fleet)
            await post(writer, 100_000)
            assert status_of(await reader.readuntil(b"\r\n\r\n")) == 503
            assert not fleet.hosts[1].instance.ran
            writer.close()

    asyncio.run(scenario())


# Guards against callers that keep all room by stopping short of the end of their bodies.
def test_a_body_that_stalls_gives_way_and_its_caller_may_come_again():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            account = fleet.hosts[0].node.inbound.account
            account.limit_bytes = 3 * 70_000
            stalled_reader, stalled_writer = await connect(fleet)
            head = HEAD.replace(b"GET", b"POST") + b"Content-Length: 60000\r\n\r\n"
            stalled_writer.write(head + b"a" * 59_999)
            await wait_until(lambda: account.small_bytes == 60_000)
            await asyncio.sleep(2 * STALL_S)
            reader, writer = await connect(fleet)
            await post(writer, 60_000)
            assert status_of(await reader.readuntil(b"\r\n\r\n")) == 200
            answer = await read_to_end(stalled_reader)
            assert status_of(answer) == 503
            assert b"Retry-After: 1.000" in answer
            assert account.used_bytes == 0
            assert sum(fleet.hosts[0].instance.ran.values()) == 1
            stalled_writer.close()
            writer.close()

    asyncio.run(scenario())
