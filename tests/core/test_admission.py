"""Admission keeps its limits; overload reduces neither goodput nor interactive calls.

The tests use simulated time.
"""

import heapq
import random

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.admission import (
    COLD_START_S,
    MAX_QUEUED_PER_SLOT,
    Admission,
    Granted,
    Queued,
    Refused,
    Ticket,
    UpstreamSlots,
    concurrency_limit,
    grant_free_slots,
    record_service_time,
    record_shed_call,
    release_slot,
    request_slot,
)
from agaterelay.core.membership import UpstreamInfo
from agaterelay.core.model import Priority

SLOTS = 12
SERVICE_TIME_S = 0.010
CAPACITY_PER_S = SLOTS / SERVICE_TIME_S
WARM_S = COLD_START_S


def admission_of(slots=SLOTS, **options):
    info = UpstreamInfo("cue-desk", "v1", "127.0.1.1:9000", slots, **options)
    return Admission({info.address: UpstreamSlots(info, 0.0)})


def ticket(priority=Priority.INTERACTIVE, deadline_s=100.0, service="cue-desk"):
    return Ticket(service, "v1", priority, deadline_s)


def upstream_of(admission):
    return next(iter(admission.slots.values()))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "bulk", "end", "shed", "wait"]),
        st.floats(0.001, 0.5),
    ),
    max_size=120,
)


@given(steps=STEPS, slots=st.integers(1, 5), connections=st.integers(0, 4))
def test_no_upstream_gets_more_than_its_limit(steps, slots, connections):
    admission = admission_of(slots, connections=connections)
    upstream = upstream_of(admission)
    now_s = WARM_S
    for step, amount_s in steps:
        before = upstream.in_flight
        if step in ("arrive", "bulk"):
            priority = Priority.BULK if step == "bulk" else Priority.INTERACTIVE
            request_slot(admission, ticket(priority, now_s + amount_s), now_s)
        elif step == "wait":
            now_s += amount_s
        elif upstream.in_flight:
            if step == "shed":
                record_shed_call(upstream, now_s)
            release_slot(upstream)
        granted, _ = grant_free_slots(admission, now_s)
        assert all(item.deadline_s > now_s for item, _ in granted)
        limit = concurrency_limit(upstream, now_s)
        assert upstream.in_flight <= max(limit, before)
        assert 1 <= limit <= min(slots, connections or slots)
        for queue in admission.queues.values():
            assert len(queue) <= MAX_QUEUED_PER_SLOT * slots


def test_the_queue_is_bounded_however_far_the_deadlines_are():
    admission = admission_of(2)
    decisions = [
        request_slot(admission, ticket(deadline_s=1e6), WARM_S) for _ in range(50)
    ]
    assert sum(isinstance(item, Granted) for item in decisions) == 2
    assert (
        sum(isinstance(item, Queued) for item in decisions) == 2 * MAX_QUEUED_PER_SLOT
    )


@given(st.lists(st.sampled_from(Priority), max_size=80))
def test_interactive_calls_go_first_and_are_never_evicted_for_bulk(priorities):
    admission = admission_of(1)
    upstream = upstream_of(admission)
    request_slot(admission, ticket(), WARM_S)
    for priority in priorities:
        decision = request_slot(admission, ticket(priority), WARM_S)
        if isinstance(decision, Queued) and decision.evicted is not None:
            assert decision.evicted.priority is Priority.BULK
            assert priority is Priority.INTERACTIVE
    order = []
    while True:
        release_slot(upstream)
        granted, _ = grant_free_slots(admission, WARM_S)
        if not granted:
            break
        order += [item.priority for item, _ in granted]
    assert order == sorted(order, key=list(Priority).index)


