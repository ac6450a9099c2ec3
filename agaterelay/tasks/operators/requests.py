"""What the operators' endpoints share: their state, and how requests are read."""

from __future__ import annotations

import json
from typing import Any

import attrs
from aiohttp import web

from agaterelay.adapters.metrics import Metrics
from agaterelay.core.commit import key_matches
from agaterelay.core.snapshot import ADMIN_OWNER
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.committer import Committer
from agaterelay.tasks.mover import Mover
from agaterelay.tasks.upstreams import Upstreams


@attrs.frozen
class Operators:
    """What the operators' server reaches, and which drains operators asked for."""

    node_context: NodeContext
    board: Board
    upstreams: Upstreams
    committer: Committer
    metrics: Metrics
    mover: Mover
    drained: set[str] = attrs.field(factory=set)


class BadRequestError(Exception):
    """The request cannot be understood; the message says why."""


async def json_object(request: web.Request, known: frozenset[str]) -> dict[str, Any]:
    """Return a request's body as a JSON object with known fields only.

    Raises:
        BadRequestError: The body is not one.
    """
    content = await request.read()
    try:
        body = json.loads(content, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"the body is not JSON: {str(error)[:200]}") from error
    if not isinstance(body, dict):
        raise BadRequestError("the body is not a JSON object")
    unknown = sorted(set(body) - known)
    if unknown:
        shown = ", ".join(repr(name[:40]) for name in unknown[:10])
        raise BadRequestError(f"unknown fields: {shown}")
    return body


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def field(body: dict[str, Any], name: str, kind: type, default: Any = None) -> Any:
    """Return a field of a JSON object.

    Raises:
        BadRequestError: The field is missing or of another type.
    """
    value = body.get(name, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is int):
        raise BadRequestError(f"{name} must be of type {kind.__name__}")
    return value


def whole_text(body: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a text field that can be written as UTF-8.

    Raises:
        BadRequestError: The field is missing, of another type, or half a character.
    """
    value = field(body, name, str, default)
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise BadRequestError(f"{name} is not valid Unicode text") from error
    return value


def key_of(request: web.Request) -> str:
    """Return the key that came with a request, empty for none."""
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    # A header may hold bytes that are no text, which cannot be hashed as text.
    return key.strip() if kind.lower() == "bearer" and key.isascii() else ""


def hash_of_owner(operators: Operators, owner: str) -> str:
    """Return the hash of an owner's key, empty for an unknown owner."""
    if owner == ADMIN_OWNER:
        return operators.node_context.settings.admin_key_sha256
    snapshot = operators.board.active
    known = snapshot.owners.get(owner) if snapshot else None
    return known.key_sha256 if known else ""


def key_is_of(operators: Operators, key: str, owner: str) -> bool:
    """Return whether a key is an owner's or the administrators'."""
    hashes = [hash_of_owner(operators, name) for name in (owner, ADMIN_OWNER)]
    matches = [key_matches(key, item) for item in hashes if item]
    return any(matches)


def key_is_known(operators: Operators, key: str) -> bool:
    """Return whether a key is any owner's; every hash is compared."""
    snapshot = operators.board.active
    owners = (ADMIN_OWNER, *(snapshot.owners if snapshot else ()))
    matches = [key_matches(key, hash_of_owner(operators, name)) for name in owners]
    return any(matches)


def refuse(status: int, error: str, message: str, **more: Any) -> web.Response:
    """Return an error as JSON: a word for programs and a message for people."""
    return web.json_response(
        {"error": error, "message": message, **more}, status=status
    )
