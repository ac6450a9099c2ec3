"""Callers' answers and the calls that run, with healthy and faulty instances."""

import asyncio

import pytest

from standins.instance import announce, expected_body, withdraw
from tests.mesh.fleet import (
    admin_address,
    route,
    running_fleet,
    send_request,
    wait_until,
)


def runs_of(fleet, call_id):
    """Return how often a call ran on all instances together."""
    return sum(host.instance.ran[call_id] for host in fleet.hosts)


def test_a_call_is_answered_whole_and_unchanged():
    async def scenario():
        async with running_fleet() as fleet:
            host = fleet.hosts[0]
            status, headers, body = await send_request(
                fleet,
                host,
                "/fire/a%20b?c=%2Fd&e",
                "POST",
                data=b"act 2, cue 14",
                headers={"X-Attempt-Id": "one", "X-Caller-Service": "forged"},
            )
            assert (status, body) == (200, expected_body("one"))
            assert headers["X-Server-Seal"].startswith("seal.")
            heads = [head for item in fleet.hosts for head in item.instance.heads]
            (head,) = heads
            assert head[""] == "POST /fire/a%20b?c=%2Fd&e HTTP/1.1"
            assert head["Host"] == "app.example"
            assert head["X-Caller-Service"] == "desk"
            assert 0 < int(head["X-Request-Deadline"]) <= 1000
            bodies = [body for item in fleet.hosts for body in item.instance.bodies]
            assert bodies == [b"act 2, cue 14"]

    asyncio.run(scenario())


def test_only_routes_that_do_not_exist_are_not_found():
    async def scenario():
        async with running_fleet() as fleet:
            assert (await send_request(fleet, fleet.hosts[0], "/none/x"))[0] == 404
            assert (await send_request(fleet, fleet.hosts[0], "/read/x"))[0] == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["error", "reset", "early_end", "garbage", "no_seal"])
def test_a_call_that_may_be_repeated_is_answered_by_another_instance(fault):
    async def scenario():
        async with running_fleet() as fleet:
            fleet.hosts[0].instance.fault = fault
            for number in range(4):
                call_id = f"{fault}-{number}"
                status, _, body = await send_request(
                    fleet, fleet.hosts[0], headers={"X-Attempt-Id": call_id}
                )
                assert (status, body) == (200, expected_body(call_id))

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["error", "reset", "early_end", "garbage", "no_seal"])
def test_a_call_that_must_not_be_repeated_runs_once_and_is_not_called_refused(fault):
    async def scenario():
        async with running_fleet() as fleet:
            for host in fleet.hosts:
                host.instance.fault = fault
            for number in range(6):
                call_id = f"{fault}-{number}"
                status, headers, _ = await send_request(
                    fleet,
                    fleet.hosts[number % 2],
                    "/fire/x",
                    "POST",
                    headers={"X-Attempt-Id": call_id},
                )
                assert runs_of(fleet, call_id) == 1
                assert status == (500 if fault == "error" else 502)
                assert ("X-Server-Seal" in headers) == (fault == "error")

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["extra", "late_extra"])
def test_a_second_answer_belongs_to_no_call(fault):
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            fleet.hosts[0].instance.fault = fault
            # A call takes longer than the delay of the second answer, so that this
            # answer arrives during the next call.
            fleet.hosts[0].instance.service_time_s = 0.03
            for number in range(20):
                call_id = f"{fault}-{number}"
                status, _, body = await send_request(
                    fleet,
                    fleet.hosts[0],
                    "/fire/x",
                    "POST",
                    headers={"X-Attempt-Id": call_id},
                )
                assert (status, body) == (200, expected_body(call_id))
                await asyncio.sleep(0.005 * (number % 6))

    asyncio.run(scenario())


def test_an_earlier_refusal_once_more_says_nothing_about_a_call_that_runs():
    async def scenario():
        async with running_fleet() as fleet:
            for host in fleet.hosts:
                host.instance.fault = "stale_refusal"
                host.instance.service_time_s = 0.03
            for number in range(6):
                call_id = f"stale-{number}"
                status, _, _ = await send_request(
                    fleet,
                    fleet.hosts[number % 2],
                    "/fire/x",
                    "POST",
                    headers={"X-Attempt-Id": call_id},
                )
                assert runs_of(fleet, call_id) == 1
                assert status == 502

    asyncio.run(scenario())


