"""Decide a move's next state from the evidence, the brakes and the remaining time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import datetime

import attrs

from agaterelay.core.demand import (
    BAKE_SHARE_PERMILLE,
    FIRST_SHARE_PERMILLE,
    FULL_SHARE_PERMILLE,
    MIN_STEP_CALLS,
    MIN_STEP_DWELL_S,
    RAISE_FACTOR,
    Demand,
    choose_first_share,
    min_remaining_time_s,
    remaining_steps,
    share_limit,
    sum_demand,
)
from agaterelay.core.evidence import (
    Evidence,
    Report,
    Window,
    Windows,
    add_windows,
    count_calls,
)
from agaterelay.core.lifecycle import Trigger, state_after
from agaterelay.core.messages import Brake
from agaterelay.core.model import FINAL_MOVE_STATES, Move, MoveProgress, MoveState
from agaterelay.core.verdict import (
    COMBINED_ALARM_P_VALUE,
    CONFIRMATION_P_VALUE,
    SUSPECT_P_VALUE,
    Regression,
    count_failed_calls,
    judge_reports,
)

LOWER_RATIO = 0.7
MAX_DWELL_S = 60.0
# Ratio of the remaining time that the steps may use before they are shortened.
DWELL_TIME_RATIO = 0.5
TARGET_STEP_CALLS = 20
# How long the demand is measured before the first call goes to the new version.
OBSERVATION_S = 2.0
MAX_CLEARED_ALARMS = 3
# How long a move may see no calls before it is reported as late.
MAX_IDLE_S = 10.0
# A late move is on time again once it needs at most this ratio of the allowed time.
ON_TIME_RATIO = 0.7


@attrs.frozen
class MoveView:
    """What the node that steps a move collected on it.

    ``is_complete`` is set if every node with upstreams of the service answered.
    ``new_slots`` is how many concurrent calls the new version's upstreams accept.
    """

    reports: dict[str, Report] = attrs.field(factory=dict)
    is_complete: bool = True
    brakes: tuple[Brake, ...] = ()
    new_slots: int = 0


def next_progress(
    move: Move, progress: MoveProgress, view: MoveView, now: datetime
) -> MoveProgress | None:
    """Decide a move's next state.

    Args:
        move: The move as written in the document.
        progress: The move's committed progress.
        view: The nodes' evidence on the current trial.
        now: The current time.

    Returns:
        The new progress, or None if nothing changes.
    """
    if progress.state in FINAL_MOVE_STATES:
        return None
    view = attrs.evolve(view, reports=current_reports(progress, view.reports))
    regression = judge_reports(view.reports, progress.from_version, progress.to_version)
    alarm = CONFIRMATION_P_VALUE if view.brakes else COMBINED_ALARM_P_VALUE
    if regression is not None and regression.is_significant(alarm):
        return take_back(progress, regression.reason, now, view)
    if view.brakes:
        return _clear_false_brake(progress, view, now)
    if now >= progress.finish_by:
        return _at_deadline(move, progress, view, regression, now)
    following = _step(move, progress, view, regression, now)
    return following or update_lateness(move, progress, view, now)


def current_reports(
    progress: MoveProgress, reports: Mapping[str, Report]
) -> dict[str, Report]:
    """Return the reports on the current trial.

    The windows of a node that does not know the newest step yet cover an earlier step.
    Only its window of the whole trial is kept.
    """
    return {
        host: report
        if report.step == progress.step
        else attrs.evolve(
            report, windows={Window.TRIAL: report.windows.get(Window.TRIAL, {})}
        )
        for host, report in reports.items()
        if report.trial == progress.trial
    }


def _advance(
    progress: MoveProgress, trigger: Trigger, **changes: object
) -> MoveProgress | None:
    state = state_after(progress.state, trigger)
    if state is None:
        return None
    step = progress.step + (trigger is not Trigger.UPDATE)
    return attrs.evolve(progress, state=state, step=step, **changes)


def take_back(
    progress: MoveProgress, reason: str, now: datetime, view: MoveView | None = None
) -> MoveProgress | None:
    """Return the reverted progress, or None if the move is already final."""
    view = view or MoveView()
    return _advance(
        progress,
        Trigger.TAKE_BACK,
        share_permille=0,
        reason=reason,
        first_failure_at=_first_failure(progress, view),
        calls_harmed=progress.calls_harmed
        + count_failed_calls(view.reports.values(), progress.to_version),
        finished_at=now,
        stepped_at=now,
    )


def _first_failure(progress: MoveProgress, view: MoveView) -> datetime | None:
    times_ms = [report.first_failure_ms for report in view.reports.values()]
    times_ms += [brake.first_failure_ms for brake in view.brakes]
    known = [time_ms for time_ms in times_ms if time_ms]
    if progress.first_failure_at is not None or not known:
        return progress.first_failure_at
    zone = progress.started_at.tzinfo
    return datetime.fromtimestamp(min(known) / 1000, zone)


def _clear_false_brake(
    progress: MoveProgress, view: MoveView, now: datetime
) -> MoveProgress | None:
    """Begin a new trial if the evidence of all nodes does not confirm a brake."""
    if not view.is_complete:
        return None
    if progress.cleared >= MAX_CLEARED_ALARMS:
        return take_back(progress, view.brakes[0].reason, now, view)
    return _advance(
        progress,
        Trigger.CLEAR,
        cleared=progress.cleared + 1,
        share_permille=min(progress.share_permille, FIRST_SHARE_PERMILLE),
        calls_harmed=progress.calls_harmed
        + count_failed_calls(view.reports.values(), progress.to_version),
        stepped_at=now,
    )


def _at_deadline(
    move: Move,
    progress: MoveProgress,
    view: MoveView,
    regression: Regression | None,
    now: datetime,
) -> MoveProgress | None:
    """Finish a move that baked for half its time without a regression, else revert it."""
    baked_s = _seconds_since(progress.stepped_at, now)
    clean = regression is None or regression.p_value > SUSPECT_P_VALUE
    if progress.state is MoveState.BAKING and clean and baked_s * 2 >= move.bake_s:
        return _finish(progress, now)
    reason = progress.late_reason or "the steps took too long"
    return take_back(progress, f"not finished by its time: {reason}", now, view)


def _finish(progress: MoveProgress, now: datetime) -> MoveProgress | None:
    return _advance(
        progress, Trigger.FINISH, share_permille=FULL_SHARE_PERMILLE, finished_at=now
    )


def _seconds_since(time: datetime | None, now: datetime) -> float:
    return (now - time).total_seconds() if time else 0.0


def _step(
    move: Move,
    progress: MoveProgress,
    view: MoveView,
    regression: Regression | None,
    now: datetime,
) -> MoveProgress | None:
    """Raise or lower the share, or finish the move, as the evidence allows."""
    demand = sum_demand(view.reports.values())
    limit = share_limit(demand, view.new_slots)
    remaining_steps_s = (progress.finish_by - now).total_seconds() - move.bake_s
    if progress.state is MoveState.WAITING:
        return _begin(progress, demand, limit, remaining_steps_s, now)
    if limit < LOWER_RATIO * progress.share_permille:
        share = max(limit, 1)
        return _advance(progress, Trigger.LOWER, share_permille=share, stepped_at=now)
    if regression is not None and regression.p_value < SUSPECT_P_VALUE:
        return None
    dwell_s = _seconds_since(progress.stepped_at, now)
    if progress.state is MoveState.BAKING:
        return _finish(progress, now) if dwell_s >= move.bake_s else None
    windows = add_windows(report.windows for report in view.reports.values())
    if not _is_step_complete(progress, windows, dwell_s, remaining_steps_s):
        return None
    target_share = progress.share_permille * RAISE_FACTOR
    share = min(target_share, limit, BAKE_SHARE_PERMILLE)
    if share <= progress.share_permille:
        return None
    trigger = Trigger.FILL if share == BAKE_SHARE_PERMILLE else Trigger.RAISE
    return _advance(progress, trigger, share_permille=share, stepped_at=now)


def _begin(
    progress: MoveProgress,
    demand: Demand,
    limit: int,
    remaining_steps_s: float,
    now: datetime,
) -> MoveProgress | None:
    if _seconds_since(progress.started_at, now) < OBSERVATION_S:
        return None
    share = min(choose_first_share(demand, remaining_steps_s), limit)
    if not share:
        return None
    return _advance(progress, Trigger.BEGIN, share_permille=share, stepped_at=now)


def _is_step_complete(
    progress: MoveProgress, windows: Windows, dwell_s: float, remaining_steps_s: float
) -> bool:
    """Return whether a step was long enough and had enough calls on each route.

    A step needs many calls while time allows, otherwise only as many as are needed to
    detect a version that mostly fails.
    """
    steps = remaining_steps(progress.share_permille)
    time_per_step_s = DWELL_TIME_RATIO * (remaining_steps_s + dwell_s) / max(steps, 1)
    is_short_of_time = dwell_s >= time_per_step_s
    target_dwell_s = min(max(time_per_step_s, MIN_STEP_DWELL_S), MAX_DWELL_S)
    if dwell_s < target_dwell_s:
        return False
    evidence = windows[Window.STEP]
    needed = MIN_STEP_CALLS if is_short_of_time else TARGET_STEP_CALLS
    if count_calls(evidence, progress.to_version) < needed:
        return False
    return is_short_of_time or all(_check_route_coverage(progress, evidence))


def _check_route_coverage(progress: MoveProgress, evidence: Evidence) -> Iterable[bool]:
    """Yield for each route in use whether the new version served any of its calls."""
    for (route, version), tally in evidence.items():
        if version == progress.from_version and tally.calls:
            yield (route, progress.to_version) in evidence


def find_late_reason(
    move: Move, progress: MoveProgress, view: MoveView, now: datetime
) -> str:
    """Return why the move will miss its deadline, or an empty string."""
    demand = sum_demand(view.reports.values())
    dwell_s = _seconds_since(progress.stepped_at, now)
    needed_s = min_remaining_time_s(move, progress, demand, dwell_s)
    allowed_s = (progress.finish_by - now).total_seconds()
    if progress.late:
        allowed_s *= ON_TIME_RATIO
    if not view.new_slots:
        reason = f"no upstream of {progress.to_version} takes work"
        return reason if needed_s > allowed_s else ""
    if share_limit(demand, view.new_slots) < BAKE_SHARE_PERMILLE:
        return f"the slots of {progress.to_version} do not suffice for all calls"
    is_idle = _seconds_since(progress.started_at, now) >= MAX_IDLE_S and not demand.rate
    if is_idle and progress.state is not MoveState.BAKING:
        return "there are no calls to judge by"
    reason = f"the steps left need {needed_s:.0f} s or more"
    return reason if needed_s > allowed_s else ""


def update_lateness(
    move: Move, progress: MoveProgress, view: MoveView, now: datetime
) -> MoveProgress | None:
    """Return the progress with its lateness set or cleared, None if unchanged."""
    reason = find_late_reason(move, progress, view, now)
    if bool(reason) == progress.late:
        return None
    changed = attrs.evolve(progress, late=bool(reason), late_reason=reason)
    return _advance(changed, Trigger.UPDATE)
