"""Nodes go on with a store that came back from an older copy."""

import asyncio
import itertools
import json

import attrs
import pytest

from agaterelay.core.membership import Member
from agaterelay.core.model import MoveState
from agaterelay.core.store_era import order_number
from agaterelay.core.trial import MoveRecord, Order, Verdict
from agaterelay.mesh.member_rows import publish_own_member
from agaterelay.mesh.state import MeshState, apply_move, apply_order
from agaterelay.mesh.wire import decode_member, load_row
from agaterelay.ports import EraPassedError
from standins.instance import announce
from standins.store import copy_store, put_row, restore_store, row_value
from tests.mesh.fleet import (
    ROUTES,
    add_host,
    admin_address,
    config,
    is_converged,
    kill_node,
    restart_node,
    running_fleet,
    send_request,
    start_node,
    wait_until,
)
from tests.mesh.simulation import Simulation, put_config, run_simulated, start_host
from tests.mesh.test_moves import KEY, current_status

TIMEOUT_S = 15.0


def revisions(fleet):
    return {
        host.node.state.table.revision for host in fleet.hosts if host.node.state.table
    }


def stored_member(fleet, host):
    key = f"member/{host.deployment.link_address}"
    value = row_value(fleet.store, "agaterelay", key)
    return decode_member(load_row(value)) if value else None


def rows_are_current(fleet):
    return all(
        stored_member(fleet, host) == host.node.state.own for host in fleet.hosts
    )


async def hosts_with_era(fleet):
    fleet.store.era = 1
    await put_row(fleet.store, "op", "note", b"")
    await wait_until(
        lambda: all(host.node.state.store_era == 1 for host in fleet.hosts)
    )
    await wait_until(lambda: rows_are_current(fleet), TIMEOUT_S)


@pytest.mark.parametrize("restarts", [False, True], ids=["running", "restarted"])
@pytest.mark.parametrize("repeats", [0, 8], ids=["lower", "higher"])
def test_rows_and_changes_of_the_new_era_arrive(restarts, repeats):
    """Guards against positions, versions and rows of the old era that outlive it."""

    async def scenario():
        async with running_fleet() as fleet:
            await hosts_with_era(fleet)
            copy = copy_store(fleet.store)
            await put_row(fleet.store, "op", "config", config(5, ROUTES))
            late = await add_host(fleet, "desk")
            await announce(late.instance, admin_address(late))
            await wait_until(lambda: revisions(fleet) == {5})
            await wait_until(lambda: rows_are_current(fleet), TIMEOUT_S)
            # The position of the feeds may be below or above the version restored.
            if restarts:
                await kill_node(fleet.hosts[0])
            await restore_store(fleet.store, copy)
            for number in range(repeats):
                await put_row(fleet.store, "op", f"note{number}", b"")
            if restarts:
                await start_node(fleet.hosts[0])
                await announce(fleet.hosts[0].instance, admin_address(fleet.hosts[0]))
            await wait_until(lambda: rows_are_current(fleet), TIMEOUT_S)
            assert revisions(fleet) == {5}
            assert all(len(host.node.state.members) >= 2 for host in fleet.hosts)
            await put_row(fleet.store, "op", "config", config(6, ROUTES))
            await wait_until(lambda: revisions(fleet) == {6})
            assert (await send_request(fleet, late))[0] == 200

    asyncio.run(scenario())


def test_a_late_response_of_the_old_era_is_not_used():
    """Guards against a position of the old era that is taken up again."""

    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await hosts_with_era(fleet)
            copy = copy_store(fleet.store)
            for number in range(5):
                await put_row(fleet.store, "op", f"note{number}", b"")
            fleet.store.faults.late_answer_s = 1.0
            await asyncio.sleep(0.5)
            await restore_store(fleet.store, copy)
            fleet.store.faults.late_answer_s = 0.0
            await put_row(fleet.store, "op", "config", config(7, ROUTES))
            await wait_until(lambda: revisions(fleet) == {7}, TIMEOUT_S)
            await asyncio.sleep(1.2)
            assert fleet.hosts[0].node.state.store_era == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("copied", ["nothing", "running"])
