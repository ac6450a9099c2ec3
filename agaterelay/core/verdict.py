"""Compare a new version's call results with the old version's, route by route.

The p-value is the probability of at least as many failures if the new version failed
as often as the old one does in the same window. The old version's failure probability
is itself only estimated, so it is modelled as a Beta distribution and the tail is that
of the Beta-binomial distribution. The alarm thresholds are so low that the
false-positive rate, summed over all checks, windows and routes of a move, stays small.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, lgamma

import attrs

from agaterelay.core.evidence import (
    INTERVAL_S,
    LATENCY_BOUNDS_MS,
    Evidence,
    Report,
    Tally,
    Window,
    Windows,
    add_windows,
)

# p-values per check. With some hundred checks a move, the false-positive rate of a
# whole move stays below 1 in 1,000.
COMBINED_ALARM_P_VALUE = 1e-6
LOCAL_ALARM_P_VALUE = 1e-7
# With few calls of the old version in the window, an error common to both versions
# can't be distinguished from one of the new version, so the threshold is 1,000 times
# lower.
NO_BASELINE_FACTOR = 1e-3
MIN_BASELINE_CALLS = 20
# A brake is evidence by itself, so confirming it needs a less extreme p-value.
CONFIRMATION_P_VALUE = 1e-4
SUSPECT_P_VALUE = 0.001
# Fewer failures on one host alone are attributed to that host if other hosts served
# the version without failures.
MIN_SINGLE_HOST_FAILURES = 6
# p-value of the other hosts' results if they failed as often as the one host.
SINGLE_HOST_P_VALUE = 0.02
# Beta prior of the old version's failure probability, before any observed call.
PRIOR_FAILURES = 0.5
PRIOR_SUCCESSES = 20.0
MIN_FAILURES = 3
MIN_EXCESS_FAILURE_RATIO = 0.01
MIN_RATE_FACTOR = 2.0
MIN_SLOW_RATIO = 0.2
# A few slow calls in a row come more often from a pause of the host than from the
# version.
MIN_SLOW_CALLS = 10
MIN_BASELINE_LATENCIES = 20
# Larger samples are scaled down, which only makes the test more conservative.
MAX_TEST_CALLS = 4000
# Calls needed on other hosts before slowness is attributed to a single host.
MIN_OTHER_HOST_CALLS = 20


@attrs.frozen
class Regression:
    """Evidence that a version fails or is slow more often than the old one.

    ``p_value`` is the probability of such evidence against a version that is no worse.
    ``baseline_calls`` counts the calls of the old version in the comparison.
    """

    route: str
    reason: str
    p_value: float
    baseline_calls: int = 0

    def is_significant(self, alarm: float) -> bool:
        """Return whether the p-value is below an alarm threshold."""
        lacks_baseline = self.baseline_calls < MIN_BASELINE_CALLS
        return self.p_value < (alarm * NO_BASELINE_FACTOR if lacks_baseline else alarm)


def beta_binomial_tail(
    count: int, calls: int, failures: float, successes: float
) -> float:
    """Return the probability of at least ``count`` failures in ``calls`` calls.

    Args:
        count: The observed failures.
        calls: The observed calls.
        failures: The first parameter (alpha) of the Beta distribution of the failure
            probability.
        successes: The second parameter (beta).
    """
    if count <= 0:
        return 1.0
    term = exp(
        lgamma(calls + 1)
        - lgamma(count + 1)
        - lgamma(calls - count + 1)
        + lgamma(failures + count)
        + lgamma(successes + calls - count)
        - lgamma(failures + successes + calls)
        + lgamma(failures + successes)
        - lgamma(failures)
        - lgamma(successes)
    )
    total = term
    for seen in range(count, calls):
        odds = (calls - seen) / (seen + 1)
        term *= odds * (failures + seen) / (successes + calls - seen - 1)
        total += term
        if term < total * 1e-6:
            break
    return min(total, 1.0)


def compare_rates(
    new: tuple[int, int], old: tuple[int, int], min_excess: float
) -> float:
    """Return the p-value of the new version's rate against the old version's.

    Args:
        new: The new version's failures and calls.
        old: The old version's failures and calls in the same window.
        min_excess: The smallest difference of the rates that is relevant.

    Returns:
        The p-value; 1 if the difference is too small to be relevant.
    """
    new_bad, new_calls = _scale(*new)
    old_bad, old_calls = _scale(*old)
    if new_bad < MIN_FAILURES:
        return 1.0
    new_rate = new_bad / new_calls
    old_rate = old_bad / old_calls if old_calls else 0.0
    # Above one half, twice the old rate exceeds 1; the middle between the old rate and
    # 1 is the bound instead.
    floor = max(MIN_RATE_FACTOR * old_rate, old_rate + min_excess)
    if new_rate <= old_rate or new_rate < min(floor, (1 + old_rate) / 2):
        return 1.0
    failures = PRIOR_FAILURES + old_bad
    successes = PRIOR_SUCCESSES + old_calls - old_bad
    return beta_binomial_tail(new_bad, new_calls, failures, successes)


def _scale(bad: int, calls: int) -> tuple[int, int]:
    if calls <= MAX_TEST_CALLS:
        return bad, calls
    return bad * MAX_TEST_CALLS // calls, MAX_TEST_CALLS


def find_regression(
    windows: Windows, from_version: str, to_version: str
) -> Regression | None:
    """Return the regression with the lowest p-value, None if there is none."""
    found: list[Regression] = []
    for window, evidence in windows.items():
        if window is Window.TRIAL:
            continue
        for route, version in evidence:
            if version == to_version:
                found += _compare_failures(evidence, route, from_version, to_version)
                if window is Window.MEDIUM:
                    found += _compare_latencies(
                        windows, route, from_version, to_version
                    )
    return min(found, key=lambda item: item.p_value, default=None)


def _compare_failures(
    evidence: Evidence, route: str, from_version: str, to_version: str
) -> Iterable[Regression]:
    new = evidence[route, to_version]
    old = evidence.get((route, from_version), Tally())
    p_value = compare_rates(
        (new.failures, new.calls), (old.failures, old.calls), MIN_EXCESS_FAILURE_RATIO
    )
    if p_value < 1:
        yield Regression(
            route,
            f"route {route}: {new.failures} of {new.calls} calls failed, "
            f"{old.failures} of {old.calls} on {from_version}",
            p_value,
            old.calls,
        )


def _compare_latencies(
    windows: Windows, route: str, from_version: str, to_version: str
) -> Iterable[Regression]:
    """Compare the ratios of slow calls; recent calls must be slow as well."""
    old = _find_baseline(windows, route, from_version)
    bound = highest_normal_bucket(old)
    if bound is None:
        return
    new = windows[Window.MEDIUM][route, to_version]
    recent = windows.get(Window.SHORT, {}).get((route, to_version), Tally())
    slow, calls = count_slow_calls(new, bound)
    p_value = compare_rates((slow, calls), count_slow_calls(old, bound), MIN_SLOW_RATIO)
    recent_slow, recent_calls = count_slow_calls(recent, bound)
    if slow < MIN_SLOW_CALLS or recent_slow < MIN_SLOW_RATIO * recent_calls:
        return
    if p_value < 1:
        yield Regression(
            route,
            f"route {route}: {slow} of {calls} calls took longer than "
            f"{LATENCY_BOUNDS_MS[bound]} ms, {from_version} does not",
            p_value,
            sum(old.latency_buckets),
        )


def _find_baseline(windows: Windows, route: str, version: str) -> Tally:
    """Return the old version's calls in the shortest window that has enough of them."""
    tally = Tally()
    for window in (Window.MEDIUM, Window.STEP, Window.TRIAL):
        tally = windows.get(window, {}).get((route, version), Tally())
        if sum(tally.latency_buckets) >= MIN_BASELINE_LATENCIES:
            break
    return tally


