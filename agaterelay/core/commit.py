"""Plan commits: check owners, conflicts and repeated requests, and update moves.

Only the compare-and-swap of the head row orders revisions. The functions here compute
the new value. The caller swaps it in, and on a conflict reads the head and plans again.
"""

from __future__ import annotations

import hashlib
import hmac
from datetime import datetime, timedelta

import attrs

from agaterelay.core.lifecycle import is_allowed
from agaterelay.core.manifest import digest_of
from agaterelay.core.model import (
    FINAL_MOVE_STATES,
    ChangeRecord,
    Finding,
    Manifest,
    Move,
    MoveProgress,
    Place,
    Section,
    SectionRef,
    Snapshot,
)
from agaterelay.core.snapshot import ADMIN_OWNER, assemble
from agaterelay.core.steps import take_back

MAX_CHANGE_RECORDS = 32


@attrs.frozen
class Change:
    """An owner's new text of one section.

    ``base_digest`` is the digest of the section's body that the owner edited, empty
    for a new section. An empty ``section`` value removes nothing; ``remove`` requests
    the removal.
    """

    change_id: str
    section: Section
    base_digest: str
    remove: bool = False


@attrs.frozen
class Accepted:
    """The change is valid and can be committed as this manifest."""

    manifest: Manifest
    record: ChangeRecord


@attrs.frozen
class AlreadyCommitted:
    """The change was committed in an earlier revision; the request is a repetition."""

    record: ChangeRecord


@attrs.frozen
class Forbidden:
    """The key is not the owner's."""

    message: str


@attrs.frozen
class LostRace:
    """The section was changed by another commit since the owner read it."""

    section: str
    current_digest: str
    other: ChangeRecord | None


@attrs.frozen
class Invalid:
    """The document would not be valid with the change."""

    findings: tuple[Finding, ...]


Decision = Accepted | AlreadyCommitted | Forbidden | LostRace | Invalid


def key_matches(key: str, key_sha256: str) -> bool:
    """Return whether a key has the given hash, in constant time."""
    return hmac.compare_digest(hashlib.sha256(key.encode()).hexdigest(), key_sha256)


def body_of(section: Section) -> bytes:
    """Return the stored form of a section."""
    return section.text.encode()


def plan_commit(
    snapshot: Snapshot,
    change: Change,
    key: str,
    admin_key_sha256: str,
    now: datetime,
) -> Decision:
    """Plan the commit of a change on top of the newest revision.

    Args:
        snapshot: The newest committed revision.
        change: The owner's change.
        key: The key sent with the change.
        admin_key_sha256: The hash of the administrators' key, from the settings.
        now: The time of the commit.
    """
    for record in snapshot.manifest.changes:
        if record.change_id == change.change_id:
            return AlreadyCommitted(record)
    references = {item.name: item for item in snapshot.manifest.sections}
    current = references.get(change.section.name)
    forbidden = _check_owner(snapshot, change, current, key, admin_key_sha256)
    if forbidden is not None:
        return forbidden
    current_digest = current.digest if current else ""
    if change.base_digest != current_digest:
        other = _last_change(snapshot.manifest, change.section.name)
        return LostRace(change.section.name, current_digest, other)
    return _plan_accepted(snapshot, change, now)


def _check_owner(
    snapshot: Snapshot,
    change: Change,
    current: SectionRef | None,
    key: str,
    admin_key_sha256: str,
) -> Forbidden | None:
    """Check the key against the section's current owner, or a new section's owner."""
    owner = current.owner if current else change.section.owner
    expected = admin_key_sha256
    if owner != ADMIN_OWNER:
        known = snapshot.owners.get(owner)
        if known is None:
            return Forbidden(f"owner {owner!r} is not in the document")
        expected = known.key_sha256
    if not key_matches(key, expected):
        return Forbidden(
            f"section {change.section.name!r} belongs to owner {owner!r}, "
            "but the key does not match that owner's"
        )
    return None


def _last_change(manifest: Manifest, section: str) -> ChangeRecord | None:
    records = [item for item in manifest.changes if item.section == section]
    return records[-1] if records else None


