"""Tests of the windows of a trial's tallies against plain sums over all calls."""

from hypothesis import given, strategies as st

from agaterelay.core.evidence import (
    LAST_WINDOW_S,
    MEDIUM_WINDOW_S,
    SHORT_WINDOW_S,
    TrialTallies,
    Window,
    add_windows,
    begin_step,
    build_report,
    count_calls,
    freeze_windows,
    record_calls,
    record_failure,
    sum_windows,
)

KEYS = [("fire", "v1"), ("fire", "v2"), ("script", "v2")]
# Seconds since the previous call, its route and version, whether it failed, and whether
# the move took a step before it.
calls = st.lists(
    st.tuples(st.integers(0, 9), st.sampled_from(KEYS), st.booleans(), st.booleans()),
    max_size=60,
)


def replay(calls):
    tallies = TrialTallies("trial", "v2", 0.0)
    recorded = []
    at_s, step = 0, 0
    for pause_s, key, failed, stepped in calls:
        at_s += pause_s
        if stepped:
            step += 1
            begin_step(tallies, step)
        record_calls(tallies, key, failed, 7.0, at_s)
        recorded.append((at_s, step, key, failed))
    return tallies, recorded, at_s, step


@given(calls)
def test_windows_neither_lose_nor_double_a_call(calls):
    tallies, recorded, now_s, step = replay(calls)
    windows = sum_windows(tallies, now_s)
    spans = {
        Window.LAST: lambda at_s, number: (
            number == step and at_s > now_s - LAST_WINDOW_S
        ),
        Window.SHORT: lambda at_s, number: (
            number == step and at_s > now_s - SHORT_WINDOW_S
        ),
        Window.MEDIUM: lambda at_s, number: (
            number == step and at_s > now_s - MEDIUM_WINDOW_S
        ),
        Window.STEP: lambda _, number: number == step,
        Window.TRIAL: lambda _, number: True,
    }
    for window, within in spans.items():
        for key in KEYS:
            failures = [
                failed
                for at_s, number, kind, failed in recorded
                if kind == key and within(at_s, number)
            ]
            tally = windows[window].get(key)
            found = (tally.calls, tally.failures) if tally else (0, 0)
            assert found == (len(failures), sum(failures)), (window, key)


@given(calls, calls)
def test_a_restarted_node_loses_the_tallies_of_both_versions(before, after):
    lost, *_ = replay(before)
    begun, recorded, now_s, _ = replay(after)
    total = add_windows([sum_windows(begun, now_s)])
    assert count_calls(total[Window.TRIAL]) == len(recorded)
    both = add_windows([sum_windows(lost, now_s), sum_windows(begun, now_s)])
    assert count_calls(both[Window.TRIAL]) == len(recorded) + len(before)


@given(calls, calls)
def test_what_a_brake_saw_is_not_diluted(before, after):
    tallies, _, at_s, _ = replay(before)
    freeze_windows(tallies, at_s)
    seen = build_report(tallies, at_s)
    for pause_s, key, _, _ in after:
        at_s += pause_s
        record_calls(tallies, key, False, 7.0, at_s)
    assert build_report(tallies, at_s).windows == seen.windows
    assert build_report(tallies, at_s).recent == seen.recent


def test_the_first_failure_is_that_of_the_current_period_of_failures():
    tallies = TrialTallies("trial", "v2", 0.0)
    record_failure(tallies, 3.0, 3_000)
    record_failure(tallies, 60.0, 60_000)
    record_failure(tallies, 70.0, 70_000)
    assert tallies.first_failure_ms == 60_000
