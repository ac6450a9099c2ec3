"""The windows of a ledger against a plain sum over all calls."""

from hypothesis import given, strategies as st

from agaterelay.core.evidence import (
    LAST_WINDOW_S,
    MEDIUM_WINDOW_S,
    SHORT_WINDOW_S,
    Ledger,
    Window,
    add_windows,
    begin_step,
    calls_of,
    freeze,
    note_calls,
    note_failure,
    report_of,
    windows_of,
)

KEYS = [("fire", "v1"), ("fire", "v2"), ("script", "v2")]
# Seconds since the call before, the kind of call, whether it failed, and whether the
# move took a step before it.
calls = st.lists(
    st.tuples(st.integers(0, 9), st.sampled_from(KEYS), st.booleans(), st.booleans()),
    max_size=60,
)


def replay(calls):
    ledger = Ledger("trial", "v2", 0.0)
    told = []
    at_s, step = 0, 0
    for pause_s, key, failed, stepped in calls:
        at_s += pause_s
        if stepped:
            step += 1
            begin_step(ledger, step)
        note_calls(ledger, key, failed, 7.0, at_s)
        told.append((at_s, step, key, failed))
    return ledger, told, at_s, step


@given(calls)
def test_windows_neither_lose_nor_double_a_call(calls):
    ledger, told, now_s, step = replay(calls)
    windows = windows_of(ledger, now_s)
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
                for at_s, number, kind, failed in told
                if kind == key and within(at_s, number)
            ]
            tally = windows[window].get(key)
            found = (tally.calls, tally.failures) if tally else (0, 0)
            assert found == (len(failures), sum(failures)), (window, key)


@given(calls, calls)
def test_a_restarted_owner_drops_its_past_for_both_versions(before, after):
    lost, *_ = replay(before)
    begun, told, now_s, _ = replay(after)
    total = add_windows([windows_of(begun, now_s)])
    assert calls_of(total[Window.TRIAL]) == len(told)
    both = add_windows([windows_of(lost, now_s), windows_of(begun, now_s)])
    assert calls_of(both[Window.TRIAL]) == len(told) + len(before)


@given(calls, calls)
def test_what_a_brake_saw_is_not_diluted(before, after):
    ledger, _, at_s, _ = replay(before)
    freeze(ledger, at_s)
    seen = report_of(ledger, at_s)
    for pause_s, key, _, _ in after:
        at_s += pause_s
        note_calls(ledger, key, False, 7.0, at_s)
    assert report_of(ledger, at_s).windows == seen.windows
    assert report_of(ledger, at_s).recent == seen.recent


def test_the_first_failure_is_that_of_the_present_trouble():
    ledger = Ledger("trial", "v2", 0.0)
    note_failure(ledger, 3.0, 3_000)
    note_failure(ledger, 60.0, 60_000)
    note_failure(ledger, 70.0, 70_000)
    assert ledger.first_failure_ms == 60_000
