"""Decide a move's next state from the evidence, the brakes and the time left."""

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
    calls_of,
)
from agaterelay.core.lifecycle import Trigger, state_after
from agaterelay.core.messages import Brake
from agaterelay.core.model import FINAL_MOVE_STATES, Move, MoveProgress, MoveState
from agaterelay.core.verdict import (
    CONFIRM_ALARM,
    GATHERED_ALARM,
    SUSPECT_ALARM,
    Suspicion,
    harmed_calls,
    judge_reports,
)

LOWER_RATIO = 0.7
MAX_DWELL_S = 60.0
# The part of the time left that steps may take up while nothing presses.
DWELL_PART = 0.5
STEP_CALLS = 20
# The time over which the demand is watched before the first call moves.
WATCH_S = 2.0
MAX_CLEARED = 3
# The time without any call after which the move is said to be late.
SILENCE_S = 10.0
# How much less time a late move must need before it is said to be on time again.
ON_TIME_RATIO = 0.7


@attrs.frozen
class MoveView:
    """What the stepping node gathered of a move.

    ``complete`` says that every owner of the service's upstreams answered;
    ``new_slots`` is how many calls the new version's upstreams take at once.
    """

    reports: dict[str, Report] = attrs.field(factory=dict)
    complete: bool = True
    brakes: tuple[Brake, ...] = ()
    new_slots: int = 0


def next_progress(
    move: Move, progress: MoveProgress, view: MoveView, now: datetime
) -> MoveProgress | None:
    """Decide a move's next state.

    Args:
        move: The move as the document describes it.
        progress: How far it has come.
        view: What the nodes saw of its present trial.
        now: The present time.

    Returns:
        The new progress, None where nothing changes.
    """
    if progress.state in FINAL_MOVE_STATES:
        return None
    view = attrs.evolve(view, reports=current_reports(progress, view.reports))
    suspicion = judge_reports(view.reports, progress.from_version, progress.to_version)
    alarm = CONFIRM_ALARM if view.brakes else GATHERED_ALARM
    if suspicion is not None and suspicion.passes(alarm):
        return take_back(progress, suspicion.reason, now, view)
    if view.brakes:
        return _after_false_brake(progress, view, now)
    if now >= progress.finish_by:
        return _at_deadline(move, progress, view, suspicion, now)
    following = _step(move, progress, view, suspicion, now)
    return following or note_lateness(move, progress, view, now)


