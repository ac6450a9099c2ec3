"""Try a new version of a service on a few calls, and judge it in time.

The order of a move names a service, a version and how long the move may take. Until
the verdict the new version gets a small share of the calls, part of it in bursts on
one upstream, since some versions fail only under load. A version that fails or is slow
against the old one is taken back; one that showed enough good calls is completed, and
one that showed too few by the end is taken back as well: nobody knows it to be good.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from agaterelay.core.evidence import LATENCY_BOUNDS_MS, Tally, add_tallies
from agaterelay.core.model import FINAL_MOVE_STATES, MoveState
from agaterelay.core.verdict import compare_rates, count_slow, slow_bucket

# The part of the users' bound on exposure that is used on average.
EXPOSURE_PART = 0.7
# A burst brings the calls that the share allows for a whole period at once, since that
# is what fills the slots of one upstream also where a service gets few calls.
BURST_PERIOD_S = 4.0
BURST_BEGINS_S = 1.0
BURST_S = 0.25
# Part of the allowed share outside of bursts; the bursts use up the rest.
CALM_PART = 0.3
# When in the move's time the verdict falls, if nothing speaks against it before.
VERDICT_PART = 0.62
LAST_VERDICT_PART = 0.85
ALARM = 1e-4
MIN_EXCESS_RATE = 0.03
MIN_SLOW_RATE = 0.2
MIN_SLOW_CALLS = 6
# Calls of the new version without which no verdict for it is given.
MIN_CALLS = 60
MIN_ROUTE_CALLS = 12
# A node's own brake: this many failures, most of its calls of the version.
BRAKE_FAILURES = 6
BRAKE_RATE = 0.25

# Tallies of one version by route.
RouteTallies = dict[str, Tally]


@attrs.frozen
class Order:
    """The operator's order of a move; a later one has a higher number."""

    service: str
    to_version: str
    duration_s: float
    number: int


@attrs.frozen
class MoveRecord:
    """How far the move of an order has come, as all nodes read it."""

    service: str
    to_version: str
    number: int
    state: MoveState
    reason: str = ""

    @property
    def final(self) -> bool:
        """Whether there is a verdict."""
        return self.state in FINAL_MOVE_STATES


@attrs.frozen
class Verdict:
    """What became of a version, and why."""

    state: MoveState
    reason: str


def trial_share(allowed_share: float, elapsed_s: float) -> tuple[float, bool]:
    """Return the share of the calls for the new version, and whether it is a burst.

    Args:
        allowed_share: The largest share over the whole move that users accept.
        elapsed_s: The time since the trial began.
    """
    mean = EXPOSURE_PART * allowed_share
    calm = CALM_PART * mean
    since_burst_s = elapsed_s % BURST_PERIOD_S - BURST_BEGINS_S
    if not 0 <= since_burst_s < BURST_S:
        return calm, False
    burst = (mean * BURST_PERIOD_S - calm * (BURST_PERIOD_S - BURST_S)) / BURST_S
    return min(burst, 1.0), True


def sum_tallies(reports: Iterable[Mapping[str, Tally]]) -> RouteTallies:
    """Return the sums over several upstreams, route by route."""
    total: RouteTallies = {}
    for report in reports:
        for route, tally in report.items():
            total[route] = add_tallies(total.get(route, Tally()), tally)
    return total


def find_fault(old: RouteTallies, new: RouteTallies) -> str | None:
    """Return what speaks against the new version, None where nothing does."""
    whole = {"all routes": _merge(old)}, {"all routes": _merge(new)}
    for before, after in (whole, (old, new)):
        for route, tally in after.items():
            base = before.get(route, Tally())
            chance = compare_rates(
                (tally.failures, tally.calls),
                (base.failures, base.calls),
                MIN_EXCESS_RATE,
            )
            if chance < ALARM:
                return (
                    f"{route}: {tally.failures} of {tally.calls} calls failed, "
                    f"{base.failures} of {base.calls} on the old version"
                )
    for route, tally in new.items():
        reason = _find_slowness(route, old.get(route, Tally()), tally)
        if reason:
            return reason
    return None


def _merge(tallies: RouteTallies) -> Tally:
    total = Tally()
    for tally in tallies.values():
        total = add_tallies(total, tally)
    return total


def _find_slowness(route: str, old: Tally, new: Tally) -> str | None:
    bound = slow_bucket(old)
    if bound is None:
        return None
    slow, calls = count_slow(new, bound)
    if slow < MIN_SLOW_CALLS:
        return None
    if compare_rates((slow, calls), count_slow(old, bound), MIN_SLOW_RATE) >= ALARM:
        return None
    return f"{route}: {slow} of {calls} calls took over {LATENCY_BOUNDS_MS[bound]} ms"


def judge(
    order: Order,
    old: RouteTallies,
    new: RouteTallies,
    recent: tuple[RouteTallies, RouteTallies],
    elapsed_s: float,
) -> Verdict | None:
    """Return the verdict on a move, None while it is open.

    Args:
        order: The order.
        old: What calls showed of the old version since the trial began.
        new: The same of the new version.
        recent: Both, of the last seconds only.
        elapsed_s: The time since the trial began.
    """
    reason = find_fault(*recent) or find_fault(old, new)
    if reason:
        return Verdict(MoveState.REVERTED, reason)
    if elapsed_s < VERDICT_PART * order.duration_s:
        return None
    calls = sum(tally.calls for tally in new.values())
    missing = [
        route
        for route, tally in old.items()
        if tally.calls >= MIN_CALLS and new.get(route, Tally()).calls < MIN_ROUTE_CALLS
    ]
    if calls >= MIN_CALLS and not missing:
        return Verdict(MoveState.DONE, f"{calls} calls were good")
    if elapsed_s < LAST_VERDICT_PART * order.duration_s:
        return None
    return Verdict(MoveState.REVERTED, f"only {calls} calls, none on {missing}")


def should_brake(calls: int, failures: int) -> bool:
    """Return whether a node stops the new version by what its own calls showed."""
    return failures >= BRAKE_FAILURES and failures >= BRAKE_RATE * calls


def usable_versions(
    service: str,
    present: Mapping[str, int],
    orders: Mapping[str, Order],
    records: Iterable[MoveRecord],
) -> tuple[str, str | None]:
    """Return the version that serves a service, and the one on trial.

    Without a move all calls go to the version whose first upstream started first. A
    version that has no order yet, or was taken back, gets none.

    Args:
        service: The service.
        present: The first start of each version that has upstreams, in milliseconds.
        orders: The newest order of each service.
        records: What is known of the moves of the service, any order.

    Returns:
        The serving version, empty where there is none, and the one on trial or None.
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
        if record is not None and record.number == order.number and not record.final:
            on_trial = order.to_version
    if newest is not None and newest.to_version in present:
        return newest.to_version, on_trial
    barred = {item.to_version for item in by_version.values() if not item.final} | {
        item.to_version
        for item in by_version.values()
        if item.state is MoveState.REVERTED
    }
    if order is not None and order.to_version not in {d.to_version for d in done}:
        barred.add(order.to_version)
    candidates = [name for name in present if name not in barred]
    serving = min(candidates, key=lambda name: (present[name], name), default="")
    return serving, on_trial
