"""The token bucket of a cold upstream, and calls that get a slot around its beginning."""

import random

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.cold_limit import (
    ColdState,
    apply_announced_cold,
    apply_new_start,
    apply_probed_cold,
    assume_cold,
    is_limited,
    update_cold_limit,
)
from agaterelay.core.rate_limit import MIN_RATE_PER_S
from agaterelay.core.slot_queue import (
    Granted,
    Queued,
    SlotQueue,
    Ticket,
    grant_free_slots,
    is_still_accepted,
    make_load_report,
    release_slot,
    release_unused_slot,
    request_slot,
    wait_for_rate_limit_s,
)

RATE_PER_S, EXCESS_RATIO, SLACK = 7.5, 1.5, 8.0
SLOTS = 9
RNG = random.Random(1)


def make_queue(rate_per_s=RATE_PER_S, slots=SLOTS, slack=SLACK):
    queue = SlotQueue(slots)
    update_cold_limit(queue.cold, rate_per_s, EXCESS_RATIO, slack, 0.0)
    return queue


def ticket():
    return Ticket(1, 1e6, 1e6)


def most_in_a_second(times):
    return max(
        (sum(began_s <= time_s < began_s + 1 for time_s in times) for began_s in times),
        default=0,
    )


def send_all(queue, from_s, until_s):
    """Ask for a slot each millisecond, and end each call at once; return the times."""
    times = []
    for step in range(int(from_s * 1000), int(until_s * 1000)):
        now_s = step / 1000
        wanted = ticket()
        answer = request_slot(queue, wanted, now_s, RNG)
        granted = [wanted] if answer == Granted() else grant_free_slots(queue, now_s)[0]
        for _ in granted:
            times.append(now_s)
            release_slot(queue)
    return times


# Guards against a bound that is exceeded in some second, and against an upstream that
# gets much less than it accepts.
@pytest.mark.parametrize("rate_per_s", [0.2, 1.0, 7.5, 40.0, 200.0])
@pytest.mark.parametrize("slack", [0.0, 8.0])
def test_a_cold_upstream_gets_its_rate_and_never_more_than_the_bound(rate_per_s, slack):
    queue = make_queue(rate_per_s, slack=slack)
    apply_announced_cold(queue.cold, 20.0, 0.0)
    times = send_all(queue, 0.0, 20.0)
    bound = EXCESS_RATIO * rate_per_s + slack
    # A limit that allows less than one call a second lets one through all the same.
    assert most_in_a_second(times) <= max(bound, 1)
    expected_per_s = max(min(rate_per_s, bound - 1), MIN_RATE_PER_S)
    assert len(times) >= 0.95 * 20 * expected_per_s - 1


# Guards against calls that waited while the upstream could not be reached, and are all
# sent when it is back.
def test_a_waiting_queue_is_released_one_by_one_when_the_upstream_comes_back():
    queue = make_queue()
    assume_cold(queue.cold, 0.0)
    waiting = [ticket() for _ in range(SLOTS)]
    for item in waiting:
        assert request_slot(queue, item, 0.01, RNG) == Queued()
    assert wait_for_rate_limit_s(queue, 0.01) == pytest.approx(1 / 7.5 - 0.01)
    assert len(grant_free_slots(queue, 60.0)[0]) == 2
    apply_announced_cold(queue.cold, 0.0, 61.0)
    assert len(grant_free_slots(queue, 61.0)[0]) == SLOTS - 2


# Guards against calls that have a slot, but have not been sent, when the upstream becomes
# cold: they would reach it together.
def test_calls_with_a_slot_are_counted_if_the_upstream_becomes_cold_before_they_are_sent():
    queue = make_queue()
    early = [ticket() for _ in range(SLOTS)]
    for item in early:
        assert request_slot(queue, item, 0.0, RNG) == Granted()
    apply_announced_cold(queue.cold, 3.0, 0.1)
    assert not any(is_still_accepted(queue, item, 0.1) for item in early)
    assert sum(is_still_accepted(queue, item, 0.5) for item in early) == 2
    for item in early[2:]:
        release_unused_slot(queue, item)
    assert len(grant_free_slots(queue, 0.5)[0]) == 0
    assert queue.cold.tokens < 1


# Guards against a limit that ends too early, by a health check from before the upstream
# was lost, or too late, after the upstream has corrected what it announced.
def test_what_the_upstream_says_ends_the_limit_if_it_was_said_later():
    cold = ColdState()
    update_cold_limit(cold, RATE_PER_S, EXCESS_RATIO, SLACK, 0.0)
    assume_cold(cold, 5.0)
    apply_probed_cold(cold, 0.0, 4.9, 5.1)
    assert is_limited(cold, 100.0)
    apply_probed_cold(cold, 2.0, 5.2, 5.3)
    assert is_limited(cold, 7.2) and not is_limited(cold, 7.4)
    apply_announced_cold(cold, 1e6, 8.0)
    apply_announced_cold(cold, 0.0, 9.0)
    assert not is_limited(cold, 9.0)
    apply_announced_cold(cold, 5.0, 10.0)
    apply_new_start(cold)
    assert not is_limited(cold, 10.0)


# Guards against outbound proxies that do not see the limit, and place calls there.
def test_the_load_report_shows_the_limit_only_while_the_upstream_is_cold():
    queue = make_queue()
    assert make_load_report(queue, 0.0).rate_limit_per_s == 0.0
    apply_announced_cold(queue.cold, 3.0, 0.0)
    report = make_load_report(queue, 0.0)
    assert (report.rate_limit_per_s, report.rate_wait_ms) == (7.5, 133)
    assert make_load_report(queue, 2.0).rate_wait_ms == -133
    assert make_load_report(queue, 3.0).rate_limit_per_s == 0.0


STEPS = st.lists(
    st.tuples(
        st.floats(0, 0.4),
        st.sampled_from(
            "call call call send send unsent end announce announce_0 lose new_start "
            "freeze lower raise".split()
        ),
    ),
    max_size=300,
)


# Guards against an order of events in which a second holds more calls than the bound.
@given(STEPS)
def test_in_no_order_of_events_does_a_cold_second_hold_more_than_the_bound(steps):
    queue = make_queue()
    now_s, times, running, granted = 0.0, [], 0, []
    for delay_s, step in steps:
        now_s += delay_s * (0.02 if step in ("call", "send") else 1)
        cold = queue.cold
        was_limited = is_limited(cold, now_s)
        if step == "call":
            item = ticket()
            if request_slot(queue, item, now_s, RNG) == Granted():
                granted.append(item)
        elif step == "send" and granted:
            if not is_still_accepted(queue, granted[0], now_s):
                release_unused_slot(queue, granted.pop(0))
            else:
                granted.pop(0)
                running += 1
                if was_limited:
                    times.append(now_s)
        elif step == "unsent" and granted:
            release_unused_slot(queue, granted.pop())
        elif step == "end" and running:
            running -= 1
            release_slot(queue)
        elif step == "announce":
            apply_announced_cold(cold, 1.0, now_s)
        elif step == "announce_0":
            apply_announced_cold(cold, 0.0, now_s)
        elif step == "lose":
            assume_cold(cold, now_s)
        elif step == "new_start":
            apply_new_start(cold)
        elif step == "freeze":
            now_s += 30.0
        elif step in ("lower", "raise"):
            rate_per_s = RATE_PER_S / (2 if step == "lower" else 1)
            update_cold_limit(cold, rate_per_s, EXCESS_RATIO, SLACK, now_s)
        granted += grant_free_slots(queue, now_s)[0]
    assert most_in_a_second(times) <= EXCESS_RATIO * RATE_PER_S + SLACK
