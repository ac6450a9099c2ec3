"""Run a canary trial of a new version on a few calls and decide on it in time.

The order of a move names a service, a version and how long the move may take. Until
the verdict the new version gets a small share of the calls, part of it in bursts on
one upstream, since some versions fail only under load. A version that fails or is slow
more often than the old one is reverted, and one with enough good calls is completed.
One with too few calls by the end is reverted too, since nothing shows that it works.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from agaterelay.core.evidence import LATENCY_BOUNDS_MS, Tally, add_tallies
from agaterelay.core.model import FINAL_MOVE_STATES, MoveState
from agaterelay.core.verdict import (
    compare_rates,
    count_slow_calls,
    highest_normal_bucket,
)

# Ratio of the allowed exposure that is used on average.
MEAN_EXPOSURE_RATIO = 0.7
# A burst sends the calls that the share allows in a whole period at once. This fills
# the slots of one upstream even if a service gets few calls.
BURST_PERIOD_S = 4.0
BURST_OFFSET_S = 1.0
BURST_S = 0.25
# Ratio of the mean share that is sent outside of bursts; the bursts use the rest.
STEADY_TRAFFIC_RATIO = 0.3
# When the verdict is reached without a regression, as ratios of the move's duration:
# with enough calls, and at the latest.
VERDICT_TIME_RATIO = 0.62
LAST_VERDICT_TIME_RATIO = 0.85
ALARM_P_VALUE = 1e-4
MIN_EXCESS_FAILURE_RATIO = 0.03
MIN_SLOW_RATIO = 0.2
MIN_SLOW_CALLS = 6
# Calls of the new version, in total and per route, needed to complete a move.
MIN_VERDICT_CALLS = 60
MIN_ROUTE_CALLS = 12
# A node brakes on its own at this many failures, if they are at least this ratio of
# its calls of the version.
MIN_BRAKE_FAILURES = 6
MIN_BRAKE_FAILURE_RATIO = 0.25

# Tallies of one version by route.
RouteTallies = dict[str, Tally]


@attrs.frozen
class Order:
    """An operator's order of a move; a later order has a higher number."""

    service: str
    to_version: str
    duration_s: float
    number: int


@attrs.frozen
class MoveRecord:
    """The state of an ordered move, as published to all nodes."""

    service: str
    to_version: str
    number: int
    state: MoveState
    reason: str = ""

    @property
    def is_final(self) -> bool:
        """Whether the move is decided."""
        return self.state in FINAL_MOVE_STATES


@attrs.frozen
class Verdict:
    """The final state of a move and its reason."""

    state: MoveState
    reason: str


def trial_share(allowed_share: float, elapsed_s: float) -> tuple[float, bool]:
    """Return the share of the calls for the new version, and whether it is a burst.

    Args:
        allowed_share: The largest acceptable mean share over the whole move.
        elapsed_s: The time since the trial began, in seconds.
    """
    mean = MEAN_EXPOSURE_RATIO * allowed_share
    steady_share = STEADY_TRAFFIC_RATIO * mean
    since_burst_s = elapsed_s % BURST_PERIOD_S - BURST_OFFSET_S
    if not 0 <= since_burst_s < BURST_S:
        return steady_share, False
    burst = (
        mean * BURST_PERIOD_S - steady_share * (BURST_PERIOD_S - BURST_S)
    ) / BURST_S
    return min(burst, 1.0), True


def sum_tallies(reports: Iterable[Mapping[str, Tally]]) -> RouteTallies:
    """Return the sums over several upstreams, route by route."""
    total: RouteTallies = {}
    for report in reports:
        for route, tally in report.items():
            total[route] = add_tallies(total.get(route, Tally()), tally)
    return total


def find_regression_reason(old: RouteTallies, new: RouteTallies) -> str | None:
    """Return how the new version is worse than the old one, or None if it is not."""
    combined = {"all routes": _sum_routes(old)}, {"all routes": _sum_routes(new)}
    for before, after in (combined, (old, new)):
        for route, tally in after.items():
            baseline = before.get(route, Tally())
            p_value = compare_rates(
                (tally.failures, tally.calls),
                (baseline.failures, baseline.calls),
                MIN_EXCESS_FAILURE_RATIO,
            )
            if p_value < ALARM_P_VALUE:
                return (
                    f"{route}: {tally.failures} of {tally.calls} calls failed, "
                    f"{baseline.failures} of {baseline.calls} on the old version"
                )
    for route, tally in new.items():
        reason = _find_latency_regression(route, old.get(route, Tally()), tally)
        if reason:
            return reason
    return None


