"""Tests of concurrent stepping nodes, stale views, operators and document edits."""

import itertools
from datetime import UTC, datetime, timedelta

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.commit import Accepted, plan_move_update, plan_take_back
from agaterelay.core.lifecycle import is_allowed
from agaterelay.core.model import (
    FINAL_MOVE_STATES,
    Manifest,
    MoveProgress,
    MoveState,
    Place,
    Section,
    Snapshot,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
BEGUN = MoveProgress(
    "cue-v2", "cue-desk", "v1", "v2", START + timedelta(seconds=600), START
)


def snapshot_of(manifest):
    return Snapshot(
        manifest,
        f"digest {manifest.revision}",
        sections=(Section("cue-desk", "admin", Place("t"), ""),),
        progress={item.name: item for item in manifest.moves},
    )


# Each turn: which stepping node acts, whether it first reads the newest revision, the
# state and share that it decides, and whether an operator reverts the move instead.
turns = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.booleans(),
        st.sampled_from([*MoveState, MoveState.STEPPING, MoveState.STEPPING]),
        st.integers(0, 1000),
        st.sampled_from([False] * 9 + [True]),
    ),
    max_size=40,
)


def decide(base, state, share):
    return attrs.evolve(
        base, state=state, share_permille=share, step=base.step + 1, reason="decided"
    )


@given(turns)
@settings(max_examples=300)
def test_stale_steppers_change_nothing_and_the_end_is_final(turns):
    head = snapshot_of(Manifest(1, START, moves=(BEGUN,)))
    views = [BEGUN, BEGUN, BEGUN]
    committed = [BEGUN]
    for number, (node, reads, state, share, operator) in enumerate(turns):
        if reads:
            views[node] = head.progress["cue-v2"]
        if operator:
            decision = plan_take_back(head, "cue-v2", "operator", f"o{number}", START)
        else:
            base = views[node]
            following = decide(base, state, share)
            change_id = f"s{number}"
            decision = plan_move_update(head, base, following, change_id, START)
            stale = base != head.progress["cue-v2"]
            if stale or not is_allowed(base.state, state):
                assert decision is None
        if isinstance(decision, Accepted):
            assert decision.manifest.revision == head.revision + 1
            head = snapshot_of(decision.manifest)
            committed.append(head.progress["cue-v2"])
    for before, after in itertools.pairwise(committed):
        assert before.state not in FINAL_MOVE_STATES
        assert after.step == before.step + 1
        assert is_allowed(before.state, after.state)


def test_a_paused_stepping_node_does_not_undo_a_take_back():
    stepping = attrs.evolve(BEGUN, state=MoveState.STEPPING, share_permille=160, step=4)
    head = snapshot_of(Manifest(7, START, moves=(stepping,)))
    stale_step = decide(stepping, MoveState.STEPPING, 320)
    taken = plan_take_back(head, "cue-v2", "bad", "t", START)
    head = snapshot_of(taken.manifest)
    assert plan_move_update(head, stepping, stale_step, "late", START) is None
    assert head.progress["cue-v2"].state is MoveState.REVERTED


def test_a_repeated_commit_is_recognized_after_a_lost_answer():
    head = snapshot_of(Manifest(1, START, moves=(BEGUN,)))
    following = decide(BEGUN, MoveState.STEPPING, 10)
    first = plan_move_update(head, BEGUN, following, "same", START)
    head = snapshot_of(first.manifest)
    again = plan_move_update(head, BEGUN, following, "same", START)
    assert again.record == first.record
    assert not isinstance(again, Accepted)


def test_a_step_of_a_removed_move_has_no_effect():
    head = snapshot_of(Manifest(1, START))
    following = decide(BEGUN, MoveState.STEPPING, 10)
    assert plan_move_update(head, BEGUN, following, "gone", START) is None
    assert plan_take_back(head, "cue-v2", "operator", "gone too", START) is None
