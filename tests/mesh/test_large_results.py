"""Large results pass between nodes only where there is room, and leave no room taken."""

import asyncio

import pytest

from agaterelay.adapters.frames import FrameConnection
from agaterelay.core.held_responses import hold
from agaterelay.mesh.node import stop_gracefully
from tests.mesh.fleet import kill_node, running_fleet, send_request, wait_until

LARGE_BYTES = 1 << 20


def rooms(fleet):
    return [host.node.links.room for host in fleet.hosts]


def is_free(fleet):
    return all(
        not room.responses.total_bytes and not room.waiting and not room.closers
        for room in rooms(fleet)
    )


def fill(room, size_bytes):
    """Let a holder that can't be closed take room."""
    hold(room.responses, "other", size_bytes, 0.0)


# Guards against room that stays taken after a result was delivered.
def test_a_large_result_is_delivered_and_its_room_is_free_afterwards():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            fleet.hosts[1].instance.body_bytes = LARGE_BYTES
            status, _, body = await send_request(fleet, fleet.hosts[0])
            assert (status, len(body)) == (200, LARGE_BYTES)
            await wait_until(lambda: is_free(fleet))

    asyncio.run(scenario())


# Guards against a result that is lost because there is no room for it at once.
def test_a_large_result_waits_for_room_at_the_calling_node():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            fleet.hosts[1].instance.body_bytes = LARGE_BYTES
            room = rooms(fleet)[0]
            fill(room, room.responses.large_limit_bytes)
            asked = asyncio.create_task(send_request(fleet, fleet.hosts[0]))
            await wait_until(lambda: room.waiting)
            hold(room.responses, "other", 0, 0.0)
            status, _, body = await asked
            assert (status, len(body)) == (200, LARGE_BYTES)
            await wait_until(lambda: is_free(fleet))

    asyncio.run(scenario())


# Guards against room that stays taken for a call that its caller has given up.
@pytest.mark.parametrize("granted", [False, True])
def test_a_call_that_is_given_up_frees_the_room_of_its_result(granted, monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            fleet.hosts[1].instance.body_bytes = LARGE_BYTES
            room = rooms(fleet)[0]
            if granted:
                # The upstream's node finds the link busy until the call is cancelled.
                unsent = property(lambda connection: LARGE_BYTES)
                monkeypatch.setattr(FrameConnection, "unsent_bytes", unsent)
            else:
                fill(room, room.responses.large_limit_bytes)
            status, _, _ = await send_request(
                fleet, fleet.hosts[0], "/fire/x", "POST", wait_ms=300
            )
            assert status == 504
            monkeypatch.undo()
            hold(room.responses, "other", 0, 0.0)
            await wait_until(lambda: is_free(fleet))
            assert (
                not fleet.hosts[0]
                .node.links.links[fleet.hosts[1].deployment.link_address]
                .granted
            )

    asyncio.run(scenario())


# Guards against a planned stop that cuts off a result whose call has ended.
def test_a_result_that_waits_is_delivered_before_its_node_stops(monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            monkeypatch.setattr("agaterelay.mesh.node.MIN_STOP_S", 0.1)
            fleet.hosts[1].instance.body_bytes = LARGE_BYTES
            room = rooms(fleet)[0]
            fill(room, room.responses.large_limit_bytes)
            asked = asyncio.create_task(send_request(fleet, fleet.hosts[0]))
            await wait_until(lambda: room.waiting)

            async def stop():
                await stop_gracefully(fleet.hosts[1].node)
                await kill_node(fleet.hosts[1])

            stopping = asyncio.create_task(stop())
            await asyncio.sleep(0.5)
            hold(room.responses, "other", 0, 0.0)
            status, _, body = await asked
            assert (status, len(body)) == (200, LARGE_BYTES)
            await stopping

    asyncio.run(scenario())


# Guards against a node that keeps any number of results that others don't take.
def test_a_result_without_room_at_the_upstreams_node_is_lost_and_said_so():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            fleet.hosts[1].instance.body_bytes = LARGE_BYTES
            room = rooms(fleet)[1]
            fill(room, room.responses.large_limit_bytes)
            status, _, body = await send_request(
                fleet, fleet.hosts[0], "/fire/x", "POST"
            )
            assert status == 502
            assert b"no room" in body
            assert room.closed["no_room"] == 1

    asyncio.run(scenario())


# Guards against a node of an earlier build that never grants what it is offered.
def test_a_node_that_takes_no_offers_gets_a_large_result_at_once(monkeypatch):
    send = FrameConnection.send
    monkeypatch.setattr(
        FrameConnection, "send", lambda connection, frame: send(connection, frame[:4])
    )

    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            fleet.hosts[1].instance.body_bytes = LARGE_BYTES
            status, _, body = await send_request(fleet, fleet.hosts[0])
            assert (status, len(body)) == (200, LARGE_BYTES)

    asyncio.run(scenario())