def highest_normal_bucket(old: Tally) -> int | None:
    """Return the highest latency bucket that is not slow, None if it is unknown.

    It is the bucket above the one with the old version's 90th percentile.
    """
    measured = sum(old.latency_buckets)
    if measured < MIN_BASELINE_LATENCIES:
        return None
    total = 0
    for index, count in enumerate(old.latency_buckets):
        total += count
        if total >= 0.9 * measured:
            bound = index + 1
            return bound if bound < len(LATENCY_BOUNDS_MS) else None
    return None


def count_slow_calls(tally: Tally, bound: int) -> tuple[int, int]:
    """Return the numbers of slow calls and of all calls with a measured latency."""
    return sum(tally.latency_buckets[bound + 1 :]), sum(tally.latency_buckets)


def judge_reports(
    reports: dict[str, Report], from_version: str, to_version: str
) -> Regression | None:
    """Compare the versions on the reports of all nodes with upstreams of the service.

    Failures on a single host, while enough calls succeeded on others, are attributed
    to that host and not to the version.
    """
    combined = find_regression(
        add_windows(report.windows for report in reports.values()),
        from_version,
        to_version,
    )
    if combined is None:
        return None
    key = (combined.route, to_version)
    if any(
        _is_single_host_regression(host, reports, key, from_version) for host in reports
    ):
        return None
    return combined


def _is_single_host_regression(
    host: str, reports: dict[str, Report], key: tuple[str, str], from_version: str
) -> bool:
    """Return whether only this host shows the failures."""
    own = reports[host]
    others = add_windows(
        report.windows for other, report in reports.items() if other != host
    )
    rest = find_regression(others, from_version, key[1])
    if rest is not None and rest.p_value <= SUSPECT_P_VALUE:
        return False
    step_tally = own.windows.get(Window.STEP, {}).get(key, Tally())
    if not step_tally.failures:
        return others[Window.MEDIUM].get(key, Tally()).calls >= MIN_OTHER_HOST_CALLS
    own_failures, own_calls = _count_since_failure(own, own.failing_s, key[0])
    failures = calls = 0
    for other, report in reports.items():
        if other != host:
            more_failures, more_calls = _count_since_failure(
                report, own.failing_s, key[0]
            )
            failures += more_failures
            calls += more_calls
    successes = own_calls - own_failures
    if not failures and own_failures < MIN_SINGLE_HOST_FAILURES:
        return bool(others[Window.TRIAL].get(key, Tally()).calls)
    p_value = beta_binomial_tail(
        calls - failures, calls, successes + 0.5, own_failures + 0.5
    )
    return p_value < SINGLE_HOST_P_VALUE


def _count_since_failure(
    report: Report, failing_s: float, route: str
) -> tuple[int, int]:
    """Return the new version's failures and calls since a host's first failure.

    Earlier calls of other hosts are left out: the version may have begun to fail
    everywhere at that moment.
    """
    intervals = report.recent.get(route, ())[: int(failing_s / INTERVAL_S) + 1]
    return sum(item[1] for item in intervals), sum(item[0] for item in intervals)


def count_failed_calls(reports: Iterable[Report], to_version: str) -> int:
    """Return the number of the new version's failed calls in the trial."""
    return sum(
        tally.failures
        for report in reports
        for (_, version), tally in report.windows.get(Window.TRIAL, {}).items()
        if version == to_version
    )
