"""The HTTP server for callers, and its limits on size and time.

A connection's limits are those of the configuration in force when it is opened.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from agaterelay.core.model import CallerLimits
from agaterelay.mesh.state import MeshState

# Callers reuse a connection for up to four fifths of the idle limit, so it stays open
# for a little longer than the limit.
IDLE_MARGIN_S = 2.0
# After a refusal, the rest of the request is read for this long, so that the caller
# receives the response.
LINGERING_READ_S = 1.0
# The colon, the space, CR and LF of a header line, besides its name and value.
HEADER_LINE_OVERHEAD_BYTES = 4
REQUEST_TIMEOUT_STATUS = 408
CONTENT_TOO_LARGE_STATUS = 413
HEADERS_TOO_LARGE_STATUS = 431
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
RefusalCallback = Callable[[str, int], None]


class CallersServer(web.Server):
    """An HTTP server that takes its limits from the configuration in force.

    ``tell_refused`` is called with the reason and the status if a request is refused
    before it has been read.
    """

    def __init__(
        self, handler: Handler, state: MeshState, tell_refused: RefusalCallback
    ) -> None:
        super().__init__(handler, handler_cancellation=True, access_log=None)
        self._state = state
        self._tell_refused = tell_refused

    def __call__(self) -> RequestHandler:
        """Return the protocol handler of a new connection."""
        table = self._state.table
        limits = table.limits if table else CallerLimits()
        return CallerConnection(self, self._loop, limits, self._tell_refused)


class CallerConnection(RequestHandler):
    """A caller's connection, with a time limit for receiving a request's head."""

    __slots__ = ("_head_timeout_s", "_head_timer", "_tell_refused")

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: CallerLimits,
        tell_refused: RefusalCallback,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            lingering_time=LINGERING_READ_S,
            auto_decompress=False,
        )
        self._head_timeout_s = limits.header_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._tell_refused = tell_refused

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; start the timer if they leave a head incomplete."""
        complete_heads = self._request_count
        super().data_received(data)
        if self._request_count > complete_heads:
            self._cancel_head_timer()
        elif self._head_timer is None and not self._has_complete_head():
            self._head_timer = self._loop.call_later(
                self._head_timeout_s, self._refuse_slow_head
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a closed connection."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _has_complete_head(self) -> bool:
        """Return whether the bytes received belong to a request with a complete head."""
        return self._current_request is not None or bool(self._messages)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_slow_head(self) -> None:
        self._head_timer = None
        if self._has_complete_head() or self.transport is None:
            return
        self._tell_refused(
            "the request head was not complete within the header timeout",
            REQUEST_TIMEOUT_STATUS,
        )
        self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.close()
        self.transport.close()


def has_disconnected(request: web.BaseRequest) -> bool:
    """Return whether the caller has closed its connection.

    The socket is polled, since the close may still be in its buffer behind the request.
    The event loop reports it only after the request has been handled for one turn, which
    is too late for a request that stayed unread on a busy host until its caller gave up.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def head_size_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head without the request line."""
    return sum(
        len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        for name, value in request.raw_headers
    )


async def read_body(request: web.BaseRequest, limits: CallerLimits) -> bytes | int:
    """Return a request's body, or the status with which the request is refused.

    There is no time limit for the whole body. The request is refused if no part of it
    arrives for as long as a connection may be idle.
    """
    if head_size_bytes(request) > limits.max_header_bytes:
        return HEADERS_TOO_LARGE_STATUS
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > limits.max_body_bytes:
        return CONTENT_TOO_LARGE_STATUS
    parts = []
    size_bytes = 0
    try:
        while True:
            async with asyncio.timeout(limits.idle_timeout_s):
                part = await request.content.readany()
            if not part:
                return b"".join(parts)
            size_bytes += len(part)
            if size_bytes > limits.max_body_bytes:
                return CONTENT_TOO_LARGE_STATUS
            parts.append(part)
    except TimeoutError:
        return REQUEST_TIMEOUT_STATUS