@pytest.mark.parametrize("restarts", [False, True], ids=["running", "restarted"])
def test_a_lost_verdict_is_written_again(monkeypatch, copied, restarts):
    """Guards against a verdict that a copy undoes, and an order that runs twice."""
    verdicts = itertools.count()

    def judge(*evidence):
        if not allowed.is_set():
            return None
        return Verdict(MoveState.REVERTED, f"verdict {next(verdicts)}")

    monkeypatch.setattr("agaterelay.mesh.mover.judge", judge)
    allowed = asyncio.Event()
    order = json.dumps({"service": "desk", "to": "v2", "duration": "4s"}).encode()

    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            trial_host = await add_host(fleet, "desk", version="v2")
            await announce(trial_host.instance, admin_address(trial_host))
            await wait_until(
                lambda: all(is_converged(fleet, host) for host in fleet.hosts)
            )
            await hosts_with_era(fleet)
            copy = copy_store(fleet.store)
            for number in range(5):
                await put_row(fleet.store, "op", f"note{number}", b"")
            await put_row(fleet.store, "op", KEY, order)
            await wait_until(lambda: current_status(fleet) == "running", TIMEOUT_S)
            if copied == "running":
                copy = copy_store(fleet.store)
            allowed.set()
            await wait_until(lambda: current_status(fleet) == "rolled_back", TIMEOUT_S)
            await wait_until(
                lambda: all(
                    [record.is_final for record in host.node.state.moves.values()]
                    == [True]
                    for host in fleet.hosts
                ),
                TIMEOUT_S,
            )
            assert next(verdicts) == 1
            await restore_store(fleet.store, copy)
            if restarts:
                await restart_node(fleet.hosts[0])
            if copied == "nothing":
                await put_row(fleet.store, "op", KEY, order)
            await wait_until(lambda: current_status(fleet) == "rolled_back", TIMEOUT_S)
            await asyncio.sleep(3.0)
            assert current_status(fleet) == "rolled_back"
            assert {
                (record.state, record.reason)
                for host in fleet.hosts
                for record in host.node.state.moves.values()
            } == {(MoveState.REVERTED, "verdict 0")}

    asyncio.run(scenario())


def test_orders_across_eras(mesh_state):
    """Guards against lost, repeated and swallowed orders after a restore."""

    def order(version, era, to="v2"):
        return Order("desk", to, 4.0, order_number(era, version))

    def final(version, era):
        number = order_number(era, version)
        return MoveRecord("desk", "v2", number, MoveState.REVERTED, "bad")

    state = mesh_state
    assert apply_order(state, order(9, 1))
    assert apply_move(state, final(9, 1), 1.0)
    # Written again in the new era, with a lower version: the verdict stands.
    assert apply_order(state, order(4, 2))
    assert state.moves["desk", "v2"] == final(4, 2)
    # The copy's row of that order in a third era, then an order that is really new.
    assert not apply_order(state, order(4, 3))
    assert state.orders["desk"].number == order_number(2, 4)
    assert apply_order(state, order(7, 3))
    assert state.moves["desk", "v2"] == final(4, 2)
    # A copy's row of an order that a later one has replaced.
    assert apply_order(state, order(9, 3, to="v3"))
    assert not apply_order(state, order(7, 4))
    assert state.orders["desk"].to_version == "v3"
    # A host that restarted reads the copy's order and its record, in either sequence.
    running = MoveRecord("desk", "v3", order_number(4, 9), MoveState.STEPPING)
    apply_move(state, running, 2.0)
    assert state.moves["desk", "v3"].number == order_number(3, 9)


@pytest.fixture
def mesh_state():
    return MeshState(own=Member("10.0.0.1:1", "a", 1, 1))


