"""A request that ends every upstream that runs it is held back on all nodes."""

import asyncio

import pytest

from agaterelay.core.crash_suspects import is_held, request_key
from agaterelay.mesh.crashes import release_request
from standins.instance import announce, crash_instance, start_instance
from tests.mesh.fleet import (
    add_host,
    admin_address,
    restart_node,
    running_fleet,
    send_request,
    wait_until,
)

DEADLY_PATH = "/read/deadly?page=3"
KEY = request_key("desk", "GET", DEADLY_PATH, b"")


def make_deadly(fleet):
    for host in fleet.hosts:
        host.instance.deadly_path = DEADLY_PATH
        host.instance.service_time_s = 0.02


def crash_count(fleet):
    return sum(host.instance.crash_count for host in fleet.hosts)


def holds(host, key=KEY):
    node = host.node
    return is_held(node.inbound.crashes.suspects, key, node.context.clock.monotonic_s())


def crashes_known(host):
    return len(host.node.inbound.crashes.suspects.reports)


async def send_until_held(fleet):
    """Send the deadly request to one host after the other until all hold it back."""
    for number in range(20):
        host = fleet.hosts[number % len(fleet.hosts)]
        await send_request(fleet, host, DEADLY_PATH)
        await asyncio.sleep(0.05)
        if all(holds(host) for host in fleet.hosts):
            return
    raise AssertionError("not held back")


async def bring_back(host):
    """Start the crashed instance of a host again."""
    host.instance.born_ms += 1
    host.instance.instance += "x"
    await start_instance(host.instance)
    assert await announce(host.instance, admin_address(host)) == 200


def test_a_deadly_request_ends_few_upstreams_and_others_are_served_by_the_rest():
    async def scenario():
        async with running_fleet(("desk",) * 6) as fleet:
            make_deadly(fleet)
            await send_until_held(fleet)
            ended = crash_count(fleet)
            assert 2 <= ended <= 3
            for number in range(30):
                host = fleet.hosts[number % 6]
                status, headers, _ = await send_request(fleet, host, DEADLY_PATH)
                assert status == 503
                assert "Retry-After" not in headers
                assert (await send_request(fleet, host, f"/read/{number}"))[0] == 200
            assert crash_count(fleet) == ended

    asyncio.run(scenario())


def test_a_deadly_request_stays_held_when_upstreams_and_a_node_start_again():
    async def scenario():
        async with running_fleet(("desk",) * 5) as fleet:
            make_deadly(fleet)
            await send_until_held(fleet)
            ended = crash_count(fleet)
            for host in fleet.hosts:
                if host.instance.crash_count:
                    await bring_back(host)
            restarted = fleet.hosts[0]
            await restart_node(restarted)
            await announce(restarted.instance, admin_address(restarted))
            await wait_until(lambda: holds(restarted))
            joined = await add_host(fleet, "desk", deadly_path=DEADLY_PATH)
            await announce(joined.instance, admin_address(joined))
            await wait_until(lambda: holds(joined))
            for host in fleet.hosts:
                assert (await send_request(fleet, host, DEADLY_PATH))[0] in (502, 503)
            assert crash_count(fleet) == ended

    asyncio.run(scenario())


def test_calls_in_hand_at_a_crash_are_repeated_and_cleared_by_their_answers():
    async def scenario():
        async with running_fleet(("desk",) * 4) as fleet:
            for host in fleet.hosts:
                host.instance.service_time_s = 0.3
            victim = fleet.hosts[1]
            calls = [
                asyncio.create_task(send_request(fleet, victim, f"/read/{n}"))
                for n in range(6)
            ]
            await wait_until(lambda: victim.instance.running > 0)
            crash_instance(victim.instance)
            assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}
            assert crashes_known(victim) == 1
            await wait_until(
                lambda: (
                    not any(
                        host.node.inbound.crashes.suspects.crashes
                        for host in fleet.hosts
                    )
                )
            )

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["reset", "early_end", "garbage"])
def test_lost_answers_of_an_upstream_that_stays_are_no_crashes(fault):
    async def scenario():
        async with running_fleet(("desk",) * 3) as fleet:
            for host in fleet.hosts:
                host.instance.fault = fault
            for number in range(9):
                await send_request(fleet, fleet.hosts[number % 3], "/read/same")
            assert [crashes_known(host) for host in fleet.hosts] == [0, 0, 0]

    asyncio.run(scenario())


def test_a_busy_path_is_not_held_when_its_upstreams_crash_at_the_same_time():
    async def scenario():
        async with running_fleet(("desk",) * 5) as fleet:
            for host in fleet.hosts:
                host.instance.service_time_s = 0.4
            await asyncio.gather(
                *(send_request(fleet, host, "/read/busy") for host in fleet.hosts)
            )
            calls = [
                asyncio.create_task(send_request(fleet, host, "/read/busy"))
                for host in fleet.hosts
                for _ in range(4)
            ]
            instances = [host.instance for host in fleet.hosts]
            await wait_until(lambda: sum(item.running > 0 for item in instances) >= 3)
            for instance in [item for item in instances if item.running][:3]:
                crash_instance(instance)
            await asyncio.gather(*calls)
            busy = request_key("desk", "GET", "/read/busy", b"")
            assert not any(holds(host, busy) for host in fleet.hosts)
            assert sum(crashes_known(host) for host in fleet.hosts) >= 3
            assert (await send_request(fleet, fleet.hosts[4], "/read/busy"))[0] == 200

    asyncio.run(scenario())


def test_an_operator_lists_what_is_held_back_and_releases_it():
    async def scenario():
        async with running_fleet(("desk",) * 4) as fleet:
            make_deadly(fleet)
            await send_until_held(fleet)
            url = f"http://{fleet.hosts[0].deployment.metrics_address}/suspects"
            async with fleet.session.get(url) as response:
                (entry,) = [
                    item for item in (await response.json())["suspects"] if item["held"]
                ]
            assert entry["key"] == KEY.hex()
            assert len(entry["crashes"]) >= 2
            async with fleet.session.delete(f"{url}/{entry['key']}") as response:
                assert response.status == 200
            await wait_until(lambda: not any(holds(host) for host in fleet.hosts))
            async with fleet.session.delete(f"{url}/{entry['key']}") as response:
                assert response.status == 404
            async with fleet.session.delete(f"{url}/none") as response:
                assert response.status == 404
            assert not release_request(fleet.hosts[0].node.inbound.crashes, KEY)

    asyncio.run(scenario())
