"""A move gets one verdict, whichever nodes carry it out and whatever answers are lost."""

import asyncio
import base64
import itertools
import json

import pytest

from agaterelay.core.model import MoveState
from agaterelay.core.trial import Verdict
from standins.instance import announce
from standins.store import put_row, row_value
from tests.mesh.fleet import (
    add_host,
    admin_address,
    is_converged,
    running_fleet,
    send_request,
    wait_until,
)

KEY = "rollout/desk"
MOVE_TIMEOUT_S = 20.0
DURATION = "4s"
FINAL = {"completed", "rolled_back"}


def status_values(fleet):
    """Return the distinct values of the move's status row, oldest first."""
    values = [
        row["value"]
        for row in fleet.store.log
        if row["table"] == "status" and row["key"] == KEY
    ]
    return list(dict.fromkeys(values))


def current_status(fleet):
    value = row_value(fleet.store, "status", KEY)
    return json.loads(value)["state"] if value else None


async def keep_calling(fleet):
    while True:
        for host in fleet.hosts:
            await send_request(fleet, host)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("lost", [False, True], ids=["answers", "answers-lost"])
@pytest.mark.parametrize(
    ("fault", "wanted", "state"),
    [("", "completed", MoveState.DONE), ("error", "rolled_back", MoveState.REVERTED)],
    ids=["good", "bad"],
)
def test_all_nodes_that_carry_out_a_move_agree(monkeypatch, lost, fault, wanted, state):
    """Guards against differing verdicts when hosts that cannot reach each other all act."""
    monkeypatch.setattr("agaterelay.mesh.mover.is_turn", lambda mover, order: True)
    # A busy machine makes few calls during so short a move. The number of calls that a
    # verdict needs is tested in tests/core/test_trial.py.
    monkeypatch.setattr("agaterelay.core.trial.MIN_VERDICT_CALLS", 1)
    monkeypatch.setattr("agaterelay.core.trial.MIN_ROUTE_CALLS", 0)

    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            trial_host = await add_host(fleet, "desk", version="v2")
            await announce(trial_host.instance, admin_address(trial_host))
            trial_host.instance.fault = fault
            await wait_until(
                lambda: all(is_converged(fleet, host) for host in fleet.hosts)
            )
            caller_task = asyncio.create_task(keep_calling(fleet))
            fleet.store.faults.lose_answers = lost
            order = {"service": "desk", "to": "v2", "duration": DURATION}
            await put_row(fleet.store, "op", KEY, json.dumps(order).encode())
            await wait_until(lambda: current_status(fleet) in FINAL, MOVE_TIMEOUT_S)
            await wait_until(
                lambda: all(
                    [record.state for record in host.node.state.moves.values()]
                    == [state]
                    for host in fleet.hosts
                ),
                MOVE_TIMEOUT_S,
            )
            # A later verdict of another node must not change the first one.
            await asyncio.sleep(1.5)
            caller_task.cancel()
            assert current_status(fleet) == wanted
            statuses = [
                json.loads(base64.b64decode(value))["state"]
                for value in status_values(fleet)
            ]
            assert [item for item in statuses if item in FINAL] == [wanted]
            assert statuses[-1] == wanted

    asyncio.run(scenario())


@pytest.mark.parametrize("lost", [False, True], ids=["answers", "answers-lost"])
def test_of_two_verdicts_the_one_that_was_written_first_is_kept(monkeypatch, lost):
    verdict_numbers = itertools.count()

    def judge(*evidence):
        first = next(verdict_numbers) == 0
        return Verdict(MoveState.DONE if first else MoveState.REVERTED, "a verdict")

    monkeypatch.setattr("agaterelay.mesh.mover.is_turn", lambda mover, order: True)
    monkeypatch.setattr("agaterelay.mesh.mover.judge", judge)

    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            trial_host = await add_host(fleet, "desk", version="v2")
            await announce(trial_host.instance, admin_address(trial_host))
            await wait_until(
                lambda: all(is_converged(fleet, host) for host in fleet.hosts)
            )
            fleet.store.faults.lose_answers = lost
            order = {"service": "desk", "to": "v2", "duration": DURATION}
            await put_row(fleet.store, "op", KEY, json.dumps(order).encode())
            await wait_until(lambda: current_status(fleet) in FINAL, MOVE_TIMEOUT_S)
            written = current_status(fleet)
            await wait_until(
                lambda: held_final_states(fleet) == {written}, MOVE_TIMEOUT_S
            )
            await asyncio.sleep(3.0)
            statuses = [
                json.loads(base64.b64decode(item)) for item in status_values(fleet)
            ]
            finals = [item["state"] for item in statuses if item["state"] in FINAL]
            assert finals == [written]
            assert held_final_states(fleet) == {written}

    asyncio.run(scenario())


def held_final_states(fleet):
    """Return the final states of the move that the nodes hold, as the operator reads it."""
    operator_states = {MoveState.DONE: "completed", MoveState.REVERTED: "rolled_back"}
    return {
        operator_states.get(record.state)
        for host in fleet.hosts
        for record in host.node.state.moves.values()
    }
