"""Tests of the comparison of a new version with the old one, route by route."""

import random
from math import comb

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.evidence import (
    Report,
    Tally,
    TrialTallies,
    Window,
    add_windows,
    begin_step,
    build_report,
    freeze_windows,
    record_calls,
    record_failure,
    sum_windows,
)
from agaterelay.core.verdict import (
    COMBINED_ALARM_P_VALUE,
    LOCAL_ALARM_P_VALUE,
    beta_binomial_tail,
    find_regression,
    judge_reports,
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
def test_the_tail_matches_the_beta_binomial_distribution(calls, data):
    count = data.draw(st.integers(1, calls))
    # With integer parameters the Beta function is a quotient of factorials.
    ones, twos = data.draw(st.integers(1, 5)), data.draw(st.integers(1, 5))

    def beta(left, right):
        return 1 / (left * comb(left + right - 1, left))

    exact = sum(
        comb(calls, seen) * beta(ones + seen, twos + calls - seen) / beta(ones, twos)
        for seen in range(count, calls + 1)
    )
    assert beta_binomial_tail(count, calls, ones, twos) == pytest.approx(
        exact, rel=1e-4
    )


@given(st.integers(1, 5000), st.integers(1, 5000), st.data())
def test_a_version_that_fails_no_more_than_the_old_one_is_not_suspected(
    new_calls, old_calls, data
):
    old_bad = data.draw(st.integers(0, old_calls))
    new_bad = data.draw(st.integers(0, new_calls * old_bad // old_calls))
    seen = windows(tally(new_calls, new_bad), tally(old_calls, old_bad))
    assert find_regression(seen, "v1", "v2") is None


@given(st.integers(16, 5000), st.integers(0, 5000))
def test_a_version_that_fails_every_call_is_braked_by_one_node(new_calls, old_calls):
    seen = windows(tally(new_calls, new_calls), tally(old_calls, 0))
    assert find_regression(seen, "v1", "v2").is_significant(LOCAL_ALARM_P_VALUE)


@given(st.integers(40, 5000), st.integers(40, 5000))
def test_a_slow_version_is_found_by_its_latencies_alone(new_calls, old_calls):
    seen = windows(tally(new_calls, 0, SLOW), tally(old_calls, 0, FAST))
    assert find_regression(seen, "v1", "v2").p_value < COMBINED_ALARM_P_VALUE
    quick = windows(tally(new_calls, 0, FAST), tally(old_calls, 0, SLOW))
    assert find_regression(quick, "v1", "v2") is None


def test_a_version_that_was_slow_only_earlier_shows_no_regression():
    seen = windows(tally(100, 0, SLOW), tally(100, 0, FAST))
    seen[Window.SHORT] = {("fire", "v2"): tally(20, 0, FAST)}
    assert find_regression(seen, "v1", "v2") is None


def test_late_failures_are_not_diluted_by_a_good_past():
    tallies = TrialTallies("trial", "v2", 0.0)
    for second in range(600):
        record_calls(tallies, ("fire", "v1"), False, 7.0, second, 2)
        record_calls(tallies, ("fire", "v2"), False, 7.0, second, 40)
    record_calls(tallies, ("fire", "v1"), False, 7.0, 600, 2)
    record_calls(tallies, ("fire", "v2"), True, 7.0, 600, 40)
    record_calls(tallies, ("fire", "v2"), True, 7.0, 601, 20)
    seen = sum_windows(tallies, 601)
    assert find_regression(seen, "v1", "v2").is_significant(LOCAL_ALARM_P_VALUE)
    total = {Window.STEP: seen[Window.TRIAL]}
    assert find_regression(total, "v1", "v2") is None


@pytest.mark.parametrize("rate", [0.02, 0.2, 0.6])
def test_false_alarms_over_all_looks_stay_rare(rate):
    """A hundred moves with a hundred checks each; the stated bound is 1 in 1,000."""
    draw = random.Random(f"false alarms {rate}")
    alarms = 0
    for _ in range(100):
        tallies = TrialTallies("trial", "v2", 0.0)
        for second in range(100):
            for version, calls in (("v1", 8), ("v2", 2)):
                failed = sum(draw.random() < rate for _ in range(calls))
                key = ("fire", version)
                record_calls(tallies, key, True, 7.0, second, failed)
                record_calls(tallies, key, False, 7.0, second, calls - failed)
            regression = find_regression(sum_windows(tallies, second), "v1", "v2")
            if regression is not None and regression.is_significant(
                COMBINED_ALARM_P_VALUE
            ):
                alarms += 1
                break
    assert alarms == 0


def host_report(bad_from_s, share, hosts=5, seed=1, fail_until_s=60):
    """Return a host's report on a minute of calls, without failures if ``None``."""
    draw = random.Random(seed)
    tallies = TrialTallies("trial", "v2", 0.0)
    for second in range(60):
        record_calls(tallies, ("fire", "v1"), False, 7.0, second, 10)
        if draw.random() < share:
            failed = bad_from_s is not None and bad_from_s <= second < fail_until_s
            record_calls(tallies, ("fire", "v2"), failed, 7.0, second)
            if failed:
                record_failure(tallies, second, second * 1000)
    freeze_windows(tallies, 59)
    return build_report(tallies, 59)


def test_one_hosts_trouble_is_no_verdict_on_the_version():
    reports = {str(n): host_report(None, 0.5, seed=n) for n in range(4)}
    reports["sick"] = host_report(45, 0.9)
    total = add_windows(report.windows for report in reports.values())
    assert find_regression(total, "v1", "v2").p_value < COMBINED_ALARM_P_VALUE
    assert judge_reports(reports, "v1", "v2") is None


@given(st.integers(30, 55))
def test_a_version_that_begins_to_fail_everywhere_is_not_one_hosts_failure(bad_from_s):
    reports = {str(n): host_report(bad_from_s, 0.9, seed=n) for n in range(5)}
    regression = judge_reports(reports, "v1", "v2")
    assert regression is not None
    assert regression.p_value < COMBINED_ALARM_P_VALUE


def test_without_reports_there_is_no_regression():
    assert judge_reports({}, "v1", "v2") is None
    assert judge_reports({"host": Report("trial")}, "v1", "v2") is None


def test_later_errors_of_both_versions_are_not_attributed_to_a_larger_share():
    tallies = TrialTallies("trial", "v2", 0.0)
    for second in range(40):
        share = 1 if second < 30 else 8
        begin_step(tallies, share)
        for version, calls in (("v1", 10 - share), ("v2", share)):
            failed = calls // 2 if second >= 30 else 0
            record_calls(tallies, ("fire", version), True, 7.0, second, failed)
            record_calls(tallies, ("fire", version), False, 7.0, second, calls - failed)
    assert find_regression(sum_windows(tallies, 39), "v1", "v2") is None
