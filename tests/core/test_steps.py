"""Tests of a move's steps over arbitrary evidence, brakes, slots and times."""

from datetime import UTC, datetime, timedelta

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.demand import BAKE_SHARE_PERMILLE, MIN_STEP_CALLS
from agaterelay.core.evidence import Report, Tally, Window
from agaterelay.core.lifecycle import is_allowed
from agaterelay.core.messages import Brake
from agaterelay.core.model import (
    FINAL_MOVE_STATES,
    Move,
    MoveProgress,
    MoveState,
    Place,
)
from agaterelay.core.steps import MoveView, next_progress, take_back
from agaterelay.core.verdict import (
    COMBINED_ALARM_P_VALUE,
    SUSPECT_P_VALUE,
    judge_reports,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
MOVE = Move("cue-v2", "cue-desk", "v1", "v2", Place("t"), finish_within_s=120, bake_s=9)
BEGUN = MoveProgress(
    "cue-v2", "cue-desk", "v1", "v2", START + timedelta(seconds=120), START
)


def tally(calls, failures=0):
    buckets = [0] * 13
    buckets[3] = calls
    return Tally(calls, failures, tuple(buckets))


def report(progress, new, new_bad, old, rate=20.0, old_bad=0, step=None):
    evidence = {("fire", "v1"): tally(old, old_bad)}
    if new:
        evidence["fire", "v2"] = tally(new, min(new_bad, new))
    return Report(
        trial=progress.trial,
        step=progress.step if step is None else step,
        windows=dict.fromkeys(Window, evidence),
        rate=rate,
    )


checks = st.lists(
    st.tuples(
        st.integers(0, 12),  # seconds since the previous check
        st.integers(0, 60),  # calls of the new version
        st.sampled_from([0, 0, 0, 1, 2, 30]),  # its failures
        st.integers(0, 300),  # calls of the old version
        st.sampled_from([False] * 6 + [True]),  # whether a node brakes
        st.sampled_from([0, 1, 60, 60, 60]),  # slots of the new version
        st.booleans(),  # whether all owners answered
    ),
    min_size=5,
    max_size=40,
)


def run_checks(checks):
    """Yield the time, view, progress and next progress of each check."""
    progress, now = BEGUN, START
    for pause_s, new, bad, old, braked, slots, complete in checks:
        now += timedelta(seconds=pause_s)
        if not progress.share_permille:
            new, braked = 0, False
        brakes = (Brake(progress.trial, "bad", 1),) if braked else ()
        reports = {"host": report(progress, new, bad, old)}
        view = MoveView(reports, complete, brakes, slots)
        following = next_progress(MOVE, progress, view, now)
        yield now, view, progress, following
        progress = following or progress


@given(checks)
@settings(max_examples=300)
def test_a_share_is_only_raised_on_good_evidence(checks):
    for now, view, progress, following in run_checks(checks):
        if following is None or following.share_permille <= progress.share_permille:
            continue
        regression = judge_reports(view.reports, "v1", "v2")
        assert not view.brakes
        assert regression is None or regression.p_value >= SUSPECT_P_VALUE
        assert view.new_slots
        if progress.state is MoveState.STEPPING:
            new = view.reports["host"].windows[Window.STEP]["fire", "v2"]
            assert new.calls >= MIN_STEP_CALLS
            assert following.share_permille <= 2 * progress.share_permille
            assert now > progress.stepped_at
        if progress.state is MoveState.WAITING:
            assert following.share_permille <= 100


@given(checks)
@settings(max_examples=300)
def test_states_follow_the_state_machine_and_final_states_stay(checks):
    ended = None
    for now, view, progress, following in run_checks(checks):
        if ended is not None:
            assert following is None
        if following is None:
            continue
        assert is_allowed(progress.state, following.state)
        if following.share_permille != progress.share_permille:
            assert following.step == progress.step + 1
        if following.state is MoveState.DONE:
            assert progress.state is MoveState.BAKING
            assert now - progress.stepped_at >= timedelta(seconds=MOVE.bake_s / 2)
            assert not view.brakes
        if following.state is MoveState.REVERTED:
            assert following.share_permille == 0
            assert following.reason
        if following.state in FINAL_MOVE_STATES:
            ended = following


@given(checks)
@settings(max_examples=200)
def test_strong_evidence_reverts_at_once_and_no_move_outlasts_its_deadline(checks):
    for now, view, progress, following in run_checks(checks):
        if progress.state in FINAL_MOVE_STATES:
            continue
        regression = judge_reports(view.reports, "v1", "v2")
        if regression is not None and regression.is_significant(COMBINED_ALARM_P_VALUE):
            assert following.state is MoveState.REVERTED
        elif now >= progress.finish_by and not view.brakes:
            assert following.state in FINAL_MOVE_STATES


def stepping(share, now, **changes):
    return attrs.evolve(
        BEGUN,
        state=MoveState.STEPPING,
        share_permille=share,
        stepped_at=now - timedelta(seconds=30),
        step=3,
        **changes,
    )


def test_a_false_brake_begins_a_new_trial_at_the_first_share():
    now = START + timedelta(seconds=60)
    progress = stepping(320, now)
    brake = Brake(progress.trial, "alarm", 1)
    view = MoveView({"host": report(progress, 500, 0, 500)}, True, (brake,), 60)
    following = next_progress(MOVE, progress, view, now)
    assert (following.state, following.share_permille) == (MoveState.STEPPING, 10)
    assert following.trial != progress.trial
    partial = attrs.evolve(view, is_complete=False)
    assert next_progress(MOVE, progress, partial, now) is None


def test_the_share_stays_within_the_slots_of_the_new_version():
    now = START + timedelta(seconds=60)
    progress = stepping(200, now)
    busy = Report(
        progress.trial,
        progress.step,
        {
            window: {("fire", "v1"): slow(3000), ("fire", "v2"): slow(2000)}
            for window in Window
        },
        rate=250.0,
        in_flight=19.0,
    )
    following = next_progress(MOVE, progress, MoveView({"h": busy}, new_slots=5), now)
    assert 200 < following.share_permille <= 1000 * 5 / 19
    crowded = stepping(800, now)
    busy = attrs.evolve(busy, step=crowded.step)
    lowered = next_progress(MOVE, crowded, MoveView({"h": busy}, new_slots=5), now)
    assert lowered.share_permille <= 1000 * 5 / 19
    assert lowered.state is MoveState.STEPPING


def slow(calls):
    buckets = [0] * 13
    buckets[6] = calls
    return Tally(calls, 0, tuple(buckets))


def test_evidence_of_an_earlier_step_does_not_pass_the_present_one():
    now = START + timedelta(seconds=60)
    progress = stepping(40, now)
    old = report(progress, 500, 0, 500, step=progress.step - 1)
    following = next_progress(MOVE, progress, MoveView({"h": old}, new_slots=60), now)
    assert following is None
    present = report(progress, 500, 0, 500)
    view = MoveView({"h": present}, new_slots=60)
    assert next_progress(MOVE, progress, view, now).share_permille == 80


def test_errors_common_to_both_versions_do_not_stop_a_move():
    now = START + timedelta(seconds=60)
    progress = stepping(320, now)
    both = report(progress, 300, 90, 600, old_bad=180)
    view = MoveView({"h": both}, new_slots=60)
    assert next_progress(MOVE, progress, view, now).share_permille == 640


def test_a_suspect_version_keeps_its_share():
    now = START + timedelta(seconds=60)
    progress = stepping(80, now)
    few = report(progress, 40, 3, 800, old_bad=2)
    regression = judge_reports({"h": few}, "v1", "v2")
    assert COMBINED_ALARM_P_VALUE < regression.p_value < SUSPECT_P_VALUE
    view = MoveView({"h": few}, new_slots=60)
    assert next_progress(MOVE, progress, view, now) is None


def test_a_deadline_that_cannot_be_met_is_reported_early():
    now = START + timedelta(seconds=20)
    few = report(BEGUN, 0, 0, 2, rate=0.1)
    following = next_progress(
        MOVE,
        attrs.evolve(BEGUN, finish_by=now + timedelta(seconds=60)),
        MoveView({"h": few}, new_slots=0),
        now,
    )
    assert following.late
    assert "no upstream of v2" not in BEGUN.late_reason
    assert following.late_reason == "no upstream of v2 takes work"
    assert following.state is MoveState.WAITING


def test_a_full_bake_is_needed_while_time_allows():
    now = START + timedelta(seconds=60)
    baking = attrs.evolve(
        stepping(BAKE_SHARE_PERMILLE, now),
        state=MoveState.BAKING,
        stepped_at=now - timedelta(seconds=8),
    )
    view = MoveView({"h": report(baking, 100, 0, 5)}, new_slots=60)
    assert next_progress(MOVE, baking, view, now) is None
    later = now + timedelta(seconds=1)
    assert next_progress(MOVE, baking, view, later).state is MoveState.DONE


def test_a_final_move_cannot_be_taken_back():
    done = attrs.evolve(BEGUN, state=MoveState.DONE)
    assert take_back(done, "an operator", START) is None
