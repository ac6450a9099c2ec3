"""Requests that reached no upstream get 503 and not 502, and permitted ones never 503."""

import asyncio

import pytest

from agaterelay.adapters.frames import Frame
from tests.mesh.fleet import running_fleet, send_request, wait_until
from tests.mesh.test_links import make_silent


async def send_order(fleet, number, **options):
    """Send a request that must not run twice from the first host."""
    headers = {"X-Attempt-Id": f"order-{number}"}
    return await send_request(
        fleet, fleet.hosts[0], "/fire/x", "POST", headers=headers, **options
    )


def check_truth(fleet, number, answer):
    """Check that a refused request ran nowhere, and return its status."""
    runs = sum(host.instance.ran[f"order-{number}"] for host in fleet.hosts)
    assert runs <= 1
    if answer[0] == 503:
        assert runs == 0
        assert float(answer[1]["Retry-After"]) > 0
    return answer[0]


def test_calls_in_the_queue_of_a_lost_node_are_not_reported_as_unknown():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            instance = fleet.hosts[1].instance
            instance.service_time_s = 0.3
            orders = [
                asyncio.ensure_future(send_order(fleet, number)) for number in range(7)
            ]
            queue = fleet.hosts[1].node.inbound.queue
            await wait_until(lambda: instance.running == 4 and len(queue.waiting) == 3)
            (link,) = fleet.hosts[0].node.links.links.values()
            link.connection.abort()
            answers = await asyncio.gather(*orders)
            statuses = [check_truth(fleet, *item) for item in enumerate(answers)]
            assert sorted(statuses) == [502] * 4 + [503] * 3

    asyncio.run(scenario())


@pytest.mark.parametrize("lost", [Frame.CALL, Frame.MAY_START, Frame.START])
def test_a_lost_frame_before_the_start_makes_no_untrue_outcome(lost, monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            links = fleet.hosts[0].node.links
            (link,) = links.links.values()
            accepted = list(fleet.hosts[1].node.links.accepted)
            for connection in (link.connection, *accepted):
                drop_frames(connection, lost)
            status = check_truth(fleet, 1, await send_order(fleet, 1, wait_ms=600))
            # After a lost START the inbound proxy's own refusal is awaited.
            assert status == 503

    asyncio.run(scenario())


def drop_frames(connection, kind):
    """Lose the frames of one kind that are sent on a connection."""
    send = connection.send
    connection.send = lambda frame: True if frame[0] == kind else send(frame)


def test_an_unstarted_call_on_a_silent_link_is_placed_elsewhere_and_runs_once():
    async def scenario():
        async with running_fleet(("panel", "desk", "desk")) as fleet:
            links = fleet.hosts[0].node.links
            kept = []
            for link in links.links.values():
                hold_calls(link.connection, kept)
            answer = asyncio.ensure_future(send_order(fleet, 1))
            await wait_until(lambda: kept)
            send, frame = kept[0]
            for link in links.links.values():
                del link.connection.send
            (link,) = (link for link in links.links.values() if link.pending)
            await make_silent(links, link)
            assert (await answer)[0] == 200
            # The frame arrives late, as after a freeze.
            send(frame)
            await asyncio.sleep(0.1)
            assert check_truth(fleet, 1, await answer) == 200

    asyncio.run(scenario())


def hold_calls(connection, kept):
    """Keep the calls that are sent on a connection, so that they can be sent late."""
    send = connection.send

    def keep(frame):
        if frame[0] != Frame.CALL:
            return send(frame)
        kept.append((send, frame))
        return True

    connection.send = keep


def test_a_call_whose_answer_is_lost_stays_unknown():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            for connection in fleet.hosts[1].node.links.accepted:
                drop_frames(connection, Frame.RESULT)
            answer = await send_order(fleet, 1, wait_ms=300)
            assert check_truth(fleet, 1, answer) == 504
            assert fleet.hosts[1].instance.ran["order-1"] == 1

    asyncio.run(scenario())


def test_a_node_of_an_earlier_build_does_not_ask_so_its_calls_stay_unknown():
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            (link,) = fleet.hosts[0].node.links.links.values()
            assert link.asks_for_start
            link.asks_for_start = False
            fleet.hosts[1].instance.service_time_s = 0.3
            order = asyncio.ensure_future(send_order(fleet, 1))
            await wait_until(lambda: fleet.hosts[1].instance.running)
            link.connection.abort()
            assert check_truth(fleet, 1, await order) == 502

    asyncio.run(scenario())
