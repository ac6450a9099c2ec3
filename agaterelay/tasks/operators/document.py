"""Endpoints for the document: show it, change a section, show a change."""

from __future__ import annotations

import re
from typing import Any

from aiohttp import web

from agaterelay.core.commit import (
    Accepted,
    AlreadyCommitted,
    Change,
    Decision,
    Forbidden,
    Invalid,
    LostRace,
)
from agaterelay.core.manifest import finding_to_json_value, to_json_value
from agaterelay.core.model import ChangeRecord, Finding, Manifest, Place, Section
from agaterelay.core.parse import parse_document
from agaterelay.events import EventKind
from agaterelay.ports import NotCommittedError, PlatformError
from agaterelay.tasks.board import Board
from agaterelay.tasks.committer import commit_change
from agaterelay.tasks.operators.requests import (
    BadRequestError,
    Operators,
    error_response,
    is_known_key,
    read_bearer_key,
    read_field,
    read_json_object,
    read_text_field,
)

MAX_FILENAME_LENGTH = 200
_CHANGE_ID = re.compile(r"[A-Za-z0-9:._-]{8,128}")
_FIELDS = frozenset(
    {"change_id", "filename", "text", "base_digest", "remove", "section"}
)


async def show_document(operators: Operators, _: web.Request) -> web.Response:
    """Return the active document with its sections."""
    snapshot = operators.board.active
    if snapshot is None and not _is_unwritten(operators.board):
        message = "this node does not know the document yet"
        return error_response(503, "not-ready", message)
    if snapshot is None:
        return web.json_response(
            {"revision": 0, "known_since": 0, "committed_ms": 0, "sections": []}
        )
    manifest = snapshot.manifest
    digests = {item.name: item.digest for item in manifest.sections}
    sections = [
        {
            "name": section.name,
            "owner": section.owner,
            "digest": digests[section.name],
            "text": section.text,
            "changed_in": _find_last_changed(manifest, section.name),
        }
        for section in snapshot.sections
    ]
    return web.json_response(
        {
            "revision": snapshot.revision,
            "known_since": manifest.changes[0].revision if manifest.changes else 0,
            "committed_ms": int(manifest.committed_at.timestamp() * 1000),
            "sections": sections,
        }
    )


def _is_unwritten(board: Board) -> bool:
    """Return whether it is certain that no document has been written yet."""
    return board.floor == 0 and board.held.revision == 0


def _find_last_changed(manifest: Manifest, section: str) -> int:
    """Return the revision of a section's last recorded change, 0 for none."""
    return max(
        (item.revision for item in manifest.changes if item.section == section),
        default=0,
    )


async def make_change(operators: Operators, request: web.Request) -> web.Response:
    """Commit a change of one section, or return why it was refused."""
    body = await read_json_object(request, _FIELDS)
    change_id = read_field(body, "change_id", str)
    if not _CHANGE_ID.fullmatch(change_id):
        raise BadRequestError("change_id must have 8 to 128 letters, digits or :._-")
    key = read_bearer_key(request)
    # Sections are parsed only for known keys, since parsing is expensive.
    if operators.board.active is not None and not is_known_key(operators, key):
        refusal = Forbidden("the key does not belong to any owner")
        return _respond_decision(operators, change_id, refusal)
    remove = read_field(body, "remove", bool, False)
    if remove:
        section, findings = _section_to_remove(operators, body)
    else:
        section, findings = _section_to_write(body)
    if section is None:
        return _respond_decision(operators, change_id, Invalid(findings))
    base_digest = read_text_field(body, "base_digest", "")
    change = Change(change_id, section, base_digest, remove)
    try:
        decision = await commit_change(operators.committer, change, key)
    except NotCommittedError as error:
        message = f"the change was not made: {error}"
        return error_response(503, "platform", message, change_id=change_id, made=False)
    except PlatformError as error:
        message = f"the platform does not answer: {error}"
        return error_response(503, "platform", message, change_id=change_id)
    return _respond_decision(operators, change_id, decision)


def _section_to_write(
    body: dict[str, Any],
) -> tuple[Section | None, tuple[Finding, ...]]:
    filename = read_text_field(body, "filename", "document")[:MAX_FILENAME_LENGTH]
    sections, findings = parse_document(read_text_field(body, "text"), filename)
    if not findings and len(sections) != 1:
        findings = (
            Finding(Place(filename), "a change must contain exactly one section"),
        )
    return (None, findings) if findings else (sections[0], ())


def _section_to_remove(
    operators: Operators, body: dict[str, Any]
) -> tuple[Section | None, tuple[Finding, ...]]:
    name = read_text_field(body, "section")
    snapshot = operators.board.active
    for section in snapshot.sections if snapshot else ():
        if section.name == name:
            return section, ()
    return None, (Finding(Place("document"), f"there is no section {name[:80]!r}"),)


def _respond_decision(
    operators: Operators, change_id: str, decision: Decision
) -> web.Response:
    if isinstance(decision, Accepted | AlreadyCommitted):
        repeated = isinstance(decision, AlreadyCommitted)
        return web.json_response(
            {**to_json_value(decision.record), "repeated": repeated}
        )
    if isinstance(decision, Forbidden):
        response = error_response(403, "forbidden", decision.message)
    elif isinstance(decision, LostRace):
        response = error_response(
            409,
            "lost-race",
            _lost_race_message(decision.section, decision.other),
            other=to_json_value(decision.other) if decision.other else None,
            current_digest=decision.current_digest,
        )
    else:
        findings = [finding_to_json_value(finding) for finding in decision.findings]
        message = "the document has findings"
        response = error_response(422, "invalid", message, findings=findings)
    operators.node_context.record(
        EventKind.CHANGE_REFUSED,
        change=change_id,
        reason=type(decision).__name__,
    )
    return response


def _lost_race_message(section: str, other: ChangeRecord | None) -> str:
    message = f"section {section!r} was changed meanwhile"
    if other is None:
        return message
    return f"{message}: revision {other.revision}, change {other.change_id}"


async def show_change(operators: Operators, request: web.Request) -> web.Response:
    """Return one accepted change."""
    snapshot = operators.board.active
    wanted = request.match_info["change_id"]
    for record in snapshot.manifest.changes if snapshot else ():
        if record.change_id == wanted:
            return web.json_response(to_json_value(record))
    message = "no such change among the newest ones of this node's active revision"
    return error_response(404, "unknown-change", message)
