"""Endpoints for moves: show them, take one back."""

from __future__ import annotations

import attrs
from aiohttp import web

from agaterelay.core.manifest import to_json_value
from agaterelay.core.model import Snapshot
from agaterelay.ports import NotCommittedError, PlatformError
from agaterelay.tasks.committer import commit_take_back
from agaterelay.tasks.mover import describe_moves
from agaterelay.tasks.operators.requests import (
    Operators,
    error_response,
    is_owner_key,
    read_bearer_key,
)


async def show_moves(operators: Operators, _: web.Request) -> web.Response:
    """Return the progress of all moves, the evidence on open ones, and the brakes."""
    snapshot = operators.board.active
    moves = await describe_moves(operators.mover)
    brakes = [attrs.asdict(item) for item in operators.board.brakes.values()]
    revision = snapshot.revision if snapshot else 0
    return web.json_response({"revision": revision, "moves": moves, "brakes": brakes})


async def take_back(operators: Operators, request: web.Request) -> web.Response:
    """Take a move back on request of its owner or an administrator."""
    snapshot = operators.board.active
    name = request.match_info["name"]
    progress = snapshot.progress.get(name) if snapshot else None
    if progress is None:
        return error_response(404, "unknown-move", "there is no such move")
    owner = _find_move_owner(snapshot, name)
    if not is_owner_key(operators, read_bearer_key(request), owner):
        message = f"move {name!r} belongs to owner {owner!r}, and the key is not theirs"
        return error_response(403, "forbidden", message)
    change_id = f"{progress.identity}:take-back"
    reason = "taken back by an operator"
    try:
        record = await commit_take_back(operators.committer, name, reason, change_id)
    except NotCommittedError as error:
        return error_response(503, "platform", f"the move was not taken back: {error}")
    except PlatformError as error:
        message = f"it is not known whether the move was taken back: {error}"
        return error_response(503, "platform", message)
    if record is None:
        message = f"move {name!r} has already finished"
        return error_response(409, "finished", message)
    return web.json_response(to_json_value(record))


def _find_move_owner(snapshot: Snapshot, move: str) -> str:
    for section in snapshot.sections:
        if any(item.name == move for item in section.moves):
            return section.owner
    return ""
