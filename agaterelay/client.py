"""The client library for callers: sends requests through nodes and returns outcomes.

A call that must not run twice gets an idempotency key before it is sent. If its response
is lost, the same key is sent through another node, and the key's home returns the call's
outcome, or Unknown if nobody can know it. A new key is used only if the call certainly
did not run under the old one and never will.

With ``direct``, the library fetches the routes and upstreams from a node, chooses the
upstream in the caller's process, and sends each call straight to the upstream's node,
which saves the hop between nodes.
"""

from __future__ import annotations

import asyncio
import json
import random
import uuid

import aiohttp
import attrs

from agaterelay.adapters.clock import SystemClock
from agaterelay.adapters.http import (
    AnswerLostError,
    NotSentError,
    open_session,
    send_once,
)
from agaterelay.adapters.outcomes import (
    DEADLINE_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    decode_outcome,
)
from agaterelay.core.outcome import NotRun, Outcome, Unknown
from agaterelay.core.retry import (
    MAX_RETRIES,
    RetryTokens,
    backoff_s,
    combine_outcomes,
    earn_retry_tokens,
    may_retry,
    spend_retry_token,
)
from agaterelay.core.route_view import make_snapshot, parse_view
from agaterelay.core.routing import match_route
from agaterelay.tasks.board import Board
from agaterelay.tasks.outbound import Outbound, Request, handle_request, mint_keys

KEYS_PATH = "/agaterelay/v1/keys"
ROUTES_PATH = "/agaterelay/v1/routes"
ROUTES_REFRESH_PERIOD_S = 0.5
# Older routes may still direct calls to a version that was taken back.
MAX_ROUTES_AGE_S = 2.0
NODE_QUERY_TIMEOUT_S = 0.5
# An attempt may use this part of the remaining time. The rest is left for another
# attempt, in case the node hangs.
ATTEMPT_TIMEOUT_RATIO = 0.5
# For this time, a node that is stopping or cannot be reached is used only after all
# others.
NODE_AVOIDANCE_S = 1.0
_CLOCK = SystemClock()


@attrs.frozen
class _Request:
    method: str
    path: str
    body: bytes
    request_id: str
    deadline_s: float


