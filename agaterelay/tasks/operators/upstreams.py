"""Endpoints for upstreams, which announce themselves to the node of their host."""

from __future__ import annotations

import re

from aiohttp import web

from agaterelay.core.membership import UpstreamInfo
from agaterelay.tasks.operators.requests import (
    BadRequestError,
    Operators,
    field,
    json_object,
)
from agaterelay.tasks.upstreams import announce, finish_calls, withdraw

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


async def announce_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Take in or renew an upstream's announcement."""
    body = await json_object(request)
    known = {"service", "version", "slots", "connections", "draining"}
    if set(body) - known:
        raise BadRequestError(f"unknown fields: {', '.join(sorted(set(body) - known))}")
    address = request.match_info["address"]
    if not _ADDRESS.fullmatch(address):
        raise BadRequestError("the upstream's address must be like 127.0.1.1:9000")
    info = UpstreamInfo(
        service=field(body, "service", str)[:64],
        version=field(body, "version", str)[:64],
        address=address,
        slots=max(1, min(field(body, "slots", int), 100_000)),
        connections=max(0, min(field(body, "connections", int, 0), 100_000)),
        draining=field(body, "draining", bool, False),
    )
    announce(operators.upstreams, info)
    return web.json_response({})


async def withdraw_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Forget an upstream that leaves."""
    left = withdraw(operators.upstreams, request.match_info["address"])
    finished = await finish_calls(operators.upstreams, left)
    return web.json_response({"finished": finished})
