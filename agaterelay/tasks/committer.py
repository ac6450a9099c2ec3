"""Commit changes to the platform: read the head, plan, store the parts, swap.

The swap may take effect though its answer is lost. A commit is therefore named by its
change id: on doubt the head is read again, and a change that is in it is not repeated.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from agaterelay.core.commit import (
    Accepted,
    AlreadyCommitted,
    Change,
    Decision,
    body_of,
    empty_snapshot,
    plan_commit,
    plan_move_update,
    plan_take_back,
)
from agaterelay.core.manifest import (
    decode_manifest,
    digest_of,
    encode_head,
    encode_manifest,
)
from agaterelay.core.model import ChangeRecord, Head, MoveProgress, Snapshot
from agaterelay.core.snapshot import build_snapshot
from agaterelay.events import EventKind
from agaterelay.ports import PlatformError
from agaterelay.tasks.board import Board, Seen, World
from agaterelay.tasks.keeper import Keeper, post
from agaterelay.tasks.reader import HEAD_ROW, read_head

MAX_SWAP_TRIES = 8
SWAP_RETRY_S = 0.1


@attrs.frozen
class Committer:
    """What committing needs."""

    world: World
    board: Board
    keeper: Keeper


async def commit_change(committer: Committer, change: Change, key: str) -> Decision:
    """Commit an owner's change.

    Raises:
        PlatformError: It is unknown whether the change was committed; asking again
            with the same change id tells.
    """
    world = committer.world

    def plan(snapshot: Snapshot) -> Decision:
        admin = world.settings.admin_key_sha256
        return plan_commit(snapshot, change, key, admin, world.clock.now())

    bodies = {} if change.remove else _named(body_of(change.section))
    return await _commit(committer, plan, bodies)


async def commit_move(
    committer: Committer, base: MoveProgress, following: MoveProgress, change_id: str
) -> ChangeRecord | None:
    """Commit a move's new state; None where it is not at its base any more.

    Raises:
        PlatformError: It is unknown whether it was committed.
    """

    def plan(snapshot: Snapshot) -> Accepted | AlreadyCommitted | None:
        now = committer.world.clock.now()
        return plan_move_update(snapshot, base, following, change_id, now)

    decision = await _commit(committer, plan, {})
    return decision.record if decision is not None else None


async def commit_take_back(
    committer: Committer, move: str, reason: str, change_id: str
) -> ChangeRecord | None:
    """Commit an operator's take-back; None where the move is gone or final.

    Raises:
        PlatformError: It is unknown whether it was committed.
    """

    def plan(snapshot: Snapshot) -> Accepted | AlreadyCommitted | None:
        now = committer.world.clock.now()
        return plan_take_back(snapshot, move, reason, change_id, now)

    decision = await _commit(committer, plan, {})
    return decision.record if decision is not None else None


def _named(body: bytes) -> dict[str, bytes]:
    return {digest_of(body): body}


async def _commit(
    committer: Committer,
    plan: Callable[[Snapshot], Decision | None],
    bodies: dict[str, bytes],
) -> Decision | None:
    world = committer.world
    for attempt in range(MAX_SWAP_TRIES):
        head, version = await read_head(world)
        snapshot = await load_committed(committer, head)
        decision = plan(snapshot)
        if not isinstance(decision, Accepted):
            return decision
        manifest = encode_manifest(decision.manifest)
        new_head = Head(decision.manifest.revision, digest_of(manifest))
        for digest, body in {**bodies, new_head.digest: manifest}.items():
            await world.objects.put(f"bodies/{digest}", body)
        if await world.table.write(HEAD_ROW, encode_head(new_head), version):
            _note_committed(committer, new_head, decision, manifest, bodies)
            return decision
        await world.clock.sleep(SWAP_RETRY_S * (attempt + 1) * random.uniform(0.5, 1.5))
    raise PlatformError("the head row changed during every try")


def _note_committed(
    committer: Committer,
    head: Head,
    decision: Accepted,
    manifest: bytes,
    bodies: dict[str, bytes],
) -> None:
    committer.world.record(
        EventKind.REVISION_COMMITTED,
        revision=head.revision,
        change=decision.record.change_id,
        section=decision.record.section,
        note=decision.record.note,
    )
    committer.keeper.bodies.update({**bodies, head.digest: manifest})
    post(committer.keeper, Seen(head))


async def load_committed(committer: Committer, head: Head) -> Snapshot:
    """Return the snapshot of a committed head.

    Raises:
        PlatformError: A part of it could not be had.
    """
    if not head.digest:
        return empty_snapshot(committer.world.clock.now())
    active = committer.board.active
    if active is not None and active.digest == head.digest:
        return active
    bodies = dict(committer.keeper.bodies)
    manifest, _ = decode_manifest(await _body(committer, head.digest), head.digest)
    if manifest is None:
        raise PlatformError("the committed manifest is damaged")
    for reference in manifest.sections:
        if reference.digest not in bodies:
            bodies[reference.digest] = await _body(committer, reference.digest)
    snapshot, findings = build_snapshot(manifest, head.digest, bodies)
    if snapshot is None:
        raise PlatformError(f"the committed document is damaged: {findings[0]}")
    return snapshot


async def _body(committer: Committer, digest: str) -> bytes:
    if digest in committer.keeper.bodies:
        return committer.keeper.bodies[digest]
    body = await committer.world.objects.get(f"bodies/{digest}")
    if body is None:
        raise PlatformError(f"the object store has no body {digest[:12]}")
    return body
