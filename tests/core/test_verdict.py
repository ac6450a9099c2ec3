"""The comparison of a new version with the old one, route by route."""

import random
from math import comb

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.evidence import (
    Ledger,
    Report,
    Tally,
    Window,
    add_windows,
    begin_step,
    freeze,
    note_calls,
    note_failure,
    report_of,
    windows_of,
)
from agaterelay.core.verdict import (
    GATHERED_ALARM,
    LOCAL_ALARM,
    find_failure,
    judge_reports,
    tail_chance,
)

FAST, SLOW = 3, 8


def tally(calls, failures, bucket=FAST):
    buckets = [0] * 13
    buckets[bucket] = calls
    return Tally(calls, failures, tuple(buckets))


def windows(new, old, route="fire"):
    evidence = {(route, "v2"): new, (route, "v1"): old}
    return dict.fromkeys(Window, evidence)


@given(st.integers(1, 12), st.data())
def test_the_tail_is_that_of_a_beta_binomial(calls, data):
    count = data.draw(st.integers(1, calls))
    # With whole parameters the Beta integrals are sums of factorials.
    ones, twos = data.draw(st.integers(1, 5)), data.draw(st.integers(1, 5))

    def beta(left, right):
        return 1 / (left * comb(left + right - 1, left))

    exact = sum(
        comb(calls, seen) * beta(ones + seen, twos + calls - seen) / beta(ones, twos)
        for seen in range(count, calls + 1)
    )
    assert tail_chance(count, calls, ones, twos) == pytest.approx(exact, rel=1e-4)


@given(st.integers(1, 5000), st.integers(1, 5000), st.data())
def test_a_version_that_fails_no_more_than_the_old_one_is_not_suspected(
    new_calls, old_calls, data
):
    old_bad = data.draw(st.integers(0, old_calls))
    new_bad = data.draw(st.integers(0, new_calls * old_bad // old_calls))
    seen = windows(tally(new_calls, new_bad), tally(old_calls, old_bad))
    assert find_failure(seen, "v1", "v2") is None


@given(st.integers(16, 5000), st.integers(0, 5000))
def test_a_version_that_fails_every_call_is_braked_by_one_node(new_calls, old_calls):
    seen = windows(tally(new_calls, new_calls), tally(old_calls, 0))
    assert find_failure(seen, "v1", "v2").passes(LOCAL_ALARM)


@given(st.integers(40, 5000), st.integers(40, 5000))
def test_a_slow_version_is_found_by_its_latencies_alone(new_calls, old_calls):
    seen = windows(tally(new_calls, 0, SLOW), tally(old_calls, 0, FAST))
    assert find_failure(seen, "v1", "v2").chance < GATHERED_ALARM
    quick = windows(tally(new_calls, 0, FAST), tally(old_calls, 0, SLOW))
    assert find_failure(quick, "v1", "v2") is None


def test_a_past_slowness_is_no_reason():
    seen = windows(tally(100, 0, SLOW), tally(100, 0, FAST))
    seen[Window.SHORT] = {("fire", "v2"): tally(20, 0, FAST)}
    assert find_failure(seen, "v1", "v2") is None


def test_late_failures_are_not_diluted_by_a_good_past():
    ledger = Ledger("trial", "v2", 0.0)
    for second in range(600):
        note_calls(ledger, ("fire", "v1"), False, 7.0, second, 2)
        note_calls(ledger, ("fire", "v2"), False, 7.0, second, 40)
    note_calls(ledger, ("fire", "v1"), False, 7.0, 600, 2)
    note_calls(ledger, ("fire", "v2"), True, 7.0, 600, 40)
    note_calls(ledger, ("fire", "v2"), True, 7.0, 601, 20)
    seen = windows_of(ledger, 601)
    assert find_failure(seen, "v1", "v2").passes(LOCAL_ALARM)
    total = {Window.STEP: seen[Window.TRIAL]}
    assert find_failure(total, "v1", "v2") is None


@pytest.mark.parametrize("rate", [0.02, 0.2, 0.6])
def test_false_alarms_over_all_looks_stay_rare(rate):
    """A hundred moves with a hundred looks each; the stated cap is 1 in 1,000."""
    draw = random.Random(f"false alarms {rate}")
    alarms = 0
    for _ in range(100):
        ledger = Ledger("trial", "v2", 0.0)
        for second in range(100):
            for version, calls in (("v1", 8), ("v2", 2)):
                failed = sum(draw.random() < rate for _ in range(calls))
                key = ("fire", version)
                note_calls(ledger, key, True, 7.0, second, failed)
                note_calls(ledger, key, False, 7.0, second, calls - failed)
            suspicion = find_failure(windows_of(ledger, second), "v1", "v2")
            if suspicion is not None and suspicion.passes(GATHERED_ALARM):
                alarms += 1
                break
    assert alarms == 0


def host_report(bad_from_s, share, hosts=5, seed=1, fail_until_s=60):
    """Return one host's report after a minute of calls; ``None`` never fails."""
    draw = random.Random(seed)
    ledger = Ledger("trial", "v2", 0.0)
    for second in range(60):
        note_calls(ledger, ("fire", "v1"), False, 7.0, second, 10)
        if draw.random() < share:
            failed = bad_from_s is not None and bad_from_s <= second < fail_until_s
            note_calls(ledger, ("fire", "v2"), failed, 7.0, second)
            if failed:
                note_failure(ledger, second, second * 1000)
    freeze(ledger, 59)
    return report_of(ledger, 59)


def test_one_hosts_trouble_is_no_verdict_on_the_version():
    reports = {str(n): host_report(None, 0.5, seed=n) for n in range(4)}
    reports["sick"] = host_report(45, 0.9)
    total = add_windows(report.windows for report in reports.values())
    assert find_failure(total, "v1", "v2").chance < GATHERED_ALARM
    assert judge_reports(reports, "v1", "v2") is None


@given(st.integers(30, 55))
def test_a_version_that_begins_to_fail_everywhere_is_no_hosts_trouble(bad_from_s):
    reports = {str(n): host_report(bad_from_s, 0.9, seed=n) for n in range(5)}
    suspicion = judge_reports(reports, "v1", "v2")
    assert suspicion is not None
    assert suspicion.chance < GATHERED_ALARM


def test_no_report_is_no_evidence():
    assert judge_reports({}, "v1", "v2") is None
    assert judge_reports({"host": Report("trial")}, "v1", "v2") is None


def test_errors_of_a_later_time_are_not_those_of_a_larger_share():
    ledger = Ledger("trial", "v2", 0.0)
    for second in range(40):
        share = 1 if second < 30 else 8
        begin_step(ledger, share)
        for version, calls in (("v1", 10 - share), ("v2", share)):
            failed = calls // 2 if second >= 30 else 0
            note_calls(ledger, ("fire", version), True, 7.0, second, failed)
            note_calls(ledger, ("fire", version), False, 7.0, second, calls - failed)
    assert find_failure(windows_of(ledger, 39), "v1", "v2") is None
