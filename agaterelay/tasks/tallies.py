"""Counts of this node's calls to the versions of services that are being moved.

Calls that ran on this host's upstreams are kept apart from calls that were forwarded to
other hosts. Only the former are reported to the node that steps the move, which sums
them over all hosts, so that no call is counted twice. This node's own brake uses both.
"""

from __future__ import annotations

import attrs

from agaterelay.core.brake import open_moves
from agaterelay.core.evidence import (
    TrialTallies,
    Windows,
    add_windows,
    begin_step,
    freeze_windows,
    record_calls,
    record_failure,
    sum_windows,
)
from agaterelay.core.model import MoveProgress, Snapshot
from agaterelay.core.outcome import Answered, NotRun, Outcome

# The latency of an upstream's first calls and seconds is left out, because a cold start
# is slow and says nothing about the version.
WARM_UP_CALLS = 10
WARM_UP_S = 10.0
MIN_FAILURE_STATUS = 500

TalliesByTrial = dict[str, TrialTallies]


@attrs.define
class WarmUp:
    """The time of an upstream's first call, and the number of calls since then."""

    first_s: float
    calls: int = 0


@attrs.define
class Tallies:
    """The call tallies of a node.

    Attributes:
        local: Tallies of calls that ran on this host's upstreams, by trial.
        forwarded: Tallies of calls that other hosts ran, by trial.
        warm_ups: The warm-up state of this host's upstreams, by address.
        failed_trials: Trials whose new version failed since the last check.
    """

    local: TalliesByTrial = attrs.field(factory=dict)
    forwarded: TalliesByTrial = attrs.field(factory=dict)
    warm_ups: dict[str, WarmUp] = attrs.field(factory=dict)
    failed_trials: set[str] = attrs.field(factory=set)


def update_trials(tallies: Tallies, snapshot: Snapshot | None, now_s: float) -> None:
    """Start tallies for the open moves of a revision, and remove closed trials."""
    moves = open_moves(snapshot)
    trials = {progress.trial for progress in moves}
    for by_trial in (tallies.local, tallies.forwarded):
        for progress in moves:
            trial_tallies = by_trial.get(progress.trial)
            if trial_tallies is None:
                trial_tallies = by_trial[progress.trial] = _make_trial_tallies(
                    progress, now_s
                )
            begin_step(trial_tallies, progress.step)
        for trial in by_trial.keys() - trials:
            del by_trial[trial]
    if not trials:
        tallies.warm_ups.clear()


def _make_trial_tallies(progress: MoveProgress, now_s: float) -> TrialTallies:
    return TrialTallies(progress.trial, progress.to_version, now_s)


def is_failure(outcome: Outcome) -> bool:
    """Return whether a call that ran failed: a server error, or no complete answer."""
    return not isinstance(outcome, Answered) or outcome.status >= MIN_FAILURE_STATUS


def record_local_call(
    tallies: Tallies,
    snapshot: Snapshot | None,
    service: str,
    key: tuple[str, str],
    address: str,
    outcome: Outcome,
    latency_ms: float,
    now_s: float,
    now_ms: int,
) -> None:
    """Record a call that ran on an upstream of this host.

    Args:
        tallies: The node's tallies.
        snapshot: The active configuration.
        service: The service of the call.
        key: The route of the call and the version that ran it.
        address: The upstream's address.
        outcome: The outcome of the call.
        latency_ms: The time that the upstream took, in milliseconds.
        now_s: The present time on the monotonic clock, in seconds.
        now_ms: The present time in milliseconds since the epoch.
    """
    progress = _find_open_move(snapshot, service)
    if progress is None or isinstance(outcome, NotRun):
        return
    warm_up = tallies.warm_ups.setdefault(address, WarmUp(now_s))
    warm_up.calls += 1
    measured_ms = latency_ms if is_warm(warm_up, now_s) else None
    _record_call(
        tallies.local,
        tallies.failed_trials,
        progress,
        key,
        is_failure(outcome),
        measured_ms,
        now_s,
        now_ms,
    )


def record_forwarded_call(
    tallies: Tallies,
    snapshot: Snapshot | None,
    service: str,
    key: tuple[str, str],
    outcome: Outcome,
    now_s: float,
    now_ms: int,
) -> None:
    """Record a call whose outcome was reported by another host's node.

    Callers leave out calls whose outcome that node did not report, since they say
    something about the network or that host, not about the version. The latency is left
    out because it includes the hop.
    """
    progress = _find_open_move(snapshot, service)
    if progress is None or isinstance(outcome, NotRun):
        return
    failed = is_failure(outcome)
    _record_call(
        tallies.forwarded,
        tallies.failed_trials,
        progress,
        key,
        failed,
        None,
        now_s,
        now_ms,
    )


def _find_open_move(snapshot: Snapshot | None, service: str) -> MoveProgress | None:
    moves = open_moves(snapshot)
    return next((item for item in moves if item.service == service), None)


def is_warm(warm_up: WarmUp, now_s: float) -> bool:
    """Return whether an upstream's latency is representative of its version."""
    return warm_up.calls > WARM_UP_CALLS and now_s - warm_up.first_s > WARM_UP_S


def _record_call(
    by_trial: TalliesByTrial,
    failed_trials: set[str],
    progress: MoveProgress,
    key: tuple[str, str],
    failed: bool,
    latency_ms: float | None,
    now_s: float,
    now_ms: int,
) -> None:
    trial_tallies = by_trial.get(progress.trial)
    if trial_tallies is None:
        trial_tallies = by_trial[progress.trial] = _make_trial_tallies(progress, now_s)
    begin_step(trial_tallies, progress.step)
    record_calls(trial_tallies, key, failed, latency_ms, now_s)
    if failed and key[1] == progress.to_version:
        record_failure(trial_tallies, now_s, now_ms)
        failed_trials.add(progress.trial)


def sum_own_windows(tallies: Tallies, trial: str, now_s: float) -> Windows:
    """Return this node's tallies of a trial, local and forwarded calls together."""
    own_tallies = [tallies.local.get(trial), tallies.forwarded.get(trial)]
    return add_windows(sum_windows(item, now_s) for item in own_tallies if item)


def find_first_failure_ms(tallies: Tallies, trial: str) -> int:
    """Return when the new version first failed on a call of this node, 0 for never.

    The time is in milliseconds since the epoch.
    """
    own_tallies = [tallies.local.get(trial), tallies.forwarded.get(trial)]
    times = [item.first_failure_ms for item in own_tallies if item]
    return min((time_ms for time_ms in times if time_ms), default=0)


def freeze_trial(tallies: Tallies, trial: str, now_s: float) -> None:
    """Keep the windows of a trial as they were when it was braked."""
    for by_trial in (tallies.local, tallies.forwarded):
        if trial in by_trial:
            freeze_windows(by_trial[trial], now_s)
