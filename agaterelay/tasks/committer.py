"""Commit changes to the platform: read the head, plan, store the parts, swap.

A compare-and-swap of the head row may take effect although its answer is lost. Each
commit therefore has a change id: if the result is unknown, the head is read again, and
a change that it contains is not committed twice.
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
from agaterelay.tasks.board import Board, NodeContext, RevisionNotification
from agaterelay.tasks.committed import put_committed, record_committed
from agaterelay.tasks.keeper import Keeper, handle_notification
from agaterelay.tasks.reader import HEAD_ROW, read_head

MAX_SWAP_ATTEMPTS = 40
SWAP_RETRY_S = 0.1
MAX_SWAP_RETRY_S = 0.5
COMMIT_TIMEOUT_S = 10.0
RECORD_TIMEOUT_S = 1.0


@attrs.frozen
class Committer:
    """The state that commits use."""

    node_context: NodeContext
    board: Board
    keeper: Keeper


async def commit_change(committer: Committer, change: Change, key: str) -> Decision:
    """Commit an owner's change.

    Raises:
        NotCommittedError: The platform did not answer, and nothing was committed.
        CommitUnknownError: It is unknown whether the change was committed; a retry with
            the same change id finds out.
    """
    context = committer.node_context

    def plan(snapshot: Snapshot) -> Decision:
        admin = context.settings.admin_key_sha256
        return plan_commit(snapshot, change, key, admin, context.clock.now())

    bodies = {} if change.remove else _by_digest(body_of(change.section))
    return await _commit(committer, plan, bodies)


async def commit_move(
    committer: Committer, base: MoveProgress, following: MoveProgress, change_id: str
) -> ChangeRecord | None:
    """Commit a move's new state; return None if it is no longer in state ``base``.

    Raises:
        NotCommittedError: The platform did not answer, and nothing was committed.
        CommitUnknownError: It is unknown whether it was committed.
    """

    def plan(snapshot: Snapshot) -> Accepted | AlreadyCommitted | None:
        now = committer.node_context.clock.now()
        return plan_move_update(snapshot, base, following, change_id, now)

    decision = await _commit(committer, plan, {})
    return decision.record if decision is not None else None


async def commit_take_back(
    committer: Committer, move: str, reason: str, change_id: str
) -> ChangeRecord | None:
    """Commit an operator's take-back; return None if the move is gone or final.

    Raises:
        PlatformError: It is unknown whether it was committed.
    """

    def plan(snapshot: Snapshot) -> Accepted | AlreadyCommitted | None:
        now = committer.node_context.clock.now()
        return plan_take_back(snapshot, move, reason, change_id, now)

    decision = await _commit(committer, plan, {})
    return decision.record if decision is not None else None


def _by_digest(body: bytes) -> dict[str, bytes]:
    return {digest_of(body): body}


@attrs.define
class _Attempt:
    """The state of one commit.

    ``unresolved_version`` is the row version expected by a swap whose result is
    unknown, or None. Once the row has a higher version, that swap can no longer succeed.
    """

    plan: Callable[[Snapshot], Decision | None]
    bodies: dict[str, bytes]
    unresolved_version: int | None = None


async def _commit(
    committer: Committer,
    plan: Callable[[Snapshot], Decision | None],
    bodies: dict[str, bytes],
) -> Decision | None:
    """Swap until the result of the change is known, for a bounded time.

    Every swap of one commit has the same change id, and expects the row version that it
    was planned on. A swap that takes effect late therefore either fails, or is found
    when the head is read again.
    """
    attempt = _Attempt(plan, bodies)
    reason = "the head row changed during every try"
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT_S):
            for number in range(MAX_SWAP_ATTEMPTS):
                try:
                    done, decision = await _try_swap(committer, attempt)
                except PlatformError as error:
                    if attempt.unresolved_version is None:
                        raise NotCommittedError(str(error)) from error
                    done, reason = False, str(error)
                if done:
                    return decision
                delay_s = min(SWAP_RETRY_S * (number + 1), MAX_SWAP_RETRY_S)
                await committer.node_context.clock.sleep(
                    delay_s * random.uniform(0.5, 1.5)
                )
    except TimeoutError:
        reason = f"no answer within {COMMIT_TIMEOUT_S:g} s"
    if attempt.unresolved_version is not None:
        raise CommitUnknownError(reason)
    raise NotCommittedError(reason)


async def _try_swap(
    committer: Committer, attempt: _Attempt
) -> tuple[bool, Decision | None]:
    """Plan against the newest head and swap once.

    Returns:
        Whether the result of the change is known, and the decision on it.

    Raises:
        PlatformError: The platform did not answer.
    """
    context = committer.node_context
    head, version = await read_head(context)
    snapshot = await load_committed(committer, head)
    decision = attempt.plan(snapshot)
    unresolved_version = attempt.unresolved_version
    if isinstance(decision, AlreadyCommitted) and unresolved_version is not None:
        accepted = Accepted(snapshot.manifest, decision.record)
        await _report_commit(committer, head, accepted, attempt.bodies)
        return True, accepted
    if unresolved_version is not None and version > unresolved_version:
        attempt.unresolved_version = unresolved_version = None
    if not isinstance(decision, Accepted):
        return True, decision
    manifest = encode_manifest(decision.manifest)
    new_head = Head(decision.manifest.revision, digest_of(manifest))
    await record_committed(context.objects, head)
    for digest, body in {**attempt.bodies, new_head.digest: manifest}.items():
        await context.objects.put(f"bodies/{digest}", body)
    attempt.unresolved_version = version
    if not await context.table.write(HEAD_ROW, encode_head(new_head), version):
        # This swap failed; an earlier one that expected the same version may have
        # succeeded.
        attempt.unresolved_version = unresolved_version
        return False, None
    bodies = {**attempt.bodies, new_head.digest: manifest}
    await _report_commit(committer, new_head, decision, bodies)
    return True, decision


async def _report_commit(
    committer: Committer, head: Head, decision: Accepted, bodies: dict[str, bytes]
) -> None:
    """Log a commit, notify the keeper, and try to record it in the object store.

    If recording fails, the readers of the zones do it.
    """
    committer.node_context.record(
        EventKind.REVISION_COMMITTED,
        revision=decision.record.revision,
        change=decision.record.change_id,
        section=decision.record.section,
        note=decision.record.note,
    )
    committer.keeper.bodies.by_digest.update(bodies)
    handle_notification(committer.keeper, RevisionNotification(head))
    with contextlib.suppress(PlatformError, TimeoutError):
        async with asyncio.timeout(RECORD_TIMEOUT_S):
            await put_committed(committer.node_context.objects, head)


async def load_committed(committer: Committer, head: Head) -> Snapshot:
    """Return the snapshot of a committed head.

    Raises:
        PlatformError: The platform did not answer, or a part is missing or damaged.
    """
    if not head.digest:
        return empty_snapshot(committer.node_context.clock.now())
    active = committer.board.active
    if active is not None and active.digest == head.digest:
        return active
    bodies = dict(committer.keeper.bodies.by_digest)
    manifest, _ = decode_manifest(await _load_body(committer, head.digest), head.digest)
    if manifest is None:
        raise PlatformError("the committed manifest is damaged")
    for reference in manifest.sections:
        if reference.digest not in bodies:
            bodies[reference.digest] = await _load_body(committer, reference.digest)
    snapshot, findings = build_snapshot(manifest, head.digest, bodies)
    if snapshot is None:
        raise PlatformError(f"the committed document is damaged: {findings[0]}")
    return snapshot


async def _load_body(committer: Committer, digest: str) -> bytes:
    known = committer.keeper.bodies.by_digest.get(digest)
    if known is not None:
        return known
    body = await committer.node_context.objects.get(f"bodies/{digest}")
    if body is None:
        raise PlatformError(f"the object store has no body {digest[:12]}")
    return body
