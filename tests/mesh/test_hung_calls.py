"""A call that is never answered costs neither its caller nor the other calls."""

import asyncio

from agaterelay.core.hang_limit import lowered_by
from agaterelay.core.slot_queue import hang_time_of
from standins.instance import announce
from tests.mesh.fleet import admin_address, route, running_fleet, send_request

ROUTES = [route("/read/", timeout="3000ms")]


def send(fleet, path="/read/x", wait_ms=3000):
    return send_request(fleet, fleet.hosts[0], path, wait_ms=wait_ms)


def test_a_hung_call_is_answered_elsewhere_long_before_its_time_limit():
    async def scenario():
        async with running_fleet(("desk", "desk"), ROUTES) as fleet:
            for host in fleet.hosts:
                host.instance.service_time_s = 0.03
            queues = [host.node.inbound.queue for host in fleet.hosts]
            while any(hang_time_of(queue, "rread") > 1.0 for queue in queues):
                await asyncio.gather(*(send(fleet) for _ in range(8)))
            fleet.hosts[0].instance.silent_count = 1
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            answers = []
            for _ in range(10):
                answers += [asyncio.ensure_future(send(fleet)) for _ in range(6)]
                await asyncio.sleep(0.06)
            assert {(await answer)[0] for answer in answers} == {200}
            assert loop.time() - began_s < 2.0
            assert fleet.hosts[0].instance.aborted_count == 1

    asyncio.run(scenario())


def test_repeated_hangs_lower_the_calls_sent_at_once_until_a_new_instance():
    async def scenario():
        async with running_fleet(("desk",), ROUTES) as fleet:
            (host,) = fleet.hosts
            queue, clock = host.node.inbound.queue, host.node.context.clock
            for _ in range(25):
                assert (await send(fleet))[0] == 200
            host.instance.silent_count = 3
            statuses = [
                status
                for status, _, _ in await asyncio.gather(
                    *(send(fleet, wait_ms=800) for _ in range(3))
                )
            ]
            assert statuses == [504] * 3
            assert lowered_by(queue.hangs, clock.monotonic_s()) == 2
            assert host.instance.peak_running <= host.instance.slots
            assert (await send(fleet))[0] == 200
            host.instance.born_ms += 1
            assert await announce(host.instance, admin_address(host)) == 200
            assert lowered_by(queue.hangs, clock.monotonic_s()) == 0

    asyncio.run(scenario())


def test_fewer_slots_announced_by_a_running_instance_take_effect():
    async def scenario():
        async with running_fleet(("desk",), ROUTES) as fleet:
            (host,) = fleet.hosts
            host.instance.slots = 2
            assert await announce(host.instance, admin_address(host)) == 200
            assert host.node.inbound.queue.slots == 2
            assert host.node.state.own.upstreams[0].slots == 2

    asyncio.run(scenario())
