"""What a node has learned of an upstream outlives links, configurations and members."""

import asyncio

from agaterelay.core.placing import LoadReport, TargetLoad
from agaterelay.mesh.links import load_of, update_links
from standins.instance import announce
from standins.store import put_row
from tests.mesh.fleet import (
    ROUTES,
    admin_address,
    config,
    route,
    running_fleet,
    wait_until,
)

REPORT = LoadReport(in_flight=9, slots=4, work_ms=240.0, failing=0.5)


def test_a_lost_link_does_not_make_a_slow_upstream_look_fast_and_idle():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            links = fleet.hosts[0].node.links
            ((host, link),) = links.links.items()
            link.load.report, link.load.slowness = REPORT, 3.0
            link.load.reported_at_s = links.context.clock.monotonic_s()
            link.connection.abort()
            await wait_until(lambda: not link.usable)
            await wait_until(lambda: link.usable)
            load = load_of(links, host)
            assert (load.slowness, load.own) == (3.0, 0)
            assert load.report.work_ms == 240.0
            # The failures may have been those of the lost link's host.
            assert load.report.failing == 0.0

    asyncio.run(scenario())


def test_a_link_that_is_dropped_and_dialled_again_keeps_the_load_of_its_upstream():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            state, links = fleet.hosts[0].node.state, fleet.hosts[0].node.links
            ((host, link),) = links.links.items()
            link.load.slowness = 3.0
            member = state.members.pop(host)
            update_links(links)
            state.members[host] = member
            update_links(links)
            assert links.links[host] is not link
            assert load_of(links, host).slowness == 3.0

    asyncio.run(scenario())


def test_a_new_instance_is_not_avoided_for_the_failures_of_the_previous_one():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            links = fleet.hosts[0].node.links
            (link,) = links.links.values()
            update_links(links)
            link.load.report, link.load.slowness = REPORT, 3.0
            update_links(links)
            assert link.load.report.failing == 0.5
            instance = fleet.hosts[1].instance
            instance.born_ms += 1
            address = admin_address(fleet.hosts[1])
            assert await announce(instance, address) == 200
            await wait_until(lambda: link.load.report.failing == 0.0)
            assert link.load.slowness == 3.0

    asyncio.run(scenario())


def test_loads_of_hosts_that_are_gone_are_not_kept_without_bound():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            links = fleet.hosts[0].node.links
            for number in range(2000):
                links.loads[f"gone-{number}"] = TargetLoad()
            update_links(links)
            assert len(links.loads) < 1000
            assert set(links.links) <= set(links.loads)

    asyncio.run(scenario())


def test_a_configuration_changes_nothing_that_was_learned():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            node = fleet.hosts[0].node
            ((host, link),) = node.links.links.items()
            link.load.slowness = 3.0
            connection, costs = link.connection, dict(node.outbound.route_costs)
            rows = [*ROUTES, route("/new/")]
            await put_row(fleet.store, "op", "config", config(2, rows))
            await wait_until(lambda: node.state.table.revision == 2)
            assert link.connection is connection
            assert load_of(node.links, host).slowness == 3.0
            assert node.outbound.route_costs == costs

    asyncio.run(scenario())
