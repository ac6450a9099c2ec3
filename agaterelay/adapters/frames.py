"""What nodes say to each other on a link: frames of msgpack on one TCP connection.

A frame is its size in four bytes and a list whose first item is its kind. Calls are
answered in any order, and may be cancelled. Every frame that comes often carries the
sender's revision, so that a node that is behind learns of it from any neighbour.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

import msgpack

# A frame holds one call's body or one answer at most, and some fields beside it.
MAX_FRAME_BYTES = 24 << 20
# The other end is gone when it acknowledges nothing for this long.
USER_TIMEOUT_MS = 1500
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
_SIZE = struct.Struct(">I")


class Frame(IntEnum):
    """The kinds of frames."""

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


def set_liveness(link_socket: socket.socket, user_timeout_ms: int) -> None:
    """Let the kernel end a connection whose other end is silent."""
    link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    link_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    link_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    link_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    link_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    link_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class FrameConnection(asyncio.Protocol):
    """One end of a link; owns its socket and the bytes not yet made into frames."""

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
        # Who is at the other end, once it has said so.
        self.host = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness(transport.get_extra_info("socket"), USER_TIMEOUT_MS)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Hand out the frames that are complete."""
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
                frame = msgpack.unpackb(
                    bytes(buffer[start + _SIZE.size : end]), use_list=True
                )
            except (ValueError, msgpack.UnpackException):
                self.abort()
                return
            start = end
            self._on_frame(self, frame)
        del buffer[:start]

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the connection is gone."""
        self._transport = None
        self._on_lost(self, type(exc).__name__ if exc else "closed")

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, frame: list[Any]) -> bool:
        """Send a frame; return whether there was a connection to send it on."""
        if not self.open:
            return False
        packed = msgpack.packb(frame)
        self._transport.write(_SIZE.pack(len(packed)) + packed)
        return True

    def close(self) -> None:
        """Close after what was sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
