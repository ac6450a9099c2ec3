"""The keeper owns the node's line of revisions.

It takes news of revisions, fetches the parts that it lacks, builds and checks the
whole, stages it, and tells the hosts below it in the tree. A second loop makes what is
staged active, once another host remembers that this one is about to serve it.
"""

from __future__ import annotations

import asyncio
import random

import attrs

from agaterelay.core.floors import (
    FloorAnswer,
    Floors,
    find_floor,
    raise_common_floor,
    record_floor,
)
from agaterelay.core.line import (
    RevisionState,
    acknowledge,
    activate,
    may_activate,
    needs_witness,
    raise_floor,
    stage,
)
from agaterelay.core.membership import zone_hosts
from agaterelay.core.messages import Notify
from agaterelay.core.model import Finding, Head, Snapshot
from agaterelay.core.news import (
    Candidate,
    RevisionCandidates,
    add_candidate,
    refuse_revision,
    remove_older,
)
from agaterelay.core.spread import tree_children
from agaterelay.core.timeline import tick
from agaterelay.events import EventKind
from agaterelay.ports import PeerError
from agaterelay.tasks.board import Board, Seen, World
from agaterelay.tasks.fetcher import (
    Bodies,
    MissingPartsError,
    load_snapshot,
    retain_bodies,
)
from agaterelay.tasks.witnesses import find_witness

RETRY_S = 0.5
MAX_NOTIFIED = 64


@attrs.define
class Keeper:
    """The keeper's state."""

    world: World
    board: Board
    line: RevisionState = RevisionState()
    news: RevisionCandidates = RevisionCandidates()
    floors: Floors = Floors()
    bodies: Bodies = attrs.field(factory=Bodies)
    heard: asyncio.Event = attrs.field(factory=asyncio.Event)
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    spreading: asyncio.Task[None] | None = None


def post(keeper: Keeper, seen: Seen) -> None:
    """Tell the keeper of a revision; it goes for the newest that it heard of."""
    board = keeper.board
    board.known_revision = max(board.known_revision, seen.head.revision)
    sources = (seen.source,) if seen.source else ()
    candidate = Candidate(seen.head, sources, seen.origin)
    news = add_candidate(keeper.news, candidate, keeper.line.held_revision)
    if news != keeper.news:
        keeper.news = news
        keeper.heard.set()


async def run_keeper(keeper: Keeper) -> None:
    """Take in revisions until cancelled."""
    while True:
        await keeper.heard.wait()
        keeper.heard.clear()
        while keeper.news.candidates:
            if not await take_in_newest(keeper):
                await _wait_for_news(keeper)


async def _wait_for_news(keeper: Keeper) -> None:
    delay_s = RETRY_S * random.uniform(0.5, 1.5)
    waits = {
        asyncio.create_task(keeper.heard.wait()),
        asyncio.create_task(keeper.world.clock.sleep(delay_s)),
    }
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in waits:
            task.cancel()


async def take_in_newest(keeper: Keeper) -> bool:
    """Try the candidates, the newest first; return whether one was dealt with."""
    newest = keeper.news.newest_revision

    def is_superseded() -> bool:
        return keeper.news.newest_revision > newest

    for candidate in keeper.news.candidates:
        try:
            snapshot, findings = await load_snapshot(
                keeper.world,
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
            _refuse(keeper, candidate.head, findings)
        else:
            take(keeper, snapshot, candidate.origin)
        return True
    return False


def _refuse(keeper: Keeper, head: Head, findings: tuple[Finding, ...]) -> None:
    keeper.news = refuse_revision(keeper.news, head.digest)
    keeper.world.record(
        EventKind.REVISION_REFUSED,
        revision=head.revision,
        findings=[str(finding) for finding in findings[:10]],
    )


def take(keeper: Keeper, snapshot: Snapshot, origin: str) -> None:
    """Stage a snapshot and pass the news on."""
    world, board = keeper.world, keeper.board
    line = stage(keeper.line, snapshot)
    keeper.news = remove_older(keeper.news, line.held_revision)
    if line is keeper.line:
        return
    keeper.line = line
    board.held = Head(snapshot.revision, snapshot.digest)
    retain_bodies(keeper.bodies, snapshot.manifest, snapshot.digest)
    world.record(EventKind.REVISION_STAGED, revision=snapshot.revision)
    if keeper.spreading is not None:
        keeper.spreading.cancel()
    news = spread(keeper, board.held, origin or board.own.host)
    keeper.spreading = asyncio.create_task(news)
    keeper.ready.set()


async def run_activation(keeper: Keeper) -> None:
    """Make staged revisions active until cancelled."""
    while True:
        await keeper.ready.wait()
        keeper.ready.clear()
        while needs_witness(keeper.line):
            await activate_staged(keeper)


async def activate_staged(keeper: Keeper) -> None:
    """Find a witness for the staged revision, then make it active."""
    staged = keeper.line.staged
    if staged is None or not needs_witness(keeper.line):
        return
    floor = await find_witness(keeper.world, keeper.board, staged.revision)
    if keeper.line.active is None:
        set_floor(keeper, floor)
    keeper.line = acknowledge(keeper.line, staged.revision)
    publish(keeper)


def publish(keeper: Keeper) -> None:
    """Activate what is staged, where that is allowed, and publish it."""
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
    board.activated_ms = int(keeper.world.clock.now().timestamp() * 1000)
    board.changed.set()
    board.changed = asyncio.Event()
    keeper.world.record(EventKind.REVISION_ACTIVATED, revision=revision)


def set_floor(keeper: Keeper, revision: int) -> None:
    """Let the node serve revisions from the given one up."""
    if keeper.line.floor is None:
        keeper.world.record(EventKind.FLOOR_KNOWN, revision=revision)
    keeper.line = raise_floor(keeper.line, revision)
    keeper.floors = raise_common_floor(keeper.floors, revision)
    keeper.board.floor = keeper.line.floor
    keeper.board.known_revision = max(keeper.board.known_revision, revision)
    keeper.ready.set()


async def spread(keeper: Keeper, head: Head, origin: str) -> None:
    """Tell the hosts below this one in the zone's tree of a revision.

    Where one does not answer, those below it are told in its place.
    """
    world, board = keeper.world, keeper.board
    members = zone_hosts(board.members, world.settings.zone)
    notify = Notify(tick(world.timeline), board.own.host, origin, head)
    below = tree_children(members, origin, board.own.host)
    told = 0
    while below and told < MAX_NOTIFIED:
        told += len(below)
        answers = await asyncio.gather(
            *(world.peers.notify(host, notify) for host in below),
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


def serve_witness(keeper: Keeper, host: str, revision: int) -> FloorAnswer:
    """Remember the revision that a host is about to serve; return its floor."""
    keeper.floors = record_floor(keeper.floors, host, revision)
    board = keeper.board
    age_s = None
    if board.head_read_s is not None:
        age_s = keeper.world.clock.monotonic_s() - board.head_read_s
    return FloorAnswer(
        witnessed=find_floor(keeper.floors, host),
        own=keeper.line.floor or 0,
        settled=keeper.line.floor is not None,
        head_revision=board.head_revision,
        head_age_s=age_s,
    )
