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

from agaterelay.adapters.http import HttpResponse
from agaterelay.adapters.outcomes import (
    BRAKES_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
)
from agaterelay.core.brake import decode_brakes
from agaterelay.core.health import (
    Health,
    estimate_load,
    observe_outcome,
    record_reported_load,
    usable_targets,
)
from agaterelay.core.keys import Key, mint_key, parse_key
from agaterelay.core.membership import Member
from agaterelay.core.messages import Brake
from agaterelay.core.model import Route, Snapshot
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.retry import (
    RetryTokens,
    backoff_s,
    earn_retry_tokens,
    forwarded_retries,
    may_retry,
    parse_retries,
    spend_retry_token,
)
from agaterelay.core.routing import (
    Target,
    TargetIndex,
    choose_target,
    choose_version,
    find_indexed_targets,
    find_targets,
    match_route,
    version_shares,
)
from agaterelay.events import EventKind
from agaterelay.ports import Clock
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.hop import forward
from agaterelay.tasks.owner import Call, Owner, run_call
from agaterelay.tasks.tallies import note_forwarded

MAX_KEYS_AT_ONCE = 64


@attrs.frozen
class Request:
    """What a caller sent; ``raw_path`` is the path and query as they were sent."""

    method: str
    path: str
    raw_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    timeout_ms: int | None = None
    key: str = ""
    retries_left: str = ""


@attrs.define
class Entry:
    """The entry's state: calls in flight to each upstream, as this process sees them.

    There is no owner where the entry is in a caller's process.
    """

    clock: Clock
    board: Board
    owner: Owner | None
    session: aiohttp.ClientSession
    draw: random.Random = attrs.field(factory=random.Random)
    in_flight: dict[str, int] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    index: TargetIndex = attrs.field(factory=TargetIndex)
    tokens: RetryTokens = attrs.field(factory=RetryTokens)
    on_brakes: Callable[[tuple[Brake, ...]], None] = lambda brakes: None


async def handle_request(entry: Entry, request: Request) -> Outcome:
    """Serve a caller's request.

    Of a key that the caller brought only its home may say "not run": an earlier try
    may be under way elsewhere.
    """
    snapshot = entry.board.active
    if entry.board.stopping:
        return _refuse_here(request, "the node is stopping")
    if snapshot is None:
        return _refuse_here(request, "the node has no configuration yet")
    route = match_route(snapshot, request.method, request.path)
    if route is None:
        return Answered(404, (), b"no route\n")
    timeout_ms = min(request.timeout_ms or route.timeout_ms, route.timeout_ms)
    deadline_s = entry.clock.monotonic_s() + timeout_ms / 1000
    if route.idempotent or not request.key:
        return await _try_targets(entry, snapshot, route, request, deadline_s)
    key = parse_key(request.key)
    if key is None:
        return NotRun("the idempotency key was not minted by a node")
    return await _send_to_home(entry, snapshot, route, request, key, deadline_s)


def _refuse_here(request: Request, reason: str) -> Outcome:
    if request.key:
        return Unknown(reason, sent=False)
    return NotRun(reason, retry_after_s=1.0)


async def _try_targets(
    entry: Entry, snapshot: Snapshot, route: Route, request: Request, deadline_s: float
) -> Outcome:
    """Send a request until it is answered, or may not be tried again."""
    outcome: Outcome = NotRun("no upstream is known", retry_after_s=0.5)
    budget = parse_retries(request.retries_left)
    earn_retry_tokens(entry.tokens)
    tried: set[str] = set()
    for attempt in range(budget + 1):
        target = _choose(entry, snapshot, route, tried)
        if target is None or (attempt and not spend_retry_token(entry.tokens)):
            return outcome
        tried.add(target.upstream.address)
        if attempt:
            await asyncio.sleep(backoff_s(attempt, entry.draw))
        retries = forwarded_retries(budget, attempt)
        call = _call_of(route, request, target.upstream.version, deadline_s, retries)
        outcome = await _dispatch(entry, call, target)
        if not may_retry(outcome, route.idempotent):
            return outcome
    return outcome


async def _send_to_home(
    entry: Entry,
    snapshot: Snapshot,
    route: Route,
    request: Request,
    key: Key,
    deadline_s: float,
) -> Outcome:
    """Send a request to the one node that may run its key."""
    member = entry.board.members.get(key.host)
    if member is None:
        return Unknown("the key's home is not known here", sent=False)
    if member.incarnation > key.incarnation:
        return Unknown("the node that knew this key was replaced", sent=False)
    budget = parse_retries(request.retries_left)
    earn_retry_tokens(entry.tokens)
    for version in _versions(entry, snapshot, route.service):
        call = _call_of(route, request, version, deadline_s, budget, key)
        for target in find_targets(entry.board.members, route.service, version):
            if target.host == key.host:
                return await _dispatch(entry, call, target)
    # The home may still hold what became of an earlier try.
    call = _call_of(route, request, "", deadline_s, budget, key)
    if key.host == entry.board.own.host and entry.owner is not None:
        return await run_call(entry.owner, call)
    return (await _forward(entry, call, member.calls_address))[0]


