"""The entry side of a call: route it, choose an upstream, send it there, retry.

A call stays on the host where it came in if the host has the upstream; otherwise it
takes one hop to the node that owns the upstream.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import aiohttp
import attrs

from agaterelay.core.brake import decode_brakes
from agaterelay.core.health import (
    Health,
    load_of,
    note_load,
    observe,
    usable_targets,
)
from agaterelay.core.keys import Key, mint_key, parse_key
from agaterelay.core.messages import Brake
from agaterelay.core.model import Route, Snapshot
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.routing import (
    Target,
    choose_target,
    choose_version,
    match_route,
    targets_of,
    version_shares,
)
from agaterelay.tasks.board import Board, World
from agaterelay.tasks.owner import Call, Owner, run_call
from agaterelay.tasks.tallies import note_forwarded

MAX_TRIES = 3
OUTCOME_HEADER = "Agaterelay-Outcome"
REASON_HEADER = "Agaterelay-Reason"
HOP_HEADER = "Agaterelay-Hop"
BRAKES_HEADER = "Agaterelay-Brakes"
LOAD_HEADER = "Agaterelay-Load"


@attrs.frozen
class Request:
    """What a caller sent."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    timeout_ms: int | None = None
    key: str = ""


@attrs.define
class Entry:
    """The entry's state: calls in flight to each upstream, as this node sees them."""

    world: World
    board: Board
    owner: Owner
    session: aiohttp.ClientSession
    draw: random.Random = attrs.field(factory=random.Random)
    in_flight: dict[str, int] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    on_brakes: Callable[[tuple[Brake, ...]], None] = lambda brakes: None


async def handle_request(entry: Entry, request: Request) -> Outcome:
    """Serve a caller's request."""
    snapshot = entry.board.active
    if entry.board.stopping:
        return NotRun("the node is stopping")
    if snapshot is None:
        return NotRun("the node has no configuration yet", retry_after_s=1.0)
    route = match_route(snapshot, request.method, request.path)
    if route is None:
        return Answered(404, (), b"no route\n")
    timeout_ms = min(request.timeout_ms or route.timeout_ms, route.timeout_ms)
    deadline_s = entry.world.clock.monotonic_s() + timeout_ms / 1000
    if route.idempotent:
        return await _try_several(entry, snapshot, route, request, deadline_s)
    return await _try_once(entry, snapshot, route, request, deadline_s)


async def _try_several(
    entry: Entry, snapshot: Snapshot, route: Route, request: Request, deadline_s: float
) -> Outcome:
    """Send an idempotent request until it is answered or the tries are used up."""
    outcome: Outcome = NotRun("no upstream is known", retry_after_s=0.5)
    tried: set[str] = set()
    for _ in range(MAX_TRIES):
        target = _choose(entry, snapshot, route, tried)
        if target is None:
            return outcome
        tried.add(target.upstream.address)
        outcome = await _dispatch(entry, route, request, target, deadline_s, None)
        if isinstance(outcome, Answered):
            return outcome
    return outcome


async def _try_once(
    entry: Entry, snapshot: Snapshot, route: Route, request: Request, deadline_s: float
) -> Outcome:
    """Send a request that must not run twice to the home of its key."""
    if request.key:
        key = parse_key(request.key)
        if key is None:
            return NotRun("the idempotency key was not minted by a node")
        return await _send_to_home(entry, snapshot, route, request, key, deadline_s)
    target = _choose(entry, snapshot, route, set())
    if target is None:
        return NotRun("no upstream is known", retry_after_s=0.5)
    member = entry.board.members[target.host]
    key = mint_key(target.host, member.incarnation, entry.world.clock.now())
    return await _dispatch(entry, route, request, target, deadline_s, key)


async def _send_to_home(
    entry: Entry,
    snapshot: Snapshot,
    route: Route,
    request: Request,
    key: Key,
    deadline_s: float,
) -> Outcome:
    member = entry.board.members.get(key.host)
    if member is None or member.incarnation != key.incarnation:
        return Unknown("the node that knew this key was replaced")
    shares = version_shares(snapshot, route.service)
    targets = [
        target
        for version in shares
        for target in targets_of(entry.board.members, route.service, version)
        if target.host == key.host
    ]
    if not targets:
        return Unknown("the key's home has no upstream for it")
    return await _dispatch(entry, route, request, targets[0], deadline_s, key)


