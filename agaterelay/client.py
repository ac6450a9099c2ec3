"""The caller library: sends requests through nodes and says how each one ended.

A call that must not run twice gets a key before it is sent. Where its answer is lost,
the same key is sent through another node, and the key's home tells what became of the
call or that nobody can know. A new key is taken only where the old one certainly did
not run and never will.

With ``direct`` the library learns the routes and upstreams from a node, chooses the
upstream in the caller's process, and sends each call straight to the node that owns
it, which saves the hop between nodes.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
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
from agaterelay.tasks.entry import Entry, Request, handle_request, mint_keys

KEYS_PATH = "/agaterelay/v1/keys"
ROUTES_PATH = "/agaterelay/v1/routes"
ROUTES_PERIOD_S = 0.5
# Older routes may still send work to a version that was taken back.
ROUTES_MAX_AGE_S = 2.0
KEY_TIMEOUT_S = 0.5
# A try leaves a part of the time to another one, in case its node hangs.
TRY_SHARE = 0.5
# How long a node that stops, or cannot be reached, is only used for want of others.
AVOID_S = 1.0


@attrs.frozen
class _Request:
    method: str
    path: str
    body: bytes
    request_id: str
    deadline_s: float


class Caller:
    """Sends requests through a few nodes; use it as an asynchronous context.

    Args:
        nodes: The callers' addresses of the nodes, each as HOST:PORT.
        timeout_s: The time that a call may take with all its tries, in seconds.
        draw: The source of chance.
        direct: Whether to send calls straight to the owners of upstreams.
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
        self._draw = draw or random.Random()
        self._tokens = RetryTokens()
        self._avoid_until_s: dict[str, float] = {}
        self._direct = direct
        self._session: aiohttp.ClientSession | None = None
        self._entry: Entry | None = None
        self._routes_s = 0.0
        self._refresher: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Caller:
        self._session = open_session()
        if self._direct:
            await self._learn_routes()
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
            await asyncio.sleep(ROUTES_PERIOD_S * self._draw.uniform(0.75, 1.25))
            await self._learn_routes()

    async def _learn_routes(self) -> None:
        """Take over a node's view; where it gives none, the old one ages."""
        node = self._draw.choice(self._nodes)
        asked_s = time.monotonic()
        try:
            answer = await send_once(
                self._session, "GET", node, ROUTES_PATH, b"", (), KEY_TIMEOUT_S
            )
        except (NotSentError, AnswerLostError):
            return
        if answer.status != 200:
            return
        view = parse_view(json.loads(answer.body))
        if view is None:
            return
        if self._entry is None:
            own = attrs.evolve(view.own, host="")
            self._entry = Entry(SystemClock(), Board(own), None, self._session)
        board = self._entry.board
        if board.active is not None and board.active.revision > view.manifest.revision:
            return
        board.active = make_snapshot(view)
        board.members = {item.host: item for item in view.members}
        board.brakes = dict.fromkeys(view.braked, None)
        self._routes_s = asked_s

    def _own_entry(self, method: str, path: str) -> Entry | None:
        """Return the entry of this process, None where a node has to route the call."""
        entry = self._entry
        if entry is None or time.monotonic() - self._routes_s > ROUTES_MAX_AGE_S:
            return None
        known = match_route(entry.board.active, method, path.partition("?")[0])
        return None if known is None else entry

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        idempotent: bool = False,
        request_id: str = "",
    ) -> Outcome:
        """Send a request; retry it only where it cannot run twice.

        Args:
            method: The HTTP method.
            path: The path, with its query.
            body: The request's body.
            idempotent: Whether running it twice does no harm.
            request_id: A name for the request, minted where it is empty.
        """
        deadline_s = time.monotonic() + self._timeout_s
        request_id = request_id or str(uuid.uuid4())
        request = _Request(method, path, body, request_id, deadline_s)
        nodes = self._order_nodes()
        earn_retry_tokens(self._tokens)
        outcome: Outcome = NotRun("no node was tried")
        for attempt in range(MAX_RETRIES + 1):
            if attempt and not spend_retry_token(self._tokens):
                return outcome
            if attempt:
                await asyncio.sleep(backoff_s(attempt, self._draw))
            nodes = nodes[1:] + nodes[:1] if attempt else nodes
            if idempotent:
                outcome = await self._send(nodes[0], request, "")
            else:
                outcome = await self._send_with_new_key(nodes, request)
            if not may_retry(outcome, idempotent):
                return outcome
        return outcome

    def _order_nodes(self) -> list[str]:
        """Return all nodes in random order, those to be avoided last."""
        now_s = time.monotonic()
        nodes = self._draw.sample(self._nodes, len(self._nodes))
        return sorted(nodes, key=lambda node: self._avoid_until_s.get(node, 0) > now_s)

    def _avoid(self, node: str) -> None:
        self._avoid_until_s[node] = time.monotonic() + AVOID_S

    async def mint_keys(
        self, method: str, path: str, count: int = 1
    ) -> tuple[str, ...]:
        """Return new keys for calls of a route, none where no node gives any."""
        for node in self._order_nodes():
            keys = await self._ask_for_keys(node, method, path, count)
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

        NotRun is said only by the key's home; everything else that is not an answer
        is Unknown, and the same key may be sent again.
        """
        request = _Request(
            method,
            path,
            body,
            request_id or str(uuid.uuid4()),
            time.monotonic() + self._timeout_s,
        )
        nodes = self._order_nodes()
        return (await self._repeat(nodes, request, key))[-1]

    async def _send_with_new_key(self, nodes: list[str], request: _Request) -> Outcome:
        """Run a request under a key that nobody has seen yet."""
        for node in nodes:
            keys = await self._ask_for_keys(node, request.method, request.path, 1)
            if keys:
                break
        else:
            return NotRun("no node gave a key")
        return combine_outcomes(await self._repeat(nodes, request, keys[0]))

    async def _repeat(
        self, nodes: list[str], request: _Request, key: str
    ) -> list[Outcome]:
        """Send a key through one node after another until its home has spoken."""
        outcomes: list[Outcome] = []
        for attempt in range(MAX_RETRIES + 1):
            if attempt:
                await asyncio.sleep(backoff_s(attempt, self._draw))
            node = nodes[attempt % len(nodes)]
            outcomes.append(await self._send(node, request, key))
            if not isinstance(outcomes[-1], Unknown):
                break
        return outcomes

    async def _ask_for_keys(
        self, node: str, method: str, path: str, count: int
    ) -> tuple[str, ...]:
        entry = self._own_entry(method, path)
        if entry is not None:
            keys = mint_keys(entry, method, path.partition("?")[0], count)
            return tuple(map(str, keys or ()))
        query = f"?method={method}&path={path.partition('?')[0]}&count={count}"
        try:
            answer = await send_once(
                self._session, "POST", node, KEYS_PATH + query, b"", (), KEY_TIMEOUT_S
            )
        except (NotSentError, AnswerLostError):
            self._avoid(node)
            return ()
        if answer.status != 200:
            return ()
        return tuple(json.loads(answer.body)["keys"])

    async def _send(self, node: str, request: _Request, key: str) -> Outcome:
        left_s = request.deadline_s - time.monotonic()
        if left_s <= 0:
            return Unknown("the deadline has passed", sent=False)
        timeout_s = max(left_s * TRY_SHARE, min(left_s, KEY_TIMEOUT_S))
        entry = self._own_entry(request.method, request.path)
        if entry is not None:
            return await _send_directly(entry, request, key, timeout_s)
        headers = [
            (REQUEST_ID_HEADER, request.request_id),
            (DEADLINE_HEADER, str(max(int(timeout_s * 1000), 1))),
        ]
        if key:
            headers.append((KEY_HEADER, key))
        try:
            answer = await send_once(
                self._session,
                request.method,
                node,
                request.path,
                request.body,
                headers,
                timeout_s,
            )
        except NotSentError:
            self._avoid(node)
            reason = "the node cannot be reached"
            return Unknown(reason, sent=False) if key else NotRun(reason)
        except AnswerLostError as error:
            return Unknown(f"the answer was lost: {error}")
        if answer.headers.get("Connection", "").lower() == "close":
            self._avoid(node)
        return decode_outcome(answer, request.request_id)


async def _send_directly(
    entry: Entry, request: _Request, key: str, timeout_s: float
) -> Outcome:
    """Route a call in this process; this library's own tries are its only retries."""
    return await handle_request(
        entry,
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
