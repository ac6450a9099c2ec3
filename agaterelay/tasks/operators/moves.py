"""Endpoints on moves: read them, take one back."""

from __future__ import annotations

import attrs
from aiohttp import web

from agaterelay.core.commit import key_matches
from agaterelay.core.manifest import plain
from agaterelay.core.model import FINAL_MOVE_STATES, MoveState, Snapshot
from agaterelay.core.snapshot import ADMIN_OWNER
from agaterelay.ports import PlatformError
from agaterelay.tasks.committer import commit_move
from agaterelay.tasks.operators.requests import Operators, key_of


async def show_moves(operators: Operators, _: web.Request) -> web.Response:
    """Return how far every move has come."""
    snapshot = operators.board.active
    moves = [plain(item) for item in snapshot.manifest.moves] if snapshot else []
    return web.json_response({"moves": moves})


async def take_back(operators: Operators, request: web.Request) -> web.Response:
    """Take a move back at its owner's word."""
    snapshot = operators.board.active
    name = request.match_info["name"]
    progress = snapshot.progress.get(name) if snapshot else None
    if progress is None:
        return web.json_response({"error": "unknown-move"}, status=404)
    if not _owns_move(operators, snapshot, name, key_of(request)):
        return web.json_response({"error": "forbidden"}, status=403)
    if progress.state in FINAL_MOVE_STATES:
        return web.json_response({"error": "finished"}, status=409)
    now = operators.world.clock.now()
    taken_back = attrs.evolve(
        progress,
        state=MoveState.REVERTED,
        share_permille=0,
        reason="taken back by an operator",
        finished_at=now,
    )
    change_id = f"{name}:{snapshot.revision}:take-back"
    try:
        record = await commit_move(
            operators.committer, taken_back, change_id, f"{name} taken back"
        )
    except PlatformError as error:
        return web.json_response(
            {"error": "platform", "message": str(error)}, status=503
        )
    return web.json_response(plain(record) if record else {})


def _owns_move(operators: Operators, snapshot: Snapshot, move: str, key: str) -> bool:
    for section in snapshot.sections:
        if any(item.name == move for item in section.moves):
            if section.owner == ADMIN_OWNER:
                return key_matches(key, operators.world.settings.admin_key_sha256)
            return key_matches(key, snapshot.owners[section.owner].key_sha256)
    return False
