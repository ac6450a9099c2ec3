"""Stop sending work to a new version at once, on what one node alone saw.

A brake belongs to one trial of one move: it holds until the move is final or until a
revision begins a new trial, and it never touches a later move of the same name.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from agaterelay.core.evidence import Report, Windows
from agaterelay.core.messages import Brake
from agaterelay.core.model import FINAL_MOVE_STATES, MoveProgress, Snapshot
from agaterelay.core.steps import current_reports
from agaterelay.core.verdict import (
    GATHERED_ALARM,
    LOCAL_ALARM,
    SUSPECT_ALARM,
    find_failure,
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
    """Return the brake that one node's own evidence calls for, None for none.

    Args:
        progress: The move.
        windows: What this node saw of its trial.
        first_failure_ms: When it first saw a call fail, 0 where none did.
        now_ms: The present time in milliseconds since 1970.
    """
    suspicion = find_failure(windows, progress.from_version, progress.to_version)
    if suspicion is None or not suspicion.passes(LOCAL_ALARM):
        return None
    return Brake(progress.trial, suspicion.reason, first_failure_ms or now_ms)


def is_suspect(progress: MoveProgress, windows: Windows) -> bool:
    """Return whether one node's evidence is reason enough to ask the others."""
    suspicion = find_failure(windows, progress.from_version, progress.to_version)
    return suspicion is not None and suspicion.chance < SUSPECT_ALARM


def find_gathered_brake(
    progress: MoveProgress, reports: Mapping[str, Report], now_ms: int
) -> Brake | None:
    """Return the brake that the evidence of several owners calls for.

    Args:
        progress: The move.
        reports: What the owners saw, by host.
        now_ms: The present time in milliseconds since 1970.
    """
    current = current_reports(progress, reports)
    suspicion = judge_reports(current, progress.from_version, progress.to_version)
    if suspicion is None or not suspicion.passes(GATHERED_ALARM):
        return None
    times_ms = [report.first_failure_ms for report in current.values()]
    first_ms = min((time_ms for time_ms in times_ms if time_ms), default=now_ms)
    return Brake(progress.trial, suspicion.reason, first_ms)


def add_brakes(
    known: Brakes, brakes: Iterable[Brake], snapshot: Snapshot | None
) -> tuple[Brakes, list[Brake]]:
    """Take in brakes on trials that are open.

    Returns:
        All brakes, and those that are new.
    """
    trials = {progress.trial for progress in open_moves(snapshot)}
    merged = dict(known)
    added = []
    for brake in brakes:
        if brake.trial in trials and brake.trial not in merged:
            merged[brake.trial] = brake
            added.append(brake)
    return merged, added


def keep_open(known: Brakes, snapshot: Snapshot | None) -> Brakes:
    """Return the brakes whose trials are still open."""
    trials = {progress.trial for progress in open_moves(snapshot)}
    return {trial: brake for trial, brake in known.items() if trial in trials}


def encode_brakes(brakes: Iterable[Brake]) -> str:
    """Return brakes as one line of ASCII text, for the answers between nodes."""
    return json.dumps(
        [(brake.trial, brake.reason, brake.first_failure_ms) for brake in brakes]
    )


def decode_brakes(text: str) -> tuple[Brake, ...]:
    """Return the brakes of a line of text, none where it is not well formed."""
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
