"""The keeper owns the revisions that a node holds and serves.

It handles revision notifications, fetches missing parts, builds and validates the
snapshot, stages it and notifies the hosts below it in the broadcast tree. A second loop
activates the staged revision once another host has recorded, as a witness, that this
host is about to serve it.
"""

from __future__ import annotations

import asyncio
import random

import attrs

from agaterelay.core.dissemination import tree_children
from agaterelay.core.floors import (
    FloorAnswer,
    Floors,
    find_floor,
    raise_common_floor,
    record_floor,
)
from agaterelay.core.membership import zone_hosts
from agaterelay.core.messages import Notify
from agaterelay.core.model import Finding, Head, Snapshot
from agaterelay.core.revision_candidates import (
    Candidate,
    RevisionCandidates,
    add_candidate,
    refuse_revision,
    remove_older,
)
from agaterelay.core.revision_state import (
    RevisionState,
    acknowledge,
    activate,
    may_activate,
    needs_witness,
    raise_floor,
    stage,
)
from agaterelay.core.timeline import tick
from agaterelay.events import EventKind
from agaterelay.ports import PeerError
from agaterelay.tasks.board import Board, NodeContext, RevisionNotification
from agaterelay.tasks.fetcher import (
    Bodies,
    MissingPartsError,
    load_snapshot,
    retain_bodies,
)
from agaterelay.tasks.witnesses import find_witness

CANDIDATE_RETRY_S = 0.5
MAX_NOTIFIED_HOSTS = 64


@attrs.define
class Keeper:
    """The revisions of a node, and the candidates for the next one.

    ``candidates_changed`` wakes the loading loop, ``activation_due`` the activation
    loop.
    """

    node_context: NodeContext
    board: Board
    line: RevisionState = RevisionState()
    candidates: RevisionCandidates = RevisionCandidates()
    floors: Floors = Floors()
    bodies: Bodies = attrs.field(factory=Bodies)
    candidates_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    activation_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    broadcast_task: asyncio.Task[None] | None = None


def handle_notification(keeper: Keeper, notification: RevisionNotification) -> None:
    """Add a revision to the candidates, of which the newest is loaded first."""
    board = keeper.board
    board.known_revision = max(board.known_revision, notification.head.revision)
    sources = (notification.source,) if notification.source else ()
    candidate = Candidate(notification.head, sources, notification.origin)
    candidates = add_candidate(keeper.candidates, candidate, keeper.line.held_revision)
    if candidates != keeper.candidates:
        keeper.candidates = candidates
        keeper.candidates_changed.set()


async def run_keeper(keeper: Keeper) -> None:
    """Load and stage revisions until cancelled."""
    while True:
        await keeper.candidates_changed.wait()
        keeper.candidates_changed.clear()
        while keeper.candidates.candidates:
            if not await load_newest_candidate(keeper):
                await _wait_before_retry(keeper)


async def _wait_before_retry(keeper: Keeper) -> None:
    delay_s = CANDIDATE_RETRY_S * random.uniform(0.5, 1.5)
    waits = {
        asyncio.create_task(keeper.candidates_changed.wait()),
        asyncio.create_task(keeper.node_context.clock.sleep(delay_s)),
    }
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in waits:
            task.cancel()


async def load_newest_candidate(keeper: Keeper) -> bool:
    """Try the candidates, the newest first.

    Returns:
        Whether a candidate was staged, rejected or superseded by a newer one.
    """
    newest = keeper.candidates.newest_revision

    def is_superseded() -> bool:
        return keeper.candidates.newest_revision > newest

    for candidate in keeper.candidates.candidates:
        try:
            snapshot, findings = await load_snapshot(
                keeper.node_context,
                keeper.board,
                keeper.bodies,
                candidate,
                is_superseded,
            )
        except MissingPartsError:
            if is_superseded():
                return True
            continue
        if snapshot is None:
            _reject(keeper, candidate.head, findings)
        else:
            apply_snapshot(keeper, snapshot, candidate.origin)
        return True
    return False


def _reject(keeper: Keeper, head: Head, findings: tuple[Finding, ...]) -> None:
    keeper.candidates = refuse_revision(keeper.candidates, head.digest)
    keeper.node_context.record(
        EventKind.REVISION_REFUSED,
        revision=head.revision,
        findings=[str(finding) for finding in findings[:10]],
    )


