"""The server that callers connect to, and what it bears from them.

What a caller may send and how long it may take or stay idle follow the configuration
that is in force when its connection begins.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from agaterelay.core.model import CallerLimits
from agaterelay.mesh.state import MeshState

# Callers use a connection for up to four fifths of the idle limit.
IDLE_MARGIN_S = 2.0
# How long what a caller still sends is read after it was refused, so that it sees why.
LINGER_S = 1.0
# Name, value and the four signs around them, as they stand in a header line.
HEADER_LINE_BYTES = 4
TOO_SLOW_STATUS = 408
TOO_LARGE_STATUS = 413
HEADERS_TOO_LARGE_STATUS = 431
TOO_SLOW_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
TellRefused = Callable[[str, int], None]


class CallersServer(web.Server):
    """An HTTP server whose limits follow the configuration in force.

    ``tell_refused`` is told why, and with which status, a request was refused before
    it was read.
    """

    def __init__(
        self, handler: Handler, state: MeshState, tell_refused: TellRefused
    ) -> None:
        super().__init__(handler, handler_cancellation=True, access_log=None)
        self._state = state
        self._tell_refused = tell_refused

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        table = self._state.table
        limits = table.limits if table else CallerLimits()
        return CallerConnection(self, self._loop, limits, self._tell_refused)


class CallerConnection(RequestHandler):
    """A caller's connection; a request's head has to be whole in a limited time."""

    __slots__ = ("_head_timeout_s", "_head_timer", "_tell_refused")

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: CallerLimits,
        tell_refused: TellRefused,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            lingering_time=LINGER_S,
            auto_decompress=False,
        )
        self._head_timeout_s = limits.header_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._tell_refused = tell_refused

    def data_received(self, data: bytes) -> None:
        """Take in bytes; where they begin a head and don't end it, watch the time."""
        whole = self._request_count
        super().data_received(data)
        if self._request_count > whole:
            self._stop_timer()
        elif self._head_timer is None and not self._is_busy():
            self._head_timer = self._loop.call_later(
                self._head_timeout_s, self._give_up
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def _is_busy(self) -> bool:
        """Return whether what comes belongs to a request whose head is whole."""
        return self._current_request is not None or bool(self._messages)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _give_up(self) -> None:
        self._head_timer = None
        if self._is_busy() or self.transport is None:
            return
        self._tell_refused("its head was not whole in time", TOO_SLOW_STATUS)
        self.transport.write(TOO_SLOW_ANSWER)
        self.close()
        self.transport.close()


def has_left(request: web.BaseRequest) -> bool:
    """Return whether the caller has closed its connection.

    The close is seen in the socket, where it stands behind the request: the event loop
    tells of it only after the request has been handled for a turn, too late for one
    that waited unread on a busy host until its caller gave up.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def head_size_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head, its first line left out."""
    return sum(
        len(name) + len(value) + HEADER_LINE_BYTES
        for name, value in request.raw_headers
    )


async def read_whole(request: web.BaseRequest, limits: CallerLimits) -> bytes | int:
    """Return a request's body, or the status that says what was wrong with it.

    A body has no limit of its own for its time; a caller that sends none of it for as
    long as a connection may be idle is given up on.
    """
    if head_size_bytes(request) > limits.max_header_bytes:
        return HEADERS_TOO_LARGE_STATUS
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > limits.max_body_bytes:
        return TOO_LARGE_STATUS
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
                return TOO_LARGE_STATUS
            parts.append(part)
    except TimeoutError:
        return TOO_SLOW_STATUS