def overload(load_factor, interactive_share, seconds=3.0, timeout_s=0.2):
    """Offer a multiple of the capacity; return the outcome of each call.

    Returns:
        A list of (priority, whether it was answered in time, seconds until a refusal).
    """
    rng = random.Random(1)
    admission = admission_of()
    events = []  # (time, number, kind, payload)
    number = 0
    now_s = WARM_S
    while now_s < WARM_S + seconds:
        now_s += rng.expovariate(load_factor * CAPACITY_PER_S)
        interactive = rng.random() < interactive_share
        priority = Priority.INTERACTIVE if interactive else Priority.BULK
        item = ticket(priority, now_s + timeout_s)
        heapq.heappush(events, (now_s, number := number + 1, "arrive", (item, now_s)))
    arrived_s = {event[3][0]: event[0] for event in events}
    results = []

    def start(item, slot, at_s):
        nonlocal number
        service_time_s = rng.expovariate(1 / SERVICE_TIME_S)
        number += 1
        heapq.heappush(
            events, (at_s + service_time_s, number, "end", (item, slot, service_time_s))
        )

    def refuse(item, at_s):
        results.append((item.priority, False, at_s - arrived_s[item]))

    while events:
        now_s, _, kind, payload = heapq.heappop(events)
        if kind == "arrive":
            decision = request_slot(admission, payload[0], now_s)
            if isinstance(decision, Granted):
                start(payload[0], decision.slot, now_s)
            elif isinstance(decision, Refused):
                refuse(payload[0], now_s)
            elif decision.evicted is not None:
                refuse(decision.evicted, now_s)
            continue
        item, slot, service_time_s = payload
        release_slot(slot)
        record_service_time(admission, item, service_time_s)
        results.append((item.priority, now_s <= item.deadline_s, 0.0))
        granted, late = grant_free_slots(admission, now_s)
        for waiting, free in granted:
            start(waiting, free, now_s)
        for waiting in late:
            refuse(waiting, now_s)
    return results


@pytest.mark.parametrize("load_factor", [1.5, 3.0, 10.0])
def test_goodput_stays_near_capacity_under_overload(load_factor):
    results = overload(load_factor, interactive_share=0.2)
    answered = sum(good for _, good, _ in results)
    assert answered >= 0.9 * CAPACITY_PER_S * 3.0


def test_refusals_leave_the_caller_most_of_its_time():
    results = overload(3.0, interactive_share=0.2)
    refused = sorted(wait_s for _, good, wait_s in results if not good)
    assert refused
    assert refused[len(refused) // 2] == 0.0
    assert refused[int(len(refused) * 0.99)] < 0.2


def test_interactive_calls_are_served_through_an_overload_of_bulk():
    results = overload(3.0, interactive_share=0.2)
    interactive = [good for kind, good, _ in results if kind is Priority.INTERACTIVE]
    assert sum(interactive) >= 0.98 * len(interactive)


def test_a_cold_upstream_starts_with_few_slots():
    admission = admission_of()
    limits = [
        concurrency_limit(upstream_of(admission), now_s) for now_s in (0, 1, 2, WARM_S)
    ]
    assert limits == sorted(limits)
    assert limits[0] == SLOTS // 4
    assert limits[-1] == SLOTS


def test_a_draining_upstream_takes_nothing_and_its_queue_is_refused():
    admission = admission_of(1)
    assert isinstance(request_slot(admission, ticket(), WARM_S), Granted)
    waiting = ticket()
    assert request_slot(admission, waiting, WARM_S) == Queued()
    upstream = upstream_of(admission)
    upstream.info = UpstreamInfo("cue-desk", "v1", "127.0.1.1:9000", 1, draining=True)
    assert isinstance(request_slot(admission, ticket(), WARM_S), Refused)
    assert grant_free_slots(admission, WARM_S) == ([], [waiting])


def test_an_upstream_that_sheds_load_gets_less_and_then_more_again():
    admission = admission_of()
    upstream = upstream_of(admission)
    for _ in range(6):
        request_slot(admission, ticket(), WARM_S)
    record_shed_call(upstream, WARM_S)
    assert concurrency_limit(upstream, WARM_S) == 5
    assert concurrency_limit(upstream, WARM_S + 60) == SLOTS


def test_a_call_that_cannot_be_done_in_time_is_refused_on_arrival():
    admission = admission_of(1)
    assert isinstance(request_slot(admission, ticket(), WARM_S), Granted)
    record_service_time(admission, ticket(), 10.0)
    decision = request_slot(admission, ticket(deadline_s=WARM_S + 0.5), WARM_S)
    assert isinstance(decision, Refused)
    assert isinstance(request_slot(admission, ticket(deadline_s=1.0), WARM_S), Refused)
