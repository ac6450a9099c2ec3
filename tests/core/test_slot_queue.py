"""Slots, queue and refusals of one upstream."""

import random

from hypothesis import given, strategies as st

from agaterelay.core.slot_queue import (
    Granted,
    Queued,
    Refused,
    SlotQueue,
    Ticket,
    ask,
    failing_share,
    grant_waiting,
    leave,
    longest_wait_s,
    make_ticket,
    note_end,
    note_shed,
    note_work,
    release,
)

DRAW = random.Random(1)


def ticket(rank=1, target_s=1.0, deadline_s=2.0, **changes):
    return Ticket(rank, target_s, deadline_s, **changes)


def full_queue(slots=2):
    queue = SlotQueue(slots)
    for _ in range(slots):
        assert ask(queue, ticket(), 0.0, DRAW) == Granted()
    return queue


def test_calls_wait_by_rank_then_by_who_can_be_in_time_then_by_target():
    queue = full_queue(1)
    names = {}
    for name, made in (
        ("late", ticket(late=True, target_s=0.1)),
        ("patient", ticket(target_s=1.5)),
        ("hurried", ticket(target_s=0.9)),
        ("first", ticket(rank=0, target_s=1.9)),
    ):
        names[id(made)] = name
        queue.waiting.append(made)
    queue.waiting.sort()
    order = []
    for _ in range(4):
        release(queue)
        granted, late = grant_waiting(queue, 0.0)
        assert not late
        order += [names[id(made)] for made in granted]
    assert order == ["first", "hurried", "patient", "late"]


def test_a_call_that_would_wait_past_its_use_is_refused_at_once():
    queue = full_queue(1)
    answer = ask(queue, ticket(target_s=0.03), 0.0, DRAW)
    assert isinstance(answer, Refused)
    assert 0.05 <= answer.retry_after_s <= 2
    assert not queue.waiting


def test_those_who_are_refused_together_come_back_apart():
    queue = full_queue(4)
    for _ in range(6):
        ask(queue, ticket(target_s=9, deadline_s=9), 0.0, DRAW)
    times = {ask(queue, ticket(target_s=0), 0.0, DRAW).retry_after_s for _ in range(20)}
    assert len(times) > 10


def test_a_full_queue_gives_the_place_of_the_last_to_a_higher_rank():
    queue = full_queue(1)
    waiting = [ticket(rank=2, target_s=9, deadline_s=9) for _ in range(2)]
    for made in waiting:
        assert ask(queue, made, 0.0, DRAW) == Queued()
    urgent = ask(queue, ticket(rank=0, target_s=9, deadline_s=9), 0.0, DRAW)
    assert isinstance(urgent, Queued) and urgent.evicted in waiting
    assert isinstance(ask(queue, ticket(rank=2, target_s=9), 0.0, DRAW), Refused)


def test_a_call_whose_deadline_came_too_near_is_not_run():
    queue = full_queue(1)
    made = ticket(target_s=0.5, deadline_s=0.5, needed_s=0.1)
    assert ask(queue, made, 0.0, DRAW) == Queued()
    release(queue)
    assert grant_waiting(queue, 0.49) == ([], [made])


def test_a_call_that_is_late_anyway_waits_for_next_to_nothing():
    queue = SlotQueue(1)
    for _ in range(50):
        note_work(queue, "slow", 0.5)
    late = make_ticket(queue, "slow", 1, 0.2, 2.0, 0.0)
    fresh = make_ticket(queue, "slow", 1, 1.5, 2.0, 0.0)
    assert late.late and not fresh.late
    assert longest_wait_s(late, 0.0) < 0.1 < longest_wait_s(fresh, 0.0)


def test_only_a_full_upstream_that_sheds_gets_fewer_calls():
    queue = SlotQueue(10, in_use=2)
    note_shed(queue, 0.0)
    assert ask(queue, ticket(), 0.01, DRAW) == Granted()
    queue.in_use = 10
    note_shed(queue, 1.0)
    queue.in_use = 9
    assert not isinstance(ask(queue, ticket(), 1.01, DRAW), Granted)
    assert isinstance(ask(queue, ticket(), 2.0, DRAW), Granted | Queued)


def test_failures_are_forgotten_with_time():
    queue = SlotQueue(1)
    for _ in range(40):
        note_end(queue, True, 0.0)
    assert failing_share(queue, 0.0) > 0.9
    assert failing_share(queue, 20.0) < 0.01


@given(st.lists(st.tuples(st.sampled_from("aarl"), st.integers(0, 3)), max_size=80))
def test_no_more_than_the_slots_are_ever_in_use(steps):
    queue = SlotQueue(3)
    now_s = 0.0
    for step, rank in steps:
        now_s += 0.01
        if step == "a":
            ask(queue, ticket(rank, now_s + 1, now_s + 2), now_s, DRAW)
        elif step == "r" and queue.in_use:
            release(queue)
            grant_waiting(queue, now_s)
        elif step == "l" and queue.waiting:
            leave(queue, queue.waiting[-1])
        assert 0 <= queue.in_use <= 3
        assert queue.waiting == sorted(queue.waiting)
