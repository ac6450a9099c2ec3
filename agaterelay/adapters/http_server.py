"""HTTP/1.1 server of the deployed node, with limits on the size and time of requests.

The parser is that of httptools. aiohttp's server is not used here: importing it takes
longer than all other imports of a node, and every host pays for that at each start.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections import OrderedDict
from collections.abc import Callable

from agaterelay.adapters.http_messages import (
    UNLIMITED_ROOM,
    Handler,
    Refusal,
    RequestRoom,
)
from agaterelay.adapters.server_connection import MAX_READ_BYTES, ServerConnection
from agaterelay.core.input_share import InputShares, run_turn, stop_waiting
from agaterelay.core.model import CallerLimits

BACKLOG = 1024
# The event loop accepts this many connections before it handles the first of them, so
# that the limit of connections is exceeded by little.
ACCEPTS_PER_TURN = 16
# What the kernel holds for a connection that is not read.
RECEIVE_BUFFER_BYTES = 64 << 10
STOP_POLL_S = 0.02


class HttpServer:
    """The connections of one listening address.

    Attributes:
        connections: The open connections.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], CallerLimits] = CallerLimits,
        on_refused: Callable[[Refusal], None] = lambda refusal: None,
        room: RequestRoom = UNLIMITED_ROOM,
        hold_response: Callable[[ServerConnection, object, int], bool] = (
            lambda connection, holder, size_bytes: True
        ),
        max_connections: int | None = None,
        on_crowded: Callable[[str], None] = lambda cause: None,
        max_unread_connections: int | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            handler: Returns the response to a request. It is cancelled when the caller
                disconnects.
            get_limits: Returns the limits of a request that begins now.
            on_refused: Called when a request is refused before it is complete.
            room: Reserves memory for requests.
            hold_response: Takes room for a response, given the connection, what
                identifies the request, and its size in bytes; returns whether there is
                room. The connection is closed if there is none. It is called before a
                long response is written, and after a short one that the kernel did not
                take at once.
            max_connections: How many connections may be open, None for any number.
            on_crowded: Called with the cause when a connection is closed because too
                many are open.
            max_unread_connections: How many connections may have input that waits for
                its turn, None for any number.
        """
        self.handler = handler
        self.on_refused = on_refused
        self.room = room
        self.hold_response = hold_response
        self.max_connections = max_connections
        self.on_crowded = on_crowded
        self.connections: set[ServerConnection] = set()
        # Those whose further bytes are discarded, the first one for longest.
        self._lingering: OrderedDict[ServerConnection, None] = OrderedDict()
        self.get_limits = get_limits
        self.shares = InputShares(max_unread_connections)
        # All connections are read into it, as each read is handled before the next one.
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start to accept connections.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
            backlog=ACCEPTS_PER_TURN,
        )
        # The kernel's queue is longer than what is accepted in one turn.
        for listening in self._server.sockets:
            with socket.socket(fileno=os.dup(listening.fileno())) as same:
                # Accepted connections inherit it.
                same.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                same.listen(BACKLOG)

    def schedule_turn(self) -> None:
        """Handle waiting input in the next turn of the event loop."""
        asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        if run_turn(self.shares, asyncio.get_running_loop().time()):
            self.schedule_turn()

    def limit_connections(self, newest: ServerConnection) -> None:
        """Close a connection if too many are open.

        The one that has sent nothing for longest is closed first, then the one that is
        idle for longest, then the one with the most unread bytes, then the one that has
        been sending a head for longest. Where all others have a request in progress, the
        newest one is closed.
        """
        if self.max_connections is None or (
            len(self.connections) <= self.max_connections
        ):
            return
        others = [item for item in self.connections if item is not newest]
        idle = [item for item in others if item.idle]
        silent = [item for item in idle if not item.has_sent]
        unread = [item for item in others if item.unsent_bytes]
        beginning = [item for item in others if item.in_head]
        if silent:
            cause, closed = "silent", min(silent, key=lambda item: item.idle_since_s)
        elif idle:
            cause, closed = "idle", min(idle, key=lambda item: item.idle_since_s)
        elif unread:
            cause, closed = "unread", max(unread, key=lambda item: item.unsent_bytes)
        elif beginning:
            cause = "in_head"
            closed = min(beginning, key=lambda item: item.head_began_s)
        else:
            cause, closed = "newest", newest
        self.connections.discard(closed)
        closed.abort()
        self.on_crowded(cause)

    def add_lingering(self, connection: ServerConnection) -> None:
        """Let a connection's further bytes be discarded; close the oldest of too many."""
        self._lingering[connection] = None
        most = self.shares.max_waiting
        if most is not None and len(self._lingering) > most:
            oldest, _ = self._lingering.popitem(last=False)
            oldest.abort()

    def forget(self, connection: ServerConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)
        self._lingering.pop(connection, None)
        stop_waiting(self.shares, connection.share)

    @property
    def unsent_bytes(self) -> int:
        """The size of the answers that callers have not read yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    async def stop(self, timeout_s: float) -> None:
        """Accept no connection, and close those that are open.

        Args:
            timeout_s: How long requests in progress, and callers that read their
                answers, are waited for, in seconds.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.shut_down()
        tasks = [item.task for item in self.connections if item.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        while self.unsent_bytes and loop.time() < end_s:
            await asyncio.sleep(STOP_POLL_S)
        self.abort()

    def abort(self) -> None:
        """Accept no connection, and close all at once; handlers are cancelled."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.abort()
