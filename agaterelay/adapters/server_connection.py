"""One connection of a caller of the deployed node.

A connection's requests are answered in the order in which they were sent, also if they
are sent before earlier ones are answered. The time at which a request was received is
kept, since it may wait for its turn. A request behind an answer that closes the
connection is not handed to the handler.

A connection is read in small pieces while its input is costly to parse, and is not read
while its input waits for a later turn of the event loop (``core/input_share.py``).
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from agaterelay.adapters.http_messages import (
    BODILESS_STATUSES,
    PHRASES,
    Holder,
    HttpRequest,
    HttpResponse,
    Refusal,
    find_header,
    render_body_head,
    render_response,
)
from agaterelay.core.input_share import (
    Share,
    charge,
    is_waiting,
    may_handle,
    stop_waiting,
    wait_for_turn,
)

if TYPE_CHECKING:
    from agaterelay.adapters.http_server import HttpServer

# Longer bodies are not copied, neither to send them together with their heads nor to make
# them immutable.
MAX_JOINED_BYTES = 64 << 10
# Callers reuse a connection for up to four fifths of the idle limit, so it stays open
# for a little longer than the limit.
IDLE_MARGIN_S = 2.0
# After an answer that leaves bytes unread, they are read and discarded until none has come
# for the first time, at most for the second one and up to the longest body. A close with
# unread bytes would reset the connection before the caller has the answer. It goes on for
# as long as the caller reads the answer.
LINGERING_READ_S = 1.0
MAX_LINGERING_READ_S = 5.0
# What is read at once: the first while input is costly to parse or has to wait, and up to
# the second for long bodies.
MIN_READ_BYTES = 4 << 10
MAX_READ_BYTES = 64 << 10
# The work of one read, and of a request with all that its handler does, in steps of the
# parser. Reads of at most the second count as cheap.
READ_WORK = 4
CHEAP_READ_WORK = 12
REQUEST_WORK = 100
# Reading is paused at the first number of requests that wait for their turn on one
# connection, and resumed at the second.
MAX_WAITING_REQUESTS = 32
RESUME_WAITING_REQUESTS = 16
# Requests ahead wait for at most this long after a refusal.
MAX_PAUSE_S = 0.1
# How often a time limit is looked at again while input waits for its turn.
UNHANDLED_CHECK_S = 0.25
# When a caller whose body found no room should come back.
NO_ROOM_RETRY_S = 1.0
# Small chunks need framing of several times their own size, so that the bytes of a body
# raise the limit on the framing of its chunks. Between two parts of a body, chunk
# extensions and trailers are limited like headers.
FRAMING_BYTES_PER_BODY_BYTE = 8
# The colon, the space, CR and LF of a header line, besides its name and value.
HEADER_LINE_OVERHEAD_BYTES = 4
# The memory of a header line's objects, and of those of a request, besides its bytes.
HEADER_LINE_MEMORY_BYTES = 200
REQUEST_MEMORY_BYTES = 2 << 10
# The first request of a connection reserves no room until it takes more than this.
FREE_REQUEST_BYTES = 6 << 10
# Room for a body of unknown length is reserved in steps that grow up to this size.
MAX_RESERVED_STEP_BYTES = 1 << 20
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

logger = logging.getLogger(__name__)


def _do_nothing() -> None:
    pass


class ServerConnection(asyncio.BufferedProtocol):
    """One connection of a caller: its parser, and its requests in the order received.

    Attributes:
        transport: The transport, None before the connection is made and after its end.
        task: The task that answers the waiting requests, None if there is none.
        share: What of the server's work the connection has caused.
        turn_began_s: When the request that is being answered was the first one on the
            connection, on the event loop's clock.
    """

    def __init__(self, server: HttpServer) -> None:
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self._waiting: deque[HttpRequest | Refusal] = deque()
        # Set once nothing that follows on the connection is read as a request.
        self._reading_ended = False
        self.turn_began_s = 0.0
        self.share = Share(self._handle_unhandled, self._shed_input)
        # What was read and waits for its turn, and when it was read.
        self._unhandled: bytes | None = None
        self._unhandled_since_s = 0.0
        self._read_bytes = MIN_READ_BYTES
        # Steps of the parser on the present input.
        self._work = 0
        self._pause_s = 0.0
        self._has_sent = False
        # What was read after the last request of the connection.
        self._discarded_bytes = 0
        self._shutting_down = False
        self._writable: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._last_received_s = self._idle_since_s = self._loop.time()
        self._begin_request()
        self._in_head = False

    def _begin_request(self) -> None:
        self._limits = self._server.get_limits()
        self._holder = Holder(self)
        self._reserved_bytes = 0
        is_first = not self._waiting and self.task is None
        self._free_bytes = FREE_REQUEST_BYTES if is_first else 0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        # A list of the parts would take many times the memory of small ones.
        self._body = bytearray()
        self._head_bytes = 0
        self._unparsed_head_bytes = 0
        self._framing_bytes = self._framing_since_body_bytes = 0
        # The method and version of a request whose body is read by another parser.
        self._method, self._version = b"", ""
        self._reads_body_anew = False
        self._in_head = True
        self._in_body = False
        self._began_in_segment = True
        self._head_began_s = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and limit how long the connection may be idle."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._server.connections.add(self)
        self._set_timer()
        self._server.limit_connections(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, and drop those that wait."""
        self.transport = None
        self._server.forget(self)
        self._unhandled = None
        self._headers = []
        self._drop_body()
        self._drop_waiting()
        if self.task is not None:
            self.task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        # Without these references its memory is free at once, not at a collection.
        self._parser = self._holder = None
        self.share.handle = self.share.shed = _do_nothing

    def eof_received(self) -> bool:
        """Close the connection; a caller that ends its side has left."""
        return False

    def pause_writing(self) -> None:
        """Hold the next answers until the caller has read the earlier ones."""
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Continue to answer."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read to."""
        if self._server.shares.is_congested:
            return self._server.read_buffer[:MIN_READ_BYTES]
        return self._server.read_buffer[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were read, or let them wait for their turn."""
        now_s = self._loop.time()
        data = self._server.read_buffer[:nbytes]
        if may_handle(self._server.shares, self.share, now_s):
            self._handle_input(data, now_s)
            return
        self._unhandled, self._unhandled_since_s = bytes(data), now_s
        self._update_reading()
        self._wait_for_turn(now_s)

    def _wait_for_turn(self, now_s: float) -> None:
        if wait_for_turn(self._server.shares, self.share, now_s):
            self._server.schedule_turn()

    def _handle_unhandled(self) -> None:
        """Handle input whose turn has come."""
        if self._unhandled is None or self._has_many_waiting():
            return
        data, self._unhandled = self._unhandled, None
        # The caller has not caused the time that its input waited.
        self._head_began_s += self._loop.time() - self._unhandled_since_s
        self._handle_input(data, self._unhandled_since_s)
        self._update_reading()

    def _handle_input(self, data: bytes | memoryview, received_s: float) -> None:
        """Parse received bytes, and count the work that they cause."""
        self._work = READ_WORK
        self._has_sent = True
        self._last_received_s = received_s
        self.data_received(data)
        is_cheap = self._work <= CHEAP_READ_WORK
        if not is_cheap:
            self._read_bytes = MIN_READ_BYTES
        elif len(data) >= self._read_bytes:
            self._read_bytes = min(2 * self._read_bytes, MAX_READ_BYTES)
        is_receiving = (self._in_head or self._in_body) and not self._reading_ended
        if self._reserved_bytes and is_receiving:
            received_bytes = self._head_bytes + len(self._body)
            self._server.room.note_received(self._holder, received_bytes)
        now_s = self._loop.time()
        # A body's time limit counts from when its last part was handled.
        self._last_received_s = now_s
        if charge(self._server.shares, self.share, self._work, now_s):
            self._server.schedule_turn()

    def _shed_input(self) -> None:
        """Drop the input that waits, as too much of it waits on all connections."""
        self._unhandled = None
        if self._reading_ended:
            self.abort()
            return
        self._refuse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "too much input waits to be read",
            NO_ROOM_RETRY_S,
        )
        self._update_reading()

    def give_way(self, holder: Holder) -> bool:
        """Refuse a request whose body makes no progress; see ``Holder.give_way``."""
        if self._unhandled is not None:
            return False
        if holder is self._holder:
            self._refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "it stalled, and there is no room for it",
                NO_ROOM_RETRY_S,
            )
        return True

    def _has_many_waiting(self) -> bool:
        return len(self._waiting) >= MAX_WAITING_REQUESTS and not self._reading_ended

    def _update_reading(self) -> None:
        """Pause or resume reading."""
        if self.transport is None:
            return
        if self._unhandled is not None or self._has_many_waiting():
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes, and start to answer complete requests."""
        if self._reading_ended:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > self._limits.max_body_bytes:
                self.abort()
            return
        self._began_in_segment = False
        body_bytes_before = len(self._body)
        try:
            self._feed_parser(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            self._refuse(HTTPStatus.BAD_REQUEST, str(error) or "invalid request")
        if self._in_head and not self._began_in_segment:
            self._unparsed_head_bytes += len(data)
            # The request line is limited like the headers.
            if self._unparsed_head_bytes > 2 * self._limits.max_header_bytes:
                self._refuse(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long"
                )
        if self._in_body and not self._began_in_segment:
            self._limit_framing(len(data), len(self._body) - body_bytes_before)
        if self._waiting and self.task is None:
            self.task = self._loop.create_task(self._answer_waiting())
        if self._has_many_waiting():
            self._update_reading()
        if self._in_head or self._in_body:
            self._set_timer()

    def _feed_parser(self, data: bytes | memoryview) -> None:
        """Parse bytes; a request that offers another protocol is read as plain HTTP.

        Raises:
            httptools.HttpParserError: They are no request.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if not self._reads_body_anew:
                # Other protocols are not served, and the parser reads no further.
                self._reading_ended = self._shutting_down = True
                return
            # The parser stops behind the head, as if the body were of that protocol.
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(render_body_head(self._headers, self._version))
            self._reads_body_anew = False
            self._parser.feed_data(memoryview(data)[upgrade.args[0] :])

    def _limit_framing(self, received_bytes: int, body_bytes: int) -> None:
        """Refuse a body whose chunks have more framing than any caller needs.

        Args:
            received_bytes: What was received of the body and its framing.
            body_bytes: What of this was the body's.
        """
        framing_bytes = received_bytes - body_bytes
        self._framing_bytes += framing_bytes
        if body_bytes:
            self._framing_since_body_bytes = 0
        else:
            self._framing_since_body_bytes += framing_bytes
        max_bytes = self._limits.max_header_bytes
        allowed_bytes = FRAMING_BYTES_PER_BODY_BYTE * len(self._body)
        if (
            self._framing_bytes > max_bytes + allowed_bytes
            or self._framing_since_body_bytes > max_bytes
        ):
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the framing of the body is too long",
            )

    def on_message_begin(self) -> None:
        """Start the next request."""
        if not self._reads_body_anew:
            self._begin_request()

    def on_url(self, part: bytes) -> None:
        """Append to the request target."""
        if not self._reads_body_anew:
            self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        self._work += 1
        if self._reading_ended or not self._in_head or self._reads_body_anew:
            return
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        if self._head_bytes > self._limits.max_header_bytes:
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too long"
            )
        elif self._head_memory_bytes > self._free_bytes:
            self._reserve(0)

    @property
    def _head_memory_bytes(self) -> int:
        """The memory that the request takes without its body."""
        lines_bytes = HEADER_LINE_MEMORY_BYTES * len(self._headers)
        return REQUEST_MEMORY_BYTES + self._head_bytes + lines_bytes

    def on_headers_complete(self) -> None:
        """Refuse a body that is declared too long, or ask for the body."""
        self._in_head = False
        self._in_body = True
        if self._reading_ended or self._reads_body_anew:
            return
        version = self._parser.get_http_version()
        if self._parser.should_upgrade() and render_body_head(self._headers, version):
            self._method, self._version = self._parser.get_method(), version
            self._reads_body_anew = True
        length = find_header(tuple(self._headers), b"content-length")
        if length is not None and int(length) > self._limits.max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
            return
        if length is not None and not self._reserve(int(length)):
            return
        expect = find_header(tuple(self._headers), b"expect")
        if expect is not None and expect.lower() == "100-continue":
            self.transport.write(_CONTINUE)

    def on_body(self, part: bytes) -> None:
        """Store a part of the body."""
        self._work += 1
        if self._reading_ended:
            return
        if len(self._body) + len(part) > self._limits.max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
            return
        if self._reserve(len(self._body) + len(part)):
            self._body += part

    def _reserve(self, body_bytes: int) -> bool:
        """Reserve room for the request with a body of this size, or refuse it."""
        head_bytes = self._head_memory_bytes
        size_bytes = body_bytes
        if head_bytes > self._free_bytes:
            size_bytes += head_bytes
        if size_bytes <= self._reserved_bytes:
            return True
        # The size of a head or body without a declared length takes room in steps.
        step_bytes = min(self._reserved_bytes, MAX_RESERVED_STEP_BYTES)
        self._reserved_bytes = max(size_bytes, self._reserved_bytes + step_bytes)
        if not self._server.room.reserve(self._holder, self._reserved_bytes):
            self._refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                f"there is no room for the {'body' if body_bytes else 'headers'}",
                NO_ROOM_RETRY_S,
            )
            return False
        return True

    def _drop_body(self) -> None:
        """Drop the body that is being read."""
        self._server.room.release(self._holder)
        self._body = bytearray()

    def _drop_waiting(self) -> None:
        """Drop the requests that wait for their turn."""
        for item in self._waiting:
            if isinstance(item, HttpRequest):
                self._server.room.release(item.holder)
        self._waiting.clear()

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._reads_body_anew:
            return
        self._work += REQUEST_WORK
        self._in_head = self._in_body = False
        if self._reading_ended:
            return
        is_long = len(self._body) > MAX_JOINED_BYTES
        request = HttpRequest(
            method=(self._method or self._parser.get_method()).decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=self._body if is_long else bytes(self._body),
            received_s=self._last_received_s,
            keep_alive=self._parser.should_keep_alive(),
            version=self._version or self._parser.get_http_version(),
            connection=self,
            holder=self._holder,
        )
        if self._reserved_bytes:
            self._server.room.finish_receiving(self._holder)
        # The request's memory is free once it is answered, also on an idle connection.
        self._holder, self._body, self._headers = Holder(self), bytearray(), []
        self._reading_ended = not request.keep_alive
        self._waiting.append(request)

    def _refuse(
        self, status: HTTPStatus, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Queue a refusal in place of the request being read, and read no further."""
        if self._reading_ended:
            return
        self._reading_ended = True
        self._drop_body()
        refusal = Refusal(status.value, reason, tuple(self._headers), retry_after_s)
        self._headers = []
        self._waiting.append(refusal)
        if self.task is None:
            self.task = self._loop.create_task(self._answer_waiting())

    async def _answer_waiting(self) -> None:
        """Answer the waiting requests one after the other, until none is left."""
        turn_began_s = 0.0
        try:
            while self._waiting and self.transport is not None:
                item = self._waiting.popleft()
                self._resume_reading()
                self.turn_began_s = turn_began_s
                is_refusal = isinstance(item, Refusal)
                closes = await self._answer(item)
                # It is not held while its caller reads the answer.
                del item
                if closes:
                    self._close_after_answer(is_refusal)
                    return
                if self._writable is not None:
                    await self._writable
                turn_began_s = self._loop.time()
                await self._pause()
        finally:
            self.task = None
            self._idle_since_s = self._loop.time()
        if self._shutting_down:
            self.close()

    async def _pause(self) -> None:
        """Let requests ahead wait after a refusal, as their caller would have to.

        Otherwise one caller takes each place that comes free before others ask again.
        """
        pause_s, self._pause_s = self._pause_s, 0.0
        if pause_s and self._waiting and not self._shutting_down:
            await asyncio.sleep(min(pause_s, MAX_PAUSE_S))

    def _resume_reading(self) -> None:
        """Read on once few requests wait for their turn."""
        if len(self._waiting) != RESUME_WAITING_REQUESTS:
            return
        if self._unhandled is None:
            self._update_reading()
        elif not is_waiting(self._server.shares, self.share):
            self._wait_for_turn(self._loop.time())

    async def _answer(self, item: HttpRequest | Refusal) -> bool:
        """Write the answer to a request; return whether the connection is closed."""
        if isinstance(item, Refusal):
            self._server.on_refused(item)
            phrase = PHRASES.get(item.status, "refused")
            headers: tuple[tuple[str, str], ...] = ()
            if item.retry_after_s is not None:
                headers = (("Retry-After", f"{item.retry_after_s:.3f}"),)
            response = HttpResponse(item.status, headers, f"{phrase}\n".encode(), True)
            self._write(render_response(response, True, "1.1", False))
            return True
        head_only = item.method == "HEAD"
        try:
            response = await self._server.handler(item)
            self._pause_s = response.pause_s
            closes = response.closes or self._shutting_down or not item.keep_alive
            body = b"" if head_only else response.body
            if response.status in BODILESS_STATUSES:
                body = b""
            if len(body) <= MAX_JOINED_BYTES:
                body = b""
            elif not self._server.hold_response(self, item.holder, len(body)):
                self.abort()
                return True
            rendered = render_response(
                response, closes, item.version, head_only or bool(body)
            )
        except Exception:
            logger.exception("request handler failed")
            closes = True
            body = b""
            response = HttpResponse(HTTPStatus.INTERNAL_SERVER_ERROR.value)
            rendered = render_response(response, closes, item.version, head_only)
        finally:
            self._server.room.release(item.holder)
        self._write(rendered)
        if body:
            self._write(body)
        elif self.unsent_bytes and not self._server.hold_response(
            self, item.holder, len(rendered)
        ):
            self.abort()
            return True
        return closes

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _close_after_answer(self, has_unread: bool) -> None:
        """Close the connection once the answer is sent.

        Args:
            has_unread: Whether the caller may still be sending a request.
        """
        has_unread = has_unread or bool(self._waiting) or self._in_head or self._in_body
        self._reading_ended = True
        self._drop_body()
        self._drop_waiting()
        if self.transport is None:
            return
        if not has_unread:
            self.transport.close()
            return
        stop_waiting(self._server.shares, self.share)
        self._unhandled = None
        self._update_reading()
        self.transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._server.add_lingering(self)
        end_s = self._loop.time() + MAX_LINGERING_READ_S
        self._linger(end_s)

    def _linger(self, end_s: float) -> None:
        """Discard what the caller sends for a while, at most until ``end_s``."""
        self._timer = self._loop.call_later(
            LINGERING_READ_S,
            self._end_lingering,
            end_s,
            self.unsent_bytes,
            self._discarded_bytes,
        )

    def _end_lingering(
        self, end_s: float, unsent_before_bytes: int, discarded_before_bytes: int
    ) -> None:
        """Close the connection unless its caller has read or sent more meanwhile."""
        has_read = 0 < self.unsent_bytes < unsent_before_bytes
        has_sent = self._discarded_bytes > discarded_before_bytes
        if has_read or (has_sent and self._loop.time() < end_s):
            self._linger(end_s)
        else:
            self.abort()

    @property
    def idle(self) -> bool:
        """Whether no request is being received or answered, and nothing is unread."""
        in_request = self._in_head or self._in_body or self.task is not None
        in_request = in_request or self._unhandled is not None
        return not in_request and not self.unsent_bytes

    @property
    def has_sent(self) -> bool:
        """Whether anything was received on the connection."""
        return self._has_sent

    @property
    def idle_since_s(self) -> float:
        """When the connection became idle, on the event loop's clock."""
        return max(self._idle_since_s, self._last_received_s)

    @property
    def in_head(self) -> bool:
        """Whether a request's head is being received."""
        return self._in_head

    @property
    def head_began_s(self) -> float:
        """When the newest request's head began, on the event loop's clock."""
        return self._head_began_s

    @property
    def unsent_bytes(self) -> int:
        """The size of the answers that the caller has not read yet."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def shut_down(self) -> None:
        """Close the connection after the request in progress, at once if it is idle."""
        self._shutting_down = True
        if self.task is None and self.transport is not None:
            self.transport.close()

    def close(self) -> None:
        """Close the connection after the bytes that are written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _deadline_s(self) -> float | None:
        """Return when the caller has to have sent more, None if it need not."""
        if self._reading_ended:
            return None
        if self._in_head:
            return self._head_began_s + self._limits.header_timeout_s
        if self._in_body:
            return self._last_received_s + self._limits.idle_timeout_s
        if self.task is not None:
            # Checked again later, when the connection may be idle.
            return self._loop.time() + self._limits.idle_timeout_s
        idle_since_s = max(self._idle_since_s, self._last_received_s)
        return idle_since_s + self._limits.idle_timeout_s + IDLE_MARGIN_S

    def _set_timer(self) -> None:
        """Set the timer to the present deadline, unless it fires earlier anyway."""
        deadline_s = self._deadline_s()
        if deadline_s is None:
            return
        if self._timer is not None:
            if self._timer.when() <= deadline_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline_s, self._check_deadline)

    def _check_deadline(self) -> None:
        """Give up on a request that is late, or close an idle connection."""
        self._timer = None
        deadline_s = self._deadline_s()
        if deadline_s is None or self.transport is None:
            return
        if self._unhandled is not None:
            # The rest may have come, and waits for this node.
            self._timer = self._loop.call_later(UNHANDLED_CHECK_S, self._check_deadline)
        elif self._loop.time() < deadline_s:
            self._set_timer()
        elif self._in_head:
            self._refuse(
                HTTPStatus.REQUEST_TIMEOUT,
                "the request head was not complete within the header timeout",
            )
        elif self._in_body:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, "no part of the body came in time")
        else:
            self.transport.close()
