"""When a link is used."""

import asyncio

from agaterelay.core.membership import Member
from agaterelay.mesh.links import follow_members
from tests.mesh.fleet import free_address, running_fleet, until


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
