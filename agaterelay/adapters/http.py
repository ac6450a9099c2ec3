"""HTTP client that sends a request at most once and reads its complete response.

aiohttp resends a request of an idempotent method when a pooled connection breaks, and
reuses a pooled connection on which unsolicited bytes arrived. The first may run a call
twice and the second may return the response to another call, so both are prevented here.
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
# A stopping node keeps listening for longer than this, so that callers close their idle
# connections before it does.
IDLE_CONNECTION_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4 << 20


class NotSentError(Exception):
    """No connection was established, so no byte of the request was sent."""


class AnswerLostError(Exception):
    """The request may have arrived, but no complete response to it was received."""


@attrs.frozen
class HttpResponse:
    """A complete response."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class StrictReuseConnector(aiohttp.TCPConnector):
    """Reuses a pooled connection only if nothing arrived on it since its last use."""

    async def connect(self, *arguments: Any, **options: Any) -> Any:
        """Return a connection on which no bytes of an earlier response are pending."""
        while True:
            connection = await super().connect(*arguments, **options)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()


async def _prevent_resend(request: Any, handler: Any) -> Any:
    """Replace the errors on which aiohttp resends a request by AnswerLostError."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(type(error).__name__) from error


def open_session() -> aiohttp.ClientSession:
    """Return a session that never resends a request and stores no cookies."""
    return aiohttp.ClientSession(
        connector=StrictReuseConnector(
            limit=0, keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        middlewares=(_prevent_resend,),
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
) -> HttpResponse:
    """Send a request and read the complete response.

    Args:
        session: A session from ``open_session``.
        method: The HTTP method.
        address: The server's IP address and port.
        path: The encoded path and query.
        body: The request's body.
        headers: The request's headers.
        timeout_s: The total time limit, in seconds.

    Returns:
        The response; redirects are not followed.

    Raises:
        NotSentError: Nothing was sent.
        AnswerLostError: It is unknown whether the request was executed.
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
                return HttpResponse(response.status, response.headers, content)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise NotSentError(f"{address} cannot be reached") from error
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise AnswerLostError(type(error).__name__) from error


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    chunks = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > MAX_RESPONSE_BYTES:
            raise AnswerLostError("the answer is too large")
        chunks.append(chunk)
    return b"".join(chunks)
