"""When calls are placed on a link, and when they are kept on one that is silent."""

import asyncio

from agaterelay.core.membership import Member
from agaterelay.events import EventKind
from agaterelay.mesh import links as mesh_links
from agaterelay.mesh.links import update_links
from tests.mesh.fleet import (
    free_address,
    record_events,
    route,
    running_fleet,
    send_request,
    wait_until,
)


def test_a_host_that_accepts_and_says_nothing_gets_no_calls():
    async def scenario():
        silent = free_address()
        host, port = silent.rsplit(":", 1)
        held = []
        server = await asyncio.start_server(
            lambda reader, writer: held.append(writer), host, int(port)
        )
        async with running_fleet(("desk",)) as fleet:
            node = fleet.hosts[0].node
            node.state.members[silent] = Member(silent, "a", 1, 1)
            update_links(node.links)
            link = node.links.links[silent]
            await wait_until(lambda: link.connection is not None and held)
            await asyncio.sleep(0.1)
            assert not link.usable
        for writer in held:
            writer.close()
        server.close()

    asyncio.run(scenario())


async def make_silent(links, link):
    """Put a link into the state after an unanswered ping.

    The node's event is awaited, since any frame makes the link usable again at once. A
    frame that arrives before the node checks the link undoes the state, which is then
    restored.
    """
    lost = []
    record = links.context.record

    def record_and_note(kind, **fields):
        record(kind, **fields)
        if kind is EventKind.LINK_LOST and fields["peer"] == link.host:
            lost.append(fields["reason"])

    def is_lost():
        if not lost:
            link.last_received_s -= 60.0
            link.pinged_s = link.last_received_s
        return lost

    links.context.record = record_and_note
    await wait_until(is_lost)
    assert lost == ["silent"]


def test_a_call_that_cannot_be_made_again_is_not_given_up_on_a_silent_link():
    async def scenario():
        once = [route("/read/", maxAttempts=1)]
        async with running_fleet(("panel", "desk"), routes=once) as fleet:
            caller_host, other = fleet.hosts
            other.instance.service_time_s = 0.4
            answer = asyncio.ensure_future(send_request(fleet, caller_host))
            await wait_until(lambda: other.instance.running)
            links = caller_host.node.links
            (link,) = links.links.values()
            await make_silent(links, link)
            assert (await answer)[0] == 200

    asyncio.run(scenario())


def test_a_call_that_can_be_made_again_is_sent_elsewhere_when_its_link_is_silent():
    async def scenario():
        async with running_fleet(("panel", "desk", "desk")) as fleet:
            for host in fleet.hosts[1:]:
                host.instance.service_time_s = 0.4
            answer = asyncio.ensure_future(send_request(fleet, fleet.hosts[0]))
            await wait_until(lambda: any(host.instance.running for host in fleet.hosts))
            links = fleet.hosts[0].node.links
            pending = (link for link in links.links.values() if link.pending)
            await make_silent(links, next(pending))
            assert (await answer)[0] == 200
            assert sum(len(host.instance.started_calls) for host in fleet.hosts) == 2

    asyncio.run(scenario())


def test_a_first_frame_that_cannot_be_written_ends_neither_the_link_nor_its_dialer(
    monkeypatch,
):
    def fail(*values):
        raise UnicodeEncodeError("utf-8", "v\ud83d", 1, 2, "surrogates not allowed")

    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            first, second = fleet.hosts
            link = first.node.links.links[second.deployment.link_address]
            found = record_events(first, {EventKind.STEP_FAILED})
            with monkeypatch.context() as patched:
                patched.setattr("agaterelay.mesh.links.send_hello", fail)
                link.connection.abort()
                await wait_until(lambda: found)
            link.connection.abort()
            await wait_until(lambda: not link.usable)
            await wait_until(lambda: link.usable)
            assert (await send_request(fleet, first))[0] == 200

    asyncio.run(scenario())


def test_a_link_whose_check_fails_does_not_keep_others_from_being_checked(monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk", "desk")) as fleet:
            links = fleet.hosts[0].node.links
            first, second = links.links.values()
            check = mesh_links._check_link

            def fail_for_first(links, link, now_s):
                if link is first:
                    raise RuntimeError("odd")
                check(links, link, now_s)

            monkeypatch.setattr(mesh_links, "_check_link", fail_for_first)
            heard_s = second.last_received_s
            await wait_until(lambda: second.last_received_s > heard_s)

    asyncio.run(scenario())


def test_a_call_that_the_other_node_fails_to_run_is_answered_at_once(monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            monkeypatch.setattr(mesh_links, "run_call", fail_to_run)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            status, _, _ = await send_request(fleet, fleet.hosts[0], "/fire/x", "POST")
            assert status == 502
            assert loop.time() - began_s < 0.5

    asyncio.run(scenario())


async def fail_to_run(inbound, call):
    raise RuntimeError("odd")
