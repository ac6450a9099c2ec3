"""Call tallies of the versions of a service, by route and time window.

The old and the new version are compared only within one window of one step, so that an
error common to both is not attributed to the new one: over several steps, the new
version's calls are later on average than the old version's. A node keeps its tallies
in short intervals. A restarted node begins without tallies of either version.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from math import inf
from operator import add

import attrs

# Upper bounds of the latency buckets in milliseconds; the last bucket is open.
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
BUCKET_COUNT = len(LATENCY_BOUNDS_MS) + 1
_BUCKET_MIDPOINTS_MS = tuple(
    (low + high) / 2
    for low, high in zip(
        (0, *LATENCY_BOUNDS_MS),
        (*LATENCY_BOUNDS_MS, 2 * LATENCY_BOUNDS_MS[-1]),
        strict=True,
    )
)
INTERVAL_S = 1.0
# Lengths of the windows that end now; the others begin with a step or a trial.
LAST_WINDOW_S = 2.0
SHORT_WINDOW_S = 4.0
MEDIUM_WINDOW_S = 20.0


class Window(StrEnum):
    """The time windows over which calls are summed."""

    LAST = "last"
    SHORT = "short"
    MEDIUM = "medium"
    STEP = "step"
    TRIAL = "trial"


_WINDOW_LENGTHS_S = {
    Window.LAST: LAST_WINDOW_S,
    Window.SHORT: SHORT_WINDOW_S,
    Window.MEDIUM: MEDIUM_WINDOW_S,
}


@attrs.frozen
class Tally:
    """Calls of one route on one version.

    The latency buckets exclude calls whose latency is not representative, such as
    those on an upstream that has just started.
    """

    calls: int = 0
    failures: int = 0
    latency_buckets: tuple[int, ...] = (0,) * BUCKET_COUNT


# Tallies by (route, version).
Evidence = dict[tuple[str, str], Tally]
Windows = dict[Window, Evidence]
# The new version's (calls, failures) by route, the newest interval first.
Recent = dict[str, tuple[tuple[int, int], ...]]


@attrs.frozen
class Report:
    """One node's evidence on a trial.

    ``step`` is the step that the windows cover. ``rate`` is the service's calls per
    second on the node and ``in_flight`` the mean number of concurrent calls.
    ``failing_s`` is the time since the new version's first failure after a period
    without failures, up to the brake if there is one. ``recent`` has the new version's
    calls in the last intervals.
    """

    trial: str
    step: int = 0
    windows: Windows = attrs.field(factory=dict)
    first_failure_ms: int = 0
    rate: float = 0.0
    in_flight: float = 0.0
    failing_s: float = 0.0
    recent: Recent = attrs.field(factory=dict)


@attrs.define
class Interval:
    """The calls of one time interval within one step."""

    number: int
    step: int
    evidence: Evidence = attrs.field(factory=dict)


@attrs.define
class TrialTallies:
    """One node's tallies of one trial.

    A trial begins with a move, or with the last cleared alarm of a move. ``frozen``
    keeps the windows as they were when the trial was braked, so that later calls don't
    dilute the evidence while the move waits to be reverted.
    """

    trial: str
    to_version: str
    began_s: float
    step: int = 0
    intervals: deque[Interval] = attrs.field(factory=deque)
    step_totals: Evidence = attrs.field(factory=dict)
    trial_totals: Evidence = attrs.field(factory=dict)
    first_failure_ms: int = 0
    first_failure_s: float = 0.0
    last_failure_s: float = -inf
    frozen: Windows | None = None
    frozen_recent: Recent = attrs.field(factory=dict)
    frozen_s: float = 0.0


def add_calls(
    tally: Tally, failed: bool, latency_ms: float | None, calls: int = 1
) -> Tally:
    """Return the tally with further calls of the same result and latency."""
    buckets = tally.latency_buckets
    if latency_ms is not None:
        index = bisect_left(LATENCY_BOUNDS_MS, latency_ms)
        buckets = (*buckets[:index], buckets[index] + calls, *buckets[index + 1 :])
    return Tally(tally.calls + calls, tally.failures + calls * failed, buckets)


def add_tallies(left: Tally, right: Tally) -> Tally:
    """Return the sum of two tallies."""
    return Tally(
        left.calls + right.calls,
        left.failures + right.failures,
        tuple(map(add, left.latency_buckets, right.latency_buckets)),
    )


def add_evidence(parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of the evidence of several nodes or intervals."""
    total: Evidence = {}
    for part in parts:
        for key, tally in part.items():
            known = total.get(key)
            total[key] = add_tallies(known, tally) if known else tally
    return total


def add_windows(parts: Iterable[Windows]) -> Windows:
    """Return the sum of the windows of several nodes."""
    parts = list(parts)
    return {
        window: add_evidence(part.get(window, {}) for part in parts)
        for window in Window
    }


def begin_step(tallies: TrialTallies, step: int) -> None:
    """Reset the STEP window if the move has taken a further step."""
    if step > tallies.step:
        tallies.step = step
        tallies.step_totals = {}


def record_calls(
    tallies: TrialTallies,
    key: tuple[str, str],
    failed: bool,
    latency_ms: float | None,
    now_s: float,
    calls: int = 1,
) -> None:
    """Count calls of the same route, version, result and latency.

    Args:
        tallies: The node's tallies of the trial.
        key: The route and the version.
        failed: Whether the calls failed.
        latency_ms: Their latency in milliseconds, None if it is not representative.
        now_s: The current time in seconds on a monotonic clock.
        calls: The number of calls.
    """
    number = int(now_s / INTERVAL_S)
    newest = tallies.intervals[-1] if tallies.intervals else None
    if newest is None or (newest.number, newest.step) != (number, tallies.step):
        _merge_oldest(tallies, _count_expired(tallies, number))
        newest = Interval(number, tallies.step)
        tallies.intervals.append(newest)
    evidence = newest.evidence
    known = evidence.get(key, Tally())
    evidence[key] = add_calls(known, failed, latency_ms, calls)


