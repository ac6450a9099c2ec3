from datetime import UTC, datetime, timedelta

from hypothesis import given, settings, strategies as st

from agaterelay.core.timeline import (
    DEFAULT_MAX_EVENTS_PER_S,
    MAX_CLOCK_LEAD_US,
    MAX_RING_EVENTS,
    Event,
    EventsQuery,
    RateLimit,
    Stamp,
    Timeline,
    admit_event,
    merge_events,
    record,
    select_events,
    tick,
)

NOON = datetime(2026, 12, 4, 12, tzinfo=UTC)


def event(at, name, host="a", number=202, **fields):
    return Event(Stamp(at), host, number, name, fields)


EVENTS = [
    event(1, "revision_committed", number=204, revision=7, change="change-1"),
    event(2, "revision_activated", revision=6),
    event(3, "revision_staged", number=201, revision=7),
    event(4, "revision_activated", revision=8),
    event(5, "revision_activated", revision=9),
    event(6, "revision_committed", number=204, revision=9, change="cue-v2:8:done"),
    event(7, "move_finished", number=502, move="cue-v2"),
    event(8, "call_not_run", number=400, request_id="r-1"),
]


def stamps(**query):
    return [item.stamp.wall_us for item in select_events(EVENTS, EventsQuery(**query))]


def test_queries_select_what_belongs_together():
    assert stamps() == list(range(1, 9))
    assert stamps(change="change-1") == [1]
    assert stamps(change="change-1", revision=7) == [1, 3, 4]
    assert stamps(move="cue-v2") == [6, 7]
    assert stamps(request="r-1") == [8]
    assert stamps(number=204, after=Stamp(1)) == [6]
    assert stamps(most=2) == [7, 8]
    assert stamps(most=0) == []


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(-5, 5)),
        max_size=30,
    )
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_an_answer_is_never_merged_before_what_it_answers(messages):
    clocks_us = [0, 3, 50]
    timelines = [
        Timeline(
            f"host-{number}",
            lambda number=number: NOON + timedelta(microseconds=clocks_us[number]),
        )
        for number in range(3)
    ]
    cause_and_effect = []
    for sender, receiver, drift_us in messages:
        clocks_us[sender] += drift_us
        sent = record(timelines[sender], 1, "sent", {})
        tick(timelines[receiver], sent.stamp)
        received = record(timelines[receiver], 2, "received", {})
        cause_and_effect.append((sent, received))
    merged = merge_events(item for timeline in timelines for item in timeline.ring)
    assert len(merged) == 2 * len(messages)
    for sent, received in cause_and_effect:
        assert merged.index(sent) < merged.index(received)


def test_a_clock_far_ahead_is_not_followed():
    timeline = Timeline("host", lambda: NOON)
    now_us = int(NOON.timestamp() * 1_000_000)
    assert tick(timeline, Stamp(now_us + MAX_CLOCK_LEAD_US + 1)) == Stamp(now_us)
    assert tick(timeline, Stamp(now_us + 9)).wall_us == now_us + 9


def test_the_ring_and_frequent_events_are_bounded():
    timeline = Timeline("host", lambda: NOON)
    for _ in range(MAX_RING_EVENTS + 10):
        record(timeline, 1, "event", {})
    assert len(timeline.ring) == MAX_RING_EVENTS
    limit = RateLimit()
    suppressed_counts = [
        admit_event(limit, 5.0) for _ in range(DEFAULT_MAX_EVENTS_PER_S + 3)
    ]
    assert suppressed_counts == [0] * DEFAULT_MAX_EVENTS_PER_S + [None] * 3
    assert admit_event(limit, 6.0) == 3
    assert admit_event(limit, 6.1) == 0
