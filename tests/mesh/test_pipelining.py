"""Requests that a caller sends on a connection before the earlier ones are answered."""

import asyncio
import time

from agaterelay.mesh import links
from tests.mesh.fleet import route, running_fleet, wait_until

SLOW_S = 0.4
SHORT_ROUTE = route("/short/", timeout="300ms")
ROUTES = [route("/read/"), SHORT_ROUTE]


def request_of(call_id, path="/read/x", wait_ms=1500, more=""):
    return (
        f"GET {path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {call_id}\r\n"
        f"X-Request-Deadline: {wait_ms}\r\n{more}\r\n"
    ).encode()


async def connect(host):
    address, port = host.deployment.calls_address.rsplit(":", 1)
    return await asyncio.open_connection(address, int(port))


async def read_answer(reader):
    """Return the status, the id and the body of the next answer on a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(lines[0].split()[1]), headers.get("x-attempt-id"), body


def test_answers_come_in_the_order_of_the_requests():
    async def scenario():
        async with running_fleet(("desk", "desk"), ROUTES) as fleet:
            reader, writer = await connect(fleet.hosts[0])
            fleet.hosts[0].instance.service_time_s = 0.05
            ids = [f"piped-{number}" for number in range(40)]
            writer.write(b"".join(request_of(call_id) for call_id in ids))
            answers = [await read_answer(reader) for _ in ids]
            assert [call_id for status, call_id, _ in answers if status == 200] == [
                call_id
                for call_id, (status, _, _) in zip(ids, answers, strict=True)
                if status == 200
            ]
            assert sum(status == 200 for status, _, _ in answers) >= 20
            writer.close()

    asyncio.run(scenario())


def test_the_time_of_a_request_behind_a_slow_one_counts_from_when_it_was_sent():
    async def scenario():
        async with running_fleet(("desk",), ROUTES) as fleet:
            instance = fleet.hosts[0].instance
            instance.service_time_s = SLOW_S
            reader, writer = await connect(fleet.hosts[0])
            sent_s = time.monotonic()
            writer.write(request_of("first") + request_of("behind", "/short/x"))
            status, _, _ = await read_answer(reader)
            assert status == 200
            status, _, _ = await read_answer(reader)
            # Its 300 ms were over before its turn, so it is refused without being run.
            assert status == 503
            assert time.monotonic() - sent_s < SLOW_S + 0.3
            assert "behind" not in instance.ran
            writer.close()

    asyncio.run(scenario())


def test_an_upstream_is_given_only_the_time_that_is_left_after_the_wait_for_a_turn():
    async def scenario():
        async with running_fleet(("desk",), ROUTES) as fleet:
            instance = fleet.hosts[0].instance
            instance.service_time_s = SLOW_S
            reader, writer = await connect(fleet.hosts[0])
            writer.write(request_of("first") + request_of("behind", wait_ms=1000))
            for _ in range(2):
                status, _, _ = await read_answer(reader)
                assert status == 200
            deadline_ms = int(instance.heads[1]["X-Request-Deadline"])
            assert deadline_ms <= 1000 - SLOW_S * 1000
            writer.close()

    asyncio.run(scenario())


def test_a_caller_that_leaves_cancels_the_requests_behind_the_first_too():
    async def scenario():
        async with running_fleet(("desk",), ROUTES) as fleet:
            instance = fleet.hosts[0].instance
            instance.service_time_s = SLOW_S
            _, writer = await connect(fleet.hosts[0])
            writer.write(b"".join(request_of(f"left-{n}") for n in range(4)))
            await wait_until(lambda: instance.running == 1)
            writer.transport.abort()
            await wait_until(lambda: instance.aborted_count == 1)
            await asyncio.sleep(SLOW_S)
            assert set(instance.ran) == {"left-0"}

    asyncio.run(scenario())


def test_a_request_behind_one_that_closes_the_connection_never_runs():
    async def scenario():
        async with running_fleet(("desk",), ROUTES) as fleet:
            reader, writer = await connect(fleet.hosts[0])
            writer.write(
                request_of("last", more="Connection: close\r\n") + request_of("unread")
            )
            status, _, _ = await read_answer(reader)
            assert status == 200
            assert await reader.read() == b""
            assert "unread" not in fleet.hosts[0].instance.ran

    asyncio.run(scenario())


def test_a_stopping_node_answers_the_first_request_and_leaves_the_others_unread():
    async def scenario():
        async with running_fleet(("desk", "desk"), ROUTES) as fleet:
            host = fleet.hosts[0]
            for other in fleet.hosts:
                other.instance.service_time_s = 0.2
            reader, writer = await connect(host)
            writer.write(request_of("first") + request_of("unread"))
            await wait_until(lambda: host.node.outbound.in_flight == 1)
            host.node.state.stopping = True
            status, call_id, _ = await read_answer(reader)
            assert (status, call_id) == (200, "first")
            assert await reader.read() == b""
            assert all("unread" not in item.instance.ran for item in fleet.hosts)

    asyncio.run(scenario())


def test_an_answer_that_broke_off_is_not_mixed_with_that_of_the_next_request():
    async def scenario():
        async with running_fleet(("desk",), [route("/read/", maxAttempts=1)]) as fleet:
            instance = fleet.hosts[0].instance
            instance.fault = "early_end"
            reader, writer = await connect(fleet.hosts[0])
            writer.write(request_of("broken"))
            await wait_until(lambda: "broken" in instance.ran)
            instance.fault = ""
            writer.write(request_of("whole"))
            status, _, _ = await read_answer(reader)
            assert status == 502
            assert (await read_answer(reader))[:2] == (200, "whole")
            writer.close()

    asyncio.run(scenario())


# Guards against callers that go before all others by sending requests ahead.
def test_a_request_gains_no_precedence_by_its_wait_behind_others_of_its_connection(
    monkeypatch,
):
    useful_s = []
    run_call = links.run_call

    async def note(inbound, call, may_start=None):
        useful_s.append(call.target_s - inbound.context.clock.monotonic_s())
        return await run_call(inbound, call, may_start)

    async def scenario():
        async with running_fleet(("desk",), ROUTES) as fleet:
            fleet.hosts[0].instance.service_time_s = SLOW_S
            monkeypatch.setattr(links, "run_call", note)
            reader, writer = await connect(fleet.hosts[0])
            writer.write(request_of("first") + request_of("behind"))
            for _ in range(2):
                status, _, _ = await read_answer(reader)
                assert status == 200
            writer.close()
            first_s, behind_s = useful_s
            assert behind_s > first_s - SLOW_S / 2

    asyncio.run(scenario())
