"""Place calls on the upstreams of a service by what answers reported of their load.

This answers the load of many callers on few upstreams that differ in speed: every
answer from a gate carries how many calls are in its slots and its queue, how long one
takes there and how many failed. Between two reports a node counts its own calls. How
fast an upstream is, is learned route by route against the others: the mean time of its
calls alone says more about which routes it got than about its speed. An upstream in another availability zone costs a delay and bytes, so that it is chosen
only when the own zone is worse by more than that.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

# What a call to another availability zone costs beside its time there: the way, and
# the answer's bytes, which the users pay for and which their links have to carry.
ZONE_PENALTY_MS = 6.0
ZONE_PENALTY_MS_PER_KB = 6.0
# What a failed call costs its caller: about one more try and the wait for it.
FAILURE_COST_MS = 900.0
# How much slower a call is on an upstream whose slots are all taken.
CROWDING = 0.3
# Full weight would leave the slow ones idle while the fast ones are refusing.
SPEED_WEIGHT = 0.5
# A call that queues delays others too, and leaves a slot elsewhere idle meanwhile.
QUEUE_FACTOR = 8.0
# Reports of others' calls lose half of their weight in this time.
REPORT_HALF_LIFE_S = 0.4
FIRST_WORK_MS = 60.0
# Differences below this are noise; chance decides between such upstreams.
NOISE_MS = 3.0
ROUTE_SMOOTHING = 0.03
SPEED_SMOOTHING = 0.08
# One call says little: an outlier counts as this much slower at most.
MAX_SLOWNESS = 8.0

Target = TypeVar("Target")


@attrs.frozen
class LoadReport:
    """What a gate says of its upstream with every answer.

    ``in_flight`` counts calls in slots and in the queue, ``work_ms`` is the smoothed
    time of a call in its slot, ``failing`` the smoothed share of calls that failed.
    """

    in_flight: int = 0
    slots: int = 1
    work_ms: float = FIRST_WORK_MS
    failing: float = 0.0


@attrs.define
class TargetLoad:
    """What one node knows of one upstream.

    ``own`` counts this node's calls there, ``others`` those of all other nodes as last
    reported. ``slowness`` is how long a call takes against the mean of its route.
    """

    report: LoadReport | None = None
    others: float = 0.0
    reported_s: float = 0.0
    own: int = 0
    slowness: float = 1.0


@attrs.define
class RouteCosts:
    """The mean time and answer of a route's calls over all upstreams."""

    work_ms: float = FIRST_WORK_MS
    answer_bytes: float = 0.0


def note_report(load: TargetLoad, report: LoadReport, now_s: float) -> None:
    """Take in what an answer reported; own calls are known better here."""
    load.report = report
    load.others = max(report.in_flight - load.own, 0)
    load.reported_s = now_s


def note_answer(
    route: RouteCosts, load: TargetLoad, ran_ms: float, answer_bytes: int
) -> None:
    """Learn from how long a call took in its slot, and from its answer's size."""
    ratio = min(ran_ms / max(route.work_ms, 0.1), MAX_SLOWNESS)
    load.slowness += SPEED_SMOOTHING * (ratio - load.slowness)
    route.work_ms += ROUTE_SMOOTHING * (ran_ms - route.work_ms)
    route.answer_bytes += ROUTE_SMOOTHING * (answer_bytes - route.answer_bytes)


def zone_penalty_ms(answer_bytes: float) -> float:
    """Return what it costs to take a call to another availability zone."""
    return ZONE_PENALTY_MS + ZONE_PENALTY_MS_PER_KB * answer_bytes / 1000


def expected_ms(
    load: TargetLoad, slots: int, route: RouteCosts, same_zone: bool, now_s: float
) -> float:
    """Return what one more call would cost on an upstream, in milliseconds.

    Args:
        load: What is known of the upstream.
        slots: Its slots.
        route: What is known of the route's calls.
        same_zone: Whether it is in the caller's availability zone.
        now_s: The present time.
    """
    report = load.report
    work_ms = route.work_ms * load.slowness**SPEED_WEIGHT
    age_s = now_s - load.reported_s
    others = load.others * 0.5 ** (age_s / REPORT_HALF_LIFE_S) if load.others else 0.0
    in_flight = load.own + others
    slots = max(slots, 1)
    used = min(in_flight / slots, 1.0)
    waiting = max(in_flight + 1 - slots, 0.0)
    cost_ms = work_ms * (1 + CROWDING * used * used)
    turn_ms = report.work_ms if report else FIRST_WORK_MS
    cost_ms += QUEUE_FACTOR * waiting / slots * turn_ms
    if report:
        cost_ms += report.failing * FAILURE_COST_MS
    return cost_ms if same_zone else cost_ms + zone_penalty_ms(route.answer_bytes)


def cheapest(
    targets: Iterable[Target],
    cost_of: Callable[[Target], float],
    draw: random.Random,
) -> Target | None:
    """Return the target with the least cost; chance decides between near ones."""
    best: Target | None = None
    best_ms = 0.0
    for target in targets:
        cost_ms = cost_of(target) + draw.random() * NOISE_MS
        if best is None or cost_ms < best_ms:
            best, best_ms = target, cost_ms
    return best
