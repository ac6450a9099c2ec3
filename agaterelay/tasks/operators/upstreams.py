"""Endpoints for upstreams: they announce themselves here; operators drain them."""

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
    field,
    json_object,
    key_is_of,
    key_of,
    refuse,
)
from agaterelay.tasks.upstreams import announce, finish_calls, withdraw

MAX_SLOTS = 100_000
MAX_UPSTREAMS = 64
MAX_NAME_LENGTH = 63
HOST = "host"
_ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")
_FIELDS = frozenset({"service", "version", "slots", "connections", "draining"})


async def announce_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Take in or renew an upstream's announcement."""
    address = _address_of(request)
    body = await json_object(request, _FIELDS)
    if address not in operators.upstreams.slots and _is_full(operators):
        message = f"this host has {MAX_UPSTREAMS} upstreams already"
        return refuse(429, "too-many", message)
    info = UpstreamInfo(
        service=_name(body, "service", NAME_PATTERN),
        version=_name(body, "version", VERSION_PATTERN),
        address=address,
        slots=_count(body, "slots", 1),
        connections=_count(body, "connections", 0, 0),
        draining=field(body, "draining", bool, False),
    )
    drained = operators.drained & {HOST, address}
    announce(
        operators.upstreams, attrs.evolve(info, draining=info.draining or bool(drained))
    )
    return web.json_response({"drained": bool(drained)})


async def withdraw_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Forget an upstream that leaves."""
    address = _address_of(request)
    left = withdraw(operators.upstreams, address)
    operators.drained.discard(address)
    finished = await finish_calls(operators.upstreams, left)
    return web.json_response({"finished": finished})


def _is_full(operators: Operators) -> bool:
    return len(operators.upstreams.slots) >= MAX_UPSTREAMS


def _address_of(request: web.Request) -> str:
    address = request.match_info["address"]
    if not _ADDRESS.fullmatch(address):
        raise BadRequestError("the upstream's address must be like 127.0.1.1:9000")
    return address


def _name(body: dict, name: str, pattern: re.Pattern[str]) -> str:
    value = field(body, name, str)
    if len(value) > MAX_NAME_LENGTH or not pattern.fullmatch(value):
        raise BadRequestError(f"{name} is not a valid name")
    return value


def _count(body: dict, name: str, low: int, default: int | None = None) -> int:
    value = field(body, name, int, default)
    if not low <= value <= MAX_SLOTS:
        raise BadRequestError(f"{name} must be from {low} to {MAX_SLOTS}")
    return value


async def drain_upstream(operators: Operators, request: web.Request) -> web.Response:
    """Send an upstream no new work until the drain is undone or it leaves."""
    address = _address_of(request)
    slots = operators.upstreams.slots.get(address)
    if slots is None:
        return refuse(404, "unknown-upstream", f"no upstream {address} on this host")
    if not _may_drain(operators, request, slots.info.service):
        return refuse(403, "forbidden", f"the key is not of {slots.info.service}")
    _set_drain(operators, address, request.method == "POST")
    return web.json_response({"in_flight": slots.in_flight})


async def drain_host(operators: Operators, request: web.Request) -> web.Response:
    """Send all upstreams of this host no new work until the drain is undone."""
    if not key_is_of(operators, key_of(request), ADMIN_OWNER):
        return refuse(403, "forbidden", "a host is drained with the admin key")
    _set_drain(operators, HOST, request.method == "POST")
    in_flight = sum(item.in_flight for item in operators.upstreams.slots.values())
    return web.json_response({"in_flight": in_flight})


def _may_drain(operators: Operators, request: web.Request, service: str) -> bool:
    """Return whether the key is of the section that has the service, or of admin."""
    snapshot = operators.board.active
    owners = [
        section.owner
        for section in (snapshot.sections if snapshot else ())
        if any(item.name == service for item in section.services)
    ]
    owner = owners[0] if owners else ADMIN_OWNER
    return key_is_of(operators, key_of(request), owner)


def _set_drain(operators: Operators, name: str, draining: bool) -> None:
    """Begin a drain at once; end one with the upstreams' next heartbeats."""
    operators.node_context.record(EventKind.DRAIN_ASKED, target=name, draining=draining)
    if not draining:
        operators.drained.discard(name)
        return
    operators.drained.add(name)
    for address, item in list(operators.upstreams.slots.items()):
        if name in (HOST, address):
            announce(operators.upstreams, attrs.evolve(item.info, draining=True))
