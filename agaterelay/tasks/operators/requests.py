"""What the operators' endpoints share: their state, and how requests are read."""

from __future__ import annotations

from typing import Any

import attrs
from aiohttp import web

from agaterelay.adapters.metrics import Metrics
from agaterelay.tasks.board import Board, World
from agaterelay.tasks.committer import Committer
from agaterelay.tasks.upstreams import Upstreams


@attrs.frozen
class Operators:
    """What the operators' server reaches."""

    world: World
    board: Board
    upstreams: Upstreams
    committer: Committer
    metrics: Metrics


class BadRequestError(Exception):
    """The request cannot be understood; the message says why."""


async def json_object(request: web.Request) -> dict[str, Any]:
    """Return a request's body as a JSON object.

    Raises:
        BadRequestError: The body is not one.
    """
    try:
        body = await request.json()
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise BadRequestError("the body is not a JSON object")
    return body


def field(body: dict[str, Any], name: str, kind: type, default: Any = None) -> Any:
    """Return a field of a JSON object.

    Raises:
        BadRequestError: The field is missing or of another type.
    """
    value = body.get(name, default)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is int):
        raise BadRequestError(f"{name} must be of type {kind.__name__}")
    return value


def key_of(request: web.Request) -> str:
    """Return the key that came with a request, empty for none."""
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if kind.lower() == "bearer" else ""
