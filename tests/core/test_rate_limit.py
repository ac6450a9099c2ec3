"""The token bucket of an upstream's rate limit, and calls that wait for it."""

import random

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.placing import (
    LoadReport,
    RouteCosts,
    TargetLoad,
    expected_cost_ms,
    rate_wait_ms,
    record_load_report,
)
from agaterelay.core.rate_limit import (
    RateLimit,
    has_token,
    take_token,
    update_rate,
    wait_for_token_s,
)
from agaterelay.core.slot_queue import (
    RATE_LIMIT_REASON,
    Granted,
    Queued,
    Refused,
    SlotQueue,
    Ticket,
    grant_free_slots,
    release_slot,
    release_unused_slot,
    request_slot,
    wait_for_rate_limit_s,
)

RNG = random.Random(1)


def limit_of(rate_per_s, now_s=0.0):
    limit = RateLimit()
    update_rate(limit, rate_per_s, now_s, now_s)
    return limit


def send_all(limit, from_s, until_s):
    """Send a call whenever one is accepted; return the times."""
    times = []
    for step in range(int(from_s * 1000), int(until_s * 1000)):
        if has_token(limit, step / 1000):
            take_token(limit, step / 1000)
            times.append(step / 1000)
    return times


@pytest.mark.parametrize("rate_per_s", [0.0, 0.01, 0.3, 1.0, 2.5, 17.0, 100.0])
def test_no_window_holds_more_calls_than_the_users_allow(rate_per_s):
    times = send_all(limit_of(rate_per_s), 0.0, 20.0)
    for began_s in times:
        count = sum(began_s <= time_s < began_s + 4 for time_s in times)
        assert count <= 1.5 * 4 * rate_per_s + 5


def test_at_a_limit_of_zero_some_calls_are_sent_whose_answers_can_end_it():
    assert 5 <= len(send_all(limit_of(0.0), 0.0, 20.0)) <= 12


def test_an_idle_upstream_does_not_save_up_more_than_a_short_burst():
    limit = limit_of(20.0)
    assert len(send_all(limit, 60.0, 60.01)) <= 10


def test_a_lower_limit_applies_at_once_and_a_higher_one_only_from_a_later_call():
    limit = limit_of(10.0, now_s=1.0)
    assert update_rate(limit, 4.0, 0.5, 1.1)
    assert not update_rate(limit, 10.0, 1.05, 1.2)
    assert limit.rate_per_s == 4.0
    assert update_rate(limit, 8.0, 1.25, 1.3)
    assert limit.rate_per_s == 8.0


def test_only_an_answer_to_a_later_call_lifts_the_limit():
    limit = limit_of(10.0, now_s=1.0)
    assert not update_rate(limit, None, 0.9, 1.1)
    assert update_rate(limit, None, 1.05, 1.2)
    assert wait_for_token_s(limit, 100, 1.2) == 0


def test_a_limit_that_comes_again_starts_without_saved_calls():
    limit = limit_of(10.0)
    update_rate(limit, None, 5.0, 5.0)
    update_rate(limit, 10.0, 6.0, 6.0)
    assert not has_token(limit, 6.0)
    assert has_token(limit, 6.1)


@given(
    st.lists(
        st.tuples(
            st.floats(0, 1.0), st.sampled_from([None, 0.0, 1.0, 3.0, 9.0, "call"])
        ),
        max_size=200,
    )
)
def test_calls_never_exceed_the_highest_limit_that_was_in_force(steps):
    limit = limit_of(9.0)
    now_s, times = 0.0, []
    for delay_s, step in steps:
        now_s += delay_s
        if step == "call":
            if has_token(limit, now_s):
                take_token(limit, now_s)
                times.append(now_s)
        elif step is not None:
            update_rate(limit, step, now_s, now_s)
    for began_s in times:
        count = sum(began_s <= time_s < began_s + 4 for time_s in times)
        assert count <= 1.5 * 4 * 9 + 5


def ticket(rank=1, target_s=9.0, deadline_s=9.0):
    return Ticket(rank, target_s, deadline_s)


def test_a_call_waits_for_the_limit_only_as_long_as_its_target_allows():
    queue = SlotQueue(9, rate_limit=limit_of(2.0))
    assert request_slot(queue, ticket(target_s=1.0), 0.5, RNG) == Granted()
    assert request_slot(queue, ticket(target_s=2.0), 0.5, RNG) == Queued()
    answer = request_slot(queue, ticket(target_s=0.9), 0.5, RNG)
    assert isinstance(answer, Refused) and answer.reason == RATE_LIMIT_REASON
    assert 0.5 <= answer.retry_after_s <= 1.6
    assert queue.in_use == 1


def test_calls_that_wait_for_the_limit_are_sent_one_by_one_by_rank():
    queue = SlotQueue(9, rate_limit=limit_of(2.0))
    bulk, urgent = ticket(rank=2), ticket(rank=0)
    for item in (bulk, urgent):
        assert request_slot(queue, item, 0.0, RNG) == Queued()
    assert wait_for_rate_limit_s(queue, 0.0) == pytest.approx(0.5, abs=1e-3)
    assert grant_free_slots(queue, 0.3) == ([], [])
    assert grant_free_slots(queue, 0.5) == ([urgent], [])
    assert grant_free_slots(queue, 0.6) == ([], [])
    assert grant_free_slots(queue, 1.0) == ([bulk], [])
    assert wait_for_rate_limit_s(queue, 1.0) is None


def test_a_call_queued_for_a_slot_when_a_limit_comes_waits_for_it_too():
    queue = SlotQueue(1)
    assert request_slot(queue, ticket(), 0.0, RNG) == Granted()
    waiting = ticket()
    assert request_slot(queue, waiting, 0.0, RNG) == Queued()
    update_rate(queue.rate_limit, 2.0, 0.0, 0.1)
    release_slot(queue)
    assert grant_free_slots(queue, 0.2) == ([], [])
    update_rate(queue.rate_limit, None, 0.15, 0.3)
    assert grant_free_slots(queue, 0.3) == ([waiting], [])


def test_a_call_that_is_not_sent_after_all_leaves_its_token_to_the_next():
    queue = SlotQueue(9, rate_limit=limit_of(2.0))
    unused = ticket()
    assert request_slot(queue, unused, 0.5, RNG) == Granted()
    release_unused_slot(queue, unused)
    assert request_slot(queue, ticket(), 0.5, RNG) == Granted()
    release_slot(queue)
    assert request_slot(queue, ticket(), 0.5, RNG) == Queued()


def test_calls_turn_to_upstreams_with_room_and_back_after_a_while():
    limited = TargetLoad()
    report = LoadReport(0, 9, 100.0, 0.0, rate_limit_per_s=5.0, rate_wait_ms=-400.0)
    record_load_report(limited, report, 0.0)
    free, costs = TargetLoad(), RouteCosts(100.0)

    def limited_cost_ms(now_s=0.0):
        return expected_cost_ms(limited, 9, costs, True, now_s)

    free_cost_ms = expected_cost_ms(free, 9, costs, True, 0.0)
    assert limited_cost_ms() == free_cost_ms
    limited.sent = 2
    assert limited_cost_ms() == free_cost_ms
    limited.sent = 3
    assert rate_wait_ms(limited, 0.0) == 200
    assert limited_cost_ms() > free_cost_ms + 200
    assert limited_cost_ms(4.0) < free_cost_ms + 2