def test_at_its_timeout_a_call_has_its_final_answer_and_its_work_ends():
    async def scenario():
        routes = [route("/fire/", kind="non_idempotent", timeout="300ms")]
        async with running_fleet(routes=routes) as fleet:
            for host in fleet.hosts:
                host.instance.fault = "silent"
            clock = asyncio.get_running_loop().time
            began_s = clock()
            status, _, _ = await send_request(fleet, fleet.hosts[0], "/fire/x", "POST")
            assert status == 504
            assert 0.25 < clock() - began_s < 0.8
            instances = [host.instance for host in fleet.hosts]
            await wait_until(lambda: sum(item.aborted_count for item in instances) == 1)

    asyncio.run(scenario())


def test_when_the_caller_leaves_the_upstream_stops():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            desk.instance.service_time_s = 1.0
            waiting = asyncio.create_task(send_request(fleet, panel, "/read/x"))
            await wait_until(lambda: desk.instance.running == 1)
            waiting.cancel()
            await wait_until(lambda: desk.instance.aborted_count == 1, 0.4)

    asyncio.run(scenario())


def test_more_calls_than_slots_wait_or_are_refused_and_the_refused_never_run():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            instance = fleet.hosts[0].instance
            instance.service_time_s = 0.1
            answers = await asyncio.gather(
                *(
                    send_request(
                        fleet,
                        fleet.hosts[0],
                        "/fire/x",
                        "POST",
                        headers={"X-Attempt-Id": f"c{number}"},
                    )
                    for number in range(60)
                )
            )
            assert instance.peak_running <= instance.slots
            for number, (status, headers, _) in enumerate(answers):
                assert instance.ran[f"c{number}"] == (status == 200)
                if status != 200:
                    assert status == 503
                    assert 0 < float(headers["Retry-After"]) <= 2
            assert sum(status == 200 for status, _, _ in answers) >= 8

    asyncio.run(scenario())


def test_weights_are_kept_and_a_part_without_room_is_not_moved():
    async def scenario():
        parts = [{"service": "desk", "weight": 90}, {"service": "panel", "weight": 10}]
        routes = [route("/read/", None, weightedClusters=parts)]
        async with running_fleet(("desk", "panel"), routes) as fleet:
            for number in range(100):
                await send_request(fleet, fleet.hosts[number % 2])
            counts = [sum(host.instance.ran.values()) for host in fleet.hosts]
            assert abs(counts[0] - 90) <= 2
            await withdraw(fleet.hosts[1].instance, admin_address(fleet.hosts[1]))
            answers = [await send_request(fleet, fleet.hosts[0]) for _ in range(40)]
            refused = sum(status == 503 for status, _, _ in answers)
            assert 3 <= refused <= 5

    asyncio.run(scenario())


def test_a_leaving_instance_gets_nothing_after_its_confirmation():
    async def scenario():
        async with running_fleet() as fleet:
            leaving = fleet.hosts[0]
            assert (
                await announce(leaving.instance, admin_address(leaving), "draining")
                == 200
            )
            before = sum(leaving.instance.ran.values())
            for number in range(20):
                assert (await send_request(fleet, fleet.hosts[number % 2]))[0] == 200
            assert sum(leaving.instance.ran.values()) == before

    asyncio.run(scenario())


def test_connections_of_refused_callers_do_not_pile_up(monkeypatch):
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            host = fleet.hosts[0]
            await withdraw(host.instance, admin_address(host))
            monkeypatch.setattr(
                "agaterelay.mesh.node.CLOSE_ON_REFUSAL_CONNECTION_COUNT", 5
            )
            address = host.deployment.calls_address.rsplit(":", 1)
            kept = []
            for number in range(20):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(
                    b"GET /read/x HTTP/1.1\r\nHost: app.example\r\n"
                    b"X-Attempt-Id: %d\r\n\r\n" % number
                )
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 503")
                kept.append(writer)
            await wait_until(lambda: len(host.node.callers.connections) <= 5)
            for writer in kept:
                writer.close()

    asyncio.run(scenario())
