"""Fetch the parts of a revision by digest, and serve them to peers.

The sources are hosts that hold the revision, the object store, and any other peer. Only
missing digests are requested.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import attrs

from agaterelay.core.dissemination import ByteBudget, spend_bytes
from agaterelay.core.manifest import decode_manifest, digest_of
from agaterelay.core.membership import zone_hosts
from agaterelay.core.messages import Fetched
from agaterelay.core.model import Finding, Manifest, Place, Snapshot
from agaterelay.core.revision_candidates import Candidate
from agaterelay.core.snapshot import build_snapshot
from agaterelay.events import EventKind
from agaterelay.ports import PeerError, PlatformError
from agaterelay.tasks.board import Board, NodeContext

OBJECT_STORE = ""
SOURCE_TIMEOUT_S = 1.5
MAX_ZONE_PEERS = 3
MAX_OTHER_ZONE_PEERS = 2
MAX_CONCURRENT_GETS = 4
MAX_REPLY_BYTES = 1 << 20
MAX_DIGESTS_PER_REQUEST = 512
SERVED_BYTES_PER_S = 16 << 20
SERVED_BURST_BYTES = 4 << 20
MAX_RETRY_DELAY_S = 1.0
MAX_REPORTED_DIGESTS = 10


class MissingPartsError(Exception):
    """Some parts of a revision were not found at any source."""


@attrs.define
class Bodies:
    """The bodies in memory by digest, and the byte budget for serving them to peers."""

    by_digest: dict[str, bytes] = attrs.field(factory=dict)
    budget: ByteBudget = ByteBudget(
        SERVED_BYTES_PER_S, SERVED_BURST_BYTES, SERVED_BURST_BYTES, 0.0
    )


def retain_bodies(bodies: Bodies, manifest: Manifest, digest: str) -> None:
    """Remove the bodies that the manifest does not use."""
    used = {digest, *_section_digests(manifest)}
    bodies.by_digest = {
        name: body for name, body in bodies.by_digest.items() if name in used
    }


def _section_digests(manifest: Manifest) -> tuple[str, ...]:
    return tuple(reference.digest for reference in manifest.sections)


async def load_snapshot(
    context: NodeContext,
    board: Board,
    bodies: Bodies,
    candidate: Candidate,
    is_superseded: Callable[[], bool],
) -> tuple[Snapshot | None, tuple[Finding, ...]]:
    """Fetch the missing parts of a revision and build its snapshot.

    Args:
        context: What the node's tasks share.
        board: The published state of the node.
        bodies: The bodies in memory; fetched bodies are added.
        candidate: The revision.
        is_superseded: Returns whether a newer revision is known by now. It is called
            before each source, and loading stops if it returns True.

    Returns:
        The snapshot and no findings, or None and all findings on the revision.

    Raises:
        MissingPartsError: Some parts were not found, or loading was stopped.
    """
    head = candidate.head

    async def fetch(digests: tuple[str, ...]) -> None:
        for source in choose_sources(context, board, candidate):
            missing = _missing(bodies, digests)
            if not missing:
                return
            if is_superseded():
                break
            await _fetch_from(context, bodies, source, missing)
        if _missing(bodies, digests):
            raise MissingPartsError(
                f"some parts of revision {head.revision} are not available"
            )

    await fetch((head.digest,))
    manifest, findings = decode_manifest(bodies.by_digest[head.digest], head.digest)
    if manifest is None:
        return None, findings
    if manifest.revision != head.revision:
        place = Place(f"manifest {head.digest[:12]}")
        return None, (
            Finding(place, "the manifest has another revision than the head"),
        )
    _retain_held_and_new(bodies, board, manifest, head.digest)
    await fetch(_section_digests(manifest))
    return build_snapshot(manifest, head.digest, bodies.by_digest)


def _retain_held_and_new(
    bodies: Bodies, board: Board, manifest: Manifest, digest: str
) -> None:
    """Remove bodies that neither the held revision nor this one uses."""
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


def choose_sources(
    context: NodeContext, board: Board, candidate: Candidate
) -> list[str]:
    """Return the sources of parts in order; the empty name is the object store.

    Hosts that hold the revision come first, to reduce the load on the object store.
    Other hosts come last, as they may hold some of the parts.
    """
    own = board.own.host
    zone_peers = [
        host
        for host in zone_hosts(board.members, context.settings.zone)
        if host != own and host not in candidate.sources
    ]
    other_zone_peers = [
        member.host
        for member in board.members.values()
        if member.usable and member.zone != context.settings.zone
    ]
    zone_peers = random.sample(zone_peers, min(MAX_ZONE_PEERS, len(zone_peers)))
    other_zone_peers = random.sample(
        other_zone_peers, min(MAX_OTHER_ZONE_PEERS, len(other_zone_peers))
    )
    return [
        *candidate.sources[:MAX_ZONE_PEERS],
        OBJECT_STORE,
        *zone_peers,
        *other_zone_peers,
    ]


async def _fetch_from(
    context: NodeContext, bodies: Bodies, source: str, digests: tuple[str, ...]
) -> None:
    """Fetch from one source for a bounded time, and store the bodies that are valid."""
    fetch = _fetch_objects if source == OBJECT_STORE else _fetch_from_peer
    try:
        async with asyncio.timeout(SOURCE_TIMEOUT_S):
            await fetch(context, bodies, source, digests)
    except (TimeoutError, PlatformError, PeerError):
        return


async def _fetch_objects(
    context: NodeContext, bodies: Bodies, _: str, digests: tuple[str, ...]
) -> None:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_GETS)

    async def get(digest: str) -> None:
        async with semaphore:
            body = await context.objects.get(f"bodies/{digest}")
        if body is not None:
            _store_valid(context, bodies, OBJECT_STORE, {digest: body})

    answers = await asyncio.gather(*map(get, digests), return_exceptions=True)
    for answer in answers:
        if isinstance(answer, BaseException):
            raise answer


async def _fetch_from_peer(
    context: NodeContext, bodies: Bodies, host: str, digests: tuple[str, ...]
) -> None:
    """Fetch in as many replies as needed; a peer over its budget is asked again."""
    missing = digests
    while missing:
        fetched = await context.peers.fetch(host, missing[:MAX_DIGESTS_PER_REQUEST])
        _store_valid(context, bodies, host, fetched.bodies)
        if fetched.retry_after_s > 0:
            delay_s = min(fetched.retry_after_s, MAX_RETRY_DELAY_S)
            await context.clock.sleep(delay_s * random.uniform(1.0, 2.0))
        elif len(_missing(bodies, missing)) == len(missing):
            return
        missing = _missing(bodies, missing)


def _store_valid(
    context: NodeContext, bodies: Bodies, source: str, fetched: dict[str, bytes]
) -> None:
    """Store the bodies that match their digests, and report the others in one event."""
    damaged = []
    for digest, body in fetched.items():
        if digest_of(body) == digest:
            bodies.by_digest[digest] = body
        else:
            damaged.append(digest)
    if damaged:
        context.record(
            EventKind.PARTS_DAMAGED,
            place=source or "object store",
            digests=damaged[:MAX_REPORTED_DIGESTS],
        )


def handle_fetch(
    bodies: Bodies, digests: tuple[str, ...], now_s: float, most: int = MAX_REPLY_BYTES
) -> Fetched:
    """Return requested bodies, limited by the size of one reply and the byte budget."""
    chosen: dict[str, bytes] = {}
    size_bytes = 0
    for digest in digests[:MAX_DIGESTS_PER_REQUEST]:
        body = bodies.by_digest.get(digest)
        if body is None or (chosen and size_bytes + len(body) > most):
            continue
        chosen[digest] = body
        size_bytes += len(body)
    bodies.budget, wait_s = spend_bytes(bodies.budget, size_bytes, now_s)
    if wait_s > 0:
        return Fetched(retry_after_s=wait_s)
    return Fetched(chosen)
