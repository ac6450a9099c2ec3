"""Judge a new version against the old one by what calls showed, route by route.

The question is how likely the new version's failures would be if it failed as often
as the old one does in the same window. The old version's rate is not known exactly
either, so its uncertainty enters as a Beta distribution and the tail is that of the
Beta-binomial. An alarm is raised only below a chance so small that its sum over all
looks, windows and routes of a move stays small.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, lgamma

import attrs

from agaterelay.core.evidence import (
    LATENCY_BOUNDS_MS,
    SLOT_S,
    Evidence,
    Report,
    Tally,
    Window,
    Windows,
    add_windows,
)

# Chances per look; with some hundred looks a move the sum stays below one in 1,000.
GATHERED_ALARM = 1e-6
LOCAL_ALARM = 1e-7
# With hardly any call of the old version in the window, a common error cannot be told
# from the new version's own, so that much more is asked.
BLIND_FACTOR = 1e-3
MIN_COMPARED_CALLS = 20
# A brake is itself evidence, so that less is asked of what confirms it.
CONFIRM_ALARM = 1e-4
SUSPECT_ALARM = 0.001
# Failures that one host alone has to show while others serve the version as well.
MIN_HOST_FAILURES = 6
# The chance that other hosts look that good where the version fails as on one host.
HOST_ALARM = 0.02
# What is believed of an old version of which no call was seen.
PRIOR_FAILURES = 0.5
PRIOR_SUCCESSES = 20.0
MIN_FAILURES = 3
MIN_EXCESS_RATE = 0.01
MIN_RATIO = 2.0
MIN_SLOW_RATE = 0.2
# A few slow calls in a row are a pause of the host more often than a slow version.
MIN_SLOW_CALLS = 10
MIN_OLD_LATENCIES = 20
# Tallies above this are scaled down, which only makes the test more careful.
MAX_TEST_CALLS = 4000
# Calls on other hosts that have to be quick before slowness is one host's alone.
MIN_OTHER_CALLS = 20


@attrs.frozen
class Suspicion:
    """Why a version looks bad, and how likely a good one would look like that.

    ``compared_calls`` is how many calls of the old version it was compared with.
    """

    route: str
    reason: str
    chance: float
    compared_calls: int = 0

    def passes(self, alarm: float) -> bool:
        """Return whether the suspicion is strong enough for an alarm."""
        blind = self.compared_calls < MIN_COMPARED_CALLS
        return self.chance < (alarm * BLIND_FACTOR if blind else alarm)


def tail_chance(count: int, calls: int, failures: float, successes: float) -> float:
    """Return the chance of at least ``count`` failures in ``calls`` calls.

    Args:
        count: The failures seen.
        calls: The calls seen.
        failures: The first parameter of the Beta distribution of the rate.
        successes: Its second parameter.
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
    """Return the chance that a version no worse than the old one looks like the new.

    Args:
        new: The new version's failures and calls.
        old: The old version's, in the same window.
        min_excess: How much higher the rate must be to matter at all.

    Returns:
        The chance, 1 where the difference is too small to matter.
    """
    new_bad, new_calls = _scale(*new)
    old_bad, old_calls = _scale(*old)
    if new_bad < MIN_FAILURES:
        return 1.0
    new_rate = new_bad / new_calls
    old_rate = old_bad / old_calls if old_calls else 0.0
    # Twice a rate above one half is no rate; half of what is left has to do there.
    floor = max(MIN_RATIO * old_rate, old_rate + min_excess)
    if new_rate <= old_rate or new_rate < min(floor, (1 + old_rate) / 2):
        return 1.0
    failures = PRIOR_FAILURES + old_bad
    successes = PRIOR_SUCCESSES + old_calls - old_bad
    return tail_chance(new_bad, new_calls, failures, successes)


def _scale(bad: int, calls: int) -> tuple[int, int]:
    if calls <= MAX_TEST_CALLS:
        return bad, calls
    return bad * MAX_TEST_CALLS // calls, MAX_TEST_CALLS


def find_failure(
    windows: Windows, from_version: str, to_version: str
) -> Suspicion | None:
    """Return the strongest suspicion against the new version, None without any."""
    found: list[Suspicion] = []
    for window, evidence in windows.items():
        if window is Window.TRIAL:
            continue
        for route, version in evidence:
            if version == to_version:
                found += _judge_failures(evidence, route, from_version, to_version)
                if window is Window.MEDIUM:
                    found += _judge_latency(windows, route, from_version, to_version)
    return min(found, key=lambda item: item.chance, default=None)


def _judge_failures(
    evidence: Evidence, route: str, from_version: str, to_version: str
) -> Iterable[Suspicion]:
    new = evidence[route, to_version]
    old = evidence.get((route, from_version), Tally())
    chance = compare_rates(
        (new.failures, new.calls), (old.failures, old.calls), MIN_EXCESS_RATE
    )
    if chance < 1:
        yield Suspicion(
            route,
            f"route {route}: {new.failures} of {new.calls} calls failed, "
            f"{old.failures} of {old.calls} on {from_version}",
            chance,
            old.calls,
        )


