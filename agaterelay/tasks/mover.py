"""The mover takes the moves of this host's turn through their steps.

It gathers what all owners of the service's upstreams saw, decides, and commits. Two
movers at once do no harm: a step has an effect only on the progress it was decided on.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from agaterelay.core.brake import open_moves
from agaterelay.core.evidence import Report, report_of
from agaterelay.core.membership import Members
from agaterelay.core.messages import EvidenceReport
from agaterelay.core.model import FINAL_MOVE_STATES, MoveProgress, Snapshot
from agaterelay.core.move_readback import describe_move
from agaterelay.core.rendezvous import rank
from agaterelay.core.steps import MoveView, next_progress
from agaterelay.events import EventKind
from agaterelay.ports import PlatformError
from agaterelay.tasks.board import Board, World
from agaterelay.tasks.brakes import Braker, take_brakes
from agaterelay.tasks.committer import Committer, commit_move
from agaterelay.tasks.tallies import Tallies


@attrs.define
class Mover:
    """The mover's state."""

    world: World
    board: Board
    tallies: Tallies
    braker: Braker
    committer: Committer


def serve_evidence(mover: Mover, trial: str) -> EvidenceReport:
    """Tell a peer what this node saw of a trial."""
    now_s = mover.world.clock.monotonic_s()
    ledger = mover.tallies.ran.get(trial)
    report = report_of(ledger, now_s) if ledger else Report(trial)
    brake = mover.board.brakes.get(trial)
    return EvidenceReport(report, (brake,) if brake else ())


async def run_mover(mover: Mover) -> None:
    """Step the moves of this host's turn until cancelled."""
    while True:
        await mover.world.clock.sleep(mover.world.settings.move_step_s)
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
    view = await gather_view(mover, progress)
    take_brakes(mover.braker, view.brakes)
    now = mover.world.clock.now()
    move = snapshot.moves[progress.name]
    following = next_progress(move, progress, view, now)
    if following is None:
        return
    own = mover.board.own
    change_id = f"{progress.trial}:{snapshot.revision}:{own.host}:{own.incarnation}"
    try:
        record = await commit_move(mover.committer, progress, following, change_id)
    except PlatformError as error:
        mover.world.record(EventKind.PLATFORM_LOST, reason=str(error))
        return
    if record is None:
        mover.world.record(EventKind.MOVE_SUPERSEDED, move=progress.name)
        return
    finished = following.state in FINAL_MOVE_STATES
    mover.world.record(
        EventKind.MOVE_FINISHED if finished else EventKind.MOVE_STEPPED,
        move=progress.name,
        state=str(following.state),
        share_permille=following.share_permille,
        late=following.late,
        reason=following.reason or following.late_reason,
    )


async def gather_view(mover: Mover, progress: MoveProgress) -> MoveView:
    """Return what all owners of the service's upstreams saw, and any brake."""
    own_host = mover.board.own.host
    hosts = owners_of(mover.board.members, progress.service)
    others = [host for host in hosts if host != own_host]
    answers = await asyncio.gather(
        *(mover.world.peers.evidence(host, progress.trial) for host in others),
        return_exceptions=True,
    )
    known = {
        host: answer
        for host, answer in zip(others, answers, strict=True)
        if isinstance(answer, EvidenceReport)
    }
    known[own_host] = serve_evidence(mover, progress.trial)
    return MoveView(
        reports={host: answer.report for host, answer in known.items()},
        complete=len(known) > len(others),
        brakes=tuple(brake for answer in known.values() for brake in answer.brakes),
        new_slots=slots_of(mover.board.members, progress.service, progress.to_version),
    )


def owners_of(members: Members, service: str) -> list[str]:
    """Return the hosts that have upstreams of a service."""
    return [
        member.host
        for member in members.values()
        if member.usable and any(item.service == service for item in member.upstreams)
    ]


def slots_of(members: Members, service: str, version: str) -> int:
    """Return how many calls a version's upstreams take at once."""
    return sum(
        item.slots
        for member in members.values()
        if member.usable
        for item in member.upstreams
        if (item.service, item.version) == (service, version) and not item.draining
    )


async def describe_moves(mover: Mover) -> list[dict[str, Any]]:
    """Return every move of the served revision with its evidence, for JSON."""
    snapshot = mover.board.active
    described = []
    for progress in snapshot.manifest.moves if snapshot else ():
        view = MoveView()
        if progress.state not in FINAL_MOVE_STATES:
            view = await gather_view(mover, progress)
        described.append(describe_move(progress, view.reports.values(), view.brakes))
    return described
