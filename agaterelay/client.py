"""The caller library: sends requests through nodes and says how each one ended.

It tries another node only after a refusal that is certain, or for a request that is
idempotent, and it checks that an answer is whole and the request's own.
"""

from __future__ import annotations

import asyncio
import random
import uuid

import aiohttp

from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown

MAX_TRIES = 3
RETRY_DELAY_S = 0.05
# A node that stops listens for longer than callers keep connections without use.
KEEP_ALIVE_S = 2.0
OUTCOME_HEADER = "Agaterelay-Outcome"
REASON_HEADER = "Agaterelay-Reason"


class Caller:
    """Sends requests through a few nodes; use it as an asynchronous context."""

    def __init__(self, nodes: tuple[str, ...], timeout_s: float = 2.0) -> None:
        self._nodes = nodes
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Caller:
        connector = aiohttp.TCPConnector(keepalive_timeout=KEEP_ALIVE_S)
        self._session = aiohttp.ClientSession(connector=connector)
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
        request_id = request_id or str(uuid.uuid4())
        outcome: Outcome = NotRun("no node was tried")
        nodes = random.sample(self._nodes, len(self._nodes))
        for attempt in range(MAX_TRIES):
            node = nodes[attempt % len(nodes)]
            outcome = await self._send(node, method, path, body, request_id)
            if isinstance(outcome, Answered):
                return outcome
            if isinstance(outcome, Unknown) and not idempotent:
                return outcome
            await asyncio.sleep(
                RETRY_DELAY_S * (attempt + 1) * random.uniform(0.5, 1.5)
            )
        return outcome

    async def _send(
        self, node: str, method: str, path: str, body: bytes, request_id: str
    ) -> Outcome:
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": str(int(self._timeout_s * 1000)),
        }
        try:
            async with asyncio.timeout(self._timeout_s + 0.5):
                async with self._session.request(
                    method, f"http://{node}{path}", data=body, headers=headers
                ) as response:
                    return _outcome_of(response, await response.read())
        except aiohttp.ClientConnectorError:
            return NotRun("the node cannot be reached")
        except (aiohttp.ClientError, TimeoutError) as error:
            return Unknown(f"the answer was lost: {type(error).__name__}")


def _outcome_of(response: aiohttp.ClientResponse, body: bytes) -> Outcome:
    kind = response.headers.get(OUTCOME_HEADER, "")
    reason = response.headers.get(REASON_HEADER, "")
    if kind == "not-run":
        return NotRun(reason)
    if kind != "answered":
        return Unknown(reason or "the node did not say what became of the call")
    return Answered(response.status, tuple(response.headers.items()), body)
