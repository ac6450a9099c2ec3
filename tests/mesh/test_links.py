"""When a link is used."""

import asyncio

from agaterelay.core.membership import Member
from agaterelay.mesh.links import follow_members
from tests.mesh.fleet import ask, free_address, route, running_fleet, until


def test_a_host_that_accepts_and_says_nothing_gets_no_calls():
    async def play():
        silent = free_address()
        host, port = silent.rsplit(":", 1)
        held = []
        server = await asyncio.start_server(
            lambda reader, writer: held.append(writer), host, int(port)
        )
        async with running_fleet(("desk",)) as fleet:
            node = fleet.hosts[0].node
            node.state.members[silent] = Member(silent, "a", 1, 1)
            follow_members(node.links)
            link = node.links.links[silent]
            await until(lambda: link.connection is not None and held)
            await asyncio.sleep(0.1)
            assert not link.usable
        for writer in held:
            writer.close()
        server.close()

    asyncio.run(play())


async def silence(link):
    """Let a link look as if the other end had not answered a ping."""
    link.last_received_s -= 60.0
    link.pinged_s = link.last_received_s
    await until(lambda: not link.usable)


def test_a_call_that_cannot_be_made_again_is_not_given_up_on_a_silent_link():
    async def play():
        once = [route("/read/", maxAttempts=1)]
        async with running_fleet(("panel", "desk"), routes=once) as fleet:
            entry, other = fleet.hosts
            other.instance.service_time_s = 0.4
            asked = asyncio.ensure_future(ask(fleet, entry))
            await until(lambda: other.instance.running)
            (link,) = entry.node.links.links.values()
            await silence(link)
            assert (await asked)[0] == 200

    asyncio.run(play())


def test_a_call_that_can_be_made_again_is_sent_elsewhere_when_its_link_is_silent():
    async def play():
        async with running_fleet(("panel", "desk", "desk")) as fleet:
            for host in fleet.hosts[1:]:
                host.instance.service_time_s = 0.4
            asked = asyncio.ensure_future(ask(fleet, fleet.hosts[0]))
            await until(lambda: any(host.instance.running for host in fleet.hosts))
            links = fleet.hosts[0].node.links.links
            await silence(next(link for link in links.values() if link.pending))
            assert (await asked)[0] == 200
            assert sum(len(host.instance.started_calls) for host in fleet.hosts) == 2

    asyncio.run(play())
