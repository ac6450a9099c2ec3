"""The caller library: sends requests through nodes and says how each one ended.

A call that must not run twice gets a key before it is sent. Where its answer is lost,
the same key is sent through another node, and the key's home tells what became of the
call or that nobody can know. A new key is taken only where the old one certainly did
not run and never will.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
import uuid

import aiohttp
import attrs

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
    outcome_of,
)
from agaterelay.core.outcome import NotRun, Outcome, Unknown
from agaterelay.core.retry import (
    MAX_RETRIES,
    RetryTokens,
    backoff_s,
    conclude,
    earn,
    may_retry,
    spend,
)

KEYS_PATH = "/agaterelay/v1/keys"
KEY_TIMEOUT_S = 0.5
# A try leaves a part of the time to another one, in case its node hangs.
TRY_SHARE = 0.5


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
    """

    def __init__(
        self,
        nodes: tuple[str, ...],
        timeout_s: float = 2.0,
        draw: random.Random | None = None,
    ) -> None:
        self._nodes = nodes
        self._timeout_s = timeout_s
        self._draw = draw or random.Random()
        self._tokens = RetryTokens()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Caller:
        self._session = open_session()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._session is not None:
            await self._session.close()

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
        nodes = self._draw.sample(self._nodes, len(self._nodes))
        earn(self._tokens)
        outcome: Outcome = NotRun("no node was tried")
        for attempt in range(MAX_RETRIES + 1):
            if attempt and not spend(self._tokens):
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

    async def mint_keys(
        self, method: str, path: str, count: int = 1
    ) -> tuple[str, ...]:
        """Return new keys for calls of a route, none where no node gives any."""
        for node in self._draw.sample(self._nodes, len(self._nodes)):
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
        nodes = self._draw.sample(self._nodes, len(self._nodes))
        return (await self._repeat(nodes, request, key))[-1]

    async def _send_with_new_key(self, nodes: list[str], request: _Request) -> Outcome:
        """Run a request under a key that nobody has seen yet."""
        for node in nodes:
            keys = await self._ask_for_keys(node, request.method, request.path, 1)
            if keys:
                break
        else:
            return NotRun("no node gave a key")
        return conclude(await self._repeat(nodes, request, keys[0]))

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
        query = f"?method={method}&path={path.partition('?')[0]}&count={count}"
        try:
            answer = await send_once(
                self._session, "POST", node, KEYS_PATH + query, b"", (), KEY_TIMEOUT_S
            )
        except (NotSentError, AnswerLostError):
            return ()
        if answer.status != 200:
            return ()
        return tuple(json.loads(answer.body)["keys"])

    async def _send(self, node: str, request: _Request, key: str) -> Outcome:
        left_s = request.deadline_s - time.monotonic()
        if left_s <= 0:
            return Unknown("the deadline has passed", sent=False)
        timeout_s = max(left_s * TRY_SHARE, min(left_s, KEY_TIMEOUT_S))
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
            reason = "the node cannot be reached"
            return Unknown(reason, sent=False) if key else NotRun(reason)
        except AnswerLostError as error:
            return Unknown(f"the answer was lost: {error}")
        return outcome_of(answer, request.request_id)
