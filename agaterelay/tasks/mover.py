"""The mover takes the moves of this host's turn through their steps.

It gathers what all owners of the service's upstreams saw, decides, and commits. Two
movers at once do no harm: a step has an effect only on the progress it was decided on.
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
from agaterelay.tasks.brakes import Braker, take_brakes
from agaterelay.tasks.committer import Committer, commit_move
from agaterelay.tasks.gather import Gatherer, gather_view


@attrs.define
class Mover:
    """The mover's state."""

    node_context: NodeContext
    board: Board
    gatherer: Gatherer
    braker: Braker
    committer: Committer


async def run_mover(mover: Mover) -> None:
    """Step the moves of this host's turn until cancelled."""
    while True:
        await mover.node_context.clock.sleep(mover.node_context.settings.move_step_s)
        snapshot = mover.board.active
        turns = [
            step(mover, snapshot, progress)
            for progress in open_moves(snapshot)
            if is_stepper(mover.board, progress.name)
        ]
        await asyncio.gather(*turns)


def is_stepper(board: Board, move: str) -> bool:
    """Return whether this host steps a move."""
    hosts = [member.host for member in board.members.values() if member.usable]
    return rank(hosts, f"move {move}")[:1] == [board.own.host]


async def step(mover: Mover, snapshot: Snapshot, progress: MoveProgress) -> None:
    """Gather evidence on a move and commit its next state, where there is one."""
    view = await gather_view(mover.gatherer, progress)
    take_brakes(mover.braker, view.brakes)
    now = mover.node_context.clock.now()
    move = snapshot.moves[progress.name]
    following = next_progress(move, progress, view, now)
    if following is None:
        return
    if following.state is MoveState.REVERTED:
        # The commit may have to wait for the platform; the brake must not.
        first_ms = int((following.first_failure_at or now).timestamp() * 1000)
        brake = Brake(progress.trial, following.reason, first_ms)
        take_brakes(mover.braker, (brake,))
    own = mover.board.own
    change_id = f"{progress.trial}:{snapshot.revision}:{own.host}:{own.incarnation}"
    try:
        record = await commit_move(mover.committer, progress, following, change_id)
    except PlatformError as error:
        mover.node_context.record(EventKind.PLATFORM_LOST, reason=str(error))
        return
    if record is None:
        mover.node_context.record(EventKind.MOVE_SUPERSEDED, move=progress.name)
        return
    finished = following.state in FINAL_MOVE_STATES
    mover.node_context.record(
        EventKind.MOVE_FINISHED if finished else EventKind.MOVE_STEPPED,
        move=progress.name,
        state=str(following.state),
        share_permille=following.share_permille,
        late=following.late,
        reason=following.reason or following.late_reason,
    )


async def describe_moves(mover: Mover) -> list[dict[str, Any]]:
    """Return every move of the served revision with its evidence, for JSON."""
    snapshot = mover.board.active
    described = []
    for progress in snapshot.manifest.moves if snapshot else ():
        view = MoveView()
        if progress.state not in FINAL_MOVE_STATES:
            view = await gather_view(mover.gatherer, progress)
        described.append(describe_move(progress, view.reports.values(), view.brakes))
    return described
