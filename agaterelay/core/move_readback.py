"""Describe a move's state and evidence for operators."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from agaterelay.core.evidence import (
    Evidence,
    Report,
    Tally,
    Window,
    add_windows,
)
from agaterelay.core.manifest import to_json_value
from agaterelay.core.messages import Brake
from agaterelay.core.model import MoveProgress


def describe_move(
    progress: MoveProgress, reports: Iterable[Report], brakes: Iterable[Brake]
) -> dict[str, Any]:
    """Return a move's state, its evidence by route and its brakes as JSON values."""
    windows = add_windows(
        report.windows for report in reports if report.trial == progress.trial
    )
    return {
        **to_json_value(progress),
        "braked": [brake.reason for brake in brakes if brake.trial == progress.trial],
        "evidence": _describe_evidence(windows[Window.TRIAL], progress),
    }


def _describe_evidence(
    evidence: Evidence, progress: MoveProgress
) -> list[dict[str, Any]]:
    routes = sorted({route for route, _ in evidence})
    return [
        {
            "route": route,
            "old": _describe_tally(evidence.get((route, progress.from_version))),
            "new": _describe_tally(evidence.get((route, progress.to_version))),
        }
        for route in routes
    ]


def _describe_tally(tally: Tally | None) -> dict[str, int]:
    tally = tally or Tally()
    return {"calls": tally.calls, "failures": tally.failures}
