"""The HTTP client of an upstream: few connections, one call at a time on each.

An upstream may answer twice, late, in part, or with bytes that are no answer. Each
answer names the call that it is for, so an answer to another call is skipped and the
next one on the same connection is read. A connection on which anything odd happened is
not used again. What comes without end, in a head or in a body, is given up as soon as it
is more than an answer may be, not when the call's time is over.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from agaterelay.adapters.frames import set_liveness
from agaterelay.core.call import RawHeaders

# A host's own upstream accepts a connection at once, or its queue of them is full.
CONNECT_TIMEOUT_S = 0.6
USER_TIMEOUT_MS = 1000
# Idle connections are given up before the upstream closes them.
IDLE_PART = 0.7
DEFAULT_IDLE_S = 4.0
# A host has 200 MB at least; an answer is copied some times on its way to the caller.
MAX_ANSWER_BYTES = 16 << 20
MAX_HELD_BYTES = 32 << 20
# What a call may receive beside bodies: heads, sizes of chunks, trailers. Small chunks
# need several times their own size.
MAX_FRAMING_BYTES = 64 << 10
FRAMING_BYTES_PER_BODY_BYTE = 8
# Interim answers, and late ones to other calls, that are read for one call at most.
MAX_ANSWERS_PER_CALL = 16


class NotSentError(Exception):
    """No byte of the call was sent."""


class AnswerLostError(Exception):
    """The call was sent, and no whole answer to it came."""


class UpstreamAnswer:
    """One whole answer of an upstream."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: RawHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class AnswerMemory:
    """The bytes of all answers of an upstream that are being read.

    Where they become too many, the connection that holds most is told to give up, so
    that one answer without end takes no room from the others.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._held_bytes: dict[UpstreamConnection, int] = {}
        self._total_bytes = 0

    def add(self, connection: UpstreamConnection, size_bytes: int) -> None:
        """Count bytes that a connection has taken in."""
        self._held_bytes[connection] = self._held_bytes.get(connection, 0) + size_bytes
        self._total_bytes += size_bytes
        if self._total_bytes > self.limit_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            largest.give_up("the answer is too large")

    def release(self, connection: UpstreamConnection) -> None:
        """Forget what a connection held."""
        self._total_bytes -= self._held_bytes.pop(connection, 0)


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream; owns its socket and the answer being read."""

    def __init__(
        self, id_header: bytes, on_lost: Callable[..., None], memory: AnswerMemory
    ) -> None:
        self._id_header = id_header
        self._on_lost = on_lost
        self._memory = memory
        self._framing_bytes = 0
        self._body_bytes = 0
        self._answers = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[UpstreamAnswer] | None = None
        self._call_id = b""
        self._head_only = False
        self._ended = False
        self._reset_answer()
        self.reusable = True
        self.idle_limit_s = DEFAULT_IDLE_S
        self.idle_since_s = 0.0

    def _reset_answer(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size_bytes = 0
        self._memory.release(self)
        self._headers_complete = False
        self._framed = False

    @property
    def open(self) -> bool:
        """Whether a call can be sent."""
        transport = self._transport
        return self.reusable and transport is not None and not transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness(transport.get_extra_info("socket"), USER_TIMEOUT_MS)

    def send(
        self, head: bytes, body: bytes, call_id: bytes, head_only: bool
    ) -> asyncio.Future[UpstreamAnswer]:
        """Send a call and return the future of its answer.

        Raises:
            NotSentError: The connection is closed.
        """
        if not self.open:
            raise NotSentError("the connection was closed")
        self._call_id = call_id
        self._head_only = head_only
        self._framing_bytes = self._body_bytes = self._answers = 0
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(head + body if body else head)
        return self._waiter

    def close(self) -> None:
        """Close at once, which cancels what the upstream does for this connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer."""
        if self._waiter is None:
            # Nothing was asked: an answer that came twice.
            self.close()
            return
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.give_up(f"not an answer: {type(error).__name__}")
            return
        self._framing_bytes += len(data) - (self._body_bytes - body_bytes)
        allowed_bytes = FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        if self._framing_bytes > MAX_FRAMING_BYTES + allowed_bytes:
            self.give_up("more framing than an answer has")

    def give_up(self, reason: str) -> None:
        """Fail the call that waits and close the connection."""
        self._fail(reason)
        self._reset_answer()
        self.close()

    def eof_received(self) -> bool:
        """Note a clean end, which completes an answer that says no length."""
        self._ended = True
        self.reusable = False
        if self._waiter is not None and self._headers_complete and not self._framed:
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call that waits."""
        self.reusable = False
        self._transport = None
        self._fail(type(exc).__name__ if exc else "closed")
        self._memory.release(self)
        self._on_lost(self)

    def _fail(self, reason: str) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(AnswerLostError(reason))

    def on_message_begin(self) -> None:
        """Begin an answer; one that nobody waits for spoils the connection."""
        self._reset_answer()
        if self._waiter is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note how the body ends."""
        self._headers_complete = True
        keys = {name.lower(): value for name, value in self._headers}
        status = self._parser.get_status_code()
        self._framed = (
            b"content-length" in keys
            or b"chunked" in keys.get(b"transfer-encoding", b"").lower()
            or status < 200
            or status in (204, 304)
        )
        idle = keys.get(b"keep-alive", b"")
        for token in idle.split(b","):
            name, _, seconds = token.strip().partition(b"=")
            if name == b"timeout" and seconds.isdigit():
                self.idle_limit_s = IDLE_PART * int(seconds)
        if self._head_only and status >= 200:
            self.reusable = False
            self.on_message_complete()

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        self._size_bytes += len(part)
        self._body_bytes += len(part)
        if self._waiter is None:
            return
        if self._size_bytes > MAX_ANSWER_BYTES:
            self.give_up("the answer is too large")
            return
        self._body.append(part)
        self._memory.add(self, len(part))

    def on_message_complete(self) -> None:
        """Hand out the answer, unless it is an interim one or another call's."""
        status = self._parser.get_status_code()
        waiter = self._waiter
        self._answers += 1
        if self._answers > MAX_ANSWERS_PER_CALL:
            self.give_up("too many answers to one call")
            return
        if status < 200 or waiter is None:
            return
        keys = {name.lower(): value for name, value in self._headers}
        named = keys.get(self._id_header)
        if named is not None and named != self._call_id:
            return
        self._waiter = None
        if not self._ended and not self._parser.should_keep_alive():
            self.reusable = False
        if b"close" in keys.get(b"connection", b"").lower():
            self.reusable = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            # It answered before it had read the whole call.
            self.reusable = False
        if not waiter.done():
            waiter.set_result(
                UpstreamAnswer(status, tuple(self._headers), b"".join(self._body))
            )
        self._reset_answer()


class UpstreamPool:
    """The connections to one upstream; the one used last is used next."""

    def __init__(
        self, address: str, id_header: bytes, held_bytes: int = MAX_HELD_BYTES
    ) -> None:
        host, _, port = address.rpartition(":")
        self._memory = AnswerMemory(held_bytes)
        self._host, self._port = host, int(port)
        self._id_header = id_header
        self._idle: list[UpstreamConnection] = []
        self.opened = 0

    def _forget(self, connection: UpstreamConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    async def take(self, now_s: float) -> UpstreamConnection:
        """Return a connection that is free.

        Raises:
            NotSentError: The upstream accepts none.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.open and (
                now_s - connection.idle_since_s < connection.idle_limit_s
            ):
                return connection
            connection.close()
        self.opened += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        self._id_header, self._forget, self._memory
                    ),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(type(error).__name__) from error
        return connection

    def give_back(self, connection: UpstreamConnection, now_s: float) -> None:
        """Keep a connection whose call has ended, where it can be used again."""
        if not connection.open:
            connection.close()
            return
        connection.idle_since_s = now_s
        self._idle.append(connection)

    def close(self) -> None:
        """Close the connections that are idle."""
        for connection in tuple(self._idle):
            connection.close()
        self._idle.clear()


def render_head(method: str, path: str, headers: RawHeaders, body: bytes) -> bytes:
    """Return the head of a call; a body is sent with its length."""
    lines = [f"{method} {path} HTTP/1.1".encode()]
    lines += [name + b": " + value for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n"
