"""What upstreams say in their answers: rate limits, and that they leave."""

import asyncio

from tests.mesh.fleet import running_fleet, send_request

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


def test_an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_further_call():
    async def scenario():
        async with running_fleet() as fleet:
            leaving, other = fleet.hosts
            leaving.instance.answer_headers = [("Server-Leaving", "1")]
            while not run_count(leaving):
                await send_many(fleet, 4)
            await asyncio.sleep(0.05)
            before = run_count(leaving)
            assert set(await send_many(fleet, 40)) == {200}
            assert run_count(leaving) == before
            assert run_count(other) >= 40

    asyncio.run(scenario())
