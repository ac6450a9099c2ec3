"""The keeper owns the node's line of revisions.

It takes news of revisions from its inbox, fetches the parts that it lacks from the
node that told it, else from the object store, builds and checks the whole, and makes
it active. It then tells the hosts below it in the tree.
"""

from __future__ import annotations

import asyncio
import random

import attrs

from agaterelay.core.line import Line, activate, raise_floor, stage
from agaterelay.core.manifest import decode_manifest, digest_of
from agaterelay.core.membership import zone_hosts
from agaterelay.core.messages import Fetched, Notify
from agaterelay.core.model import Finding, Head, Manifest, Place, Snapshot
from agaterelay.core.rendezvous import rank
from agaterelay.core.snapshot import build_snapshot
from agaterelay.core.spread import children
from agaterelay.core.timeline import tick
from agaterelay.events import EventKind
from agaterelay.ports import PeerError, PlatformError
from agaterelay.tasks.board import Board, Seen, World

INBOX_SIZE = 256
MAX_CONCURRENT_FETCHES = 4
FETCH_RETRY_S = 0.25
WITNESSES = 2
FLOOR_WAIT_S = 3.0


@attrs.define
class Keeper:
    """The keeper's state."""

    world: World
    board: Board
    line: Line = Line()
    inbox: asyncio.Queue[Seen] = attrs.field(factory=lambda: asyncio.Queue(INBOX_SIZE))
    bodies: dict[str, bytes] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    floors: dict[str, int] = attrs.field(factory=dict)
    serving_fetches: int = 0


def post(keeper: Keeper, seen: Seen) -> None:
    """Put news into the keeper's inbox; news that does not fit will come again."""
    if seen.head.revision <= keeper.line.held_revision:
        return
    try:
        keeper.inbox.put_nowait(seen)
    except asyncio.QueueFull:
        return


async def run_keeper(keeper: Keeper) -> None:
    """Take in revisions until cancelled."""
    while True:
        seen = await keeper.inbox.get()
        head = seen.head
        if head.revision <= keeper.line.held_revision or head.digest in keeper.refused:
            continue
        snapshot, findings = await load_snapshot(keeper, head, seen.source)
        if snapshot is None:
            _refuse(keeper, head, findings)
            continue
        await _take(keeper, snapshot, seen)


def _refuse(keeper: Keeper, head: Head, findings: tuple[Finding, ...]) -> None:
    if not findings:
        return
    keeper.refused.add(head.digest)
    keeper.world.record(
        EventKind.REVISION_REFUSED,
        revision=head.revision,
        findings=[str(finding) for finding in findings[:10]],
    )


async def _take(keeper: Keeper, snapshot: Snapshot, seen: Seen) -> None:
    """Stage a snapshot, let witnesses know, activate it, and pass the news on."""
    world, board = keeper.world, keeper.board
    keeper.line = stage(keeper.line, snapshot)
    board.held = Head(snapshot.revision, snapshot.digest)
    keep_bodies(keeper, snapshot)
    world.record(EventKind.REVISION_STAGED, revision=snapshot.revision)
    origin = seen.origin or board.own.host
    spreading = asyncio.create_task(spread(keeper, board.held, origin))
    await tell_witnesses(keeper, snapshot.revision)
    publish(keeper)
    await spreading


def publish(keeper: Keeper) -> None:
    """Activate what is staged, where that is allowed, and publish it."""
    before = keeper.line.active_revision
    keeper.line = activate(keeper.line)
    board = keeper.board
    board.floor = keeper.line.floor
    if keeper.line.active_revision > before:
        board.active = keeper.line.active
        board.activated_ms = int(keeper.world.clock.now().timestamp() * 1000)
        board.changed.set()
        board.changed = asyncio.Event()
        revision = keeper.line.active_revision
        keeper.world.record(EventKind.REVISION_ACTIVATED, revision=revision)


def set_floor(keeper: Keeper, revision: int) -> None:
    """Let the node serve revisions from the given one up."""
    if keeper.line.floor is None:
        keeper.world.record(EventKind.FLOOR_KNOWN, revision=revision)
    keeper.line = raise_floor(keeper.line, revision)
    publish(keeper)