def _sum_routes(tallies: RouteTallies) -> Tally:
    total = Tally()
    for tally in tallies.values():
        total = add_tallies(total, tally)
    return total


def _find_latency_regression(route: str, old: Tally, new: Tally) -> str | None:
    bound = highest_normal_bucket(old)
    if bound is None:
        return None
    slow, calls = count_slow_calls(new, bound)
    if slow < MIN_SLOW_CALLS:
        return None
    if (
        compare_rates((slow, calls), count_slow_calls(old, bound), MIN_SLOW_RATIO)
        >= ALARM_P_VALUE
    ):
        return None
    return f"{route}: {slow} of {calls} calls took over {LATENCY_BOUNDS_MS[bound]} ms"


def judge(
    order: Order,
    old: RouteTallies,
    new: RouteTallies,
    recent: tuple[RouteTallies, RouteTallies],
    elapsed_s: float,
) -> Verdict | None:
    """Return the verdict on a move, or None while it is undecided.

    Args:
        order: The order.
        old: The old version's tallies since the trial began.
        new: The new version's tallies since the trial began.
        recent: The old and the new version's tallies of the last seconds only.
        elapsed_s: The time since the trial began, in seconds.
    """
    reason = find_regression_reason(*recent) or find_regression_reason(old, new)
    if reason:
        return Verdict(MoveState.REVERTED, reason)
    if elapsed_s < VERDICT_TIME_RATIO * order.duration_s:
        return None
    calls = sum(tally.calls for tally in new.values())
    missing = [
        route
        for route, tally in old.items()
        if tally.calls >= MIN_VERDICT_CALLS
        and new.get(route, Tally()).calls < MIN_ROUTE_CALLS
    ]
    if calls >= MIN_VERDICT_CALLS and not missing:
        return Verdict(MoveState.DONE, f"{calls} calls were good")
    if elapsed_s < LAST_VERDICT_TIME_RATIO * order.duration_s:
        return None
    return Verdict(MoveState.REVERTED, f"only {calls} calls, none on {missing}")


def should_brake(calls: int, failures: int) -> bool:
    """Return whether a node's own calls justify a brake on the new version."""
    return (
        failures >= MIN_BRAKE_FAILURES and failures >= MIN_BRAKE_FAILURE_RATIO * calls
    )


def choose_versions(
    service: str,
    present: Mapping[str, int],
    orders: Mapping[str, Order],
    records: Iterable[MoveRecord],
) -> tuple[str, str | None]:
    """Choose the version that serves a service, and the one on trial.

    Without a move, all calls go to the version whose first upstream started first. A
    version that has no order yet, or was reverted, gets no calls.

    Args:
        service: The service.
        present: The earliest start of an upstream of each version, in milliseconds.
        orders: The newest order of each service.
        records: The known records of moves, in any order.

    Returns:
        The serving version, empty if there is none, and the one on trial or None.
    """
    order = orders.get(service)
    by_version: dict[str, MoveRecord] = {}
    for record in records:
        if record.service == service:
            held = by_version.get(record.to_version)
            if held is None or held.number <= record.number:
                by_version[record.to_version] = record
    done = [item for item in by_version.values() if item.state is MoveState.DONE]
    newest = max(done, key=lambda item: item.number, default=None)
    on_trial = None
    if order is not None and order.to_version in present:
        record = by_version.get(order.to_version)
        if record is not None and record.number == order.number and not record.is_final:
            on_trial = order.to_version
    if newest is not None and newest.to_version in present:
        return newest.to_version, on_trial
    excluded = {
        item.to_version for item in by_version.values() if not item.is_final
    } | {
        item.to_version
        for item in by_version.values()
        if item.state is MoveState.REVERTED
    }
    if order is not None and order.to_version not in {d.to_version for d in done}:
        excluded.add(order.to_version)
    candidates = [name for name in present if name not in excluded]
    serving = min(candidates, key=lambda name: (present[name], name), default="")
    return serving, on_trial
