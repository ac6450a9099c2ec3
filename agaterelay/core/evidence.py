"""What calls showed of the versions of a service, by route and by window of time.

The old and the new version are only ever compared inside one window of one step, so an
error that strikes both says nothing about the new one: over several steps the new
version's calls are later ones than the old version's. A node keeps its tallies in slots of a few
seconds. A restarted node begins with none, for both versions alike.
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
_MIDDLES_MS = tuple(
    (low + high) / 2
    for low, high in zip(
        (0, *LATENCY_BOUNDS_MS),
        (*LATENCY_BOUNDS_MS, 2 * LATENCY_BOUNDS_MS[-1]),
        strict=True,
    )
)
SLOT_S = 1.0
# The spans of the windows that end now; the others begin with a step and a trial.
LAST_WINDOW_S = 2.0
SHORT_WINDOW_S = 4.0
MEDIUM_WINDOW_S = 20.0


class Window(StrEnum):
    """The spans of time over which calls are summed."""

    LAST = "last"
    SHORT = "short"
    MEDIUM = "medium"
    STEP = "step"
    TRIAL = "trial"


_SPANS_S = {
    Window.LAST: LAST_WINDOW_S,
    Window.SHORT: SHORT_WINDOW_S,
    Window.MEDIUM: MEDIUM_WINDOW_S,
}


@attrs.frozen
class Tally:
    """Calls of one route on one version.

    The latency buckets leave out calls whose latency says nothing, such as those on
    an upstream that has just started.
    """

    calls: int = 0
    failures: int = 0
    latency_buckets: tuple[int, ...] = (0,) * BUCKET_COUNT


# Tallies by (route, version).
Evidence = dict[tuple[str, str], Tally]
Windows = dict[Window, Evidence]
# The new version's (calls, failures) by route, the newest slot first.
Recent = dict[str, tuple[tuple[int, int], ...]]


@attrs.frozen
class Report:
    """What one node saw of a trial.

    ``step`` is the one that its windows cover. ``rate`` is the service's calls per
    second on the node, ``in_flight`` how many of them run at once on average, and
    ``failing_s`` the time since the new version's first failure
    after a good while, up to the brake where there is one. ``recent`` has the new
    version's last slots.
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
class Slot:
    """The calls of one slot of time under one step."""

    number: int
    step: int
    evidence: Evidence = attrs.field(factory=dict)


@attrs.define
class Ledger:
    """One node's tallies of one trial.

    A trial is a move from its beginning, or from the last alarm that was cleared.
    ``frozen`` keeps the windows of the moment at which the trial was braked: no later
    call dilutes what they showed, however long the take-back has to wait.
    """

    trial: str
    to_version: str
    began_s: float
    step: int = 0
    slots: deque[Slot] = attrs.field(factory=deque)
    step_total: Evidence = attrs.field(factory=dict)
    trial_total: Evidence = attrs.field(factory=dict)
    first_failure_ms: int = 0
    first_failure_s: float = 0.0
    last_failure_s: float = -inf
    frozen: Windows | None = None
    frozen_recent: Recent = attrs.field(factory=dict)
    frozen_s: float = 0.0


def count_call(
    tally: Tally, failed: bool, latency_ms: float | None, calls: int = 1
) -> Tally:
    """Return the tally with more calls of one kind."""
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
    """Return the sum of what several nodes or slots saw."""
    total: Evidence = {}
    for part in parts:
        for key, tally in part.items():
            known = total.get(key)
            total[key] = add_tallies(known, tally) if known else tally
    return total


def add_windows(parts: Iterable[Windows]) -> Windows:
    """Return the sum of what several nodes saw, window by window."""
    parts = list(parts)
    return {
        window: add_evidence(part.get(window, {}) for part in parts)
        for window in Window
    }


def begin_step(ledger: Ledger, step: int) -> None:
    """Begin the STEP window anew where the move has taken a further step."""
    if step > ledger.step:
        ledger.step = step
        ledger.step_total = {}


def note_calls(
    ledger: Ledger,
    key: tuple[str, str],
    failed: bool,
    latency_ms: float | None,
    now_s: float,
    calls: int = 1,
) -> None:
    """Count calls of one kind.

    Args:
        ledger: The node's tallies of the trial.
        key: The route and the version.
        failed: Whether the calls failed.
        latency_ms: How long each took, None where that says nothing.
        now_s: The present time in seconds, on any steady scale.
        calls: How many there were.
    """
    number = int(now_s / SLOT_S)
    newest = ledger.slots[-1] if ledger.slots else None
    if newest is None or (newest.number, newest.step) != (number, ledger.step):
        _fold(ledger, _expired(ledger, number))
        newest = Slot(number, ledger.step)
        ledger.slots.append(newest)
    evidence = newest.evidence
    known = evidence.get(key, Tally())
    evidence[key] = count_call(known, failed, latency_ms, calls)


