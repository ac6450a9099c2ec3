"""A planned stop interrupts no request, and ends within the grace period."""

import asyncio
import socket

import attrs
import pytest

from agaterelay.core.deployment import Bounds
from agaterelay.events import EventKind
from agaterelay.mesh.node import MIN_STOP_S, stop_gracefully
from agaterelay.mesh.servers import stop_listening
from standins.instance import announce, expected_body
from tests.mesh.fleet import (
    admin_address,
    record_events,
    running_fleet,
    send_request,
    wait_until,
)


def test_what_is_in_flight_ends_well_and_late_requests_are_refused(monkeypatch):
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            host = fleet.hosts[0]
            host.instance.service_time_s = 0.8
            monkeypatch.setattr("agaterelay.mesh.node.MIN_STOP_S", 0.3)
            early = asyncio.create_task(
                send_request(fleet, host, headers={"X-Attempt-Id": "early"})
            )
            await wait_until(lambda: host.instance.running == 1)
            stopping = asyncio.create_task(stop_gracefully(host.node))
            await asyncio.sleep(0.4)
            status, headers, _ = await send_request(fleet, host)
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert headers["Connection"] == "close"
            status, _, body = await early
            assert (status, body) == (200, expected_body("early"))
            await asyncio.wait_for(stopping, 1.0)

    asyncio.run(scenario())


def test_what_cannot_end_in_time_is_answered_before_the_process_ends():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            desk.instance.fault = "silent"
            node = panel.node
            bounds = Bounds(grace_s=0.9)
            deployment = attrs.evolve(node.context.deployment, bounds=bounds)
            node.context = attrs.evolve(node.context, deployment=deployment)
            waiting = asyncio.create_task(send_request(fleet, panel, "/fire/x", "POST"))
            await wait_until(lambda: desk.instance.running == 1)
            await stop_gracefully(node)
            assert waiting.done()
            assert waiting.result()[0] == 502

    asyncio.run(scenario())


def test_a_request_late_in_the_grace_is_passed_on_only_if_it_can_end_in_time(
    monkeypatch,
):
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            monkeypatch.setattr(
                "agaterelay.core.stopping.CALLERS_LEAVE_S", 0.2, raising=False
            )
            node = panel.node
            bounds = Bounds(grace_s=1.4)
            deployment = attrs.evolve(node.context.deployment, bounds=bounds)
            node.context = attrs.evolve(node.context, deployment=deployment)
            stopping = asyncio.create_task(stop_gracefully(node))
            await asyncio.sleep(0.3)
            short = await send_request(fleet, panel, "/fire/x", "POST", wait_ms=300)
            assert short[0] == 200
            desk.instance.service_time_s = 1.2
            ran_before = len(desk.instance.started_calls)
            status, headers, _ = await send_request(
                fleet, panel, "/fire/x", "POST", wait_ms=1500
            )
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert len(desk.instance.started_calls) == ran_before
            await stopping

    asyncio.run(scenario())


@pytest.mark.parametrize("version", ["v\ud83d", "v1\r\nX-Odd: 1", "v" * 15_000])
def test_a_stop_after_an_announcement_that_cannot_be_passed_on_cuts_no_request(version):
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            odd = attrs.evolve(panel.instance, instance="i-odd", version=version)
            odd.born_ms += 1
            assert await announce(odd, admin_address(panel)) == 400
            desk.instance.service_time_s = 0.8
            waiting = asyncio.create_task(
                send_request(
                    fleet, panel, "/fire/x", "POST", headers={"X-Attempt-Id": "early"}
                )
            )
            await wait_until(lambda: desk.instance.running == 1)
            await stop_gracefully(panel.node)
            assert (await waiting)[::2] == (200, expected_body("early"))

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "step", ["publish_stopping", "apply_upstream_state", "end_requests_in_flight"]
)
def test_a_step_of_a_stop_that_fails_ends_neither_the_stop_nor_its_requests(
    monkeypatch, step
):
    def fail(*values):
        raise RuntimeError(step)

    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            found = record_events(panel, {EventKind.STEP_FAILED})
            desk.instance.service_time_s = 0.8
            waiting = asyncio.create_task(
                send_request(
                    fleet, panel, "/fire/x", "POST", headers={"X-Attempt-Id": "early"}
                )
            )
            await wait_until(lambda: desk.instance.running == 1)
            monkeypatch.setattr(f"agaterelay.mesh.node.{step}", fail)
            await stop_gracefully(panel.node)
            assert (await waiting)[::2] == (200, expected_body("early"))
            assert [fields["error"] for _, fields in found] == [f"RuntimeError: {step}"]

    asyncio.run(scenario())


# Guards against a stop that cuts answers which callers are still reading.
def test_a_stop_waits_for_answers_that_are_still_being_read():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            desk.instance.body_bytes = 12 << 20
            reader, writer = await connect_slowly(panel.deployment.calls_address)
            writer.write(
                b"GET /read/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: slow\r\n"
                b"X-Request-Deadline: 3000\r\n\r\n"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            stopping = asyncio.create_task(stop(panel))
            await asyncio.sleep(MIN_STOP_S + 1.0)
            assert not stopping.done()
            assert len(await reader.readexactly(length)) == 12 << 20
            await asyncio.wait_for(stopping, 1.0)
            writer.close()

    asyncio.run(scenario())


async def connect_slowly(address):
    """Connect as a caller of which the kernel buffers little."""
    host, port = address.rsplit(":", 1)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    connection.connect((host, int(port)))
    return await asyncio.open_connection(sock=connection, limit=4096)


async def stop(host):
    """Stop a host's node as SIGTERM does."""
    await stop_gracefully(host.node)
    await stop_listening(host.listening, 0.25)
