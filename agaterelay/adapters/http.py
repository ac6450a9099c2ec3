"""Send one HTTP request once, and read its whole answer or say what was lost.

aiohttp sends a request of an idempotent method again where a kept connection broke, and
reuses a kept connection on which bytes arrived that nobody asked for. Neither is safe
for a call that must run at most once or get its own answer, so both are refused here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import aiohttp
import attrs
from multidict import CIMultiDictProxy
from yarl import URL

CONNECT_TIMEOUT_S = 0.5
# A node that stops listens for longer than callers keep connections without use.
KEEP_ALIVE_S = 2.0
MAX_ANSWER_BYTES = 4 << 20


class NotSentError(Exception):
    """No connection was made; no byte of the request left this process."""


class AnswerLostError(Exception):
    """The request may have arrived; its answer did not, or not whole."""


@attrs.frozen
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class CleanConnector(aiohttp.TCPConnector):
    """Reuses a kept connection only where nothing arrived on it since its last use."""

    async def connect(self, *arguments: Any, **options: Any) -> Any:
        """Return a connection whose next bytes can only answer the next request."""
        while True:
            connection = await super().connect(*arguments, **options)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()


async def _send_once(request: Any, handler: Any) -> Any:
    """Turn errors after which aiohttp sends again into one after which it does not."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(type(error).__name__) from error


def open_session() -> aiohttp.ClientSession:
    """Return a session that never sends a request twice and follows no cookie."""
    return aiohttp.ClientSession(
        connector=CleanConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        middlewares=(_send_once,),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


async def send_once(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    body: bytes,
    headers: Iterable[tuple[str, str]],
    timeout_s: float,
) -> HttpAnswer:
    """Send a request and read the whole answer.

    Args:
        session: The session, see ``open_session``.
        method: The HTTP method.
        address: The server's IP number and port.
        path: The path and query as they go on the wire.
        body: The request's body.
        headers: The request's headers.
        timeout_s: The time for all of it, in seconds.

    Raises:
        NotSentError: It is certain that nothing was sent.
        AnswerLostError: It is unknown what became of the request.
    """
    url = URL(f"http://{address}{path}", encoded=True)
    try:
        async with asyncio.timeout(timeout_s):
            async with session.request(
                method,
                url,
                data=body or None,
                headers=list(headers),
                allow_redirects=False,
            ) as response:
                content = await _read_bounded(response)
                return HttpAnswer(response.status, response.headers, content)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise NotSentError(f"{address} cannot be reached") from error
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise AnswerLostError(type(error).__name__) from error


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    chunks = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > MAX_ANSWER_BYTES:
            raise AnswerLostError("the answer is too large")
        chunks.append(chunk)
    return b"".join(chunks)
