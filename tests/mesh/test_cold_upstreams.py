"""A cold upstream gets few calls in any second, and not much fewer than it accepts."""

import asyncio
import contextlib

from standins.instance import announce, crash_instance, start_instance
from tests.mesh.fleet import (
    admin_address,
    is_converged,
    restart_node,
    running_fleet,
    send_request,
    wait_until,
)

COLD = ("3s", 7.5)
# What the users allow in any second: coldPerS x coldOver + coldSlack.
MAX_CALLS_IN_1_S = 7.5 * 1.5 + 8
CALLERS = 24


@contextlib.asynccontextmanager
async def crowd(fleet, hosts):
    """Let many callers send requests to some hosts without a pause."""

    async def call_repeatedly(host):
        while True:
            await send_request(fleet, host)

    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(call_repeatedly(hosts[number % len(hosts)]))
            for number in range(CALLERS)
        ]
        yield
        for task in tasks:
            task.cancel()


def most_in_a_second(times):
    return max(
        (sum(began_s <= time_s < began_s + 1 for time_s in times) for began_s in times),
        default=0,
    )


def times_since(host, since_s):
    return [time_s for time_s, _, _ in host.instance.started_calls if time_s >= since_s]


async def announce_cold(host, cold_left):
    assert await announce(host.instance, admin_address(host), coldLeft=cold_left) == 200


# Guards against an upstream that ends since it gets its usual calls while it is cold, and
# against one that gets hardly any. Many calls are under way when it becomes cold.
def test_an_upstream_that_becomes_cold_under_load_gets_what_it_accepts():
    async def scenario():
        async with running_fleet(("desk", "panel", "panel"), cold=COLD) as fleet:
            desk = fleet.hosts[0]
            desk.instance.service_time_s = 0.005
            async with crowd(fleet, fleet.hosts):
                await asyncio.sleep(0.5)
                await announce_cold(desk, "3s")
                began_s = asyncio.get_running_loop().time()
                await asyncio.sleep(2.5)
            times = times_since(desk, began_s)
            assert most_in_a_second(times) <= MAX_CALLS_IN_1_S
            assert len(times) >= 0.8 * 2.5 * 7.5

    asyncio.run(scenario())


# Guards against calls that wait for an upstream and reach it together when it is back,
# before its first announcement says that it is cold.
def test_an_upstream_that_comes_back_is_cold_until_it_announces_itself():
    async def scenario():
        async with running_fleet(("desk", "panel", "panel"), cold=COLD) as fleet:
            desk = fleet.hosts[0]
            async with crowd(fleet, fleet.hosts):
                await asyncio.sleep(0.2)
                crash_instance(desk.instance)
                await asyncio.sleep(0.3)
                began_s = asyncio.get_running_loop().time()
                await start_instance(desk.instance)
                await asyncio.sleep(1.2)
                times = times_since(desk, began_s)
                assert 0 < most_in_a_second(times) <= MAX_CALLS_IN_1_S
                await announce_cold(desk, "0ms")
                began_s = asyncio.get_running_loop().time()
                await asyncio.sleep(0.5)
            assert len(times_since(desk, began_s)) > MAX_CALLS_IN_1_S

    asyncio.run(scenario())


# Guards against an upstream that ends and comes back while no call is sent to it, so that
# no call finds it gone.
def test_an_upstream_that_ended_between_calls_is_cold_when_it_comes_back():
    async def scenario():
        async with running_fleet(("desk", "panel"), cold=COLD) as fleet:
            desk = fleet.hosts[0]
            await send_request(fleet, desk)
            crash_instance(desk.instance)
            await asyncio.sleep(0.1)
            await start_instance(desk.instance)
            began_s = asyncio.get_running_loop().time()
            async with crowd(fleet, fleet.hosts):
                await asyncio.sleep(0.5)
            times = times_since(desk, began_s)
            assert 0 < most_in_a_second(times) <= MAX_CALLS_IN_1_S

    asyncio.run(scenario())


# Guards against calls that a host runs as soon as it is no longer frozen, before it
# notices that its upstream has been silent too.
def test_an_upstream_that_was_silent_is_cold_before_the_next_call():
    async def scenario():
        async with running_fleet(("desk", "panel"), cold=COLD) as fleet:
            desk = fleet.hosts[0]
            async with crowd(fleet, fleet.hosts):
                await asyncio.sleep(0.2)
                desk.node.inbound.line.last_received_s -= 60.0
                began_s = asyncio.get_running_loop().time()
                await asyncio.sleep(0.5)
            assert len(times_since(desk, began_s)) <= MAX_CALLS_IN_1_S

    asyncio.run(scenario())


# Guards against a restarted node that believes a late announcement from before the
# upstream became cold.
def test_a_restarted_node_learns_from_the_health_check_that_its_upstream_is_cold():
    async def scenario():
        async with running_fleet(("desk", "panel"), cold=COLD) as fleet:
            desk, panel = fleet.hosts
            desk.instance.health_headers = [("X-Cold-Ms", "2500")]
            await restart_node(desk)
            await wait_until(lambda: desk.node.state.table is not None)
            await announce_cold(desk, "0ms")
            await wait_until(lambda: is_converged(fleet, panel))
            began_s = asyncio.get_running_loop().time()
            async with crowd(fleet, fleet.hosts):
                await asyncio.sleep(1.5)
            times = times_since(desk, began_s)
            assert 0 < most_in_a_second(times) <= MAX_CALLS_IN_1_S

    asyncio.run(scenario())


# Guards against a limit where the configuration names none.
def test_without_a_cold_limit_a_cold_upstream_gets_all_calls():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk = fleet.hosts[0]
            await announce_cold(desk, "3s")
            began_s = asyncio.get_running_loop().time()
            async with crowd(fleet, fleet.hosts):
                await asyncio.sleep(0.5)
            assert len(times_since(desk, began_s)) > MAX_CALLS_IN_1_S

    asyncio.run(scenario())
