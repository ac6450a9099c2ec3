"""The operators' HTTP server: document, changes, moves, status, timeline, metrics.

Upstreams announce themselves here, too.
"""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

import attrs
from aiohttp import web

from agaterelay.adapters.metrics import Metrics
from agaterelay.core.commit import (
    Accepted,
    AlreadyCommitted,
    Change,
    Decision,
    Forbidden,
    Invalid,
    LostRace,
    key_matches,
)
from agaterelay.core.manifest import plain
from agaterelay.core.membership import UpstreamInfo
from agaterelay.core.messages import EventsReport, NodeStatus
from agaterelay.core.model import Finding, Place, Snapshot
from agaterelay.core.parse import MAX_DOCUMENT_BYTES, parse_document
from agaterelay.core.snapshot import ADMIN_OWNER
from agaterelay.core.timeline import Event, Stamp, merge_events
from agaterelay.events import EventKind
from agaterelay.ports import PlatformError
from agaterelay.tasks.board import Board, World
from agaterelay.tasks.committer import Committer, commit_change, commit_take_back
from agaterelay.tasks.gossip import Gossip, set_upstreams
from agaterelay.tasks.mover import Mover, describe_moves
from agaterelay.tasks.owner import Owner, announce, announced, withdraw

MAX_EVENTS = 2000
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_CHANGE_ID = re.compile(r"[A-Za-z0-9:._-]{8,128}")


@attrs.frozen
class Operators:
    """What the operators' server reaches."""

    world: World
    board: Board
    owner: Owner
    gossip: Gossip
    committer: Committer
    metrics: Metrics
    mover: Mover


class _BadRequestError(Exception):
    """The request cannot be understood; the message says why."""


async def _json_object(request: web.Request) -> dict[str, Any]:
    try:
        body = await request.json()
    except (ValueError, RecursionError) as error:
        raise _BadRequestError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise _BadRequestError("the body is not a JSON object")
    return body


def _field(body: dict[str, Any], name: str, kind: type, default: Any = None) -> Any:
    value = body.get(name, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is int):
        raise _BadRequestError(f"{name} must be of type {kind.__name__}")
    return value


def _key_of(request: web.Request) -> str:
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if kind.lower() == "bearer" else ""


def own_status(board: Board) -> NodeStatus:
    """Return what this node says of itself."""
    return NodeStatus(
        host=board.own.host,
        zone=board.own.zone,
        active_revision=board.active.revision if board.active else 0,
        held_revision=board.held.revision,
        platform_up=board.platform_up,
        stopping=board.stopping,
        activated_ms=board.activated_ms,
    )


def own_events(world: World, after: Stamp, most: int) -> EventsReport:
    """Return this node's newest events after a stamp."""
    events = [event for event in world.timeline.ring if event.stamp > after]
    return EventsReport(tuple(events[-min(most, MAX_EVENTS) :]))


async def _announce(operators: Operators, request: web.Request) -> web.Response:
    body = await _json_object(request)
    known = {"service", "version", "slots", "connections", "draining"}
    if set(body) - known:
        raise _BadRequestError(
            f"unknown fields: {', '.join(sorted(set(body) - known))}"
        )
    address = request.match_info["address"]
    if not _ADDRESS.fullmatch(address):
        raise _BadRequestError("the upstream's address must be like 127.0.1.1:9000")
    info = UpstreamInfo(
        service=_field(body, "service", str)[:64],
        version=_field(body, "version", str)[:64],
        address=address,
        slots=max(1, min(_field(body, "slots", int), 100_000)),
        connections=max(0, min(_field(body, "connections", int, 0), 100_000)),
        draining=_field(body, "draining", bool, False),
    )
    announce(operators.owner, info)
    set_upstreams(operators.gossip, announced(operators.owner))
    return web.json_response({})


async def _withdraw(operators: Operators, request: web.Request) -> web.Response:
    withdraw(operators.owner, request.match_info["address"])
    set_upstreams(operators.gossip, announced(operators.owner))
    return web.json_response({})


async def _show_document(operators: Operators, _: web.Request) -> web.Response:
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


async def _change(operators: Operators, request: web.Request) -> web.Response:
    body = await _json_object(request)
    change_id = _field(body, "change_id", str)
    if not _CHANGE_ID.fullmatch(change_id):
        raise _BadRequestError("change_id must have 8 to 128 letters, digits or :._-")
    filename = _field(body, "filename", str, "document")
    sections, findings = parse_document(_field(body, "text", str), filename)
    if not findings and len(sections) != 1:
        findings = (Finding(Place(filename), "a change must hold one section"),)
    if findings:
        return _respond_decision(operators, change_id, Invalid(findings))
    change = Change(
        change_id=change_id,
        section=sections[0],
        base_digest=_field(body, "base_digest", str, ""),
        remove=_field(body, "remove", bool, False),
    )
    try:
        decision = await commit_change(operators.committer, change, _key_of(request))
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


