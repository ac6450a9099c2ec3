"""Decide a move's next step from the evidence."""

from __future__ import annotations

from datetime import datetime, timedelta

import attrs

from agaterelay.core.evidence import LATENCY_BOUNDS_MS, Evidence, Tally
from agaterelay.core.model import FINAL_MOVE_STATES, Move, MoveProgress, MoveState

FIRST_SHARE_PERMILLE = 20
FULL_SHARE_PERMILLE = 1000
MIN_CALLS = 5
MIN_FAILURES = 3
SLOW_FACTOR = 4.0


def find_failure(
    evidence: Evidence, from_version: str, to_version: str
) -> tuple[str, int]:
    """Compare the new version with the old one, route by route.

    Returns:
        The reason why the new version is bad, empty where none is seen, and how
        many calls it harmed.
    """
    harmed = sum(
        tally.failures for key, tally in evidence.items() if key[1] == to_version
    )
    for route, version in evidence:
        if version != to_version:
            continue
        new = evidence[route, to_version]
        old = evidence.get((route, from_version), Tally())
        if _fails_more(new, old):
            reason = f"route {route}: {new.failures} of {new.calls} calls failed"
            return reason, harmed
        if _is_slower(new, old):
            return f"route {route}: slower than {from_version}", harmed
    return "", harmed


def _fails_more(new: Tally, old: Tally) -> bool:
    if new.failures < MIN_FAILURES:
        return False
    new_rate = new.failures / new.calls
    old_rate = (old.failures + 1) / (old.calls + 20)
    return new_rate > 3 * old_rate


def _is_slower(new: Tally, old: Tally) -> bool:
    if new.calls < 4 * MIN_CALLS or old.calls < 4 * MIN_CALLS:
        return False
    return median_ms(new) > SLOW_FACTOR * median_ms(old)


def median_ms(tally: Tally) -> float:
    """Return the upper bound of the bucket that holds the median, in milliseconds."""
    half = tally.calls / 2
    total = 0
    for bound, count in zip(
        (*LATENCY_BOUNDS_MS, 10_000), tally.latency_buckets, strict=True
    ):
        total += count
        if total >= half:
            return float(bound)
    return 0.0


def next_progress(
    move: Move, progress: MoveProgress, evidence: Evidence, brake: str, now: datetime
) -> MoveProgress | None:
    """Decide a move's next state.

    Args:
        move: The move as the document describes it.
        progress: How far it has come.
        evidence: What calls showed since the last step.
        brake: Why a node stopped sending work to the new version, empty for none.
        now: The present time.

    Returns:
        The new progress, None where nothing changes.
    """
    if progress.state in FINAL_MOVE_STATES:
        return None
    reason, harmed = find_failure(evidence, progress.from_version, progress.to_version)
    reason = reason or brake
    if reason:
        return _revert(progress, reason, harmed, now)
    if now >= progress.finish_by and progress.state is not MoveState.BAKING:
        return _revert(progress, "not finished by its time", harmed, now)
    if progress.state is MoveState.BAKING:
        if progress.stepped_at and now >= progress.stepped_at + timedelta(
            seconds=move.bake_s
        ):
            return attrs.evolve(progress, state=MoveState.DONE, finished_at=now)
        return None
    return _step_up(progress, evidence, now)


def _revert(
    progress: MoveProgress, reason: str, harmed: int, now: datetime
) -> MoveProgress:
    return attrs.evolve(
        progress,
        state=MoveState.REVERTED,
        share_permille=0,
        reason=reason,
        first_failure_at=progress.first_failure_at or now,
        calls_harmed=harmed,
        finished_at=now,
        stepped_at=now,
    )


def _step_up(
    progress: MoveProgress, evidence: Evidence, now: datetime
) -> MoveProgress | None:
    if progress.state is MoveState.WAITING:
        return attrs.evolve(
            progress,
            state=MoveState.STEPPING,
            share_permille=FIRST_SHARE_PERMILLE,
            stepped_at=now,
        )
    calls = sum(
        tally.calls for key, tally in evidence.items() if key[1] == progress.to_version
    )
    if calls < MIN_CALLS:
        return None
    share = min(progress.share_permille * 2, FULL_SHARE_PERMILLE)
    state = MoveState.BAKING if share == FULL_SHARE_PERMILLE else MoveState.STEPPING
    return attrs.evolve(progress, state=state, share_permille=share, stepped_at=now)
