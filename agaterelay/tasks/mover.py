"""The mover advances the moves that are assigned to this host, step by step.

It collects the evidence of all hosts with upstreams of the service, decides, and commits.
Two movers may work on one move at a time without harm, because a step is applied only to
the progress on which it was decided.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from agaterelay.core.brake import open_moves
from agaterelay.core.messages import Brake
from agaterelay.core.model import FINAL_MOVE_STATES, MoveProgress, MoveState, Snapshot
from agaterelay.core.move_readback import describe_move
from agaterelay.core.rendezvous import rank
from agaterelay.core.steps import MoveView, next_progress
from agaterelay.events import EventKind
from agaterelay.ports import PlatformError
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.brakes import BrakeMonitor, apply_brakes
from agaterelay.tasks.committer import Committer, commit_move
from agaterelay.tasks.evidence_collector import EvidenceCollector, collect_evidence


@attrs.define
class Mover:
    """The mover's state."""

    node_context: NodeContext
    board: Board
    evidence_collector: EvidenceCollector
    brake_monitor: BrakeMonitor
    committer: Committer


async def run_mover(mover: Mover) -> None:
    """Step the moves that are assigned to this host until cancelled."""
    while True:
        await mover.node_context.clock.sleep(mover.node_context.settings.move_step_s)
        snapshot = mover.board.active
        steps = [
            step_move(mover, snapshot, progress)
            for progress in open_moves(snapshot)
            if is_stepper(mover.board, progress.name)
        ]
        await asyncio.gather(*steps)


def is_stepper(board: Board, move: str) -> bool:
    """Return whether a move is assigned to this host, by rendezvous hashing."""
    hosts = [member.host for member in board.members.values() if member.usable]
    return rank(hosts, f"move {move}")[:1] == [board.own.host]


async def step_move(mover: Mover, snapshot: Snapshot, progress: MoveProgress) -> None:
    """Collect the evidence on a move and commit its next state, if there is one."""
    view = await collect_evidence(mover.evidence_collector, progress)
    apply_brakes(mover.brake_monitor, view.brakes)
    now = mover.node_context.clock.now()
    move = snapshot.moves[progress.name]
    next_state = next_progress(move, progress, view, now)
    if next_state is None:
        return
    if next_state.state is MoveState.REVERTED:
        # The commit may have to wait for the platform, so the brake is applied first.
        first_ms = int((next_state.first_failure_at or now).timestamp() * 1000)
        brake = Brake(progress.trial, next_state.reason, first_ms)
        apply_brakes(mover.brake_monitor, (brake,))
    own = mover.board.own
    change_id = f"{progress.trial}:{snapshot.revision}:{own.host}:{own.incarnation}"
    try:
        record = await commit_move(mover.committer, progress, next_state, change_id)
    except PlatformError as error:
        mover.node_context.record(EventKind.PLATFORM_LOST, reason=str(error))
        return
    if record is None:
        mover.node_context.record(EventKind.MOVE_SUPERSEDED, move=progress.name)
        return
    finished = next_state.state in FINAL_MOVE_STATES
    mover.node_context.record(
        EventKind.MOVE_FINISHED if finished else EventKind.MOVE_STEPPED,
        move=progress.name,
        state=str(next_state.state),
        share_permille=next_state.share_permille,
        late=next_state.late,
        reason=next_state.reason or next_state.late_reason,
    )


async def describe_moves(mover: Mover) -> list[dict[str, Any]]:
    """Return all moves of the active revision with their evidence, as JSON values."""
    snapshot = mover.board.active
    described = []
    for progress in snapshot.manifest.moves if snapshot else ():
        view = MoveView()
        if progress.state not in FINAL_MOVE_STATES:
            view = await collect_evidence(mover.evidence_collector, progress)
        described.append(describe_move(progress, view.reports.values(), view.brakes))
    return described