def record_failure(tallies: TrialTallies, now_s: float, now_ms: int) -> None:
    """Record a failure of the new version, and the start of a period of failures.

    Args:
        tallies: The node's tallies of the trial.
        now_s: The current time in seconds on a monotonic clock.
        now_ms: The current time in milliseconds since 1970.
    """
    if now_s - tallies.last_failure_s > MEDIUM_WINDOW_S:
        tallies.first_failure_ms = now_ms
        tallies.first_failure_s = now_s
    tallies.last_failure_s = now_s


def _count_expired(tallies: TrialTallies, number: int) -> int:
    first = number - int(MEDIUM_WINDOW_S / INTERVAL_S)
    return sum(interval.number < first for interval in tallies.intervals)


def _merge_oldest(tallies: TrialTallies, count: int) -> None:
    """Add the oldest intervals to the totals and remove them."""
    for _ in range(count):
        interval = tallies.intervals.popleft()
        tallies.trial_totals = add_evidence((tallies.trial_totals, interval.evidence))
        if interval.step == tallies.step:
            tallies.step_totals = add_evidence((tallies.step_totals, interval.evidence))


def sum_windows(tallies: TrialTallies, now_s: float) -> Windows:
    """Return the sums over each window; only TRIAL covers several steps."""
    if tallies.frozen is not None:
        return tallies.frozen
    newest = int(now_s / INTERVAL_S)
    windows: Windows = {}
    total: Evidence = {}
    start = newest + 1
    for window, span_s in _WINDOW_LENGTHS_S.items():
        end, start = start, newest + 1 - int(span_s / INTERVAL_S)
        total = add_evidence((total, *_select_intervals(tallies, start, end)))
        windows[window] = total
    older = add_evidence((tallies.step_totals, *_select_intervals(tallies, 0, start)))
    windows[Window.STEP] = add_evidence((total, older))
    intervals = [interval.evidence for interval in tallies.intervals]
    windows[Window.TRIAL] = add_evidence((tallies.trial_totals, *intervals))
    return windows


def _select_intervals(
    tallies: TrialTallies, start: int, end: int
) -> Iterable[Evidence]:
    """Return the evidence of the step's intervals from ``start`` up to ``end``."""
    return [
        interval.evidence
        for interval in tallies.intervals
        if start <= interval.number < end and interval.step == tallies.step
    ]


def find_recent_calls(tallies: TrialTallies, now_s: float) -> Recent:
    """Return the new version's calls in the last intervals."""
    if tallies.frozen is not None:
        return tallies.frozen_recent
    newest = int(now_s / INTERVAL_S)
    size = int(MEDIUM_WINDOW_S / INTERVAL_S)
    counts: dict[str, list[tuple[int, int]]] = {}
    for interval in tallies.intervals:
        age = newest - interval.number
        for (route, version), tally in interval.evidence.items():
            if version == tallies.to_version and 0 <= age < size:
                intervals = counts.setdefault(route, [(0, 0)] * size)
                calls, failures = intervals[age]
                intervals[age] = (calls + tally.calls, failures + tally.failures)
    return {route: tuple(intervals) for route, intervals in counts.items()}


def freeze_windows(tallies: TrialTallies, now_s: float) -> None:
    """Keep the windows as they are now; later calls no longer change them."""
    if tallies.frozen is None:
        tallies.frozen_recent = find_recent_calls(tallies, now_s)
        tallies.frozen = sum_windows(tallies, now_s)
        tallies.frozen_s = now_s


def measure_demand(tallies: TrialTallies, now_s: float) -> tuple[float, float]:
    """Return a node's calls per second and its mean number of concurrent calls.

    The rate is the higher of the rates in the last seconds and over the whole trial, so
    that a short pause of the callers does not make a move look late.
    """
    age_s = max(now_s - tallies.began_s, 1.0)
    span_s = min(age_s, MEDIUM_WINDOW_S)
    first = int((now_s - span_s) / INTERVAL_S)
    recent = add_evidence(
        interval.evidence for interval in tallies.intervals if interval.number > first
    )
    total = count_calls(tallies.trial_totals)
    total += sum(count_calls(interval.evidence) for interval in tallies.intervals)
    rate = max(count_calls(recent) / span_s, total / age_s)
    return rate, _sum_service_time_s(recent) / span_s


def _sum_service_time_s(evidence: Evidence) -> float:
    return sum(
        count * middle_ms / 1000
        for tally in evidence.values()
        for middle_ms, count in zip(
            _BUCKET_MIDPOINTS_MS, tally.latency_buckets, strict=True
        )
    )


def build_report(tallies: TrialTallies, now_s: float) -> Report:
    """Return a node's report on its tallies."""
    failing_s = 0.0
    if tallies.first_failure_ms:
        failing_s = (tallies.frozen_s or now_s) - tallies.first_failure_s
    rate, in_flight = measure_demand(tallies, now_s)
    return Report(
        trial=tallies.trial,
        step=tallies.step,
        windows=sum_windows(tallies, now_s),
        first_failure_ms=tallies.first_failure_ms,
        rate=rate,
        in_flight=in_flight,
        failing_s=failing_s,
        recent=find_recent_calls(tallies, now_s),
    )


def count_calls(evidence: Evidence, version: str | None = None) -> int:
    """Return the number of calls of one version, or of all versions."""
    return sum(
        tally.calls for key, tally in evidence.items() if version in (None, key[1])
    )