def note_failure(ledger: Ledger, now_s: float, now_ms: int) -> None:
    """Keep the time of the new version's first failure after a good while.

    Args:
        ledger: The node's tallies of the trial.
        now_s: The present time on the steady scale.
        now_ms: The present time in milliseconds since 1970.
    """
    if now_s - ledger.last_failure_s > MEDIUM_WINDOW_S:
        ledger.first_failure_ms = now_ms
        ledger.first_failure_s = now_s
    ledger.last_failure_s = now_s


def _expired(ledger: Ledger, number: int) -> int:
    first = number - int(MEDIUM_WINDOW_S / SLOT_S)
    return sum(slot.number < first for slot in ledger.slots)


def _fold(ledger: Ledger, count: int) -> None:
    """Move the oldest slots into the totals."""
    for _ in range(count):
        slot = ledger.slots.popleft()
        ledger.trial_total = add_evidence((ledger.trial_total, slot.evidence))
        if slot.step == ledger.step:
            ledger.step_total = add_evidence((ledger.step_total, slot.evidence))


def windows_of(ledger: Ledger, now_s: float) -> Windows:
    """Return the sums over each window that ends now; only TRIAL spans steps."""
    if ledger.frozen is not None:
        return ledger.frozen
    newest = int(now_s / SLOT_S)
    windows: Windows = {}
    total: Evidence = {}
    start = newest + 1
    for window, span_s in _SPANS_S.items():
        end, start = start, newest + 1 - int(span_s / SLOT_S)
        total = add_evidence((total, *_between(ledger, start, end)))
        windows[window] = total
    older = add_evidence((ledger.step_total, *_between(ledger, 0, start)))
    windows[Window.STEP] = add_evidence((total, older))
    slots = [slot.evidence for slot in ledger.slots]
    windows[Window.TRIAL] = add_evidence((ledger.trial_total, *slots))
    return windows


def _between(ledger: Ledger, start: int, end: int) -> Iterable[Evidence]:
    """Return the evidence of the step's slots from one number up to another."""
    return [
        slot.evidence
        for slot in ledger.slots
        if start <= slot.number < end and slot.step == ledger.step
    ]


def recent_of(ledger: Ledger, now_s: float) -> Recent:
    """Return the new version's calls of the last slots."""
    if ledger.frozen is not None:
        return ledger.frozen_recent
    newest = int(now_s / SLOT_S)
    size = int(MEDIUM_WINDOW_S / SLOT_S)
    counts: dict[str, list[tuple[int, int]]] = {}
    for slot in ledger.slots:
        age = newest - slot.number
        for (route, version), tally in slot.evidence.items():
            if version == ledger.to_version and 0 <= age < size:
                slots = counts.setdefault(route, [(0, 0)] * size)
                calls, failures = slots[age]
                slots[age] = (calls + tally.calls, failures + tally.failures)
    return {route: tuple(slots) for route, slots in counts.items()}


def freeze(ledger: Ledger, now_s: float) -> None:
    """Keep the windows as they are now."""
    if ledger.frozen is None:
        ledger.frozen_recent = recent_of(ledger, now_s)
        ledger.frozen = windows_of(ledger, now_s)
        ledger.frozen_s = now_s


def demand_on(ledger: Ledger, now_s: float) -> tuple[float, float]:
    """Return a node's calls per second, and its calls in flight on average.

    The rate is the higher one of the last seconds and of the whole trial, so that a
    short pause of the callers does not make a move look late.
    """
    age_s = max(now_s - ledger.began_s, 1.0)
    span_s = min(age_s, MEDIUM_WINDOW_S)
    first = int((now_s - span_s) / SLOT_S)
    recent = add_evidence(slot.evidence for slot in ledger.slots if slot.number > first)
    total = calls_of(ledger.trial_total)
    total += sum(calls_of(slot.evidence) for slot in ledger.slots)
    rate = max(calls_of(recent) / span_s, total / age_s)
    return rate, _busy_s(recent) / span_s


def _busy_s(evidence: Evidence) -> float:
    return sum(
        count * middle_ms / 1000
        for tally in evidence.values()
        for middle_ms, count in zip(_MIDDLES_MS, tally.latency_buckets, strict=True)
    )


def report_of(ledger: Ledger, now_s: float) -> Report:
    """Return what a node tells of its tallies."""
    failing_s = 0.0
    if ledger.first_failure_ms:
        failing_s = (ledger.frozen_s or now_s) - ledger.first_failure_s
    rate, in_flight = demand_on(ledger, now_s)
    return Report(
        trial=ledger.trial,
        step=ledger.step,
        windows=windows_of(ledger, now_s),
        first_failure_ms=ledger.first_failure_ms,
        rate=rate,
        in_flight=in_flight,
        failing_s=failing_s,
        recent=recent_of(ledger, now_s),
    )


def calls_of(evidence: Evidence, version: str | None = None) -> int:
    """Return the number of calls, of one version or of all."""
    return sum(
        tally.calls for key, tally in evidence.items() if version in (None, key[1])
    )
