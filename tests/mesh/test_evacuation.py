"""The operator's order that a zone's upstreams get no calls."""

import asyncio
from types import SimpleNamespace

import pytest

from agaterelay.core.evacuation import is_evacuated
from agaterelay.mesh import notifications
from agaterelay.ports import StoredRow
from standins.instance import announce
from standins.store import compact_history, copy_store, put_row, restore_store
from tests.mesh import simulation
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


# Guards against hosts that don't hear of an evacuation, or of its end: those that rely on
# readers, and a whole zone that the store refuses.
@pytest.mark.parametrize("is_cut", [False, True])
def test_an_evacuation_reaches_hosts_that_do_not_watch_the_store(is_cut):
    async def scenario():
        fleet = simulation.Simulation()
        await simulation.put_config(fleet)
        for number in range(12):
            for zone in "ab":
                await simulation.start_host(fleet, zone, number + 1)
        await asyncio.sleep(12.0)
        states = [host.node.state for host in fleet.hosts]
        assert sum(state.watching for state in states) <= 6
        for host in fleet.hosts:
            host.store.silent = is_cut and host.deployment.zone == "b"
        await asyncio.sleep(6.0)
        for deleted in (False, True):
            row = StoredRow("op", KEY, b"", deleted=deleted)
            fleet.rows.apply(row)
            await asyncio.sleep(SPREAD_S)
            assert {is_evacuated(s.evacuations, "b") for s in states} == {not deleted}
            inbounds = [host.node.inbound for host in fleet.hosts]
            evacuated = [item for item in inbounds if item.is_evacuated()]
            assert len(evacuated) == (0 if deleted else 12)

    simulation.run_simulated(scenario)


# Guards against frames that nodes of earlier builds can't read, and against longer ones
# where no evacuation has been ordered.
def test_frames_begin_as_nodes_of_earlier_builds_know_them():
    async def scenario():
        async with running_fleet(zones="ab") as fleet:
            links = fleet.hosts[0].node.links
            sent = []
            connection = SimpleNamespace(send=sent.append, host="")

            def frames():
                sent.clear()
                notifications.send_hello(links, connection)
                news = notifications._build_news_frame(links, [], [])
                return sent[0], news

            hello, news = frames()
            # Earlier builds know the first twelve items, or fewer of them.
            assert (len(hello), len(news)) == (13, 8)
            assert hello[10:] == [True, [], True]
            await put_row(fleet.store, "op", KEY, b"1")
            await wait_until(lambda: links.state.evacuations)
            hello_after, news_after = frames()
            assert (hello_after[:11], news_after[:8]) == (hello[:11], news)
            (evacuation,) = links.state.evacuations.values()
            encoded = [[["b", evacuation.number, True]]]
            assert hello_after[11:] == [*encoded, True]
            assert news_after[8:] == encoded

    asyncio.run(scenario())


def test_a_restored_store_without_the_row_does_not_end_an_evacuation():
    """Guards against calls to a zone before the operator has written its row again."""

    async def scenario():
        async with running_fleet(zones="ab") as fleet:
            fleet.store.era = 1
            await put_row(fleet.store, "op", "note", b"")
            states = [host.node.state for host in fleet.hosts]
            await wait_until(lambda: all(state.store_era == 1 for state in states))
            copy = copy_store(fleet.store)
            await put_row(fleet.store, "op", KEY, b"1")

            def evacuated():
                return {is_evacuated(state.evacuations, "b") for state in states}

            await wait_until(lambda: evacuated() == {True})
            await restore_store(fleet.store, copy)
            await put_row(fleet.store, "op", "note", b"again")
            await wait_until(lambda: all(state.store_era == 2 for state in states))
            await asyncio.sleep(SPREAD_S)
            assert evacuated() == {True}
            # The versions of the copy are lower than those of the lost row.
            await put_row(fleet.store, "op", KEY, b"1")
            await remove_row(fleet)
            await wait_until(lambda: evacuated() == {False})

    asyncio.run(scenario())
