"""A call is not started, or is cancelled, after its caller has disconnected."""

import asyncio
import os
import socket

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.call import Call
from agaterelay.mesh.links import _handle_frame
from agaterelay.mesh.wire import encode_call
from tests.mesh.fleet import running_fleet, send_request, wait_until

REQUESTS = 20


def request_of(call_id):
    """Return the bytes of a request on an idempotent route."""
    return (
        "GET /read/x HTTP/1.1\r\nHost: app.example\r\n"
        f"X-Attempt-Id: {call_id}\r\nX-Request-Deadline: 1000\r\n\r\n"
    ).encode()


async def open_and_warm(host, call_id):
    """Open a connection, send one request on it and return it, still open."""
    address, port = host.deployment.calls_address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(request_of(call_id))
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head.splitlines()[0]
    return writer


def send_and_close(connection, call_id):
    """Send a request and close, without a turn of the node's event loop between."""
    connection.sendall(request_of(call_id))
    connection.shutdown(socket.SHUT_RDWR)


def abandoned_calls(fleet):
    """Return the calls that ran although their callers had disconnected."""
    names = [name for host in fleet.hosts for name in host.instance.ran]
    return [name for name in names if name.startswith("left")]


def test_a_request_that_is_read_after_its_caller_left_is_not_run():
    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            host = fleet.hosts[0]
            kept = [await open_and_warm(host, f"warm-{n}") for n in range(REQUESTS)]
            for number, writer in enumerate(kept):
                held = writer.get_extra_info("socket")
                with socket.socket(fileno=os.dup(held.fileno())) as connection:
                    send_and_close(connection, f"left-{number}")
            await asyncio.sleep(0.5)
            assert not abandoned_calls(fleet)

    asyncio.run(scenario())


def test_a_connection_that_was_closed_before_it_was_accepted_runs_nothing():
    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            host = fleet.hosts[0]
            await asyncio.gather(
                *(open_and_warm(host, f"warm-{n}") for n in range(REQUESTS))
            )
            address, port = host.deployment.calls_address.rsplit(":", 1)
            for number in range(REQUESTS):
                with socket.create_connection((address, int(port))) as connection:
                    send_and_close(connection, f"left-{number}")
            await asyncio.sleep(0.5)
            assert not abandoned_calls(fleet)

    asyncio.run(scenario())


def test_a_call_that_came_together_with_its_end_leaves_nothing_behind():
    async def scenario():
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
            plain = encode_call(call, 0.0)
            _handle_frame(node.links, connection, [Frame.CALL, 1, plain, 1])
            _handle_frame(node.links, connection, [Frame.CANCEL, 1])
            await asyncio.sleep(0.1)
            assert not node.links.running
            assert not abandoned_calls(fleet)

    asyncio.run(scenario())


def test_a_call_whose_caller_left_while_it_ran_elsewhere_is_ended_there():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            outbound_node, inbound_node = (host.node for host in fleet.hosts)
            fleet.hosts[1].instance.service_time_s = 0.3
            for number in range(20):
                call = asyncio.ensure_future(
                    send_request(
                        fleet, fleet.hosts[0], headers={"X-Attempt-Id": f"c-{number}"}
                    )
                )
                await wait_until(lambda: outbound_node.outbound.in_flight)
                call.cancel()
                await wait_until(lambda: not outbound_node.outbound.in_flight)
            await wait_until(
                lambda: (
                    not inbound_node.links.running
                    and not inbound_node.inbound.in_flight
                )
            )

    asyncio.run(scenario())
