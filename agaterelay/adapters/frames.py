"""The protocol between nodes: msgpack frames over one TCP connection per link.

A frame is a four-byte big-endian size followed by a msgpack list whose first item is the
kind of frame. Results may arrive in any order, and calls may be cancelled. Every
frequent kind of frame carries the sender's revision, so that a node with an older one
learns of it from any peer.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

import msgpack

# A frame holds at most one request or response body and a few fields.
MAX_FRAME_BYTES = 24 << 20
# Leaves room for the other fields of a frame.
MAX_BODY_BYTES = MAX_FRAME_BYTES - (1 << 20)
# Longer frames are not copied to send their size together with them.
MAX_JOINED_BYTES = 64 << 10
# The kernel closes a connection whose sent data is not acknowledged for this long.
USER_TIMEOUT_MS = 1500
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
_SIZE = struct.Struct(">I")


class Frame(IntEnum):
    """The kind of a frame; values are part of the wire format."""

    HELLO = 1
    NEWS = 2
    PING = 3
    PONG = 4
    CALL = 5
    CANCEL = 6
    RESULT = 7
    WANT_TABLE = 8
    TABLE = 9
    ASK_TALLIES = 10
    TALLIES = 11
    WANT_MEMBERS = 12
    MEMBERS = 13
    TABLE_DELTA = 14
    CRASHES = 15
    ASK_GRANT = 16
    GRANT = 17
    ASK_LOAN = 18
    LOAN = 19
    MAY_START = 20
    START = 21
    OFFER_RESULT = 24
    GRANT_RESULT = 25
    WANT_BODY = 26
    BODY_PART = 27


def configure_socket(tcp_socket: socket.socket, user_timeout_ms: int) -> None:
    """Enable detection of a dead peer by the kernel, and disable Nagle's algorithm.

    Args:
        tcp_socket: The connected socket.
        user_timeout_ms: How long sent data may stay unacknowledged, in milliseconds.
    """
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class FrameConnection(asyncio.Protocol):
    """One end of a link; owns its socket and the bytes of incomplete frames."""

    def __init__(
        self,
        on_frame: Callable[[FrameConnection, list[Any]], None],
        on_lost: Callable[[FrameConnection, str], None],
        on_open: Callable[[FrameConnection], None] = lambda connection: None,
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._on_open = on_open
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        # Done once the transport takes more; None while it does.
        self._writable: asyncio.Future[None] | None = None
        # The peer's host; empty until a frame of the peer names it.
        self.host = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, configure its socket and report the open link."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        configure_socket(transport.get_extra_info("socket"), USER_TIMEOUT_MS)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Decode complete frames; close the link on an invalid or oversized one."""
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _SIZE.size:
            (size_bytes,) = _SIZE.unpack_from(buffer, start)
            end = start + _SIZE.size + size_bytes
            if size_bytes > MAX_FRAME_BYTES:
                self.abort()
                return
            if len(buffer) < end:
                break
            try:
                with memoryview(buffer) as view:
                    frame = msgpack.unpackb(view[start + _SIZE.size : end])
            except (ValueError, msgpack.UnpackException):
                self.abort()
                return
            start = end
            self._on_frame(self, frame)
        del buffer[:start]

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the lost link with the reason."""
        self._transport = None
        self.resume_writing()
        self._on_lost(self, type(exc).__name__ if exc else "closed")

    @property
    def open(self) -> bool:
        """Whether the link accepts frames."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """The size of the frames that the peer has not read yet."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def send(self, frame: list[Any]) -> bool:
        """Send a frame; return False if the link is closed."""
        if not self.open:
            return False
        packed = msgpack.packb(frame)
        size = _SIZE.pack(len(packed))
        if len(packed) <= MAX_JOINED_BYTES:
            self._transport.write(size + packed)
        else:
            self._transport.write(size)
            self._transport.write(packed)
        return True

    def pause_writing(self) -> None:
        """Let ``drain`` wait until the peer has read more."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let ``drain`` return."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    async def drain(self) -> None:
        """Wait until the link takes more frames, or is lost."""
        if self._writable is not None:
            await asyncio.shield(self._writable)

    def close(self) -> None:
        """Close after the buffered frames are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard buffered frames."""
        if self._transport is not None:
            self._transport.abort()
