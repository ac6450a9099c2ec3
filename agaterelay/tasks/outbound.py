"""Outbound proxy: routes a request, chooses an upstream, sends the call and retries it.

A call whose upstream is on this host is handed to the local inbound proxy. Any other
call takes one hop, to the inbound proxy on the upstream's host.
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
from agaterelay.tasks.forwarding import forward_call
from agaterelay.tasks.inbound import Call, Inbound, run_call
from agaterelay.tasks.tallies import record_forwarded_call

MAX_KEYS_PER_REQUEST = 64


@attrs.frozen
class Request:
    """A caller's request.

    Attributes:
        raw_path: The path and query exactly as the caller sent them.
        timeout_ms: The time limit that the caller asked for, in milliseconds.
        key: The idempotency key that the caller sent, empty for none.
        retries_left: The retry limit that the caller sent, not parsed yet.
    """

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
class Outbound:
    """The state of an outbound proxy.

    Attributes:
        inbound: The inbound proxy of the same node; None in a caller's process.
        in_flight: The number of this process's calls in flight, by upstream address.
        tokens: The budget that limits retries.
        on_brakes: Called with the brakes that other nodes attach to their responses.
    """

    clock: Clock
    board: Board
    inbound: Inbound | None
    session: aiohttp.ClientSession
    rng: random.Random = attrs.field(factory=random.Random)
    in_flight: dict[str, int] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    index: TargetIndex = attrs.field(factory=TargetIndex)
    tokens: RetryTokens = attrs.field(factory=RetryTokens)
    on_brakes: Callable[[tuple[Brake, ...]], None] = lambda brakes: None


async def handle_request(outbound: Outbound, request: Request) -> Outcome:
    """Route a caller's request and return its outcome.

    For an idempotency key that the caller sent, only the key's home host may return
    NotRun, because an earlier attempt may still be running there.
    """
    snapshot = outbound.board.active
    if outbound.board.stopping:
        return _refuse(request, "the node is stopping")
    if snapshot is None:
        return _refuse(request, "the node has no configuration yet")
    route = match_route(snapshot, request.method, request.path)
    if route is None:
        return Answered(404, (), b"no route\n")
    timeout_ms = min(request.timeout_ms or route.timeout_ms, route.timeout_ms)
    deadline_s = outbound.clock.monotonic_s() + timeout_ms / 1000
    if route.idempotent or not request.key:
        return await _run_attempts(outbound, snapshot, route, request, deadline_s)
    key = parse_key(request.key)
    if key is None:
        return NotRun("the idempotency key was not minted by a node")
    return await _send_to_home(outbound, snapshot, route, request, key, deadline_s)


def _refuse(request: Request, reason: str) -> Outcome:
    if request.key:
        return Unknown(reason, sent=False)
    return NotRun(reason, retry_after_s=1.0)


async def _run_attempts(
    outbound: Outbound,
    snapshot: Snapshot,
    route: Route,
    request: Request,
    deadline_s: float,
) -> Outcome:
    """Send a request until it is answered or must not be retried."""
    outcome: Outcome = NotRun("no upstream is known", retry_after_s=0.5)
    budget = parse_retries(request.retries_left)
    earn_retry_tokens(outbound.tokens)
    tried: set[str] = set()
    for attempt in range(budget + 1):
        target = _choose_target(outbound, snapshot, route, tried)
        if target is None or (attempt and not spend_retry_token(outbound.tokens)):
            return outcome
        tried.add(target.upstream.address)
        if attempt:
            await asyncio.sleep(backoff_s(attempt, outbound.rng))
        retries = forwarded_retries(budget, attempt)
        call = _make_call(route, request, target.upstream.version, deadline_s, retries)
        outcome = await _run_attempt(outbound, call, target)
        if not may_retry(outcome, route.idempotent):
            return outcome
    return outcome


async def _send_to_home(
    outbound: Outbound,
    snapshot: Snapshot,
    route: Route,
    request: Request,
    key: Key,
    deadline_s: float,
) -> Outcome:
    """Send a request to the key's home, the only host that may run it."""
    member = outbound.board.members.get(key.host)
    if member is None:
        return Unknown("the key's home is not known here", sent=False)
    if member.incarnation > key.incarnation:
        return Unknown("the node that knew this key was replaced", sent=False)
    budget = parse_retries(request.retries_left)
    earn_retry_tokens(outbound.tokens)
    for version in _ordered_versions(outbound, snapshot, route.service):
        call = _make_call(route, request, version, deadline_s, budget, key)
        for target in find_targets(outbound.board.members, route.service, version):
            if target.host == key.host:
                return await _run_attempt(outbound, call, target)
    # The home may still have the outcome of an earlier attempt.
    call = _make_call(route, request, "", deadline_s, budget, key)
    if key.host == outbound.board.own.host and outbound.inbound is not None:
        return await run_call(outbound.inbound, call)
    return (await _forward_call(outbound, call, member.calls_address))[0]


