"""Endpoints on the document: read it, change a section, look a change up."""

from __future__ import annotations

import re

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
from agaterelay.core.manifest import plain
from agaterelay.core.model import Finding, Place
from agaterelay.core.parse import parse_document
from agaterelay.events import EventKind
from agaterelay.ports import PlatformError
from agaterelay.tasks.committer import commit_change
from agaterelay.tasks.operators.requests import (
    BadRequestError,
    Operators,
    field,
    json_object,
    key_of,
)

_CHANGE_ID = re.compile(r"[A-Za-z0-9:._-]{8,128}")


async def show_document(operators: Operators, _: web.Request) -> web.Response:
    """Return the document in force, section by section."""
    snapshot = operators.board.active
    if snapshot is None:
        return web.json_response({"revision": 0, "sections": []})
    digests = {item.name: item.digest for item in snapshot.manifest.sections}
    sections = [
        {
            "name": section.name,
            "owner": section.owner,
            "digest": digests[section.name],
            "text": section.text,
        }
        for section in snapshot.sections
    ]
    committed_ms = int(snapshot.manifest.committed_at.timestamp() * 1000)
    return web.json_response(
        {
            "revision": snapshot.revision,
            "committed_ms": committed_ms,
            "sections": sections,
        }
    )


async def make_change(operators: Operators, request: web.Request) -> web.Response:
    """Commit an owner's change of one section, or say why not."""
    body = await json_object(request)
    change_id = field(body, "change_id", str)
    if not _CHANGE_ID.fullmatch(change_id):
        raise BadRequestError("change_id must have 8 to 128 letters, digits or :._-")
    filename = field(body, "filename", str, "document")
    sections, findings = parse_document(field(body, "text", str), filename)
    if not findings and len(sections) != 1:
        findings = (Finding(Place(filename), "a change must hold one section"),)
    if findings:
        return _respond_decision(operators, change_id, Invalid(findings))
    change = Change(
        change_id=change_id,
        section=sections[0],
        base_digest=field(body, "base_digest", str, ""),
        remove=field(body, "remove", bool, False),
    )
    try:
        decision = await commit_change(operators.committer, change, key_of(request))
    except PlatformError as error:
        return web.json_response(
            {"error": "platform", "message": str(error), "change_id": change_id},
            status=503,
        )
    return _respond_decision(operators, change_id, decision)


def _respond_decision(
    operators: Operators, change_id: str, decision: Decision
) -> web.Response:
    if isinstance(decision, Accepted | AlreadyCommitted):
        repeated = isinstance(decision, AlreadyCommitted)
        body = {**plain(decision.record), "repeated": repeated}
        return web.json_response(body)
    if isinstance(decision, Forbidden):
        status, body = 403, {"error": "forbidden", "message": decision.message}
    elif isinstance(decision, LostRace):
        other = plain(decision.other) if decision.other else None
        status, body = (
            409,
            {
                "error": "lost-race",
                "message": f"section {decision.section!r} was changed meanwhile",
                "other": other,
                "current_digest": decision.current_digest,
            },
        )
    else:
        findings = [
            {
                "filename": finding.place.filename,
                "line": finding.place.line,
                "column": finding.place.column,
                "section": finding.section,
                "message": finding.message,
            }
            for finding in decision.findings
        ]
        status, body = (
            422,
            {
                "error": "invalid",
                "message": "the document has findings",
                "findings": findings,
            },
        )
    operators.world.record(
        EventKind.CHANGE_REFUSED, change=change_id, reason=body["error"]
    )
    return web.json_response(body, status=status)


async def show_change(operators: Operators, request: web.Request) -> web.Response:
    """Return one accepted change."""
    snapshot = operators.board.active
    wanted = request.match_info["change_id"]
    for record in snapshot.manifest.changes if snapshot else ():
        if record.change_id == wanted:
            return web.json_response(plain(record))
    return web.json_response({"error": "unknown-change"}, status=404)
