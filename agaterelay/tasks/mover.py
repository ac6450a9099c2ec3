"""The mover takes the moves of this host's turn through their steps.

It gathers what all owners of the service's upstreams saw, decides, and commits. Every
node also brakes by itself on what it sees, without asking anybody.
"""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.core.evidence import Evidence, add_evidence
from agaterelay.core.membership import Members
from agaterelay.core.messages import Brake, EvidenceReport
from agaterelay.core.model import FINAL_MOVE_STATES, MoveProgress, Snapshot
from agaterelay.core.rendezvous import rank
from agaterelay.core.steps import find_failure, next_progress
from agaterelay.events import EventKind
from agaterelay.ports import PlatformError
from agaterelay.tasks.board import Board, World
from agaterelay.tasks.committer import Committer, commit_move
from agaterelay.tasks.owner import Owner

BRAKE_PERIOD_S = 0.25


@attrs.define
class Mover:
    """The mover's state."""

    world: World
    board: Board
    owner: Owner
    committer: Committer


def open_moves(snapshot: Snapshot | None) -> list[MoveProgress]:
    """Return the moves that are not finished."""
    if snapshot is None:
        return []
    return [
        progress
        for progress in snapshot.progress.values()
        if progress.state not in FINAL_MOVE_STATES
    ]


def take_brakes(board: Board, record: object, brakes: tuple[Brake, ...]) -> None:
    """Take in brakes; a brake is only ever added while its move is open."""
    running = {progress.name for progress in open_moves(board.active)}
    for brake in brakes:
        if brake.move in running and brake.move not in board.brakes:
            board.brakes = {**board.brakes, brake.move: brake}
            record(EventKind.MOVE_BRAKED, move=brake.move, reason=brake.reason)


async def run_brakes(mover: Mover) -> None:
    """Watch this host's own evidence and brake on a failure, until cancelled."""
    while True:
        await mover.world.clock.sleep(BRAKE_PERIOD_S)
        for progress in open_moves(mover.board.active):
            evidence = mover.owner.evidence.get(progress.name, {})
            reason, _ = find_failure(
                evidence, progress.from_version, progress.to_version
            )
            if reason and progress.name not in mover.board.brakes:
                now_ms = int(mover.world.clock.now().timestamp() * 1000)
                brake = Brake(progress.name, reason, now_ms)
                take_brakes(mover.board, mover.world.record, (brake,))
        _drop_finished(mover)


def _drop_finished(mover: Mover) -> None:
    running = {progress.name for progress in open_moves(mover.board.active)}
    kept = {name: item for name, item in mover.board.brakes.items() if name in running}
    if len(kept) != len(mover.board.brakes):
        mover.board.brakes = kept


def serve_evidence(mover: Mover, move: str) -> EvidenceReport:
    """Tell a peer what this node saw of a move."""
    brakes = tuple(item for item in mover.board.brakes.values() if item.move == move)
    return EvidenceReport(mover.owner.evidence.get(move, {}), brakes)


async def run_mover(mover: Mover) -> None:
    """Step the moves of this host's turn until cancelled."""
    while True:
        await mover.world.clock.sleep(mover.world.settings.move_step_s)
        snapshot = mover.board.active
        for progress in open_moves(snapshot):
            if is_stepper(mover.board, progress.name):
                await step(mover, snapshot, progress)


def is_stepper(board: Board, move: str) -> bool:
    """Return whether this host steps a move."""
    hosts = [member.host for member in board.members.values() if member.usable]
    return rank(hosts, f"move {move}")[:1] == [board.own.host]


async def step(mover: Mover, snapshot: Snapshot, progress: MoveProgress) -> None:
    """Gather evidence on a move and commit its next state, where there is one."""
    evidence, brake = await gather_evidence(mover, progress)
    now = mover.world.clock.now()
    move = snapshot.moves[progress.name]
    following = next_progress(move, progress, evidence, brake, now)
    if following is None:
        return
    change_id = f"{progress.name}:{snapshot.revision}:{following.state}"
    note = f"{progress.name} {following.state} {following.share_permille} permille"
    try:
        await commit_move(mover.committer, following, change_id, note)
    except PlatformError as error:
        mover.world.record(EventKind.PLATFORM_LOST, reason=str(error))
        return
    finished = following.state in FINAL_MOVE_STATES
    mover.world.record(
        EventKind.MOVE_FINISHED if finished else EventKind.MOVE_STEPPED,
        move=progress.name,
        state=str(following.state),
        share_permille=following.share_permille,
        reason=following.reason,
    )


async def gather_evidence(mover: Mover, progress: MoveProgress) -> tuple[Evidence, str]:
    """Return what all owners of the service's upstreams saw, and any brake."""
    hosts = owners_of(mover.board.members, progress.service)
    reports = await asyncio.gather(
        *(
            mover.world.peers.evidence(host, progress.name)
            for host in hosts
            if host != mover.board.own.host
        ),
        return_exceptions=True,
    )
    known = [item for item in reports if isinstance(item, EvidenceReport)]
    known.append(serve_evidence(mover, progress.name))
    reasons = [brake.reason for report in known for brake in report.brakes]
    evidence = add_evidence(report.evidence for report in known)
    return evidence, reasons[0] if reasons else ""


def owners_of(members: Members, service: str) -> list[str]:
    """Return the hosts that have upstreams of a service."""
    return [
        member.host
        for member in members.values()
        if member.usable and any(item.service == service for item in member.upstreams)
    ]
