"""Tests of the choice of versions, the trial share and the verdict on a trial."""

import random

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.evidence import Tally, add_calls
from agaterelay.core.model import MoveState
from agaterelay.core.trial import (
    MoveRecord,
    Order,
    choose_versions,
    find_regression_reason,
    judge,
    should_brake,
    trial_share,
)

ORDER = Order("desk", "v2", 16.0, 7)
PRESENT = {"v1": 1000, "v2": 5000}
RUNNING = MoveRecord("desk", "v2", 7, MoveState.STEPPING)
DONE = MoveRecord("desk", "v2", 7, MoveState.DONE)
REVERTED = MoveRecord("desk", "v2", 7, MoveState.REVERTED)


def tally(calls, failures=0, latency_ms=60.0):
    made = Tally()
    for number in range(calls):
        made = add_calls(made, number < failures, latency_ms)
    return made


def test_a_version_without_an_order_gets_no_calls():
    assert choose_versions("desk", PRESENT, {}, []) == ("v1", None)
    assert choose_versions("desk", {"v2": 1}, {}, []) == ("v2", None)


def test_an_ordered_version_is_on_trial_once_the_move_has_begun():
    orders = {"desk": ORDER}
    assert choose_versions("desk", PRESENT, orders, []) == ("v1", None)
    assert choose_versions("desk", PRESENT, orders, [RUNNING]) == ("v1", "v2")


def test_verdicts_hold_also_when_another_order_follows():
    orders = {"desk": ORDER}
    assert choose_versions("desk", PRESENT, orders, [DONE]) == ("v2", None)
    assert choose_versions("desk", PRESENT, orders, [REVERTED]) == ("v1", None)
    present = {**PRESENT, "v3": 9000}
    later = {"desk": Order("desk", "v3", 16.0, 9)}
    assert choose_versions("desk", present, later, [REVERTED]) == ("v1", None)
    assert choose_versions("desk", present, later, [DONE]) == ("v2", None)
    assert choose_versions("desk", {"v1": 1000}, orders, [DONE]) == ("v1", None)


@given(st.floats(0.01, 0.2), st.floats(4, 30))
def test_the_share_over_any_move_stays_inside_what_users_accept(allowed, length_s):
    steps = int(length_s * 50)
    mean = sum(trial_share(allowed, index / 50)[0] for index in range(steps)) / steps
    assert mean <= allowed


@pytest.mark.parametrize("calls_per_s", [60, 150, 560])
def test_bursts_fill_the_slots_of_one_upstream_also_with_few_calls(calls_per_s):
    service_time_s, slots = 0.145, 9
    in_burst = [
        index / 1000 for index in range(16_000) if trial_share(0.1, index / 1000)[1]
    ]
    share, _ = trial_share(0.1, in_burst[0])
    arriving = share * calls_per_s * min(service_time_s, 0.25)
    assert arriving >= 0.75 * slots
    early = [moment for moment in in_burst if moment < 0.62 * 14.45]
    assert len({int(moment) for moment in early}) >= 2


def test_failures_slowness_and_one_bad_route_are_found():
    old = {"read": tally(300, 2), "fire": tally(150, 0)}
    assert find_regression_reason(old, {"read": tally(40, 12), "fire": tally(20)})
    assert find_regression_reason(old, {"read": tally(40), "fire": tally(20, 8)})
    assert find_regression_reason(old, {"read": tally(40, latency_ms=480.0)})
    assert not find_regression_reason(old, {"read": tally(40), "fire": tally(20)})


def test_errors_common_to_both_versions_are_no_regression():
    old = {"read": tally(300, 120)}
    assert not find_regression_reason(old, {"read": tally(40, 17)})


def test_a_good_version_is_completed_in_time_and_a_bad_one_at_once():
    old, new = {"read": tally(600)}, {"read": tally(80)}
    no_recent_calls = ({}, {})
    assert judge(ORDER, old, new, no_recent_calls, 2.0) is None
    verdict = judge(ORDER, old, new, no_recent_calls, 11.0)
    assert verdict.state is MoveState.DONE
    bad = {"read": tally(20, 10)}
    assert judge(ORDER, old, bad, no_recent_calls, 1.0).state is MoveState.REVERTED


def test_a_version_with_too_few_calls_is_reverted_at_the_end():
    old, new = {"read": tally(600)}, {"read": tally(5)}
    assert judge(ORDER, old, new, ({}, {}), 11.0) is None
    assert judge(ORDER, old, new, ({}, {}), 14.0).state is MoveState.REVERTED


def test_a_late_fault_is_found_behind_many_good_calls():
    old, new = {"read": tally(3000)}, {"read": tally(400, 12)}
    recent = ({"read": tally(400)}, {"read": tally(30, 12)})
    assert judge(ORDER, old, new, recent, 9.0).state is MoveState.REVERTED


def test_a_node_brakes_on_its_own_calls():
    assert should_brake(10, 6)
    assert not should_brake(100, 6)
    assert not should_brake(3, 3)


def test_good_versions_are_rarely_reverted():
    draw = random.Random(7)
    wrong = 0
    for _ in range(200):
        failures = [sum(draw.random() < 0.02 for _ in range(n)) for n in (600, 60)]
        old, new = {"read": tally(600, failures[0])}, {"read": tally(60, failures[1])}
        wrong += find_regression_reason(old, new) is not None
    assert wrong <= 2