class Caller:
    """Sends requests through a few nodes; an asynchronous context manager.

    Args:
        nodes: The addresses at which the nodes accept calls, each as HOST:PORT.
        timeout_s: The time that a call may take with all its attempts, in seconds.
        draw: The random number generator.
        direct: Whether to send calls straight to the nodes of the upstreams.
    """

    def __init__(
        self,
        nodes: tuple[str, ...],
        timeout_s: float = 2.0,
        draw: random.Random | None = None,
        direct: bool = False,
    ) -> None:
        self._nodes = nodes
        self._timeout_s = timeout_s
        self._rng = draw or random.Random()
        self._tokens = RetryTokens()
        self._avoid_until_s: dict[str, float] = {}
        self._direct = direct
        self._session: aiohttp.ClientSession | None = None
        self._outbound: Outbound | None = None
        self._routes_fetched_at_s = 0.0
        self._refresher: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Caller:
        self._session = open_session()
        if self._direct:
            await self._fetch_routes()
            self._refresher = asyncio.create_task(self._refresh_routes())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._refresher is not None:
            self._refresher.cancel()
            await asyncio.gather(self._refresher, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _refresh_routes(self) -> None:
        while True:
            await asyncio.sleep(ROUTES_REFRESH_PERIOD_S * self._rng.uniform(0.75, 1.25))
            await self._fetch_routes()

    async def _fetch_routes(self) -> None:
        """Fetch a node's view; without a response, the previous view is kept."""
        node = self._rng.choice(self._nodes)
        requested_at_s = _CLOCK.monotonic_s()
        try:
            response = await send_once(
                self._session, "GET", node, ROUTES_PATH, b"", (), NODE_QUERY_TIMEOUT_S
            )
        except (NotSentError, AnswerLostError):
            return
        if response.status != 200:
            return
        view = parse_view(json.loads(response.body))
        if view is None:
            return
        if self._outbound is None:
            own = attrs.evolve(view.own, host="")
            self._outbound = Outbound(_CLOCK, Board(own), None, self._session)
        board = self._outbound.board
        if board.active is not None and board.active.revision > view.manifest.revision:
            return
        board.active = make_snapshot(view)
        board.members = {item.host: item for item in view.members}
        board.brakes = dict.fromkeys(view.braked, None)
        self._routes_fetched_at_s = requested_at_s

    def _local_outbound(self, method: str, path: str) -> Outbound | None:
        """Return this process's outbound proxy, or None if a node has to route the call."""
        outbound = self._outbound
        if (
            outbound is None
            or _CLOCK.monotonic_s() - self._routes_fetched_at_s > MAX_ROUTES_AGE_S
        ):
            return None
        route = match_route(outbound.board.active, method, path.partition("?")[0])
        return None if route is None else outbound

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        idempotent: bool = False,
        request_id: str = "",
    ) -> Outcome:
        """Send a request, and retry it only if a non-idempotent call cannot run twice.

        Args:
            method: The HTTP method.
            path: The path, with its query.
            body: The request's body.
            idempotent: Whether it may run more than once.
            request_id: The id of the request; a new one is generated if it is empty.
        """
        deadline_s = _CLOCK.monotonic_s() + self._timeout_s
        request_id = request_id or str(uuid.uuid4())
        request = _Request(method, path, body, request_id, deadline_s)
        nodes = self._order_nodes()
        earn_retry_tokens(self._tokens)
        outcome: Outcome = NotRun("no node was tried")
        for attempt in range(MAX_RETRIES + 1):
            if attempt and not spend_retry_token(self._tokens):
                return outcome
            if attempt:
                await asyncio.sleep(backoff_s(attempt, self._rng))
            nodes = nodes[1:] + nodes[:1] if attempt else nodes
            if idempotent:
                outcome = await self._send(nodes[0], request, "")
            else:
                outcome = await self._send_with_new_key(nodes, request)
            if not may_retry(outcome, idempotent):
                return outcome
        return outcome

    def _order_nodes(self) -> list[str]:
        """Return all nodes in random order, with the avoided ones last."""
        now_s = _CLOCK.monotonic_s()
        nodes = self._rng.sample(self._nodes, len(self._nodes))
        return sorted(nodes, key=lambda node: self._avoid_until_s.get(node, 0) > now_s)

    def _avoid_node(self, node: str) -> None:
        self._avoid_until_s[node] = _CLOCK.monotonic_s() + NODE_AVOIDANCE_S

    async def mint_keys(
        self, method: str, path: str, count: int = 1
    ) -> tuple[str, ...]:
        """Return new idempotency keys for a route, none if no node returns any."""
        for node in self._order_nodes():
            keys = await self._fetch_keys(node, method, path, count)
            if keys:
                return keys
        return ()

    async def call_with_key(
        self,
        method: str,
        path: str,
        body: bytes,
        key: str,
        request_id: str = "",
    ) -> Outcome:
        """Send a request under a key that may have been sent before.

        Only the key's home returns NotRun. Without an answer, every other outcome is
        Unknown, and the same key may be sent again.
        """
        request = _Request(
            method,
            path,
            body,
            request_id or str(uuid.uuid4()),
            _CLOCK.monotonic_s() + self._timeout_s,
        )
        nodes = self._order_nodes()
        return (await self._send_until_resolved(nodes, request, key))[-1]

    async def _send_with_new_key(self, nodes: list[str], request: _Request) -> Outcome:
        """Send a request under a new idempotency key."""
        for node in nodes:
            keys = await self._fetch_keys(node, request.method, request.path, 1)
            if keys:
                break
        else:
            return NotRun("no node gave a key")
        return combine_outcomes(
            await self._send_until_resolved(nodes, request, keys[0])
        )

    async def _send_until_resolved(
        self, nodes: list[str], request: _Request, key: str
    ) -> list[Outcome]:
        """Send a key through one node after another until the outcome is known."""
        outcomes: list[Outcome] = []
        for attempt in range(MAX_RETRIES + 1):
            if attempt:
                await asyncio.sleep(backoff_s(attempt, self._rng))
            node = nodes[attempt % len(nodes)]
            outcomes.append(await self._send(node, request, key))
            if not isinstance(outcomes[-1], Unknown):
                break
        return outcomes

    async def _fetch_keys(
        self, node: str, method: str, path: str, count: int
    ) -> tuple[str, ...]:
        outbound = self._local_outbound(method, path)
        if outbound is not None:
            keys = mint_keys(outbound, method, path.partition("?")[0], count)
            return tuple(map(str, keys or ()))
        query = f"?method={method}&path={path.partition('?')[0]}&count={count}"
        try:
            response = await send_once(
                self._session,
                "POST",
                node,
                KEYS_PATH + query,
                b"",
                (),
                NODE_QUERY_TIMEOUT_S,
            )
        except (NotSentError, AnswerLostError):
            self._avoid_node(node)
            return ()
        if response.status != 200:
            return ()
        return tuple(json.loads(response.body)["keys"])

    async def _send(self, node: str, request: _Request, key: str) -> Outcome:
        remaining_s = request.deadline_s - _CLOCK.monotonic_s()
        if remaining_s <= 0:
            return Unknown("the deadline has passed", sent=False)
        timeout_s = max(
            remaining_s * ATTEMPT_TIMEOUT_RATIO, min(remaining_s, NODE_QUERY_TIMEOUT_S)
        )
        outbound = self._local_outbound(request.method, request.path)
        if outbound is not None:
            return await _send_directly(outbound, request, key, timeout_s)
        headers = [
            (REQUEST_ID_HEADER, request.request_id),
            (DEADLINE_HEADER, str(max(int(timeout_s * 1000), 1))),
        ]
        if key:
            headers.append((KEY_HEADER, key))
        try:
            response = await send_once(
                self._session,
                request.method,
                node,
                request.path,
                request.body,
                headers,
                timeout_s,
            )
        except NotSentError:
            self._avoid_node(node)
            reason = "the node cannot be reached"
            return Unknown(reason, sent=False) if key else NotRun(reason)
        except AnswerLostError as error:
            return Unknown(f"the answer was lost: {error}")
        if response.headers.get("Connection", "").lower() == "close":
            self._avoid_node(node)
        return decode_outcome(response, request.request_id)


async def _send_directly(
    outbound: Outbound, request: _Request, key: str, timeout_s: float
) -> Outcome:
    """Route a call in this process, without retries by the outbound proxy.

    The client library itself retries.
    """
    return await handle_request(
        outbound,
        Request(
            method=request.method,
            path=request.path.partition("?")[0],
            raw_path=request.path,
            headers=(),
            body=request.body,
            request_id=request.request_id,
            timeout_ms=max(int(timeout_s * 1000), 1),
            key=key,
            retries_left="0",
        ),
    )
