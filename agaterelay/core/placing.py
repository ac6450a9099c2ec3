"""Cost-based placement of calls, from the load that answers report.

This balances many callers over few upstreams that differ in speed. Every answer from an
inbound proxy carries the number of calls in its slots and its queue, their service time
and how many failed; between two reports a node counts its own calls. The speed of an
upstream is estimated route by route against the others, because the mean time of its
calls depends more on which routes it served than on its speed. A call to another
availability zone costs a delay and bytes, so that an upstream there is chosen only if
those of the own zone cost more than that in addition.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

# The additional cost of a call to another availability zone: the network delay, and the
# answer's bytes, which the users pay for and which load their links.
ZONE_PENALTY_MS = 6.0
ZONE_PENALTY_MS_PER_KB = 6.0
# The cost of a failed call to its caller: about one retry and the wait for it.
FAILURE_COST_MS = 900.0
# How much slower a call runs on an upstream whose slots are all in use, as a part of its
# service time.
CONTENTION_RATIO = 0.3
# An exponent of 1 would leave slow upstreams idle while the fast ones refuse calls.
SLOWNESS_EXPONENT = 0.5
# A call that waits for a slot, or for the upstream's rate limit, delays others too, and
# leaves a slot elsewhere idle in the meantime.
QUEUEING_COST_FACTOR = 8.0
# Reported calls of other nodes lose half of their weight in this time.
REPORT_HALF_LIFE_S = 0.4
INITIAL_SERVICE_TIME_MS = 60.0
# Most calls take less than this many times the mean of their route.
USEFUL_TIME_RATIO = 1.5
# Smaller differences in cost are noise, so that the choice between them is random.
MAX_NOISE_MS = 3.0
ROUTE_SMOOTHING_RATIO = 0.03
SLOWNESS_SMOOTHING_RATIO = 0.08
# Bounds the effect of a single outlier on an upstream's slowness.
MAX_SLOWNESS = 8.0

Target = TypeVar("Target")


@attrs.frozen
class LoadReport:
    """The load of an upstream, which its inbound proxy reports with every answer.

    ``in_flight`` counts calls in slots and in the queue, ``work_ms`` is the smoothed
    service time, ``failing`` the smoothed ratio of calls that failed.
    ``rate_limit_per_s`` is the lower of the rate limit that the upstream names and the
    limit while it is cold, 0 if there is none, and ``rate_wait_ms`` how long the next call
    would wait for it, negative if more calls than one are accepted at once.
    """

    in_flight: int = 0
    slots: int = 1
    work_ms: float = INITIAL_SERVICE_TIME_MS
    failing: float = 0.0
    rate_limit_per_s: float = 0.0
    rate_wait_ms: float = 0.0


@attrs.define
class TargetLoad:
    """One node's estimate of the load on one upstream.

    ``own`` counts this node's calls there, ``others_in_flight`` those of all other
    nodes as last reported. ``sent`` counts this node's calls since that report.
    ``slowness`` is the ratio of the upstream's service times to the means of the routes.
    """

    report: LoadReport | None = None
    others_in_flight: float = 0.0
    reported_at_s: float = 0.0
    own: int = 0
    sent: int = 0
    slowness: float = 1.0


@attrs.define
class RouteCosts:
    """The mean service time and answer size of a route's calls over all upstreams."""

    work_ms: float = INITIAL_SERVICE_TIME_MS
    answer_bytes: float = 0.0


def record_load_report(load: TargetLoad, report: LoadReport, now_s: float) -> None:
    """Apply a reported load, without this node's own calls, which it counts itself."""
    load.report = report
    load.others_in_flight = max(report.in_flight - load.own, 0)
    load.reported_at_s = now_s
    load.sent = 0


def record_answer(
    route: RouteCosts, load: TargetLoad, service_time_ms: float, answer_bytes: int
) -> None:
    """Update the estimates from the service time and the answer size of a call."""
    ratio = min(service_time_ms / max(route.work_ms, 0.1), MAX_SLOWNESS)
    load.slowness += SLOWNESS_SMOOTHING_RATIO * (ratio - load.slowness)
    route.work_ms += ROUTE_SMOOTHING_RATIO * (service_time_ms - route.work_ms)
    route.answer_bytes += ROUTE_SMOOTHING_RATIO * (answer_bytes - route.answer_bytes)


def zone_penalty_ms(answer_bytes: float) -> float:
    """Return the additional cost of a call to another availability zone."""
    return ZONE_PENALTY_MS + ZONE_PENALTY_MS_PER_KB * answer_bytes / 1000


def rate_wait_ms(load: TargetLoad, now_s: float) -> float:
    """Return how long one more call is expected to wait for the rate limit.

    The upstream's tokens are shared with other nodes, whose calls are not known, so a
    reported wait is not taken to end with the passing time but to lose its weight.
    """
    report = load.report
    if report is None or not report.rate_limit_per_s:
        return 0.0
    wait_ms = report.rate_wait_ms + 1000 * load.sent / report.rate_limit_per_s
    return max(wait_ms, 0.0) * 0.5 ** (
        (now_s - load.reported_at_s) / REPORT_HALF_LIFE_S
    )


def expected_cost_ms(
    load: TargetLoad, slots: int, route: RouteCosts, same_zone: bool, now_s: float
) -> float:
    """Return the expected cost of one more call on an upstream, in milliseconds.

    Args:
        load: The estimated load of the upstream.
        slots: The number of its slots.
        route: The estimated costs of the route's calls.
        same_zone: Whether it is in the caller's availability zone.
        now_s: The current time.
    """
    report = load.report
    work_ms = route.work_ms * load.slowness**SLOWNESS_EXPONENT
    age_s = now_s - load.reported_at_s
    others = (
        load.others_in_flight * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        if load.others_in_flight
        else 0.0
    )
    in_flight = load.own + others
    slots = max(slots, 1)
    used = min(in_flight / slots, 1.0)
    waiting = max(in_flight + 1 - slots, 0.0)
    cost_ms = work_ms * (1 + CONTENTION_RATIO * used * used)
    turn_ms = report.work_ms if report else INITIAL_SERVICE_TIME_MS
    cost_ms += QUEUEING_COST_FACTOR * waiting / slots * turn_ms
    if report:
        cost_ms += report.failing * FAILURE_COST_MS
        cost_ms += QUEUEING_COST_FACTOR * rate_wait_ms(load, now_s)
    return cost_ms if same_zone else cost_ms + zone_penalty_ms(route.answer_bytes)


def serves_in_useful_time(
    load: TargetLoad, slots: int, route: RouteCosts, remaining_target_ms: float
) -> bool:
    """Return whether an upstream is expected to answer most calls within their target.

    Only this node's own calls and the last report are counted, without their decay.
    """
    turn_ms = load.report.work_ms if load.report else INITIAL_SERVICE_TIME_MS
    slots = max(slots, 1)
    waiting = max(load.own + load.others_in_flight + 1 - slots, 0.0)
    work_ms = USEFUL_TIME_RATIO * route.work_ms * load.slowness
    return work_ms + waiting / slots * turn_ms <= remaining_target_ms


def select_cheapest(
    targets: Iterable[Target],
    cost_of: Callable[[Target], float],
    rng: random.Random,
) -> Target | None:
    """Return the target with the lowest cost; near ties are broken at random."""
    best: Target | None = None
    best_ms = 0.0
    for target in targets:
        cost_ms = cost_of(target) + rng.random() * MAX_NOISE_MS
        if best is None or cost_ms < best_ms:
            best, best_ms = target, cost_ms
    return best
