"""Fetch the parts of a revision by digest, and hand them out to peers.

Parts come from hosts that hold the revision, from the object store, and from any peer.
A host asks only for the digests that it lacks.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import attrs

from agaterelay.core.manifest import decode_manifest, digest_of
from agaterelay.core.membership import zone_hosts
from agaterelay.core.messages import Fetched
from agaterelay.core.model import Finding, Manifest, Place, Snapshot
from agaterelay.core.news import Candidate
from agaterelay.core.snapshot import build_snapshot
from agaterelay.core.spread import ByteBudget, spend_bytes
from agaterelay.events import EventKind
from agaterelay.ports import PeerError, PlatformError
from agaterelay.tasks.board import Board, World

OBJECT_STORE = ""
PLACE_TIMEOUT_S = 1.5
PEERS_TRIED = 3
FAR_PEERS_TRIED = 2
MAX_CONCURRENT_GETS = 4
MAX_REPLY_BYTES = 1 << 20
MAX_DIGESTS = 512
SERVED_BYTES_PER_S = 16 << 20
SERVED_BURST_BYTES = 4 << 20
MAX_RETRY_S = 1.0
MAX_REPORTED = 10


class MissingPartsError(Exception):
    """No place that was asked had all parts."""


@attrs.define
class Bodies:
    """The bodies in memory by digest, and how many bytes peers may still have."""

    by_digest: dict[str, bytes] = attrs.field(factory=dict)
    budget: ByteBudget = ByteBudget(
        SERVED_BYTES_PER_S, SERVED_BURST_BYTES, SERVED_BURST_BYTES, 0.0
    )


def retain_bodies(bodies: Bodies, manifest: Manifest, digest: str) -> None:
    """Drop the bodies that the manifest does not use."""
    used = {digest, *_section_digests(manifest)}
    bodies.by_digest = {
        name: body for name, body in bodies.by_digest.items() if name in used
    }


def _section_digests(manifest: Manifest) -> tuple[str, ...]:
    return tuple(reference.digest for reference in manifest.sections)


async def load_snapshot(
    world: World,
    board: Board,
    bodies: Bodies,
    candidate: Candidate,
    is_superseded: Callable[[], bool],
) -> tuple[Snapshot | None, tuple[Finding, ...]]:
    """Fetch what is missing of a revision and build it.

    Args:
        world: The ports.
        board: The view of the fleet.
        bodies: The bodies in memory; what is fetched is added.
        candidate: The revision.
        is_superseded: Returns whether a newer revision was heard of since, so that
            this one is given up between two places.

    Returns:
        The snapshot and no findings, or None and all findings.

    Raises:
        MissingPartsError: Some parts could not be had.
    """
    head = candidate.head

    async def fetch(digests: tuple[str, ...]) -> None:
        for place in places_to_ask(world, board, candidate):
            missing = _missing(bodies, digests)
            if not missing:
                return
            if is_superseded():
                break
            await _fetch_from(world, bodies, place, missing)
        if _missing(bodies, digests):
            raise MissingPartsError(f"revision {head.revision}")

    await fetch((head.digest,))
    manifest, findings = decode_manifest(bodies.by_digest[head.digest], head.digest)
    if manifest is None:
        return None, findings
    if manifest.revision != head.revision:
        place = Place(f"manifest {head.digest[:12]}")
        return None, (Finding(place, "the manifest is of another revision"),)
    _retain_both(bodies, board, manifest, head.digest)
    await fetch(_section_digests(manifest))
    return build_snapshot(manifest, head.digest, bodies.by_digest)


def _retain_both(bodies: Bodies, board: Board, manifest: Manifest, digest: str) -> None:
    """Drop what neither the active revision, the one held, nor this one uses."""
    used = {digest, board.held.digest, *_section_digests(manifest)}
    held = bodies.by_digest.get(board.held.digest)
    if held is not None:
        held_manifest, _ = decode_manifest(held, board.held.digest)
        if held_manifest is not None:
            used.update(_section_digests(held_manifest))
    bodies.by_digest = {
        name: body for name, body in bodies.by_digest.items() if name in used
    }


def _missing(bodies: Bodies, digests: Iterable[str]) -> tuple[str, ...]:
    return tuple(item for item in digests if item not in bodies.by_digest)


def places_to_ask(world: World, board: Board, candidate: Candidate) -> list[str]:
    """Return where to ask for parts, in order; the object store is the empty name.

    Hosts that hold the revision go first, to spare the object store. Any others go
    last: they may hold some of the parts.
    """
    own = board.own.host
    near = [
        host
        for host in zone_hosts(board.members, world.settings.zone)
        if host != own and host not in candidate.sources
    ]
    far = [
        member.host
        for member in board.members.values()
        if member.usable and member.zone != world.settings.zone
    ]
    near = random.sample(near, min(PEERS_TRIED, len(near)))
    far = random.sample(far, min(FAR_PEERS_TRIED, len(far)))
    return [*candidate.sources[:PEERS_TRIED], OBJECT_STORE, *near, *far]


async def _fetch_from(
    world: World, bodies: Bodies, place: str, digests: tuple[str, ...]
) -> None:
    """Fetch from one place for a bounded time; keep what came, where it is whole."""
    fetch = _fetch_objects if place == OBJECT_STORE else _fetch_from_peer
    try:
        async with asyncio.timeout(PLACE_TIMEOUT_S):
            await fetch(world, bodies, place, digests)
    except (TimeoutError, PlatformError, PeerError):
        return


async def _fetch_objects(
    world: World, bodies: Bodies, _: str, digests: tuple[str, ...]
) -> None:
    free = asyncio.Semaphore(MAX_CONCURRENT_GETS)

    async def get(digest: str) -> None:
        async with free:
            body = await world.objects.get(f"bodies/{digest}")
        if body is not None:
            _keep(world, bodies, OBJECT_STORE, {digest: body})

    answers = await asyncio.gather(*map(get, digests), return_exceptions=True)
    for answer in answers:
        if isinstance(answer, BaseException):
            raise answer


async def _fetch_from_peer(
    world: World, bodies: Bodies, host: str, digests: tuple[str, ...]
) -> None:
    """Fetch in as many replies as it takes; a peer that is busy is asked again."""
    missing = digests
    while missing:
        fetched = await world.peers.fetch(host, missing[:MAX_DIGESTS])
        _keep(world, bodies, host, fetched.bodies)
        if fetched.retry_after_s > 0:
            delay_s = min(fetched.retry_after_s, MAX_RETRY_S)
            await world.clock.sleep(delay_s * random.uniform(1.0, 2.0))
        elif len(_missing(bodies, missing)) == len(missing):
            return
        missing = _missing(bodies, missing)


def _keep(world: World, bodies: Bodies, place: str, fetched: dict[str, bytes]) -> None:
    """Keep the bodies that match their digests; report the others together."""
    damaged = []
    for digest, body in fetched.items():
        if digest_of(body) == digest:
            bodies.by_digest[digest] = body
        else:
            damaged.append(digest)
    if damaged:
        world.record(
            EventKind.PARTS_DAMAGED,
            place=place or "object store",
            digests=damaged[:MAX_REPORTED],
        )


def serve_fetch(
    bodies: Bodies, digests: tuple[str, ...], now_s: float, most: int = MAX_REPLY_BYTES
) -> Fetched:
    """Hand out bodies to a peer, as many as fit one reply and the budget."""
    chosen: dict[str, bytes] = {}
    size_bytes = 0
    for digest in digests[:MAX_DIGESTS]:
        body = bodies.by_digest.get(digest)
        if body is None or (chosen and size_bytes + len(body) > most):
            continue
        chosen[digest] = body
        size_bytes += len(body)
    bodies.budget, wait_s = spend_bytes(bodies.budget, size_bytes, now_s)
    if wait_s > 0:
        return Fetched(retry_after_s=wait_s)
    return Fetched(chosen)
