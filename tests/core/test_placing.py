"""Placement of calls by load, speed, failures and availability zone."""

import random

from agaterelay.core.placing import (
    LoadReport,
    RouteCosts,
    TargetLoad,
    expected_cost_ms,
    record_answer,
    record_load_report,
    select_cheapest,
)
from agaterelay.core.retry_budget import (
    divide_slack,
    earn_retry_tokens,
    make_retry_budget,
    spend_retry_token,
)
from agaterelay.core.weighted_round_robin import choose_next, make_weighted_round_robin


def load(in_flight=0, slots=10, failing=0.0, slowness=1.0):
    target_load = TargetLoad(slowness=slowness)
    record_load_report(target_load, LoadReport(in_flight, slots, 60.0, failing), 0.0)
    return target_load


def cost(target_load, same_zone=True, now_s=0.0, answer_bytes=1000):
    return expected_cost_ms(
        target_load, 10, RouteCosts(60.0, answer_bytes), same_zone, now_s
    )


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


def test_reports_of_other_nodes_calls_decay():
    assert cost(load(14), now_s=5.0) < cost(load(14), now_s=0.0)


def test_speed_is_learned_against_the_others_on_the_same_route():
    short, long = RouteCosts(), RouteCosts()
    fast, slow = TargetLoad(), TargetLoad()
    for _ in range(200):
        record_answer(short, fast, 8.0, 100)
        record_answer(long, fast, 60.0, 100)
        record_answer(long, slow, 120.0, 100)
    assert 0.6 < fast.slowness < 1.1 < slow.slowness


def test_ties_are_broken_at_random():
    rng = random.Random(3)
    chosen = {select_cheapest("ab", lambda name: 1.0, rng) for _ in range(30)}
    assert chosen == {"a", "b"}
    assert select_cheapest([], lambda name: 1.0, rng) is None


def test_all_nodes_together_stay_inside_the_budget():
    budgets = [make_retry_budget(0.2) for _ in range(10)]
    for budget in budgets:
        divide_slack(budget, 60, 10)
    retries = 0
    for number in range(1000):
        budget = budgets[number % 10]
        earn_retry_tokens(budget, "desk")
        while spend_retry_token(budget, "desk"):
            retries += 1
    assert 0 < retries <= 0.2 * 1000 + 60


def test_a_node_that_has_just_started_has_no_slack_to_spend():
    budget = make_retry_budget(0.2)
    earn_retry_tokens(budget, "desk")
    assert not spend_retry_token(budget, "desk")


def test_a_split_follows_its_weights_at_any_moment():
    split = make_weighted_round_robin([("a", 90), ("b", 10)], 37)
    for _ in range(20):
        parts = [choose_next(split) for _ in range(10)]
        assert parts.count("b") == 1
