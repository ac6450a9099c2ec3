"""The operator's order that a zone's upstreams get no calls."""

import asyncio

import pytest

from standins.instance import announce
from standins.store import compact_history, put_row
from tests.mesh.fleet import (
    admin_address,
    is_converged,
    restart_node,
    running_fleet,
    send_request,
    wait_until,
)
from tests.mesh.test_cold_upstreams import (
    COLD,
    MAX_CALLS_IN_1_S,
    crowd,
    most_in_a_second,
    times_since,
)

KEY = "evacuate/b"
# Less than the 5 s that the users allow.
SPREAD_S = 1.5


def now_s():
    return asyncio.get_running_loop().time()


async def remove_row(fleet):
    """Remove the operator's row, as the operator does."""
    store = fleet.store
    store.version += 1
    row = store.rows.pop(("op", "", KEY))
    store.log.append({**row, "ver": store.version, "deleted": True})
    async with store.changed:
        store.changed.notify_all()


async def statuses_of(fleet, host, count=20):
    answers = [await send_request(fleet, host) for _ in range(count)]
    return {status for status, _, _ in answers}


# Guards against calls to an evacuated zone, against callers there that are not served,
# and against an upstream that gets its usual calls at the end, when it is cold.
@pytest.mark.parametrize("value", [b"", b"\xff", b"{"])
def test_an_evacuated_zone_gets_no_call_until_the_row_is_removed(value):
    async def scenario():
        async with running_fleet(zones="ab", cold=COLD) as fleet:
            other, evacuated = fleet.hosts
            assert await statuses_of(fleet, evacuated) == {200}
            async with crowd(fleet, fleet.hosts):
                await put_row(fleet.store, "op", KEY, value)
                await asyncio.sleep(SPREAD_S)
                began_s = now_s()
                await asyncio.sleep(0.5)
                assert times_since(evacuated, began_s) == []
                assert times_since(other, began_s)
                await announce(evacuated.instance, admin_address(evacuated))
                assert await statuses_of(fleet, evacuated) <= {200, 503}
                await remove_row(fleet)
                await asyncio.sleep(SPREAD_S)
            times = times_since(evacuated, began_s)
            assert 0 < most_in_a_second(times) <= MAX_CALLS_IN_1_S

    asyncio.run(scenario())


# Guards against a restarted node that serves an evacuated zone, with the store and, from
# what its neighbours tell, without it.
@pytest.mark.parametrize("store_is_down", [False, True])
def test_an_evacuation_survives_a_restart(store_is_down):
    async def scenario():
        async with running_fleet(zones="ab") as fleet:
            _, evacuated = fleet.hosts
            await put_row(fleet.store, "op", KEY, b"1")
            await asyncio.sleep(SPREAD_S)
            fleet.store.faults.down = store_is_down
            await restart_node(evacuated)
            await wait_until(lambda: evacuated.node.state.table is not None)
            await announce(evacuated.instance, admin_address(evacuated))
            await wait_until(lambda: is_converged(fleet, evacuated))
            began_s = now_s()
            assert await statuses_of(fleet, evacuated) == {200}
            assert times_since(evacuated, began_s) == []

    asyncio.run(scenario())


# Guards against a zone that stays evacuated since the removal was missed.
def test_a_removal_that_was_missed_is_noticed_by_the_next_full_read():
    async def scenario():
        async with running_fleet(zones="ab") as fleet:
            _, evacuated = fleet.hosts
            await put_row(fleet.store, "op", KEY, b"1")
            await asyncio.sleep(SPREAD_S)
            fleet.store.faults.down = True
            await asyncio.sleep(0.2)
            await remove_row(fleet)
            compact_history(fleet.store)
            assert await statuses_of(fleet, evacuated) == {200}
            began_s = now_s()
            assert times_since(evacuated, began_s) == []
            fleet.store.faults.down = False
            async with asyncio.timeout(8):
                while not times_since(evacuated, began_s):
                    await send_request(fleet, evacuated)

    asyncio.run(scenario())
