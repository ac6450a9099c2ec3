"""HTTP/1.1 client for one server: a connection pool with one call per connection.

It is used for this host's upstream and for the platform's store. A server may respond twice, late or partially, or send bytes that are not HTTP. A
response that names its call is checked against it: a response to another call is skipped
and the next one on the same connection is read. A connection is not reused after any
protocol violation. Heads and bodies that exceed the size limits fail the call at once
instead of at its deadline, so that an endless response does not use memory until then.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from agaterelay.adapters.frames import configure_socket
from agaterelay.core.call import RawHeaders

# The upstream runs on the same host and accepts a connection at once unless its accept
# queue is full.
CONNECT_TIMEOUT_S = 0.6
USER_TIMEOUT_MS = 1000
# Idle connections are closed after this ratio of the upstream's keep-alive time-out, so
# that no call is sent on a connection that the upstream is closing.
IDLE_TIMEOUT_RATIO = 0.7
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Longer bodies are written in parts of this size, each when the one before is sent.
SENT_PART_BYTES = 64 << 10
# A host has at least 200 MB of memory, and a response is copied several times on its
# way to the caller.
MAX_RESPONSE_BYTES = 16 << 20
MAX_BUFFERED_BYTES = 32 << 20
# Limit on received bytes outside bodies: heads, chunk sizes and trailers. It holds between
# two parts of bodies, and per call. Small chunks need framing of several times their own
# size, so that the bytes of bodies raise the limit of a call.
MAX_FRAMING_BYTES = 64 << 10
FRAMING_BYTES_PER_BODY_BYTE = 8
# Includes interim (1xx) responses and late responses to other calls.
MAX_RESPONSES_PER_CALL = 16
# HTTP has no other statuses, and the parser takes any of three digits.
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101


class NotSentError(Exception):
    """No byte of the call was sent, so it cannot have run."""


class AnswerLostError(Exception):
    """The call was sent, and no complete response to it arrived."""


class ReceivedResponse:
    """A complete response of an upstream."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: RawHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ResponseMemory:
    """Limits the memory of all partially received responses of an upstream.

    Above the limit, the connection that buffers the most is aborted, so that an endless
    response does not make other calls fail.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._buffered_bytes: dict[PooledConnection, int] = {}
        self._total_bytes = 0

    def add(self, connection: PooledConnection, size_bytes: int) -> None:
        """Count bytes that a connection has buffered.

        Aborts the connection with the most buffered bytes if the limit is exceeded.
        """
        self._buffered_bytes[connection] = (
            self._buffered_bytes.get(connection, 0) + size_bytes
        )
        self._total_bytes += size_bytes
        if self._total_bytes > self.limit_bytes:
            largest = max(self._buffered_bytes, key=self._buffered_bytes.__getitem__)
            largest.abort("the answer is too large")

    def release(self, connection: PooledConnection) -> None:
        """Stop counting the bytes that a connection buffered."""
        self._total_bytes -= self._buffered_bytes.pop(connection, 0)


class PooledConnection(asyncio.Protocol):
    """One connection to an upstream; owns its socket and the response being read."""

    def __init__(
        self,
        id_header: bytes,
        on_lost: Callable[..., None],
        memory: ResponseMemory,
        user_timeout_ms: int,
    ) -> None:
        self._id_header = id_header
        self._user_timeout_ms = user_timeout_ms
        self._on_lost = on_lost
        self._memory = memory
        self._framing_bytes = self._framing_since_body_bytes = 0
        self._body_bytes = 0
        self._response_count = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[ReceivedResponse] | None = None
        self._call_id = b""
        self._unsent = memoryview(b"")
        self._is_writable = True
        self._head_only = False
        self._eof_received = False
        self._reset_response()
        self.reusable = True
        # Called when a part of the answer has arrived.
        self.on_data: Callable[[], None] | None = None
        # Whether an earlier call was answered on this connection.
        self.was_used = False
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since_s = 0.0

    def _reset_response(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        # A list of the parts would take many times the memory of small ones.
        self._body = bytearray()
        self._size_bytes = 0
        self._memory.release(self)
        self._headers_complete = False
        self._body_delimited = False

    @property
    def open(self) -> bool:
        """Whether a call can be sent on this connection."""
        transport = self._transport
        return self.reusable and transport is not None and not transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and configure its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tcp_socket = transport.get_extra_info("socket")
        configure_socket(tcp_socket, self._user_timeout_ms)

    def send(
        self, head: bytes, body: bytes | bytearray, call_id: bytes, head_only: bool
    ) -> asyncio.Future[ReceivedResponse]:
        """Send a call and return the future of its response.

        Args:
            head: The rendered request line and headers.
            body: The request's body.
            call_id: The id that a response with an id header must have.
            head_only: Whether the response has no body (method HEAD).

        Raises:
            NotSentError: The connection is closed.
        """
        if not self.open:
            raise NotSentError("the connection was closed")
        self._call_id = call_id
        self._head_only = head_only
        self._framing_bytes = self._framing_since_body_bytes = 0
        self._body_bytes = self._response_count = 0
        self._waiter = asyncio.get_running_loop().create_future()
        if len(body) <= SENT_PART_BYTES:
            self._transport.write(head + body if body else head)
        else:
            self._transport.write(head)
            self._unsent = memoryview(body)
            self._send_parts()
        return self._waiter

    def _send_parts(self) -> None:
        """Write parts of a long body until the transport has enough of them."""
        while self._unsent and self._is_writable and self.open:
            part = self._unsent[:SENT_PART_BYTES]
            self._unsent = self._unsent[SENT_PART_BYTES:]
            self._transport.write(part)

    def pause_writing(self) -> None:
        """Let the rest of a body wait until the upstream has read more of it."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Go on with a body."""
        self._is_writable = True
        self._send_parts()

    def close(self) -> None:
        """Reset the connection, which makes the upstream cancel the call on it."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort on malformed or excessive input."""
        if self._waiter is None:
            # No call is in progress, so this is a duplicate response.
            self.close()
            return
        if self.on_data is not None:
            self.on_data()
        body_bytes_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.abort(f"not an answer: {type(error).__name__}")
            return
        framing_bytes = len(data) - (self._body_bytes - body_bytes_before)
        self._framing_bytes += framing_bytes
        if self._body_bytes > body_bytes_before:
            self._framing_since_body_bytes = 0
        else:
            self._framing_since_body_bytes += framing_bytes
        allowed_bytes = FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        if (
            self._framing_bytes > MAX_FRAMING_BYTES + allowed_bytes
            or self._framing_since_body_bytes > MAX_FRAMING_BYTES
        ):
            self.abort("more framing than an answer has")

    def abort(self, reason: str) -> None:
        """Fail the pending call and close the connection."""
        self._fail(reason)
        self._reset_response()
        self.close()

    def eof_received(self) -> bool:
        """Handle EOF, which completes a response without a declared length."""
        self._eof_received = True
        self.reusable = False
        if (
            self._waiter is not None
            and self._headers_complete
            and not self._body_delimited
        ):
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending call and release its buffered bytes."""
        self.reusable = False
        self._transport = None
        self._fail(type(exc).__name__ if exc else "closed")
        self._memory.release(self)
        self._on_lost(self)

    def _fail(self, reason: str) -> None:
        waiter, self._waiter = self._waiter, None
        self._unsent = memoryview(b"")
        if waiter is not None and not waiter.done():
            waiter.set_exception(AnswerLostError(reason))

    def on_message_begin(self) -> None:
        """Start a response; an unsolicited one makes the connection unusable."""
        self._reset_response()
        if self._waiter is None:
            self.reusable = False

    def on_status(self, reason: bytes) -> None:
        """Check the status as soon as its line is read."""
        self._check_status()

    def _check_status(self) -> bool:
        """Return whether the status may be that of an answer; abort if it is not.

        The node never asks to switch protocols.
        """
        status = self._parser.get_status_code()
        if MIN_STATUS <= status <= MAX_STATUS and status != SWITCHING_PROTOCOLS:
            return True
        self.abort("not an answer: invalid status")
        return False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the current response; trailers are dropped."""
        if not self._headers_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited and how long the connection may idle."""
        if not self._check_status():
            return
        self._headers_complete = True
        keys = {name.lower(): value for name, value in self._headers}
        status = self._parser.get_status_code()
        self._body_delimited = (
            b"content-length" in keys
            or b"chunked" in keys.get(b"transfer-encoding", b"").lower()
            or status < 200
            or status in (204, 304)
        )
        idle = keys.get(b"keep-alive", b"")
        for token in idle.split(b","):
            name, _, seconds = token.strip().partition(b"=")
            if name == b"timeout" and seconds.isdigit():
                self.idle_timeout_s = IDLE_TIMEOUT_RATIO * int(seconds)
        if self._head_only and status >= 200:
            self.reusable = False
            self.on_message_complete()

    def on_body(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, up to the size limits."""
        self._size_bytes += len(chunk)
        self._body_bytes += len(chunk)
        if self._waiter is None:
            return
        if self._size_bytes > MAX_RESPONSE_BYTES:
            self.abort("the answer is too large")
            return
        self._body += chunk
        self._memory.add(self, len(chunk))

    def on_message_complete(self) -> None:
        """Resolve the pending call unless the response is interim or another call's."""
        status = self._parser.get_status_code()
        waiter = self._waiter
        self._response_count += 1
        if self._response_count > MAX_RESPONSES_PER_CALL:
            self.abort("too many answers to one call")
            return
        if status < 200 or waiter is None:
            return
        keys = {name.lower(): value for name, value in self._headers}
        received_ids = {
            value for name, value in self._headers if name.lower() == self._id_header
        }
        if received_ids and received_ids != {self._call_id}:
            return
        if self._call_id and not received_ids:
            # It may belong to an earlier call, and the answer to this one may follow.
            self.reusable = False
        self._waiter = None
        if not self._eof_received and not self._parser.should_keep_alive():
            self.reusable = False
        if b"close" in keys.get(b"connection", b"").lower():
            self.reusable = False
        transport = self._transport
        unsent, self._unsent = self._unsent, memoryview(b"")
        if unsent or (transport is not None and transport.get_write_buffer_size()):
            # The upstream responded before it had read the whole request.
            self.reusable = False
        if not waiter.done():
            waiter.set_result(
                ReceivedResponse(status, tuple(self._headers), bytes(self._body))
            )
        self._reset_response()