def _judge_latency(
    windows: Windows, route: str, from_version: str, to_version: str
) -> Iterable[Suspicion]:
    """Compare the shares of slow calls; the last seconds must be slow as well."""
    old = _old_latencies(windows, route, from_version)
    bound = slow_bucket(old)
    if bound is None:
        return
    new = windows[Window.MEDIUM][route, to_version]
    recent = windows.get(Window.SHORT, {}).get((route, to_version), Tally())
    slow, calls = count_slow(new, bound)
    chance = compare_rates((slow, calls), count_slow(old, bound), MIN_SLOW_RATE)
    recent_slow, recent_calls = count_slow(recent, bound)
    if slow < MIN_SLOW_CALLS or recent_slow < MIN_SLOW_RATE * recent_calls:
        return
    if chance < 1:
        yield Suspicion(
            route,
            f"route {route}: {slow} of {calls} calls took longer than "
            f"{LATENCY_BOUNDS_MS[bound]} ms, {from_version} does not",
            chance,
            sum(old.latency_buckets),
        )


def _old_latencies(windows: Windows, route: str, version: str) -> Tally:
    """Return the old version's calls of the nearest window that has enough."""
    tally = Tally()
    for window in (Window.MEDIUM, Window.STEP, Window.TRIAL):
        tally = windows.get(window, {}).get((route, version), Tally())
        if sum(tally.latency_buckets) >= MIN_OLD_LATENCIES:
            break
    return tally


def slow_bucket(old: Tally) -> int | None:
    """Return the last latency bucket that is not slow, None where it is not known.

    That is the one above the bucket with the old version's 90th percentile.
    """
    measured = sum(old.latency_buckets)
    if measured < MIN_OLD_LATENCIES:
        return None
    total = 0
    for index, count in enumerate(old.latency_buckets):
        total += count
        if total >= 0.9 * measured:
            bound = index + 1
            return bound if bound < len(LATENCY_BOUNDS_MS) else None
    return None


def count_slow(tally: Tally, bound: int) -> tuple[int, int]:
    """Return how many measured calls were slow, and how many were measured."""
    return sum(tally.latency_buckets[bound + 1 :]), sum(tally.latency_buckets)


def judge_reports(
    reports: dict[str, Report], from_version: str, to_version: str
) -> Suspicion | None:
    """Judge what all owners of the service's upstreams saw.

    A failure that one host alone shows, while enough calls went well on others, is
    that host's trouble and no verdict on the version.
    """
    whole = find_failure(
        add_windows(report.windows for report in reports.values()),
        from_version,
        to_version,
    )
    if whole is None:
        return None
    key = (whole.route, to_version)
    if any(_is_alone(host, reports, key, from_version) for host in reports):
        return None
    return whole


def _is_alone(
    host: str, reports: dict[str, Report], key: tuple[str, str], from_version: str
) -> bool:
    """Return whether a host's failures are not to be seen on the others."""
    own = reports[host]
    others = add_windows(
        report.windows for other, report in reports.items() if other != host
    )
    rest = find_failure(others, from_version, key[1])
    if rest is not None and rest.chance <= SUSPECT_ALARM:
        return False
    seen = own.windows.get(Window.STEP, {}).get(key, Tally())
    if not seen.failures:
        return others[Window.MEDIUM].get(key, Tally()).calls >= MIN_OTHER_CALLS
    own_failures, own_calls = _since_failure(own, own.failing_s, key[0])
    failures = calls = 0
    for other, report in reports.items():
        if other != host:
            more_failures, more_calls = _since_failure(report, own.failing_s, key[0])
            failures += more_failures
            calls += more_calls
    successes = own_calls - own_failures
    if not failures and own_failures < MIN_HOST_FAILURES:
        return bool(others[Window.TRIAL].get(key, Tally()).calls)
    chance = tail_chance(calls - failures, calls, successes + 0.5, own_failures + 0.5)
    return chance < HOST_ALARM


def _since_failure(report: Report, failing_s: float, route: str) -> tuple[int, int]:
    """Return the new version's failures and calls in the last seconds.

    What others saw before a host's first failure says nothing: the version may have
    begun to fail everywhere at that moment.
    """
    slots = report.recent.get(route, ())[: int(failing_s / SLOT_S) + 1]
    return sum(slot[1] for slot in slots), sum(slot[0] for slot in slots)


def harmed_calls(reports: Iterable[Report], to_version: str) -> int:
    """Return how many calls of the new version failed in the trial."""
    return sum(
        tally.failures
        for report in reports
        for (_, version), tally in report.windows.get(Window.TRIAL, {}).items()
        if version == to_version
    )
