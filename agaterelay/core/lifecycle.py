"""The state machine of a move."""

from __future__ import annotations

from enum import StrEnum

from transitions import Machine

from agaterelay.core.model import MoveState


class Trigger(StrEnum):
    """An event that moves the state machine to its next state."""

    BEGIN = "begin"
    RAISE = "raise_share"
    LOWER = "lower_share"
    FILL = "fill"
    CLEAR = "clear"
    UPDATE = "update"
    FINISH = "finish"
    TAKE_BACK = "take_back"


_OPEN = ["waiting", "stepping", "baking"]
_TRANSITIONS = [
    [Trigger.BEGIN, "waiting", "stepping"],
    [Trigger.RAISE, "stepping", "stepping"],
    [Trigger.FILL, "stepping", "baking"],
    [Trigger.LOWER, ["stepping", "baking"], "stepping"],
    [Trigger.CLEAR, ["stepping", "baking"], "stepping"],
    [Trigger.UPDATE, "waiting", "waiting"],
    [Trigger.UPDATE, "stepping", "stepping"],
    [Trigger.UPDATE, "baking", "baking"],
    [Trigger.FINISH, "baking", "done"],
    [Trigger.TAKE_BACK, _OPEN, "reverted"],
]

_machine = Machine(
    model=None,
    states=[str(state) for state in MoveState],
    transitions=[[str(trigger), *rest] for trigger, *rest in _TRANSITIONS],
    initial=str(MoveState.WAITING),
    auto_transitions=False,
)


def state_after(state: MoveState, trigger: Trigger) -> MoveState | None:
    """Return the state after a trigger, None if the trigger is not allowed."""
    transitions = _machine.get_transitions(str(trigger), source=str(state))
    return MoveState(transitions[0].dest) if transitions else None


def is_allowed(state: MoveState, following: MoveState) -> bool:
    """Return whether any trigger leads from one state to the other one."""
    return bool(_machine.get_transitions("", str(state), str(following)))