class HttpPool:
    """The connections to one server; the most recently used one is reused first."""

    def __init__(
        self,
        address: str,
        id_header: bytes = b"",
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        user_timeout_ms: int = USER_TIMEOUT_MS,
    ) -> None:
        """Create a pool without connecting.

        Args:
            address: The server's IP address and port.
            id_header: The header, in lower case, by which a response names its call;
                empty if the server's responses name none.
            max_buffered_bytes: Limit of all partially received responses.
            connect_timeout_s: How long a connection may take to be accepted, in seconds.
            user_timeout_ms: How long sent data may stay unacknowledged, in milliseconds.
        """
        host, _, port = address.rpartition(":")
        self._memory = ResponseMemory(max_buffered_bytes)
        self._host, self._port = host, int(port)
        self._id_header = id_header
        self._connect_timeout_s = connect_timeout_s
        self._user_timeout_ms = user_timeout_ms
        self._idle: list[PooledConnection] = []
        self.opened = 0
        # Called when the server has closed an idle connection.
        self.on_idle_lost: Callable[[], None] = lambda: None

    def _remove_idle(self, connection: PooledConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
            self.on_idle_lost()

    async def acquire(self, now_s: float) -> PooledConnection:
        """Return an idle connection, or open one.

        Args:
            now_s: The current monotonic time, in seconds.

        Raises:
            NotSentError: The upstream did not accept a connection.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.open and (
                now_s - connection.idle_since_s < connection.idle_timeout_s
            ):
                return connection
            connection.close()
        self.opened += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: PooledConnection(
                        self._id_header,
                        self._remove_idle,
                        self._memory,
                        self._user_timeout_ms,
                    ),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(type(error).__name__) from error
        return connection

    def release(self, connection: PooledConnection, now_s: float) -> None:
        """Return a connection whose call has ended to the pool, or close it.

        Args:
            connection: The connection that ``acquire`` returned.
            now_s: The current monotonic time, in seconds.
        """
        if not connection.open:
            connection.close()
            return
        connection.on_data = None
        connection.was_used = True
        connection.idle_since_s = now_s
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in tuple(self._idle):
            connection.close()
        self._idle.clear()


def render_head(
    method: str, path: str, headers: RawHeaders, body: bytes | bytearray
) -> bytes:
    """Return the request line and headers, with ``Content-Length`` for a body."""
    lines = [f"{method} {path} HTTP/1.1".encode()]
    lines += [name + b": " + value for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n"