def current_reports(
    progress: MoveProgress, reports: Mapping[str, Report]
) -> dict[str, Report]:
    """Return the reports on the present trial.

    The windows of a node that has not heard of the newest step yet cover an earlier
    one, so that they say nothing of the present one but how a trial went as a whole.
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
    """Return the reverted progress, None where the move is final already."""
    view = view or MoveView()
    return _advance(
        progress,
        Trigger.TAKE_BACK,
        share_permille=0,
        reason=reason,
        first_failure_at=_first_failure(progress, view),
        calls_harmed=progress.calls_harmed
        + harmed_calls(view.reports.values(), progress.to_version),
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


def _after_false_brake(
    progress: MoveProgress, view: MoveView, now: datetime
) -> MoveProgress | None:
    """Begin a new trial where the evidence of all owners does not confirm a brake."""
    if not view.complete:
        return None
    if progress.cleared >= MAX_CLEARED:
        return take_back(progress, view.brakes[0].reason, now, view)
    return _advance(
        progress,
        Trigger.CLEAR,
        cleared=progress.cleared + 1,
        share_permille=min(progress.share_permille, FIRST_SHARE_PERMILLE),
        calls_harmed=progress.calls_harmed
        + harmed_calls(view.reports.values(), progress.to_version),
        stepped_at=now,
    )


def _at_deadline(
    move: Move,
    progress: MoveProgress,
    view: MoveView,
    suspicion: Suspicion | None,
    now: datetime,
) -> MoveProgress | None:
    """Finish a version that has baked for half its time and shows nothing bad."""
    baked_s = _seconds_since(progress.stepped_at, now)
    clean = suspicion is None or suspicion.chance > SUSPECT_ALARM
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
    suspicion: Suspicion | None,
    now: datetime,
) -> MoveProgress | None:
    """Raise, lower or finish the share where the evidence allows it."""
    demand = sum_demand(view.reports.values())
    limit = share_limit(demand, view.new_slots)
    left_s = (progress.finish_by - now).total_seconds() - move.bake_s
    if progress.state is MoveState.WAITING:
        return _begin(progress, demand, limit, left_s, now)
    if limit < LOWER_RATIO * progress.share_permille:
        share = max(limit, 1)
        return _advance(progress, Trigger.LOWER, share_permille=share, stepped_at=now)
    if suspicion is not None and suspicion.chance < SUSPECT_ALARM:
        return None
    dwell_s = _seconds_since(progress.stepped_at, now)
    if progress.state is MoveState.BAKING:
        return _finish(progress, now) if dwell_s >= move.bake_s else None
    windows = add_windows(report.windows for report in view.reports.values())
    if not _is_passed(progress, windows, dwell_s, left_s):
        return None
    wanted = progress.share_permille * RAISE_FACTOR
    share = min(wanted, limit, BAKE_SHARE_PERMILLE)
    if share <= progress.share_permille:
        return None
    trigger = Trigger.FILL if share == BAKE_SHARE_PERMILLE else Trigger.RAISE
    return _advance(progress, trigger, share_permille=share, stepped_at=now)


def _begin(
    progress: MoveProgress, demand: Demand, limit: int, left_s: float, now: datetime
) -> MoveProgress | None:
    if _seconds_since(progress.started_at, now) < WATCH_S:
        return None
    share = min(choose_first_share(demand, left_s), limit)
    if not share:
        return None
    return _advance(progress, Trigger.BEGIN, share_permille=share, stepped_at=now)


def _is_passed(
    progress: MoveProgress, windows: Windows, dwell_s: float, left_s: float
) -> bool:
    """Return whether a step was long enough and each route showed enough calls.

    While time allows, a step wants many calls; where it does not, as few as can
    still show a version that mostly fails.
    """
    steps = remaining_steps(progress.share_permille)
    part_s = DWELL_PART * (left_s + dwell_s) / max(steps, 1)
    pressed = dwell_s >= part_s
    wanted_s = min(max(part_s, MIN_STEP_DWELL_S), MAX_DWELL_S)
    if dwell_s < wanted_s:
        return False
    evidence = windows[Window.STEP]
    needed = MIN_STEP_CALLS if pressed else STEP_CALLS
    if calls_of(evidence, progress.to_version) < needed:
        return False
    return pressed or all(_shown_routes(progress, evidence))


def _shown_routes(progress: MoveProgress, evidence: Evidence) -> Iterable[bool]:
    """Tell of each route in use whether the new version served any of its calls."""
    for (route, version), tally in evidence.items():
        if version == progress.from_version and tally.calls:
            yield (route, progress.to_version) in evidence


def lateness(move: Move, progress: MoveProgress, view: MoveView, now: datetime) -> str:
    """Return why the time cannot be met as things are, empty where it can."""
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
    silent = _seconds_since(progress.started_at, now) >= SILENCE_S and not demand.rate
    if silent and progress.state is not MoveState.BAKING:
        return "there are no calls to judge by"
    reason = f"the steps left need {needed_s:.0f} s or more"
    return reason if needed_s > allowed_s else ""


def note_lateness(
    move: Move, progress: MoveProgress, view: MoveView, now: datetime
) -> MoveProgress | None:
    """Return the progress with its lateness said or withdrawn, None without news."""
    reason = lateness(move, progress, view, now)
    if bool(reason) == progress.late:
        return None
    changed = attrs.evolve(progress, late=bool(reason), late_reason=reason)
    return _advance(changed, Trigger.UPDATE)
