"""Admission keeps its limits, and overload costs neither goodput nor interactive calls.

Time in these tests is a number that the test moves on.
"""

import heapq
import random

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.admission import (
    COLD_START_S,
    QUEUE_PER_SLOT,
    Admission,
    Granted,
    Queued,
    Refused,
    Ticket,
    UpstreamSlots,
    arrive,
    grant_waiting,
    limit_of,
    note_shed,
    note_work,
    release,
)
from agaterelay.core.membership import UpstreamInfo
from agaterelay.core.model import Priority

SLOTS = 12
WORK_S = 0.010
CAPACITY_PER_S = SLOTS / WORK_S
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
            arrive(admission, ticket(priority, now_s + amount_s), now_s)
        elif step == "wait":
            now_s += amount_s
        elif upstream.in_flight:
            if step == "shed":
                note_shed(upstream, now_s)
            release(upstream)
        granted, _ = grant_waiting(admission, now_s)
        assert all(item.deadline_s > now_s for item, _ in granted)
        limit = limit_of(upstream, now_s)
        assert upstream.in_flight <= max(limit, before)
        assert 1 <= limit <= min(slots, connections or slots)
        for queue in admission.queues.values():
            assert len(queue) <= QUEUE_PER_SLOT * slots


def test_the_queue_is_bounded_however_far_the_deadlines_are():
    admission = admission_of(2)
    decisions = [arrive(admission, ticket(deadline_s=1e6), WARM_S) for _ in range(50)]
    assert sum(isinstance(item, Granted) for item in decisions) == 2
    assert sum(isinstance(item, Queued) for item in decisions) == 2 * QUEUE_PER_SLOT


@given(st.lists(st.sampled_from(Priority), max_size=80))
def test_interactive_calls_go_first_and_never_give_way_to_bulk(priorities):
    admission = admission_of(1)
    upstream = upstream_of(admission)
    arrive(admission, ticket(), WARM_S)
    for priority in priorities:
        decision = arrive(admission, ticket(priority), WARM_S)
        if isinstance(decision, Queued) and decision.evicted is not None:
            assert decision.evicted.priority is Priority.BULK
            assert priority is Priority.INTERACTIVE
    order = []
    while True:
        release(upstream)
        granted, _ = grant_waiting(admission, WARM_S)
        if not granted:
            break
        order += [item.priority for item, _ in granted]
    assert order == sorted(order, key=list(Priority).index)


def overload(times, interactive_share, seconds=3.0, timeout_s=0.2):
    """Offer a multiple of the capacity; return what became of each call.

    Returns:
        A list of (priority, whether it was answered in time, seconds to a refusal).
    """
    draw = random.Random(1)
    admission = admission_of()
    events = []  # (time, number, kind, payload)
    number = 0
    now_s = WARM_S
    while now_s < WARM_S + seconds:
        now_s += draw.expovariate(times * CAPACITY_PER_S)
        interactive = draw.random() < interactive_share
        priority = Priority.INTERACTIVE if interactive else Priority.BULK
        item = ticket(priority, now_s + timeout_s)
        heapq.heappush(events, (now_s, number := number + 1, "arrive", (item, now_s)))
    born_s = {event[3][0]: event[0] for event in events}
    told = []

    def start(item, slot, at_s):
        nonlocal number
        taken_s = draw.expovariate(1 / WORK_S)
        number += 1
        heapq.heappush(events, (at_s + taken_s, number, "end", (item, slot, taken_s)))

    def refuse(item, at_s):
        told.append((item.priority, False, at_s - born_s[item]))

    while events:
        now_s, _, kind, payload = heapq.heappop(events)
        if kind == "arrive":
            decision = arrive(admission, payload[0], now_s)
            if isinstance(decision, Granted):
                start(payload[0], decision.slot, now_s)
            elif isinstance(decision, Refused):
                refuse(payload[0], now_s)
            elif decision.evicted is not None:
                refuse(decision.evicted, now_s)
            continue
        item, slot, taken_s = payload
        release(slot)
        note_work(admission, item, taken_s)
        told.append((item.priority, now_s <= item.deadline_s, 0.0))
        granted, late = grant_waiting(admission, now_s)
        for waiting, free in granted:
            start(waiting, free, now_s)
        for waiting in late:
            refuse(waiting, now_s)
    return told


@pytest.mark.parametrize("times", [1.5, 3.0, 10.0])
def test_goodput_stays_near_capacity_under_overload(times):
    told = overload(times, interactive_share=0.2)
    answered = sum(good for _, good, _ in told)
    assert answered >= 0.9 * CAPACITY_PER_S * 3.0


def test_refusals_leave_the_caller_most_of_its_time():
    told = overload(3.0, interactive_share=0.2)
    refused = sorted(wait_s for _, good, wait_s in told if not good)
    assert refused
    assert refused[len(refused) // 2] == 0.0
    assert refused[int(len(refused) * 0.99)] < 0.2


def test_interactive_calls_are_served_through_an_overload_of_bulk():
    told = overload(3.0, interactive_share=0.2)
    interactive = [good for kind, good, _ in told if kind is Priority.INTERACTIVE]
    assert sum(interactive) >= 0.98 * len(interactive)


def test_a_cold_upstream_starts_with_few_slots():
    admission = admission_of()
    limits = [limit_of(upstream_of(admission), now_s) for now_s in (0, 1, 2, WARM_S)]
    assert limits == sorted(limits)
    assert limits[0] == SLOTS // 4
    assert limits[-1] == SLOTS


def test_a_draining_upstream_takes_nothing_and_its_queue_is_refused():
    admission = admission_of(1)
    assert isinstance(arrive(admission, ticket(), WARM_S), Granted)
    waits = ticket()
    assert arrive(admission, waits, WARM_S) == Queued()
    upstream = upstream_of(admission)
    upstream.info = UpstreamInfo("cue-desk", "v1", "127.0.1.1:9000", 1, draining=True)
    assert isinstance(arrive(admission, ticket(), WARM_S), Refused)
    assert grant_waiting(admission, WARM_S) == ([], [waits])


def test_an_upstream_that_sheds_load_gets_less_and_then_more_again():
    admission = admission_of()
    upstream = upstream_of(admission)
    for _ in range(6):
        arrive(admission, ticket(), WARM_S)
    note_shed(upstream, WARM_S)
    assert limit_of(upstream, WARM_S) == 5
    assert limit_of(upstream, WARM_S + 60) == SLOTS


def test_a_call_that_cannot_be_done_in_time_is_refused_on_arrival():
    admission = admission_of(1)
    assert isinstance(arrive(admission, ticket(), WARM_S), Granted)
    note_work(admission, ticket(), 10.0)
    decision = arrive(admission, ticket(deadline_s=WARM_S + 0.5), WARM_S)
    assert isinstance(decision, Refused)
    assert isinstance(arrive(admission, ticket(deadline_s=1.0), WARM_S), Refused)
