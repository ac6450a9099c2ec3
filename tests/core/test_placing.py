"""Where a call is placed, by load, speed, failures and distance."""

import random

from agaterelay.core.placing import (
    LoadReport,
    RouteCosts,
    TargetLoad,
    cheapest,
    expected_ms,
    note_answer,
    note_report,
)
from agaterelay.core.retry_budget import budget_of, earn, share_slack, spend
from agaterelay.core.weighted import next_part, spread_from


def load(in_flight=0, slots=10, failing=0.0, slowness=1.0):
    made = TargetLoad(slowness=slowness)
    note_report(made, LoadReport(in_flight, slots, 60.0, failing), 0.0)
    return made


def cost(made, same_zone=True, now_s=0.0, answer_bytes=1000):
    return expected_ms(made, 10, RouteCosts(60.0, answer_bytes), same_zone, now_s)


def test_the_own_zone_comes_first_until_it_is_full():
    assert cost(load()) < cost(load(), same_zone=False)
    assert cost(load(3)) < cost(load(1), same_zone=False)
    assert cost(load(12)) > cost(load(2), same_zone=False)


def test_large_answers_stay_in_their_zone_longer_than_small_ones():
    busy, idle = load(8), load(0)
    assert cost(busy, answer_bytes=5000) < cost(idle, False, answer_bytes=5000)
    assert cost(busy, answer_bytes=100) > cost(idle, False, answer_bytes=100)


def test_a_free_slot_on_a_slower_upstream_beats_a_long_queue():
    assert cost(load(18)) > cost(load(2, slowness=1.8))


def test_upstreams_that_fail_are_left_until_the_rest_is_full():
    assert cost(load(failing=0.4)) > cost(load(14))


def test_reports_of_other_nodes_calls_fade():
    assert cost(load(14), now_s=5.0) < cost(load(14), now_s=0.0)


def test_speed_is_learned_against_the_others_on_the_same_route():
    short, long = RouteCosts(), RouteCosts()
    fast, slow = TargetLoad(), TargetLoad()
    for _ in range(200):
        note_answer(short, fast, 8.0, 100)
        note_answer(long, fast, 60.0, 100)
        note_answer(long, slow, 120.0, 100)
    assert 0.6 < fast.slowness < 1.1 < slow.slowness


def test_chance_decides_between_equals():
    draw = random.Random(3)
    chosen = {cheapest("ab", lambda name: 1.0, draw) for _ in range(30)}
    assert chosen == {"a", "b"}
    assert cheapest([], lambda name: 1.0, draw) is None


def test_all_nodes_together_stay_inside_the_budget():
    budgets = [budget_of(0.2) for _ in range(10)]
    for budget in budgets:
        share_slack(budget, 60, 10)
    sent = 0
    for number in range(1000):
        budget = budgets[number % 10]
        earn(budget, "desk")
        while spend(budget, "desk"):
            sent += 1
    assert 0 < sent <= 0.2 * 1000 + 60


def test_a_node_that_has_just_started_has_no_slack_to_spend():
    budget = budget_of(0.2)
    earn(budget, "desk")
    assert not spend(budget, "desk")


def test_a_split_follows_its_weights_at_any_moment():
    split = spread_from([("a", 90), ("b", 10)], 37)
    for _ in range(20):
        parts = [next_part(split) for _ in range(10)]
        assert parts.count("b") == 1
