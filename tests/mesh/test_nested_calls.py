"""Calls of an upstream for a request in its slot are served although others wait."""

import asyncio

from tests.mesh.fleet import route, running_fleet, send_request, wait_until

ROUTES = [route("/read/", "panel"), route("/fire/", kind="non_idempotent")]


def test_a_nested_call_is_served_before_new_work_that_waits():
    async def scenario():
        async with running_fleet(("panel", "desk"), ROUTES) as fleet:
            panel, desk = fleet.hosts
            panel.instance.service_time_s = 0.6
            desk.instance.service_time_s = 0.15

            def send(call_id, path="/fire/x"):
                headers = {"X-Attempt-Id": call_id}
                return asyncio.ensure_future(
                    send_request(fleet, panel, path, "POST", headers=headers)
                )

            requests = [send("parent", "/read/x")]
            await wait_until(lambda: panel.instance.running == 1)
            requests += [send(f"new-{number}") for number in range(12)]
            queue = desk.node.inbound.queue
            await wait_until(lambda: len(queue.waiting) == 8)
            requests += [send("stranger.1"), send("parent.1")]
            status, _, _ = await requests[-1]
            assert status == 200
            order = [call_id for _, _, call_id in desk.instance.started_calls]
            assert order.index("parent.1") == 4
            assert "stranger.1" not in order[:8]
            await asyncio.gather(*requests)

    asyncio.run(scenario())