def _plan_accepted(snapshot: Snapshot, change: Change, now: datetime) -> Decision:
    sections = {item.name: item for item in snapshot.sections}
    references = {item.name: item for item in snapshot.manifest.sections}
    name = change.section.name
    if change.remove:
        sections.pop(name, None)
        references.pop(name, None)
        digest = ""
    else:
        digest = digest_of(body_of(change.section))
        sections[name] = change.section
        references[name] = SectionRef(name, change.section.owner, digest)
    record = ChangeRecord(
        change_id=change.change_id,
        revision=snapshot.revision + 1,
        section=name,
        owner=change.section.owner,
        committed_at=now,
        digest=digest,
    )
    manifest = Manifest(
        revision=snapshot.revision + 1,
        committed_at=now,
        sections=tuple(references[key] for key in sorted(references)),
        moves=_carry_moves(snapshot, tuple(sections.values()), now),
        changes=(*snapshot.manifest.changes, record)[-MAX_CHANGE_RECORDS:],
    )
    _, findings = assemble(manifest, "", sections.values())
    if findings:
        return Invalid(findings)
    return Accepted(manifest, record)


def _carry_moves(
    snapshot: Snapshot, sections: tuple[Section, ...], now: datetime
) -> tuple[MoveProgress, ...]:
    """Return the progress of known moves and the initial progress of new ones."""
    moves = [move for section in sections for move in section.moves]
    return tuple(
        _carry_move(snapshot.progress.get(move.name), move, now) for move in moves
    )


def _carry_move(
    progress: MoveProgress | None, move: Move, now: datetime
) -> MoveProgress:
    same = progress is not None and (
        (progress.service, progress.from_version, progress.to_version)
        == (move.service, move.from_version, move.to_version)
    )
    if same:
        final = progress.state in FINAL_MOVE_STATES
        if move.finish_by is not None and not final:
            return attrs.evolve(progress, finish_by=move.finish_by)
        return progress
    finish_by = move.finish_by or now + timedelta(seconds=move.finish_within_s or 0)
    return MoveProgress(
        name=move.name,
        service=move.service,
        from_version=move.from_version,
        to_version=move.to_version,
        finish_by=finish_by,
        started_at=now,
    )


def _find_change(manifest: Manifest, change_id: str) -> ChangeRecord | None:
    found = (item for item in manifest.changes if item.change_id == change_id)
    return next(found, None)


def plan_move_update(
    snapshot: Snapshot,
    base: MoveProgress,
    following: MoveProgress,
    change_id: str,
    now: datetime,
) -> Accepted | AlreadyCommitted | None:
    """Plan the revision that records a move's new state.

    Args:
        snapshot: The newest committed revision.
        base: The progress that the new state was decided on.
        following: The new state.
        change_id: Identifies a repeated request.
        now: The time of the commit.

    Returns:
        What to commit, or None if the move was removed, is final, or its progress
        differs from ``base``: a stale decision has no effect.
    """
    earlier = _find_change(snapshot.manifest, change_id)
    if earlier is not None:
        return AlreadyCommitted(earlier)
    committed = snapshot.progress.get(base.name)
    if committed != base or not is_allowed(committed.state, following.state):
        return None
    record = ChangeRecord(
        change_id=change_id,
        revision=snapshot.revision + 1,
        section="",
        owner="",
        committed_at=now,
        note=f"{following.name} {following.state} {following.share_permille} permille",
    )
    moves = tuple(
        following if item.name == following.name else item
        for item in snapshot.manifest.moves
    )
    manifest = attrs.evolve(
        snapshot.manifest,
        revision=snapshot.revision + 1,
        committed_at=now,
        moves=moves,
        changes=(*snapshot.manifest.changes, record)[-MAX_CHANGE_RECORDS:],
    )
    return Accepted(manifest, record)


def plan_take_back(
    snapshot: Snapshot, move: str, reason: str, change_id: str, now: datetime
) -> Accepted | AlreadyCommitted | None:
    """Plan the revision in which an operator reverts a move, whatever its state.

    Returns:
        What to commit, or None if the move was removed or is final.
    """
    earlier = _find_change(snapshot.manifest, change_id)
    if earlier is not None:
        return AlreadyCommitted(earlier)
    committed = snapshot.progress.get(move)
    following = take_back(committed, reason, now) if committed else None
    if following is None:
        return None
    return plan_move_update(snapshot, committed, following, change_id, now)


def empty_snapshot(now: datetime) -> Snapshot:
    """Return revision 0, the empty document before the first commit."""
    return Snapshot(manifest=Manifest(revision=0, committed_at=now), digest="")


__all__ = [
    "Accepted",
    "AlreadyCommitted",
    "Change",
    "Decision",
    "Forbidden",
    "Invalid",
    "LostRace",
    "Place",
    "body_of",
    "empty_snapshot",
    "key_matches",
    "plan_commit",
    "plan_move_update",
    "plan_take_back",
]