def keep_bodies(keeper: Keeper, snapshot: Snapshot) -> None:
    """Drop the bodies that the newest revision does not use."""
    used = {reference.digest for reference in snapshot.manifest.sections}
    used.add(snapshot.digest)
    keeper.bodies = {
        digest: body for digest, body in keeper.bodies.items() if digest in used
    }


async def load_snapshot(
    keeper: Keeper, head: Head, source: str
) -> tuple[Snapshot | None, tuple[Finding, ...]]:
    """Fetch what is missing of a revision and build it.

    Returns:
        The snapshot; or None with findings where it is invalid; or None with none
        where parts could not be had.
    """
    if not await fetch_bodies(keeper, (head.digest,), source):
        return None, ()
    manifest, findings = decode_manifest(keeper.bodies[head.digest], head.digest)
    if manifest is None:
        keeper.bodies.pop(head.digest, None)
        return None, findings
    if manifest.revision != head.revision:
        place = Place(f"manifest {head.digest[:12]}")
        return None, (Finding(place, "the manifest is of another revision"),)
    if not await fetch_bodies(keeper, _section_digests(manifest), source):
        return None, ()
    return build_snapshot(manifest, head.digest, keeper.bodies)


def _section_digests(manifest: Manifest) -> tuple[str, ...]:
    return tuple(reference.digest for reference in manifest.sections)


async def fetch_bodies(keeper: Keeper, digests: tuple[str, ...], source: str) -> bool:
    """Fetch the bodies that are not in memory; return whether all are now."""
    for place in (source, "", source):
        missing = tuple(item for item in digests if item not in keeper.bodies)
        if not missing:
            return True
        bodies = await _fetch_from(keeper, place, missing)
        keeper.bodies.update(
            {name: body for name, body in bodies.items() if digest_of(body) == name}
        )
    return all(item in keeper.bodies for item in digests)


async def _fetch_from(
    keeper: Keeper, source: str, digests: tuple[str, ...]
) -> dict[str, bytes]:
    """Fetch from a host, or from the object store where the source is empty."""
    world = keeper.world
    if not source:
        bodies = {}
        for digest in digests:
            try:
                body = await world.objects.get(f"bodies/{digest}")
            except PlatformError:
                return bodies
            if body is not None:
                bodies[digest] = body
        return bodies
    try:
        fetched = await world.peers.fetch(source, digests)
    except PeerError:
        return {}
    if fetched.retry_after_s:
        await world.clock.sleep(fetched.retry_after_s * random.uniform(0.5, 1.5))
    return fetched.bodies


async def serve_fetch(keeper: Keeper, digests: tuple[str, ...]) -> Fetched:
    """Hand out bodies to a peer, to a few peers at a time."""
    if keeper.serving_fetches >= MAX_CONCURRENT_FETCHES:
        return Fetched(retry_after_s=FETCH_RETRY_S)
    keeper.serving_fetches += 1
    try:
        return Fetched(
            {name: keeper.bodies[name] for name in digests if name in keeper.bodies}
        )
    finally:
        keeper.serving_fetches -= 1


async def spread(keeper: Keeper, head: Head, origin: str) -> None:
    """Tell the hosts below this one in the zone's tree of a revision."""
    world, board = keeper.world, keeper.board
    members = zone_hosts(board.members, world.settings.zone)
    below = children(members, head.digest, origin, board.own.host)
    notify = Notify(tick(world.timeline), board.own.host, origin, head)
    await asyncio.gather(
        *(world.peers.notify(host, notify) for host in below), return_exceptions=True
    )


async def tell_witnesses(keeper: Keeper, revision: int) -> None:
    """Let other hosts of the zone remember which revision this one is to serve."""
    world, board = keeper.world, keeper.board
    own = board.own.host
    others = [
        host
        for host in rank(zone_hosts(board.members, world.settings.zone), own)
        if host != own
    ]
    await asyncio.gather(
        *(world.peers.witness(host, own, revision) for host in others[:WITNESSES]),
        return_exceptions=True,
    )


def serve_witness(keeper: Keeper, host: str, revision: int) -> int:
    """Remember the revision that a host serves; return the highest so far."""
    floor = max(keeper.floors.get(host, 0), revision)
    keeper.floors[host] = floor
    return floor
