"""The call rate of a service, and the share and time that a move's steps need."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from agaterelay.core.evidence import Report
from agaterelay.core.model import Move, MoveProgress, MoveState

FIRST_SHARE_PERMILLE = 10
# With a low call rate the first share may be larger, as it is still only a few calls.
MAX_FIRST_SHARE_PERMILLE = 100
# A part of the calls stays on the old version while the new one bakes, so that errors
# common to both can be distinguished from errors of the new version.
BAKE_SHARE_PERMILLE = 900
FULL_SHARE_PERMILLE = 1000
RAISE_FACTOR = 2
MIN_STEP_DWELL_S = 2.0
MIN_STEP_CALLS = 5
# The part of the new version's slots that its share of the calls may use on average.
MAX_SLOT_USE_RATIO = 0.9
# The time until a commit is in force and calls under it are counted.
COMMIT_DELAY_S = 1.0


@attrs.frozen
class Demand:
    """The load of a service: calls per second, and the mean number in flight."""

    rate: float = 0.0
    in_flight: float = 0.0


def sum_demand(reports: Iterable[Report]) -> Demand:
    """Return the total demand that the inbound proxies of a service reported."""
    reports = list(reports)
    return Demand(
        sum(report.rate for report in reports),
        sum(report.in_flight for report in reports),
    )


def share_limit(demand: Demand, new_slots: int) -> int:
    """Return the largest share that the new version's slots can serve, in permille."""
    if not new_slots:
        return 0
    if not demand.in_flight:
        return FULL_SHARE_PERMILLE
    limit = FULL_SHARE_PERMILLE * MAX_SLOT_USE_RATIO * new_slots / demand.in_flight
    return min(int(limit), FULL_SHARE_PERMILLE)


def choose_first_share(demand: Demand, remaining_s: float) -> int:
    """Return the smallest first share that yields enough calls in its time, in permille.

    Args:
        demand: The service's demand.
        remaining_s: The remaining time for all steps.
    """
    step_s = remaining_s / 2 / remaining_steps(FIRST_SHARE_PERMILLE)
    if demand.rate <= 0 or step_s <= 0:
        return FIRST_SHARE_PERMILLE
    share = 1000 * MIN_STEP_CALLS / (demand.rate * step_s)
    return int(min(max(share, FIRST_SHARE_PERMILLE), MAX_FIRST_SHARE_PERMILLE))


def remaining_steps(share_permille: int) -> int:
    """Return how many times a share is raised before the bake begins."""
    count = 0
    share = share_permille
    while share < BAKE_SHARE_PERMILLE:
        share = max(share * RAISE_FACTOR, FIRST_SHARE_PERMILLE)
        count += 1
    return count


def min_remaining_time_s(
    move: Move, progress: MoveProgress, demand: Demand, dwell_s: float
) -> float:
    """Return the minimum time for the remaining steps, in seconds.

    Args:
        move: The move as the document describes it.
        progress: The progress of the move.
        demand: The service's demand.
        dwell_s: The time since the last step.
    """
    if progress.state is MoveState.BAKING:
        return max(move.bake_s / 2 - dwell_s, 0.0)
    share = progress.share_permille or MAX_FIRST_SHARE_PERMILLE
    total_s = move.bake_s / 2 - min(dwell_s, _step_duration_s(share, demand))
    while share < BAKE_SHARE_PERMILLE:
        total_s += _step_duration_s(share, demand)
        share *= RAISE_FACTOR
    return total_s


def _step_duration_s(share_permille: int, demand: Demand) -> float:
    if not demand.rate:
        return MIN_STEP_DWELL_S + COMMIT_DELAY_S
    calls_s = 1000 * MIN_STEP_CALLS / (demand.rate * share_permille)
    return max(MIN_STEP_DWELL_S + COMMIT_DELAY_S, calls_s)
