"""What upstreams say in their answers: rate limits, and that they leave."""

import asyncio

import pytest

from standins.instance import announce, withdraw
from tests.mesh.fleet import (
    admin_address,
    is_converged,
    restart_node,
    running_fleet,
    send_request,
    wait_until,
)

LIMIT_PER_S = 5.0
# What the users allow in any 4 seconds.
MAX_CALLS_IN_4_S = 1.5 * 4 * LIMIT_PER_S + 5


def limited(rate=LIMIT_PER_S):
    """Return the headers of an upstream that names a rate limit."""
    return [("Server-Limit", str(rate))]


def run_count(host):
    """Return how many calls ran on a host's instance."""
    return len(host.instance.started_calls)


async def send_many(fleet, count, **options):
    """Send calls to all hosts in turn, a few at a time; return their statuses."""
    statuses = []
    for number in range(0, count, 4):
        answers = await asyncio.gather(
            *(
                send_request(fleet, fleet.hosts[index % len(fleet.hosts)], **options)
                for index in range(number, number + 4)
            )
        )
        statuses += [status for status, _, _ in answers]
    return statuses


async def say_leaving(fleet, host):
    """Let an instance say in an answer that it leaves; return how many calls it ran."""
    host.instance.answer_headers = [("Server-Leaving", "1")]
    while not run_count(host):
        await send_many(fleet, 4)
    await asyncio.sleep(0.05)
    return run_count(host)


def test_an_upstream_gets_no_more_calls_than_the_limit_that_it_names():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            desk.instance.answer_headers = limited()
            await send_request(fleet, panel)
            statuses = await send_many(fleet, 100)
            assert run_count(desk) <= MAX_CALLS_IN_4_S
            assert set(statuses) <= {200, 503}

    asyncio.run(scenario())


def test_the_limit_is_kept_by_a_restarted_node_from_its_first_call_on():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            desk.instance.answer_headers = limited(0.1)
            await send_request(fleet, panel)
            await restart_node(desk)
            await announce(desk.instance, admin_address(desk))
            await wait_until(lambda: is_converged(fleet, panel))
            assert desk.node.inbound.queue.rate_limit.rate_per_s == 0.1
            before = run_count(desk)
            assert set(await send_many(fleet, 20)) == {503}
            assert run_count(desk) == before

    asyncio.run(scenario())


def test_a_limit_ends_with_an_answer_without_it_even_if_it_was_zero():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            desk.instance.answer_headers = limited(0)
            await send_request(fleet, panel)
            desk.instance.answer_headers = []
            limit = desk.node.inbound.queue.rate_limit
            while limit.rate_per_s is not None:
                await send_request(fleet, panel, wait_ms=3000)
            assert set(await send_many(fleet, 20)) == {200}

    asyncio.run(scenario())


def test_a_new_start_of_the_instance_has_no_limit():
    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            desk, panel = fleet.hosts
            desk.instance.answer_headers = limited(0.1)
            await send_request(fleet, panel)
            desk.instance.answer_headers = []
            desk.instance.born_ms += 1
            await announce(desk.instance, admin_address(desk))
            assert set(await send_many(fleet, 20)) == {200}

    asyncio.run(scenario())


def test_an_answer_from_before_a_new_start_does_not_limit_it():
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            (desk,) = fleet.hosts
            desk.instance.service_time_s = 0.1
            desk.instance.answer_headers = limited(0.1)
            early = asyncio.create_task(send_request(fleet, desk))
            await wait_until(lambda: desk.instance.running == 1)
            desk.instance.born_ms += 1
            await announce(desk.instance, admin_address(desk))
            assert (await early)[0] == 200
            desk.instance.answer_headers = []
            assert set(await send_many(fleet, 12)) == {200}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "values",
    [["-3"], ["none"], ["nan"], ["inf"], ["1e2"], [""], ["9" * 5000], ["5", "6"]],
)
def test_a_limit_that_cannot_be_read_is_logged_and_not_obeyed(values):
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            (desk,) = fleet.hosts
            events = []
            context = desk.node.inbound.context
            context.record = lambda kind, **fields: events.append((kind.number, fields))
            desk.instance.answer_headers = [("Server-Limit", text) for text in values]
            assert set(await send_many(fleet, 40)) == {200}
            (logged, *_) = [fields for number, fields in events if number == 316]
            assert len(logged["rate_limit"]) <= 40

    asyncio.run(scenario())


def test_an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_further_call():
    async def scenario():
        async with running_fleet() as fleet:
            leaving, other = fleet.hosts
            before = await say_leaving(fleet, leaving)
            assert set(await send_many(fleet, 40)) == {200}
            assert run_count(leaving) == before
            assert run_count(other) >= 40

    asyncio.run(scenario())


def test_after_a_restart_of_its_node_with_the_store_down_it_gets_none_either():
    async def scenario():
        async with running_fleet(("desk", "panel", "desk")) as fleet:
            leaving, caller, _ = fleet.hosts
            leaving.instance.answer_headers = [("Server-Leaving", "1")]
            while not run_count(leaving):
                await send_request(fleet, caller)
            before = run_count(leaving)
            fleet.store.faults.down = True
            await restart_node(leaving)
            # An announcement from before is late, and the health check does not tell.
            leaving.instance.answer_headers = []
            await announce(leaving.instance, admin_address(leaving))
            await announce(leaving.instance, admin_address(leaving))
            node = caller.node
            await wait_until(
                lambda: all(link.usable for link in node.links.links.values())
            )
            answers = [await send_request(fleet, caller) for _ in range(30)]
            assert {status for status, _, _ in answers} == {200}
            assert run_count(leaving) == before

    asyncio.run(scenario())


def test_a_later_ready_announcement_of_the_same_start_changes_nothing():
    async def scenario():
        async with running_fleet() as fleet:
            leaving, other = fleet.hosts
            before = await say_leaving(fleet, leaving)
            leaving.instance.answer_headers = []
            assert await announce(leaving.instance, admin_address(leaving)) == 200
            await send_many(fleet, 20)
            assert run_count(leaving) == before
            leaving.instance.born_ms += 1
            await announce(leaving.instance, admin_address(leaving))
            await withdraw(other.instance, admin_address(other))
            await asyncio.sleep(0.05)
            assert set(await send_many(fleet, 20)) == {200}

    asyncio.run(scenario())


def test_what_another_instance_at_the_address_says_is_not_taken_for_the_expected_one():
    async def scenario():
        async with running_fleet() as fleet:
            desk = fleet.hosts[0]
            announced = desk.instance.instance
            desk.instance.instance = "i-other"
            desk.instance.answer_headers = [("Server-Leaving", "1")]
            for _ in range(4):
                await send_many(fleet, 4)
            desk.instance.instance = announced
            desk.instance.answer_headers = []
            await withdraw(fleet.hosts[1].instance, admin_address(fleet.hosts[1]))
            await asyncio.sleep(0.05)
            assert set(await send_many(fleet, 8)) == {200}

    asyncio.run(scenario())
