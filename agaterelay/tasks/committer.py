"""Commit changes to the platform: read the head, plan, store the parts, swap.

The swap may take effect though its answer is lost. A commit is therefore named by its
change id: on doubt the head is read again, and a change that is in it is not repeated.
"""

from __future__ import annotations

import asyncio
import contextlib
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
from agaterelay.ports import CommitUnknownError, NotCommittedError, PlatformError
from agaterelay.tasks.board import Board, Seen, World
from agaterelay.tasks.committed import put_committed, record_committed
from agaterelay.tasks.keeper import Keeper, post
from agaterelay.tasks.reader import HEAD_ROW, read_head

MAX_SWAP_TRIES = 40
SWAP_RETRY_S = 0.1
MAX_SWAP_RETRY_S = 0.5
COMMIT_TIMEOUT_S = 10.0
RECORD_TIMEOUT_S = 1.0


@attrs.frozen
class Committer:
    """What committing needs."""

    world: World
    board: Board
    keeper: Keeper


async def commit_change(committer: Committer, change: Change, key: str) -> Decision:
    """Commit an owner's change.

    Raises:
        NotCommittedError: The platform did not answer, and nothing was committed.
        CommitUnknownError: It is unknown whether the change was committed; asking
            again with the same change id tells.
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
        NotCommittedError: The platform did not answer, and nothing was committed.
        CommitUnknownError: It is unknown whether it was committed.
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


@attrs.define
class _Attempt:
    """One commit's state.

    ``doubt_version`` is the row version that a swap expected whose answer is missing,
    None for none. Once the row has a higher version, that swap can no longer win.
    """

    plan: Callable[[Snapshot], Decision | None]
    bodies: dict[str, bytes]
    doubt_version: int | None = None


async def _commit(
    committer: Committer,
    plan: Callable[[Snapshot], Decision | None],
    bodies: dict[str, bytes],
) -> Decision | None:
    """Swap until it is known what became of the change, for a bounded time.

    Every swap of one attempt carries the same change id, and expects the row version
    that it was planned on. One that takes effect late therefore either loses, or is
    found when the head is read again.
    """
    attempt = _Attempt(plan, bodies)
    reason = "the head row changed during every try"
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT_S):
            for number in range(MAX_SWAP_TRIES):
                try:
                    done, decision = await _try_swap(committer, attempt)
                except PlatformError as error:
                    if attempt.doubt_version is None:
                        raise NotCommittedError(str(error)) from error
                    done, reason = False, str(error)
                if done:
                    return decision
                delay_s = min(SWAP_RETRY_S * (number + 1), MAX_SWAP_RETRY_S)
                await committer.world.clock.sleep(delay_s * random.uniform(0.5, 1.5))
    except TimeoutError:
        reason = f"no answer within {COMMIT_TIMEOUT_S:g} s"
    if attempt.doubt_version is not None:
        raise CommitUnknownError(reason)
    raise NotCommittedError(reason)


async def _try_swap(
    committer: Committer, attempt: _Attempt
) -> tuple[bool, Decision | None]:
    """Plan against the newest head and swap once.

    Returns:
        Whether the change is settled, and the decision on it.

    Raises:
        PlatformError: The platform did not answer.
    """
    world = committer.world
    head, version = await read_head(world)
    snapshot = await load_committed(committer, head)
    decision = attempt.plan(snapshot)
    doubt_version = attempt.doubt_version
    if isinstance(decision, AlreadyCommitted) and doubt_version is not None:
        accepted = Accepted(snapshot.manifest, decision.record)
        await _note_committed(committer, head, accepted, attempt.bodies)
        return True, accepted
    if doubt_version is not None and version > doubt_version:
        attempt.doubt_version = doubt_version = None
    if not isinstance(decision, Accepted):
        return True, decision
    manifest = encode_manifest(decision.manifest)
    new_head = Head(decision.manifest.revision, digest_of(manifest))
    await record_committed(world.objects, head)
    for digest, body in {**attempt.bodies, new_head.digest: manifest}.items():
        await world.objects.put(f"bodies/{digest}", body)
    attempt.doubt_version = version
    if not await world.table.write(HEAD_ROW, encode_head(new_head), version):
        # This swap lost; an earlier one that expected the same version may have won.
        attempt.doubt_version = doubt_version
        return False, None
    bodies = {**attempt.bodies, new_head.digest: manifest}
    await _note_committed(committer, new_head, decision, bodies)
    return True, decision


async def _note_committed(
    committer: Committer, head: Head, decision: Accepted, bodies: dict[str, bytes]
) -> None:
    """Tell of a commit; recording it in the object store may be left to the readers."""
    committer.world.record(
        EventKind.REVISION_COMMITTED,
        revision=decision.record.revision,
        change=decision.record.change_id,
        section=decision.record.section,
        note=decision.record.note,
    )
    committer.keeper.bodies.by_digest.update(bodies)
    post(committer.keeper, Seen(head))
    with contextlib.suppress(PlatformError, TimeoutError):
        async with asyncio.timeout(RECORD_TIMEOUT_S):
            await put_committed(committer.world.objects, head)


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
    bodies = dict(committer.keeper.bodies.by_digest)
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
    known = committer.keeper.bodies.by_digest.get(digest)
    if known is not None:
        return known
    body = await committer.world.objects.get(f"bodies/{digest}")
    if body is None:
        raise PlatformError(f"the object store has no body {digest[:12]}")
    return body
