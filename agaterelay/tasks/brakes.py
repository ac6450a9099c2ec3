"""Braking of a faulty version by a single node, and the propagation of brakes.

A brake needs neither other nodes nor the platform. It is propagated by gossip, on the
responses that a braking node gives to other nodes, and at once to a few random hosts,
which pass it on.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

import attrs

from agaterelay.core.brake import (
    find_brake,
    find_combined_brake,
    is_suspect,
    merge_brakes,
    open_moves,
    select_open_brakes,
)
from agaterelay.core.messages import Brake
from agaterelay.core.model import MoveProgress
from agaterelay.core.steps import MoveView
from agaterelay.events import EventKind
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.tallies import (
    Tallies,
    find_first_failure_ms,
    freeze_trial,
    sum_own_windows,
    update_trials,
)

BRAKE_PERIOD_S = 0.1
# Latencies are checked at this interval; failures are checked in every brake period.
LATENCY_CHECK_PERIOD_S = 1.0
INQUIRY_PERIOD_S = 0.25
BROADCAST_HOST_COUNT = 3


@attrs.define
class BrakeMonitor:
    """The state of the brake tasks.

    Attributes:
        new_brakes: Set when brakes were added, which starts their broadcast.
        latency_checked_at_s: When all open moves were last checked.
        suspect_moves: Moves on which evidence of other hosts is needed, by trial.
    """

    node_context: NodeContext
    board: Board
    tallies: Tallies
    new_brakes: asyncio.Event = attrs.field(factory=asyncio.Event)
    latency_checked_at_s: float = 0.0
    suspect_moves: dict[str, MoveProgress] = attrs.field(factory=dict)


def apply_brakes(monitor: BrakeMonitor, brakes: Iterable[Brake]) -> None:
    """Apply brakes of this node or of peers; a brake can only lower a version's share."""
    board = monitor.board
    merged, added = merge_brakes(board.brakes, brakes, board.active)
    if not added:
        return
    board.brakes = dict(merged)
    now_s = monitor.node_context.clock.monotonic_s()
    for brake in added:
        freeze_trial(monitor.tallies, brake.trial, now_s)
        monitor.node_context.record(
            EventKind.MOVE_BRAKED,
            move=brake.move,
            trial=brake.trial,
            reason=brake.reason,
        )
    monitor.new_brakes.set()


def check_own_evidence(monitor: BrakeMonitor) -> list[MoveProgress]:
    """Brake moves on this node's own evidence, and remove brakes of closed moves.

    Returns:
        The moves whose new versions are suspect, but which this node's evidence alone
        does not justify braking.
    """
    board = monitor.board
    clock = monitor.node_context.clock
    now_s = clock.monotonic_s()
    now_ms = int(clock.now().timestamp() * 1000)
    update_trials(monitor.tallies, board.active, now_s)
    kept = select_open_brakes(board.brakes, board.active)
    if len(kept) != len(board.brakes):
        board.brakes = dict(kept)
    found, suspect = [], []
    for progress in _select_due_moves(monitor, now_s):
        windows = sum_own_windows(monitor.tallies, progress.trial, now_s)
        first_ms = find_first_failure_ms(monitor.tallies, progress.trial)
        brake = find_brake(progress, windows, first_ms, now_ms)
        if brake is not None:
            found.append(brake)
        elif is_suspect(progress, windows):
            suspect.append(progress)
    apply_brakes(monitor, found)
    return suspect


def _select_due_moves(monitor: BrakeMonitor, now_s: float) -> list[MoveProgress]:
    """Return the moves to check: those with new failures, and periodically all."""
    due = now_s - monitor.latency_checked_at_s >= LATENCY_CHECK_PERIOD_S
    if due:
        monitor.latency_checked_at_s = now_s
    failed_trials = set(monitor.tallies.failed_trials)
    monitor.tallies.failed_trials.clear()
    return [
        progress
        for progress in open_moves(monitor.board.active)
        if progress.trial not in monitor.board.brakes
        and (due or progress.trial in failed_trials)
    ]


async def run_brakes(monitor: BrakeMonitor) -> None:
    """Check this node's own evidence periodically until cancelled."""
    while True:
        await monitor.node_context.clock.sleep(BRAKE_PERIOD_S)
        for progress in check_own_evidence(monitor):
            monitor.suspect_moves[progress.trial] = progress


async def run_inquiries(
    monitor: BrakeMonitor, collect: Callable[[MoveProgress], Awaitable[MoveView]]
) -> None:
    """Collect other hosts' evidence on suspect versions until cancelled.

    A few failures on each of several nodes then suffice for a brake, without waiting
    for the next check by the node that steps the move.

    Args:
        monitor: The state of the brake tasks.
        collect: Returns the evidence on a move from all hosts that can be reached.
    """
    while True:
        await monitor.node_context.clock.sleep(INQUIRY_PERIOD_S)
        suspect_moves, monitor.suspect_moves = monitor.suspect_moves, {}
        for progress in suspect_moves.values():
            now_ms = int(monitor.node_context.clock.now().timestamp() * 1000)
            view = await collect(progress)
            brake = find_combined_brake(progress, view.reports, now_ms)
            apply_brakes(monitor, (*view.brakes, *([brake] if brake else ())))


async def run_brake_broadcast(
    monitor: BrakeMonitor, exchange: Callable[[str], Awaitable[object]]
) -> None:
    """Send new brakes to a few random hosts until cancelled.

    Args:
        monitor: The state of the brake tasks.
        exchange: Exchanges views with a host, including brakes.
    """
    while True:
        await monitor.new_brakes.wait()
        monitor.new_brakes.clear()
        board = monitor.board
        hosts = [
            member.host
            for member in board.members.values()
            if member.usable and member.host != board.own.host
        ]
        chosen = random.sample(hosts, min(BROADCAST_HOST_COUNT, len(hosts)))
        await asyncio.gather(*(exchange(host) for host in chosen))
