"""Work ends, or never begins, when a caller has left."""

import asyncio
import os
import socket

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.call import Call
from agaterelay.mesh.links import _take_frame
from agaterelay.mesh.wire import call_to_wire
from tests.mesh.fleet import ask, running_fleet, until

REQUESTS = 20


def request_of(call_id):
    """Return a request that may be repeated, as it stands on the wire."""
    return (
        "GET /read/x HTTP/1.1\r\nHost: app.example\r\n"
        f"X-Attempt-Id: {call_id}\r\nX-Request-Deadline: 1000\r\n\r\n"
    ).encode()


async def open_and_warm(host, call_id):
    """Open a connection, use it once, and return it; it is kept open."""
    address, port = host.deployment.calls_address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(request_of(call_id))
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head.splitlines()[0]
    return writer


def send_and_leave(connection, call_id):
    """Send a request and close, all while the node's event loop stands still."""
    connection.sendall(request_of(call_id))
    connection.shutdown(socket.SHUT_RDWR)


def left(fleet):
    """Return the calls of callers that had left that ran nevertheless."""
    names = [name for host in fleet.hosts for name in host.instance.ran]
    return [name for name in names if name.startswith("left")]


def test_a_request_that_is_read_after_its_caller_left_is_not_run():
    async def play():
        async with running_fleet(("desk", "desk")) as fleet:
            host = fleet.hosts[0]
            kept = [await open_and_warm(host, f"warm-{n}") for n in range(REQUESTS)]
            for number, writer in enumerate(kept):
                held = writer.get_extra_info("socket")
                with socket.socket(fileno=os.dup(held.fileno())) as connection:
                    send_and_leave(connection, f"left-{number}")
            await asyncio.sleep(0.5)
            assert not left(fleet)

    asyncio.run(play())


def test_a_connection_that_was_closed_before_it_was_accepted_runs_nothing():
    async def play():
        async with running_fleet(("desk", "desk")) as fleet:
            host = fleet.hosts[0]
            await asyncio.gather(
                *(open_and_warm(host, f"warm-{n}") for n in range(REQUESTS))
            )
            address, port = host.deployment.calls_address.rsplit(":", 1)
            for number in range(REQUESTS):
                with socket.create_connection((address, int(port))) as connection:
                    send_and_leave(connection, f"left-{number}")
            await asyncio.sleep(0.5)
            assert not left(fleet)

    asyncio.run(play())


def test_a_call_that_came_together_with_its_end_leaves_nothing_behind():
    async def play():
        async with running_fleet(("desk",)) as fleet:
            node = fleet.hosts[0].node
            connection = FrameConnection(lambda *_: None, lambda *_: None)
            call = Call(
                call_id="left",
                method="GET",
                path="/read/x",
                headers=(),
                body=b"",
                route="rread",
                service="desk",
                version="v1",
                instance="i-0",
                caller_service="desk",
                idempotent=True,
                rank=1,
                deadline_s=1.0,
                target_s=1.0,
            )
            plain = call_to_wire(call, 0.0)
            _take_frame(node.links, connection, [Frame.CALL, 1, plain, 1])
            _take_frame(node.links, connection, [Frame.CANCEL, 1])
            await asyncio.sleep(0.1)
            assert not node.links.running
            assert not left(fleet)

    asyncio.run(play())


def test_a_call_whose_caller_left_while_it_ran_elsewhere_is_ended_there():
    async def play():
        async with running_fleet(("panel", "desk")) as fleet:
            entry, gate = (host.node for host in fleet.hosts)
            fleet.hosts[1].instance.service_time_s = 0.3
            for number in range(20):
                call = asyncio.ensure_future(
                    ask(fleet, fleet.hosts[0], headers={"X-Attempt-Id": f"c-{number}"})
                )
                await until(lambda: entry.entry.in_flight)
                call.cancel()
                await until(lambda: not entry.entry.in_flight)
            await until(lambda: not gate.links.running and not gate.gate.in_flight)

    asyncio.run(play())