async def _show_change(operators: Operators, request: web.Request) -> web.Response:
    snapshot = operators.board.active
    wanted = request.match_info["change_id"]
    for record in snapshot.manifest.changes if snapshot else ():
        if record.change_id == wanted:
            return web.json_response(plain(record))
    return web.json_response({"error": "unknown-change"}, status=404)


async def _show_moves(operators: Operators, _: web.Request) -> web.Response:
    return web.json_response({"moves": await describe_moves(operators.mover)})


async def _take_back(operators: Operators, request: web.Request) -> web.Response:
    snapshot = operators.board.active
    name = request.match_info["name"]
    progress = snapshot.progress.get(name) if snapshot else None
    if progress is None:
        return web.json_response({"error": "unknown-move"}, status=404)
    if not _owns_move(operators, snapshot, name, _key_of(request)):
        return web.json_response({"error": "forbidden"}, status=403)
    reason = "taken back by an operator"
    change_id = f"{progress.identity}:take-back"
    try:
        record = await commit_take_back(operators.committer, name, reason, change_id)
    except PlatformError as error:
        return web.json_response(
            {"error": "platform", "message": str(error)}, status=503
        )
    if record is None:
        return web.json_response({"error": "finished"}, status=409)
    return web.json_response(plain(record))


def _owns_move(operators: Operators, snapshot: Snapshot, move: str, key: str) -> bool:
    for section in snapshot.sections:
        if any(item.name == move for item in section.moves):
            if section.owner == ADMIN_OWNER:
                return key_matches(key, operators.world.settings.admin_key_sha256)
            return key_matches(key, snapshot.owners[section.owner].key_sha256)
    return False


async def _show_node(operators: Operators, _: web.Request) -> web.Response:
    return web.json_response(attrs.asdict(own_status(operators.board)))


async def _show_status(operators: Operators, _: web.Request) -> web.Response:
    board = operators.board
    members = [member for member in board.members.values() if member.usable]
    answers = await asyncio.gather(
        *(
            operators.world.peers.status(member.host)
            for member in members
            if member.host != board.own.host
        ),
        return_exceptions=True,
    )
    others = [member.host for member in members if member.host != board.own.host]
    nodes = [attrs.asdict(own_status(board))]
    unreachable = []
    for host, answer in zip(others, answers, strict=True):
        if isinstance(answer, NodeStatus):
            nodes.append(attrs.asdict(answer))
        else:
            unreachable.append(host)
    nodes.sort(key=lambda node: node["host"])
    upstreams = [
        {**attrs.asdict(item), "host": member.host, "zone": member.zone}
        for member in members
        for item in member.upstreams
    ]
    return web.json_response(
        {"nodes": nodes, "unreachable": unreachable, "upstreams": upstreams}
    )


async def _show_timeline(operators: Operators, request: web.Request) -> web.Response:
    hosts = [
        member.host
        for member in operators.board.members.values()
        if member.usable and member.host != operators.board.own.host
    ]
    reports = await asyncio.gather(
        *(operators.world.peers.events(host, Stamp(), MAX_EVENTS) for host in hosts),
        return_exceptions=True,
    )
    events: list[Event] = list(own_events(operators.world, Stamp(), MAX_EVENTS).events)
    for report in reports:
        if isinstance(report, EventsReport):
            events.extend(report.events)
    merged = merge_events(events)[-MAX_EVENTS:]
    return web.json_response(
        {"events": [attrs.asdict(event) for event in merged]},
        dumps=lambda value: json.dumps(value, default=str),
    )


async def _show_metrics(operators: Operators, _: web.Request) -> web.Response:
    body, content_type = operators.metrics.render()
    return web.Response(body=body, headers={"Content-Type": content_type})


_ROUTES = (
    ("PUT", "/v1/upstreams/{address}", _announce),
    ("DELETE", "/v1/upstreams/{address}", _withdraw),
    ("GET", "/v1/document", _show_document),
    ("POST", "/v1/changes", _change),
    ("GET", "/v1/changes/{change_id}", _show_change),
    ("GET", "/v1/moves", _show_moves),
    ("POST", "/v1/moves/{name}/take-back", _take_back),
    ("GET", "/v1/node", _show_node),
    ("GET", "/v1/status", _show_status),
    ("GET", "/v1/timeline", _show_timeline),
    ("GET", "/metrics", _show_metrics),
)


@web.middleware
async def _report_bad_requests(request: web.Request, handler: Any) -> Any:
    try:
        return await handler(request)
    except _BadRequestError as error:
        body = {"error": "bad-request", "message": str(error)}
        return web.json_response(body, status=400)


async def start_operators_server(operators: Operators, address: str) -> web.AppRunner:
    """Start to serve operators and upstreams.

    Raises:
        OSError: The address cannot be bound.
    """
    application = web.Application(
        client_max_size=2 * MAX_DOCUMENT_BYTES, middlewares=[_report_bad_requests]
    )
    for method, path, function in _ROUTES:
        application.router.add_route(method, path, _bind(function, operators))
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def _bind(function: Any, operators: Operators) -> Any:
    async def handler(request: web.Request) -> web.Response:
        return await function(operators, request)

    return handler
