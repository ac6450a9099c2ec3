"""State shared by the operators' endpoints, and parsing of their requests."""

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
    """The state of the operators' server.

    Attributes:
        requested_drains: The upstream addresses that operators are draining, and
            "host" while they are draining the whole host.
    """

    node_context: NodeContext
    board: Board
    upstreams: Upstreams
    committer: Committer
    metrics: Metrics
    mover: Mover
    requested_drains: set[str] = attrs.field(factory=set)


class BadRequestError(Exception):
    """The request is invalid; the message says why."""


async def read_json_object(
    request: web.Request, known: frozenset[str]
) -> dict[str, Any]:
    """Return a request's body as a JSON object.

    Raises:
        BadRequestError: The body is not a JSON object, or has an unknown field.
    """
    content = await request.read()
    try:
        body = json.loads(content, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"the body is not JSON: {str(error)[:200]}") from error
    if not isinstance(body, dict):
        raise BadRequestError("the body must be a JSON object")
    unknown = sorted(set(body) - known)
    if unknown:
        shown = ", ".join(repr(name[:40]) for name in unknown[:10])
        raise BadRequestError(f"unknown fields: {shown}")
    return body


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def read_field(body: dict[str, Any], name: str, kind: type, default: Any = None) -> Any:
    """Return a field of a JSON object.

    Raises:
        BadRequestError: The field is missing or of another type.
    """
    value = body.get(name, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is int):
        raise BadRequestError(f"{name} must be of type {kind.__name__}")
    return value


def read_text_field(body: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a text field that can be encoded as UTF-8.

    Raises:
        BadRequestError: The field is missing, of another type, or has a lone surrogate.
    """
    value = read_field(body, name, str, default)
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise BadRequestError(f"{name} is not valid Unicode text") from error
    return value


def read_bearer_key(request: web.Request) -> str:
    """Return the bearer token of a request, empty for none."""
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    # A header may contain bytes that are not valid UTF-8, which cannot be hashed as text.
    return key.strip() if kind.lower() == "bearer" and key.isascii() else ""


def find_owner_key_hash(operators: Operators, owner: str) -> str:
    """Return the SHA-256 of an owner's key, empty for an unknown owner."""
    if owner == ADMIN_OWNER:
        return operators.node_context.settings.admin_key_sha256
    snapshot = operators.board.active
    known = snapshot.owners.get(owner) if snapshot else None
    return known.key_sha256 if known else ""


def is_owner_key(operators: Operators, key: str, owner: str) -> bool:
    """Return whether a key belongs to an owner or to the administrators."""
    hashes = [find_owner_key_hash(operators, name) for name in (owner, ADMIN_OWNER)]
    matches = [key_matches(key, item) for item in hashes if item]
    return any(matches)


def is_known_key(operators: Operators, key: str) -> bool:
    """Return whether a key belongs to any owner; all hashes are always compared."""
    snapshot = operators.board.active
    owners = (ADMIN_OWNER, *(snapshot.owners if snapshot else ()))
    matches = [
        key_matches(key, find_owner_key_hash(operators, name)) for name in owners
    ]
    return any(matches)


def error_response(status: int, error: str, message: str, **extra: Any) -> web.Response:
    """Return a JSON error with a code for programs and a message for people."""
    return web.json_response(
        {"error": error, "message": message, **extra}, status=status
    )