def apply_snapshot(keeper: Keeper, snapshot: Snapshot, origin: str) -> None:
    """Stage a snapshot and broadcast its revision."""
    context, board = keeper.node_context, keeper.board
    line = stage(keeper.line, snapshot)
    keeper.candidates = remove_older(keeper.candidates, line.held_revision)
    if line is keeper.line:
        return
    keeper.line = line
    board.held = Head(snapshot.revision, snapshot.digest)
    retain_bodies(keeper.bodies, snapshot.manifest, snapshot.digest)
    context.record(EventKind.REVISION_STAGED, revision=snapshot.revision)
    if keeper.broadcast_task is not None:
        keeper.broadcast_task.cancel()
    broadcast = broadcast_revision(keeper, board.held, origin or board.own.host)
    keeper.broadcast_task = asyncio.create_task(broadcast)
    keeper.activation_due.set()


async def run_activation(keeper: Keeper) -> None:
    """Activate staged revisions until cancelled."""
    while True:
        await keeper.activation_due.wait()
        keeper.activation_due.clear()
        while needs_witness(keeper.line):
            await activate_staged(keeper)


async def activate_staged(keeper: Keeper) -> None:
    """Find a witness for the staged revision, then activate it."""
    staged = keeper.line.staged
    if staged is None or not needs_witness(keeper.line):
        return
    floor = await find_witness(keeper.node_context, keeper.board, staged.revision)
    if keeper.line.active is None:
        set_floor(keeper, floor)
    keeper.line = acknowledge(keeper.line, staged.revision)
    activate_if_allowed(keeper)


def activate_if_allowed(keeper: Keeper) -> None:
    """Activate the staged revision, if that is allowed, and publish it on the board."""
    board = keeper.board
    board.floor = keeper.line.floor
    if not may_activate(keeper.line):
        return
    keeper.line = activate(keeper.line)
    revision = keeper.line.active_revision
    keeper.line = raise_floor(keeper.line, revision)
    keeper.floors = raise_common_floor(keeper.floors, revision)
    board.active = keeper.line.active
    board.floor = keeper.line.floor
    board.activated_ms = int(keeper.node_context.clock.now().timestamp() * 1000)
    board.changed.set()
    board.changed = asyncio.Event()
    keeper.node_context.record(EventKind.REVISION_ACTIVATED, revision=revision)


def set_floor(keeper: Keeper, revision: int) -> None:
    """Raise the floor, the lowest revision that the node may serve."""
    if keeper.line.floor is None:
        keeper.node_context.record(EventKind.FLOOR_KNOWN, revision=revision)
    keeper.line = raise_floor(keeper.line, revision)
    keeper.floors = raise_common_floor(keeper.floors, revision)
    keeper.board.floor = keeper.line.floor
    keeper.board.known_revision = max(keeper.board.known_revision, revision)
    keeper.activation_due.set()


async def broadcast_revision(keeper: Keeper, head: Head, origin: str) -> None:
    """Notify the hosts below this one in the zone's broadcast tree of a revision.

    If a host does not answer, the hosts below it are notified in its place.
    """
    context, board = keeper.node_context, keeper.board
    members = zone_hosts(board.members, context.settings.zone)
    notify = Notify(tick(context.timeline), board.own.host, origin, head)
    below = tree_children(members, origin, board.own.host)
    notified_count = 0
    while below and notified_count < MAX_NOTIFIED_HOSTS:
        notified_count += len(below)
        answers = await asyncio.gather(
            *(context.peers.notify(host, notify) for host in below),
            return_exceptions=True,
        )
        silent = [
            host
            for host, answer in zip(below, answers, strict=True)
            if isinstance(answer, PeerError)
        ]
        below = [
            item for host in silent for item in tree_children(members, origin, host)
        ]


def handle_witness(keeper: Keeper, host: str, revision: int) -> FloorAnswer:
    """Record the revision that a host is about to serve, and return its floor."""
    keeper.floors = record_floor(keeper.floors, host, revision)
    board = keeper.board
    age_s = None
    if board.head_read_s is not None:
        age_s = keeper.node_context.clock.monotonic_s() - board.head_read_s
    return FloorAnswer(
        witnessed=find_floor(keeper.floors, host),
        own=keeper.line.floor or 0,
        settled=keeper.line.floor is not None,
        head_revision=board.head_revision,
        head_age_s=age_s,
    )