def mint_keys(
    entry: Entry, method: str, path: str, count: int
) -> tuple[Key, ...] | None:
    """Return new keys for a route, each with a home that can run it now.

    Returns:
        The keys, none where no upstream is known, or None where no route matches.
    """
    snapshot = entry.board.active
    route = match_route(snapshot, method, path) if snapshot is not None else None
    if snapshot is None or route is None:
        return None
    keys = []
    for _ in range(min(count, MAX_KEYS_AT_ONCE)):
        target = _choose(entry, snapshot, route, set())
        if target is None:
            break
        member: Member = entry.board.members[target.host]
        now = entry.clock.now()
        keys.append(mint_key(target.host, member.incarnation, now))
    return tuple(keys)


def _call_of(
    route: Route,
    request: Request,
    version: str,
    deadline_s: float,
    retries_left: int,
    key: Key | None = None,
) -> Call:
    return Call(
        method=request.method,
        path=request.raw_path,
        headers=request.headers,
        body=request.body,
        route=route.name,
        service=route.service,
        version=version,
        request_id=request.request_id,
        deadline_s=deadline_s,
        key=key,
        idempotent=route.idempotent,
        priority=route.priority,
        retries_left=retries_left,
    )


def _choose(
    entry: Entry, snapshot: Snapshot, route: Route, tried: set[str]
) -> Target | None:
    for name in _versions(entry, snapshot, route.service):
        targets = [
            target
            for target in find_indexed_targets(
                entry.index,
                entry.board.members,
                route.service,
                name,
                entry.board.out_of_reach,
            )
            if target.upstream.address not in tried
        ]
        now_s = entry.clock.monotonic_s()
        usable = usable_targets(
            entry.health,
            targets,
            entry.board.own,
            now_s,
            route.idempotent,
            entry.draw,
        )
        chosen = choose_target(
            usable, entry.board.own, lambda target: _load(entry, target), entry.draw
        )
        if chosen is not None:
            return chosen
    return None


def _versions(entry: Entry, snapshot: Snapshot, service: str) -> list[str]:
    """Return a service's versions in the order to try them: one drawn by its share."""
    shares = version_shares(snapshot, service, entry.board.brakes)
    drawn = choose_version(shares, entry.draw)
    return [drawn, *(version for version in shares if version != drawn)]


def _load(entry: Entry, target: Target) -> float:
    in_flight = entry.in_flight.get(target.upstream.address, 0)
    now_s = entry.clock.monotonic_s()
    return estimate_load(entry.health, target, in_flight, now_s)


async def _dispatch(entry: Entry, call: Call, target: Target) -> Outcome:
    """Run a call here, or send it to the node that owns the target."""
    address = target.upstream.address
    entry.in_flight[address] = entry.in_flight.get(address, 0) + 1
    started_s = entry.clock.monotonic_s()
    try:
        if target.host == entry.board.own.host and entry.owner is not None:
            outcome = await run_call(entry.owner, call)
        else:
            outcome, answer = await _forward(entry, call, target.calls_address)
            if answer is not None:
                _note_load(entry, target, answer.headers.get(LOAD_HEADER, ""))
        now_s = entry.clock.monotonic_s()
        latency_ms = (now_s - started_s) * 1000
        observe_outcome(entry.health, target, outcome, latency_ms, now_s)
        if not isinstance(outcome, Answered) and entry.owner is not None:
            _note_try(entry.owner.node_context, call, target, outcome, latency_ms)
        return outcome
    finally:
        entry.in_flight[address] -= 1
        if not entry.in_flight[address]:
            del entry.in_flight[address]


def _note_try(
    world: NodeContext, call: Call, target: Target, outcome: Outcome, latency_ms: float
) -> None:
    """Record a try that ended without an answer; the time line explains calls by it."""
    world.record(
        EventKind.CALL_TRY_ENDED,
        request_id=call.request_id,
        route=call.route,
        owner=target.host,
        upstream=target.upstream.address,
        version=call.version,
        outcome=type(outcome).__name__,
        reason=outcome.reason,
        elapsed_ms=round(latency_ms, 1),
    )


async def _forward(
    entry: Entry, call: Call, calls_address: str
) -> tuple[Outcome, HttpResponse | None]:
    outcome, answer = await forward(entry.session, entry.clock, call, calls_address)
    if answer is not None:
        _note_told(entry, call, answer, outcome)
    return outcome, answer


def _note_told(
    entry: Entry, call: Call, answer: HttpResponse, outcome: Outcome
) -> None:
    """Count what the upstream's node told of a call, and take its brakes."""
    clock = entry.clock
    told = OUTCOME_HEADER in answer.headers and call.version
    if told and entry.owner is not None:
        note_forwarded(
            entry.owner.tallies,
            entry.board.active,
            call.service,
            (call.route, call.version),
            outcome,
            clock.monotonic_s(),
            int(clock.now().timestamp() * 1000),
        )
    brakes = decode_brakes(answer.headers.get(BRAKES_HEADER, ""))
    if brakes:
        entry.on_brakes(brakes)


def _note_load(entry: Entry, target: Target, report: str) -> None:
    if not report.isdecimal() or len(report) > 6:
        return
    address = target.upstream.address
    now_s = entry.clock.monotonic_s()
    record_reported_load(
        entry.health, address, int(report), entry.in_flight.get(address, 0), now_s
    )