def _choose(
    entry: Entry, snapshot: Snapshot, route: Route, tried: set[str]
) -> Target | None:
    shares = version_shares(snapshot, route.service, entry.board.brakes)
    version = choose_version(shares, entry.draw)
    for name in [version, *(item for item in shares if item != version)]:
        targets = [
            target
            for target in targets_of(
                entry.board.members, route.service, name, entry.board.out_of_reach
            )
            if target.upstream.address not in tried
        ]
        now_s = entry.world.clock.monotonic_s()
        usable = usable_targets(
            entry.health, targets, now_s, route.idempotent, entry.draw
        )
        chosen = choose_target(
            usable, entry.board.own, lambda target: _load(entry, target), entry.draw
        )
        if chosen is not None:
            return chosen
    return None


def _load(entry: Entry, target: Target) -> float:
    in_flight = entry.in_flight.get(target.upstream.address, 0)
    now_s = entry.world.clock.monotonic_s()
    return load_of(entry.health, target, in_flight, now_s)


async def _dispatch(
    entry: Entry,
    route: Route,
    request: Request,
    target: Target,
    deadline_s: float,
    key: Key | None,
) -> Outcome:
    """Run a call here, or send it to the node that owns the target."""
    path = request.path + (f"?{request.query}" if request.query else "")
    call = Call(
        method=request.method,
        path=path,
        headers=request.headers,
        body=request.body,
        route=route.name,
        service=route.service,
        version=target.upstream.version,
        request_id=request.request_id,
        deadline_s=deadline_s,
        key=key,
    )
    address = target.upstream.address
    entry.in_flight[address] = entry.in_flight.get(address, 0) + 1
    started_s = entry.world.clock.monotonic_s()
    try:
        if target.host == entry.board.own.host:
            outcome = await run_call(entry.owner, call)
        else:
            outcome = await _forward(entry, call, target)
        now_s = entry.world.clock.monotonic_s()
        latency_ms = (now_s - started_s) * 1000
        observe(entry.health, target, outcome, latency_ms, now_s)
        return outcome
    finally:
        entry.in_flight[address] -= 1
        if not entry.in_flight[address]:
            del entry.in_flight[address]


async def _forward(entry: Entry, call: Call, target: Target) -> Outcome:
    left_s = call.deadline_s - entry.world.clock.monotonic_s()
    if left_s <= 0:
        return NotRun("the deadline has passed")
    headers = [
        *call.headers,
        (HOP_HEADER, "1"),
        ("Agaterelay-Route", call.route),
        ("Agaterelay-Service", call.service),
        ("Agaterelay-Version", call.version),
        ("Deadline-Ms", str(max(int(left_s * 1000), 1))),
        ("Request-Id", call.request_id),
    ]
    if call.key is not None:
        headers.append(("Idempotency-Key", str(call.key)))
    try:
        async with asyncio.timeout(left_s):
            async with entry.session.request(
                call.method,
                f"http://{target.calls_address}{call.path}",
                data=call.body,
                headers=headers,
                allow_redirects=False,
            ) as response:
                _note_load(entry, target, response.headers.get(LOAD_HEADER, ""))
                outcome = _outcome_of(response, await response.read())
                _note_told(entry, call, response, outcome)
                return outcome
    except aiohttp.ClientConnectorError:
        return NotRun("the upstream's node cannot be reached")
    except (aiohttp.ClientError, TimeoutError) as error:
        return Unknown(f"the answer was lost: {type(error).__name__}")


def _note_told(
    entry: Entry, call: Call, response: aiohttp.ClientResponse, outcome: Outcome
) -> None:
    """Count what the upstream's node told of a call, and take its brakes."""
    clock = entry.world.clock
    if OUTCOME_HEADER in response.headers:
        note_forwarded(
            entry.owner.tallies,
            entry.board.active,
            call.service,
            (call.route, call.version),
            outcome,
            clock.monotonic_s(),
            int(clock.now().timestamp() * 1000),
        )
    brakes = decode_brakes(response.headers.get(BRAKES_HEADER, ""))
    if brakes:
        entry.on_brakes(brakes)


def _note_load(entry: Entry, target: Target, report: str) -> None:
    if not report.isdecimal() or len(report) > 6:
        return
    address = target.upstream.address
    now_s = entry.world.clock.monotonic_s()
    note_load(
        entry.health, address, int(report), entry.in_flight.get(address, 0), now_s
    )


def _outcome_of(response: aiohttp.ClientResponse, body: bytes) -> Outcome:
    kind = response.headers.get(OUTCOME_HEADER, "")
    reason = response.headers.get(REASON_HEADER, "")
    if kind == "not-run":
        return NotRun(reason, float(response.headers.get("Retry-After", "0")))
    if kind != "answered":
        return Unknown(reason or "the node did not say what became of the call")
    skip = {
        OUTCOME_HEADER.lower(),
        BRAKES_HEADER.lower(),
        "content-length",
        "date",
        "server",
        "connection",
    }
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in skip
    )
    return Answered(response.status, headers, body)
