"""What this node's calls showed of the versions of services under a move.

Calls that ran on this host's upstreams and calls that were sent on to other hosts are
kept apart: the former are told to the stepping node, which sums them over all owners,
so that no call counts twice there. The node's own brake looks at both.
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

# Calls and seconds for which the latency of an upstream that has just started is left
# out: a cold start is slow and says nothing about the version.
WARM_UP_CALLS = 10
WARM_UP_S = 10.0
FIRST_ERROR_STATUS = 500

# Ledgers by trial.
Ledgers = dict[str, TrialTallies]


@attrs.define
class WarmUp:
    """The calls of an upstream since its first one."""

    first_s: float
    calls: int = 0


@attrs.define
class Tallies:
    """The ledgers of a node, and which of its upstreams are warm.

    ``failing`` has the trials whose new version failed since the last look.
    """

    ran: Ledgers = attrs.field(factory=dict)
    forwarded: Ledgers = attrs.field(factory=dict)
    warm_ups: dict[str, WarmUp] = attrs.field(factory=dict)
    failing: set[str] = attrs.field(factory=set)


def follow_moves(tallies: Tallies, snapshot: Snapshot | None, now_s: float) -> None:
    """Begin the ledgers and steps of a revision's moves, and forget closed trials."""
    moves = open_moves(snapshot)
    trials = {progress.trial for progress in moves}
    for ledgers in (tallies.ran, tallies.forwarded):
        for progress in moves:
            ledger = ledgers.get(progress.trial)
            if ledger is None:
                ledger = ledgers[progress.trial] = _new_ledger(progress, now_s)
            begin_step(ledger, progress.step)
        for trial in ledgers.keys() - trials:
            del ledgers[trial]
    if not trials:
        tallies.warm_ups.clear()


def _new_ledger(progress: MoveProgress, now_s: float) -> TrialTallies:
    return TrialTallies(progress.trial, progress.to_version, now_s)


def is_failure(outcome: Outcome) -> bool:
    """Return whether a call that ran failed: an error, or a cut or lost answer."""
    return not isinstance(outcome, Answered) or outcome.status >= FIRST_ERROR_STATUS


def note_ran(
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
    """Count a call that ran on an upstream of this host.

    Args:
        tallies: The node's tallies.
        snapshot: The revision that is served.
        service: The service of the call.
        key: Its route, and the version it ran on.
        address: The upstream's address.
        outcome: How it ended.
        latency_ms: How long the upstream took.
        now_s: The present time on the steady clock.
        now_ms: The present time in milliseconds since 1970.
    """
    progress = _move_of(snapshot, service)
    if progress is None or isinstance(outcome, NotRun):
        return
    warm_up = tallies.warm_ups.setdefault(address, WarmUp(now_s))
    warm_up.calls += 1
    measured_ms = latency_ms if is_warm(warm_up, now_s) else None
    _note(
        tallies.ran,
        tallies.failing,
        progress,
        key,
        is_failure(outcome),
        measured_ms,
        now_s,
        now_ms,
    )


def note_forwarded(
    tallies: Tallies,
    snapshot: Snapshot | None,
    service: str,
    key: tuple[str, str],
    outcome: Outcome,
    now_s: float,
    now_ms: int,
) -> None:
    """Count a call that another host's node ran and told the end of.

    A call of which that node said nothing is not counted: it tells of the network or
    of that host. Latency is not counted either, for it includes the hop.
    """
    progress = _move_of(snapshot, service)
    if progress is None or isinstance(outcome, NotRun):
        return
    failed = is_failure(outcome)
    _note(
        tallies.forwarded, tallies.failing, progress, key, failed, None, now_s, now_ms
    )


def _move_of(snapshot: Snapshot | None, service: str) -> MoveProgress | None:
    moves = open_moves(snapshot)
    return next((item for item in moves if item.service == service), None)


def is_warm(warm_up: WarmUp, now_s: float) -> bool:
    """Return whether an upstream's latency says something of its version."""
    return warm_up.calls > WARM_UP_CALLS and now_s - warm_up.first_s > WARM_UP_S


def _note(
    ledgers: Ledgers,
    failing: set[str],
    progress: MoveProgress,
    key: tuple[str, str],
    failed: bool,
    latency_ms: float | None,
    now_s: float,
    now_ms: int,
) -> None:
    ledger = ledgers.get(progress.trial)
    if ledger is None:
        ledger = ledgers[progress.trial] = _new_ledger(progress, now_s)
    begin_step(ledger, progress.step)
    record_calls(ledger, key, failed, latency_ms, now_s)
    if failed and key[1] == progress.to_version:
        record_failure(ledger, now_s, now_ms)
        failing.add(progress.trial)


def own_windows(tallies: Tallies, trial: str, now_s: float) -> Windows:
    """Return all that this node saw of a trial, run here or forwarded."""
    ledgers = [tallies.ran.get(trial), tallies.forwarded.get(trial)]
    return add_windows(sum_windows(ledger, now_s) for ledger in ledgers if ledger)


def first_failure_ms(tallies: Tallies, trial: str) -> int:
    """Return when this node first saw the new version fail, 0 where it did not."""
    ledgers = [tallies.ran.get(trial), tallies.forwarded.get(trial)]
    times = [ledger.first_failure_ms for ledger in ledgers if ledger]
    return min((time_ms for time_ms in times if time_ms), default=0)


def freeze_trial(tallies: Tallies, trial: str, now_s: float) -> None:
    """Keep the windows of a trial as they are at its brake."""
    for ledgers in (tallies.ran, tallies.forwarded):
        if trial in ledgers:
            freeze_windows(ledgers[trial], now_s)