def mint_keys(
    outbound: Outbound, method: str, path: str, count: int
) -> tuple[Key, ...] | None:
    """Mint idempotency keys whose homes have a usable upstream of the route.

    Returns:
        At most ``MAX_KEYS_PER_REQUEST`` keys, fewer if no usable upstream is found, or
        None if there is no configuration or no matching route.
    """
    snapshot = outbound.board.active
    route = match_route(snapshot, method, path) if snapshot is not None else None
    if snapshot is None or route is None:
        return None
    keys = []
    for _ in range(min(count, MAX_KEYS_PER_REQUEST)):
        target = _choose_target(outbound, snapshot, route, set())
        if target is None:
            break
        member: Member = outbound.board.members[target.host]
        now = outbound.clock.now()
        keys.append(mint_key(target.host, member.incarnation, now))
    return tuple(keys)


def _make_call(
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


def _choose_target(
    outbound: Outbound, snapshot: Snapshot, route: Route, tried: set[str]
) -> Target | None:
    for name in _ordered_versions(outbound, snapshot, route.service):
        targets = [
            target
            for target in find_indexed_targets(
                outbound.index,
                outbound.board.members,
                route.service,
                name,
                outbound.board.out_of_reach,
            )
            if target.upstream.address not in tried
        ]
        now_s = outbound.clock.monotonic_s()
        usable = usable_targets(
            outbound.health,
            targets,
            outbound.board.own,
            now_s,
            route.idempotent,
            outbound.rng,
        )
        chosen = choose_target(
            usable,
            outbound.board.own,
            lambda target: _estimate_target_load(outbound, target),
            outbound.rng,
        )
        if chosen is not None:
            return chosen
    return None


def _ordered_versions(
    outbound: Outbound, snapshot: Snapshot, service: str
) -> list[str]:
    """Return a service's versions in the order in which they are tried.

    The first is drawn at random by the versions' shares of traffic.
    """
    shares = version_shares(snapshot, service, outbound.board.brakes)
    drawn = choose_version(shares, outbound.rng)
    return [drawn, *(version for version in shares if version != drawn)]


def _estimate_target_load(outbound: Outbound, target: Target) -> float:
    in_flight = outbound.in_flight.get(target.upstream.address, 0)
    now_s = outbound.clock.monotonic_s()
    return estimate_load(outbound.health, target, in_flight, now_s)


async def _run_attempt(outbound: Outbound, call: Call, target: Target) -> Outcome:
    """Run a call on the local inbound proxy, or forward it to the target's host."""
    address = target.upstream.address
    outbound.in_flight[address] = outbound.in_flight.get(address, 0) + 1
    started_s = outbound.clock.monotonic_s()
    try:
        if target.host == outbound.board.own.host and outbound.inbound is not None:
            outcome = await run_call(outbound.inbound, call)
        else:
            outcome, response = await _forward_call(
                outbound, call, target.calls_address
            )
            if response is not None:
                _record_load_report(
                    outbound, target, response.headers.get(LOAD_HEADER, "")
                )
        now_s = outbound.clock.monotonic_s()
        latency_ms = (now_s - started_s) * 1000
        observe_outcome(outbound.health, target, outcome, latency_ms, now_s)
        if not isinstance(outcome, Answered) and outbound.inbound is not None:
            _record_failed_attempt(
                outbound.inbound.node_context, call, target, outcome, latency_ms
            )
        return outcome
    finally:
        outbound.in_flight[address] -= 1
        if not outbound.in_flight[address]:
            del outbound.in_flight[address]


def _record_failed_attempt(
    context: NodeContext,
    call: Call,
    target: Target,
    outcome: Outcome,
    latency_ms: float,
) -> None:
    """Log an attempt that got no answer; request traces are built from these events."""
    context.record(
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


async def _forward_call(
    outbound: Outbound, call: Call, calls_address: str
) -> tuple[Outcome, HttpResponse | None]:
    outcome, response = await forward_call(
        outbound.session, outbound.clock, call, calls_address
    )
    if response is not None:
        _apply_response_metadata(outbound, call, response, outcome)
    return outcome, response


def _apply_response_metadata(
    outbound: Outbound, call: Call, response: HttpResponse, outcome: Outcome
) -> None:
    """Record the outcome that another node reported, and apply its brakes.

    A response without an outcome header is not counted, nor is a call that was sent
    without a version.
    """
    clock = outbound.clock
    has_outcome = OUTCOME_HEADER in response.headers and call.version
    if has_outcome and outbound.inbound is not None:
        record_forwarded_call(
            outbound.inbound.tallies,
            outbound.board.active,
            call.service,
            (call.route, call.version),
            outcome,
            clock.monotonic_s(),
            int(clock.now().timestamp() * 1000),
        )
    brakes = decode_brakes(response.headers.get(BRAKES_HEADER, ""))
    if brakes:
        outbound.on_brakes(brakes)


def _record_load_report(outbound: Outbound, target: Target, report: str) -> None:
    if not report.isdecimal() or len(report) > 6:
        return
    address = target.upstream.address
    now_s = outbound.clock.monotonic_s()
    record_reported_load(
        outbound.health, address, int(report), outbound.in_flight.get(address, 0), now_s
    )
