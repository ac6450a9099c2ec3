"""What calls a service gets, and what share and time a move needs for them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from agaterelay.core.evidence import Report
from agaterelay.core.model import Move, MoveProgress, MoveState

FIRST_SHARE_PERMILLE = 10
# With few calls the first share may be larger, for it is still only a few calls.
MAX_FIRST_SHARE_PERMILLE = 100
# A part of the calls stays on the old version while the new one bakes, so that errors
# common to both can still be told from the new version's own.
BAKE_SHARE_PERMILLE = 900
FULL_SHARE_PERMILLE = 1000
RAISE_FACTOR = 2
MIN_DWELL_S = 2.0
MIN_STEP_CALLS = 5
# The part of the new version's slots that the share may fill on average.
SLOTS_PART = 0.9
# The time that a commit takes to be in force and its calls to be counted.
COMMIT_S = 1.0


@attrs.frozen
class Demand:
    """The calls a service gets: per second, and in flight at once on average."""

    rate: float = 0.0
    in_flight: float = 0.0


def demand_of(reports: Iterable[Report]) -> Demand:
    """Return the demand that the owners of a service's upstreams saw together."""
    reports = list(reports)
    return Demand(
        sum(report.rate for report in reports),
        sum(report.in_flight for report in reports),
    )


def share_limit(demand: Demand, new_slots: int) -> int:
    """Return the share that the new version's slots can take, in permille."""
    if not new_slots:
        return 0
    if not demand.in_flight:
        return FULL_SHARE_PERMILLE
    limit = FULL_SHARE_PERMILLE * SLOTS_PART * new_slots / demand.in_flight
    return min(int(limit), FULL_SHARE_PERMILLE)


def first_share(demand: Demand, left_s: float) -> int:
    """Return the smallest first share that shows enough calls in its part of the time.

    Args:
        demand: The service's calls.
        left_s: The time left for all steps.
    """
    part_s = left_s / 2 / steps_left(FIRST_SHARE_PERMILLE)
    if demand.rate <= 0 or part_s <= 0:
        return FIRST_SHARE_PERMILLE
    wanted = 1000 * MIN_STEP_CALLS / (demand.rate * part_s)
    return int(min(max(wanted, FIRST_SHARE_PERMILLE), MAX_FIRST_SHARE_PERMILLE))


def steps_left(share_permille: int) -> int:
    """Return how many raises lead from a share to the bake."""
    count = 0
    share = share_permille
    while share < BAKE_SHARE_PERMILLE:
        share = max(share * RAISE_FACTOR, FIRST_SHARE_PERMILLE)
        count += 1
    return count


def remaining_s(
    move: Move, progress: MoveProgress, demand: Demand, dwell_s: float
) -> float:
    """Return the least time that the steps still needed take, in seconds.

    Args:
        move: The move as the document describes it.
        progress: How far it has come.
        demand: The service's calls.
        dwell_s: The time since the last step.
    """
    if progress.state is MoveState.BAKING:
        return max(move.bake_s / 2 - dwell_s, 0.0)
    share = progress.share_permille or MAX_FIRST_SHARE_PERMILLE
    total_s = move.bake_s / 2 - min(dwell_s, _step_s(share, demand))
    while share < BAKE_SHARE_PERMILLE:
        total_s += _step_s(share, demand)
        share *= RAISE_FACTOR
    return total_s


def _step_s(share_permille: int, demand: Demand) -> float:
    if not demand.rate:
        return MIN_DWELL_S + COMMIT_S
    calls_s = 1000 * MIN_STEP_CALLS / (demand.rate * share_permille)
    return max(MIN_DWELL_S + COMMIT_S, calls_s)
