"""A move has one verdict, whoever carries it out and whatever the store loses."""

import asyncio
import base64
import itertools
import json

import pytest

from agaterelay.core.model import MoveState
from agaterelay.core.trial import Verdict
from standins.instance import announce
from standins.store import put_row, row_value
from tests.mesh.fleet import add_host, admin_of, ask, running_fleet, sees_all, until

KEY = "rollout/desk"
PATIENCE_S = 20.0
DURATION = "4s"
FINAL = {"completed", "rolled_back"}


def states_told(fleet):
    """Return what the operator could read of the move, in order, repeats left out."""
    values = [
        row["value"]
        for row in fleet.store.log
        if row["table"] == "status" and row["key"] == KEY
    ]
    return list(dict.fromkeys(values))


def state_now(fleet):
    value = row_value(fleet.store, "status", KEY)
    return json.loads(value)["state"] if value else None


async def keep_asking(fleet):
    while True:
        for host in fleet.hosts:
            await ask(fleet, host)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("lost", [False, True], ids=["answers", "answers-lost"])
@pytest.mark.parametrize(
    ("fault", "wanted", "state"),
    [("", "completed", MoveState.DONE), ("error", "rolled_back", MoveState.REVERTED)],
    ids=["good", "bad"],
)
def test_all_nodes_that_carry_out_a_move_agree(monkeypatch, lost, fault, wanted, state):
    """All three take the turn, as hosts that do not see each other may."""
    monkeypatch.setattr("agaterelay.mesh.mover.is_turn", lambda mover, order: True)
    # A busy machine has few calls in so short a move; how many a verdict needs is tested
    # in tests/core/test_trial.py.
    monkeypatch.setattr("agaterelay.core.trial.MIN_VERDICT_CALLS", 1)
    monkeypatch.setattr("agaterelay.core.trial.MIN_ROUTE_CALLS", 0)

    async def play():
        async with running_fleet(("desk", "desk")) as fleet:
            late = await add_host(fleet, "desk", version="v2")
            await announce(late.instance, admin_of(late))
            late.instance.fault = fault
            await until(lambda: all(sees_all(fleet, host) for host in fleet.hosts))
            asking = asyncio.create_task(keep_asking(fleet))
            fleet.store.faults.lose_answers = lost
            order = {"service": "desk", "to": "v2", "duration": DURATION}
            await put_row(fleet.store, "op", KEY, json.dumps(order).encode())
            await until(lambda: state_now(fleet) in FINAL, PATIENCE_S)
            await until(
                lambda: all(
                    [record.state for record in host.node.state.moves.values()]
                    == [state]
                    for host in fleet.hosts
                ),
                PATIENCE_S,
            )
            # Whoever comes late with another opinion changes nothing any more.
            await asyncio.sleep(1.5)
            asking.cancel()
            assert state_now(fleet) == wanted
            told = [
                json.loads(base64.b64decode(value))["state"]
                for value in states_told(fleet)
            ]
            assert [item for item in told if item in FINAL] == [wanted]
            assert told[-1] == wanted

    asyncio.run(play())


@pytest.mark.parametrize("lost", [False, True], ids=["answers", "answers-lost"])
def test_of_two_opinions_the_one_that_was_written_first_holds(monkeypatch, lost):
    opinions = itertools.count()

    def judge(*evidence):
        first = next(opinions) == 0
        return Verdict(MoveState.DONE if first else MoveState.REVERTED, "an opinion")

    monkeypatch.setattr("agaterelay.mesh.mover.is_turn", lambda mover, order: True)
    monkeypatch.setattr("agaterelay.mesh.mover.judge", judge)

    async def play():
        async with running_fleet(("desk", "desk")) as fleet:
            late = await add_host(fleet, "desk", version="v2")
            await announce(late.instance, admin_of(late))
            await until(lambda: all(sees_all(fleet, host) for host in fleet.hosts))
            fleet.store.faults.lose_answers = lost
            order = {"service": "desk", "to": "v2", "duration": DURATION}
            await put_row(fleet.store, "op", KEY, json.dumps(order).encode())
            await until(lambda: state_now(fleet) in FINAL, PATIENCE_S)
            written = state_now(fleet)
            await until(lambda: agreed(fleet) == {written}, PATIENCE_S)
            await asyncio.sleep(3.0)
            told = [json.loads(base64.b64decode(item)) for item in states_told(fleet)]
            finals = [item["state"] for item in told if item["state"] in FINAL]
            assert finals == [written]
            assert agreed(fleet) == {written}

    asyncio.run(play())


def agreed(fleet):
    """Return how the nodes hold that the move ended, in the operator's words."""
    words = {MoveState.DONE: "completed", MoveState.REVERTED: "rolled_back"}
    return {
        words.get(record.state)
        for host in fleet.hosts
        for record in host.node.state.moves.values()
    }
