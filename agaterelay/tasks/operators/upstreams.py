"""Endpoints with which upstreams announce themselves and operators drain them."""

from __future__ import annotations

import re

import attrs
from aiohttp import web

from agaterelay.core.fields import NAME_PATTERN, VERSION_PATTERN
from agaterelay.core.membership import UpstreamInfo
from agaterelay.core.snapshot import ADMIN_OWNER
from agaterelay.events import EventKind
from agaterelay.tasks.operators.requests import (
    BadRequestError,
    Operators,
    error_response,
    is_owner_key,
    read_bearer_key,
    read_field,
    read_json_object,
)
from agaterelay.tasks.upstreams import (
    apply_announcement,
    apply_withdrawal,
    finish_calls,
)

MAX_SLOTS = 100_000
MAX_UPSTREAMS = 64
MAX_NAME_LENGTH = 63
HOST = "host"
_ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")
_FIELDS = frozenset({"service", "version", "slots", "connections", "draining"})


async def announce_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Add or renew an upstream; the response says whether an operator drains it."""
    address = _parse_address(request)
    body = await read_json_object(request, _FIELDS)
    if address not in operators.upstreams.slots and _is_full(operators):
        message = f"this host already has the maximum of {MAX_UPSTREAMS} upstreams"
        return error_response(429, "too-many", message)
    info = UpstreamInfo(
        service=_read_name(body, "service", NAME_PATTERN),
        version=_read_name(body, "version", VERSION_PATTERN),
        address=address,
        slots=_read_count(body, "slots", 1),
        connections=_read_count(body, "connections", 0, 0),
        draining=read_field(body, "draining", bool, False),
    )
    is_drained = operators.requested_drains & {HOST, address}
    apply_announcement(
        operators.upstreams,
        attrs.evolve(info, draining=info.draining or bool(is_drained)),
    )
    return web.json_response({"drained": bool(is_drained)})


async def withdraw_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Remove an upstream, and respond once its calls have ended or timed out."""
    address = _parse_address(request)
    withdrawn = apply_withdrawal(operators.upstreams, address)
    operators.requested_drains.discard(address)
    finished = await finish_calls(operators.upstreams, withdrawn)
    return web.json_response({"finished": finished})


def _is_full(operators: Operators) -> bool:
    return len(operators.upstreams.slots) >= MAX_UPSTREAMS


def _parse_address(request: web.Request) -> str:
    address = request.match_info["address"]
    if not _ADDRESS.fullmatch(address):
        raise BadRequestError(
            "the upstream must be an IPv4 address and port, such as 127.0.1.1:9000"
        )
    return address


def _read_name(body: dict, name: str, pattern: re.Pattern[str]) -> str:
    value = read_field(body, name, str)
    if len(value) > MAX_NAME_LENGTH or not pattern.fullmatch(value):
        raise BadRequestError(f"{name} is not a valid name")
    return value


def _read_count(body: dict, name: str, low: int, default: int | None = None) -> int:
    value = read_field(body, name, int, default)
    if not low <= value <= MAX_SLOTS:
        raise BadRequestError(f"{name} must be from {low} to {MAX_SLOTS}")
    return value


async def drain_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Start or end the draining of an upstream, which gets no new calls meanwhile.

    A drain also ends when the upstream withdraws itself.
    """
    address = _parse_address(request)
    slots = operators.upstreams.slots.get(address)
    if slots is None:
        return error_response(
            404, "unknown-upstream", f"no upstream {address} on this host"
        )
    if not _may_drain(operators, request, slots.info.service):
        return error_response(
            403,
            "forbidden",
            f"the key does not belong to the owner of {slots.info.service}",
        )
    _set_drain(operators, address, request.method == "POST")
    return web.json_response({"in_flight": slots.in_flight})


async def drain_host(operators: Operators, request: web.Request) -> web.Response:
    """Start or end the draining of all upstreams of this host."""
    if not is_owner_key(operators, read_bearer_key(request), ADMIN_OWNER):
        return error_response(
            403, "forbidden", "draining a host requires the admin key"
        )
    _set_drain(operators, HOST, request.method == "POST")
    in_flight = sum(item.in_flight for item in operators.upstreams.slots.values())
    return web.json_response({"in_flight": in_flight})


def _may_drain(operators: Operators, request: web.Request, service: str) -> bool:
    """Return whether the key belongs to the service's owner or an administrator."""
    snapshot = operators.board.active
    owners = [
        section.owner
        for section in (snapshot.sections if snapshot else ())
        if any(item.name == service for item in section.services)
    ]
    owner = owners[0] if owners else ADMIN_OWNER
    return is_owner_key(operators, read_bearer_key(request), owner)


def _set_drain(operators: Operators, name: str, draining: bool) -> None:
    """Start a drain at once, or let it end with the upstreams' next heartbeats."""
    operators.node_context.record(EventKind.DRAIN_ASKED, target=name, draining=draining)
    if not draining:
        operators.requested_drains.discard(name)
        return
    operators.requested_drains.add(name)
    for address, item in list(operators.upstreams.slots.items()):
        if name in (HOST, address):
            apply_announcement(
                operators.upstreams, attrs.evolve(item.info, draining=True)
            )
