"""Stop sending calls to a new version at once, on one node's evidence.

A brake applies to one trial of one move: until the move is final or a revision begins
a new trial. It never affects a later move of the same name.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from agaterelay.core.evidence import Report, Windows
from agaterelay.core.messages import Brake
from agaterelay.core.model import FINAL_MOVE_STATES, MoveProgress, Snapshot
from agaterelay.core.steps import current_reports
from agaterelay.core.verdict import (
    COMBINED_ALARM_P_VALUE,
    LOCAL_ALARM_P_VALUE,
    SUSPECT_P_VALUE,
    find_regression,
    judge_reports,
)

# Brakes by trial.
Brakes = Mapping[str, Brake]


def open_moves(snapshot: Snapshot | None) -> list[MoveProgress]:
    """Return the moves that are not finished."""
    if snapshot is None:
        return []
    return [
        progress
        for progress in snapshot.progress.values()
        if progress.state not in FINAL_MOVE_STATES
    ]


def find_brake(
    progress: MoveProgress, windows: Windows, first_failure_ms: int, now_ms: int
) -> Brake | None:
    """Return the brake that one node's own evidence justifies, or None.

    Args:
        progress: The move.
        windows: This node's tallies of the trial, by window.
        first_failure_ms: The time of the first failed call in milliseconds since
            1970, 0 if none failed.
        now_ms: The current time in milliseconds since 1970.
    """
    regression = find_regression(windows, progress.from_version, progress.to_version)
    if regression is None or not regression.is_significant(LOCAL_ALARM_P_VALUE):
        return None
    return Brake(progress.trial, regression.reason, first_failure_ms or now_ms)


def is_suspect(progress: MoveProgress, windows: Windows) -> bool:
    """Return whether one node's evidence justifies collecting the other nodes'."""
    regression = find_regression(windows, progress.from_version, progress.to_version)
    return regression is not None and regression.p_value < SUSPECT_P_VALUE


def find_combined_brake(
    progress: MoveProgress, reports: Mapping[str, Report], now_ms: int
) -> Brake | None:
    """Return the brake that the combined evidence of several nodes justifies, or None.

    Args:
        progress: The move.
        reports: The reports of the nodes with upstreams of the service, by host.
        now_ms: The current time in milliseconds since 1970.
    """
    current = current_reports(progress, reports)
    regression = judge_reports(current, progress.from_version, progress.to_version)
    if regression is None or not regression.is_significant(COMBINED_ALARM_P_VALUE):
        return None
    times_ms = [report.first_failure_ms for report in current.values()]
    first_ms = min((time_ms for time_ms in times_ms if time_ms), default=now_ms)
    return Brake(progress.trial, regression.reason, first_ms)


def merge_brakes(
    known: Brakes, brakes: Iterable[Brake], snapshot: Snapshot | None
) -> tuple[Brakes, list[Brake]]:
    """Merge brakes on open trials into the known ones.

    Returns:
        All brakes, and the new ones.
    """
    trials = {progress.trial for progress in open_moves(snapshot)}
    merged = dict(known)
    added = []
    for brake in brakes:
        if brake.trial in trials and brake.trial not in merged:
            merged[brake.trial] = brake
            added.append(brake)
    return merged, added


def select_open_brakes(known: Brakes, snapshot: Snapshot | None) -> Brakes:
    """Return the brakes whose trials are still open."""
    trials = {progress.trial for progress in open_moves(snapshot)}
    return {trial: brake for trial, brake in known.items() if trial in trials}


def encode_brakes(brakes: Iterable[Brake]) -> str:
    """Encode brakes as one line of ASCII text for headers between nodes."""
    return json.dumps(
        [(brake.trial, brake.reason, brake.first_failure_ms) for brake in brakes]
    )


def decode_brakes(text: str) -> tuple[Brake, ...]:
    """Decode brakes from a line of text; malformed text gives none."""
    if not text:
        return ()
    try:
        rows = json.loads(text)
        return tuple(
            Brake(str(trial), str(reason), int(time_ms))
            for trial, reason, time_ms in rows
        )
    except (ValueError, TypeError, RecursionError):
        return ()