def test_a_late_write_of_the_old_era_is_replaced():
    """Guards against a record of the old era that is applied late and stays."""

    async def scenario():
        async with running_fleet() as fleet:
            await hosts_with_era(fleet)
            copy = copy_store(fleet.store)
            host = fleet.hosts[0]
            fleet.store.faults.write_delay_s = 1.0
            await announce(host.instance, admin_address(host), "draining")
            await asyncio.sleep(0.3)
            await restore_store(fleet.store, copy)
            fleet.store.faults.write_delay_s = 0.0
            await wait_until(lambda: rows_are_current(fleet), TIMEOUT_S)
            await asyncio.sleep(2.0)
            assert rows_are_current(fleet)
            assert stored_member(fleet, host).upstreams[0].draining

    asyncio.run(scenario())


def test_standbys_write_their_rows_again():
    """Guards against lost rows of hosts that do not watch, and against their removal."""

    async def scenario():
        simulation = Simulation()
        rows = simulation.rows
        rows.era = 1
        await put_config(simulation)
        first = [await start_host(simulation, "a", number) for number in range(12)]
        await asyncio.sleep(8)
        assert sum(host.node.state.watching for host in first) < 12
        copy = rows.copy()
        for host in first[:6]:
            state = host.node.state
            state.own = attrs.evolve(state.own, sequence=state.own.sequence + 1)
            publish_own_member(host.node.watch)
        first += [await start_host(simulation, "a", number) for number in (20, 21)]
        await asyncio.sleep(8)
        rows.restore(copy)
        fewest = 99
        for _ in range(80):
            await asyncio.sleep(0.1)
            counts = [len(host.node.state.members) for host in first]
            fewest = min(fewest, *counts)
        assert fewest >= 13
        for host in first:
            own = host.node.state.own
            row = rows.held["agaterelay", f"member/{own.host}"]
            assert decode_member(load_row(row.value)) == own

    run_simulated(scenario)


def test_a_write_that_was_answered_late_is_done_again():
    """Guards against a lost row that counts as stored, since the old era confirmed it."""

    async def scenario():
        async with running_fleet() as fleet:
            await hosts_with_era(fleet)
            copy = copy_store(fleet.store)
            host = fleet.hosts[0]
            fleet.store.faults.late_answer_s = 1.0
            await announce(host.instance, admin_address(host), "draining")
            await wait_until(lambda: stored_member(fleet, host).upstreams[0].draining)
            fleet.store.faults.late_answer_s = 0.0
            await restore_store(fleet.store, copy)
            await put_row(fleet.store, "agaterelay", "note", b"")
            await put_row(fleet.store, "op", "note", b"")
            await asyncio.sleep(1.5)
            await wait_until(lambda: rows_are_current(fleet), TIMEOUT_S)
            assert stored_member(fleet, host).upstreams[0].draining
            await asyncio.sleep(1.0)
            assert rows_are_current(fleet)

    asyncio.run(scenario())


def test_a_response_of_a_past_era_is_refused():
    """Guards against an old state that is taken for news, and a header that is odd."""

    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            await hosts_with_era(fleet)
            store = fleet.hosts[0].store
            await restore_store(fleet.store, copy_store(fleet.store))
            await store.read_table("op")
            assert fleet.hosts[0].node.state.store_era == 2
            fleet.store.era = 1
            with pytest.raises(EraPassedError):
                await store.read_table("op")
            for odd in ("", "x", "-4", "9" * 12, "99999999", "\u00b2"):
                fleet.store.era = odd
                await store.read_table("op")
            fleet.store.era = None
            await store.read_table("op")
            assert fleet.hosts[0].node.state.store_era == 2

    asyncio.run(scenario())


def test_without_eras_no_call_is_added():
    """Guards against calls to the store that the header's absence should not cost."""

    async def scenario():
        async with running_fleet() as fleet:
            await wait_until(lambda: rows_are_current(fleet), TIMEOUT_S)
            await asyncio.sleep(1.5)
            calls_before = len(fleet.store.calls)
            await asyncio.sleep(3.0)
            state = fleet.hosts[0].node.state
            assert "/v1/rows-tx" not in fleet.store.calls[calls_before:]
            assert (state.store_era, state.store_restores) == (None, 0)
            assert not state.unwritten_moves

    asyncio.run(scenario())
