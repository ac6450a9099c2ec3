"""Room for the responses that a node holds, and the connections closed to make some."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Hashable

import attrs

from agaterelay.adapters.frames import FrameConnection
from agaterelay.adapters.server_connection import ServerConnection
from agaterelay.core.held_responses import (
    HeldResponses,
    find_slowest,
    has_room,
    held_bytes,
    hold,
)
from agaterelay.core.memory_account import MemoryAccount
from agaterelay.events import EventKind
from agaterelay.mesh.state import NodeContext

# How often the progress of readers is looked at while responses are held.
CHECK_PERIOD_S = 0.1
# The next large result is sent on a link when the transport has less than this unsent, so
# that other frames wait behind one large frame at most.
MAX_UNSENT_BYTES = 128 << 10


@attrs.frozen
class WaitingOffer:
    """A result that another node may send once there is room.

    Attributes:
        holder: Identifies the frame.
        is_wanted: Returns whether the result is still of use.
        grant: Called when the room is reserved.
    """

    holder: Hashable
    size_bytes: int
    is_wanted: Callable[[], bool]
    grant: Callable[[], None]


@attrs.define(eq=False)
class ResponseRoom:
    """The responses that a node holds, and how their holders are closed.

    Attributes:
        sizes: The size of each caller's response when it was written, and what was
            unsent of it when last looked at.
        closers: Ends a holder that is not a caller's connection.
        waiting: The offers of other nodes in the order received.
        closed: How many holders were closed, by cause.
    """

    context: NodeContext
    account: MemoryAccount
    sizes: dict[ServerConnection, tuple[int, int]] = attrs.field(factory=dict)
    closers: dict[Hashable, Callable[[], None]] = attrs.field(factory=dict)
    waiting: deque[WaitingOffer] = attrs.field(factory=deque)
    closed: Counter[str] = attrs.field(factory=Counter)
    timer: asyncio.TimerHandle | None = None

    @property
    def responses(self) -> HeldResponses:
        """The account of responses."""
        return self.account.responses


def hold_response(
    room: ResponseRoom, connection: ServerConnection, holder: object, size_bytes: int
) -> bool:
    """Let a caller's connection hold a response that is about to be written.

    Args:
        room: The room.
        connection: The caller's connection.
        holder: Identifies the request; the room that the response has taken under it
            until now is given to the connection.
        size_bytes: The size of the response.

    Returns:
        Whether there is room for it.
    """
    now_s = room.context.clock.monotonic_s()
    hold(room.responses, holder, 0, now_s)
    # The rest of an earlier response on the connection goes before this one.
    size_bytes += held_bytes(room.responses, connection)
    hold(room.responses, connection, 0, now_s)
    if not _make_room(room, size_bytes):
        room.closed["no_room"] += 1
        room.context.record(
            EventKind.RESPONSE_WITHOUT_ROOM,
            size_bytes=size_bytes,
            held_bytes=room.responses.total_bytes,
        )
        return False
    room.sizes[connection] = (size_bytes, size_bytes)
    hold(room.responses, connection, size_bytes, now_s, closable=True)
    _set_timer(room)
    return True


def update_reader(room: ResponseRoom, connection: ServerConnection) -> None:
    """Count what a caller has not read yet.

    The transport's buffer keeps up to twice the memory of its unsent bytes.
    """
    written_bytes, unsent_before_bytes = room.sizes.get(connection, (0, 0))
    unsent_bytes = min(connection.unsent_bytes, written_bytes)
    if unsent_bytes:
        room.sizes[connection] = (written_bytes, unsent_bytes)
    else:
        room.sizes.pop(connection, None)
    hold(
        room.responses,
        connection,
        min(2 * unsent_bytes, written_bytes),
        room.context.clock.monotonic_s(),
        closable=True,
        progressed=unsent_bytes < unsent_before_bytes,
    )


def hold_result(
    room: ResponseRoom, holder: Hashable, size_bytes: int, close: Callable[[], None]
) -> bool:
    """Let a result wait until the calling node takes it; return whether there is room.

    Args:
        room: The room.
        holder: Identifies the result.
        size_bytes: The size of its body.
        close: Called when the result has to give way.
    """
    if not _make_room(room, size_bytes):
        room.closed["no_room"] += 1
        return False
    room.closers[holder] = close
    now_s = room.context.clock.monotonic_s()
    hold(room.responses, holder, size_bytes, now_s, closable=True)
    _set_timer(room)
    return True


def keep_result(room: ResponseRoom, holder: Hashable) -> None:
    """Let a result that is about to be sent give way no more."""
    room.closers.pop(holder, None)
    size_bytes = held_bytes(room.responses, holder)
    hold(room.responses, holder, size_bytes, room.context.clock.monotonic_s())


def release_result(room: ResponseRoom, holder: Hashable) -> None:
    """Release what a result or a frame holds."""
    room.closers.pop(holder, None)
    hold(room.responses, holder, 0, room.context.clock.monotonic_s())


def release_when_sent(
    room: ResponseRoom, connection: FrameConnection, holder: Hashable
) -> None:
    """Release a result as soon as its link has sent it."""
    if not connection.open or connection.unsent_bytes <= MAX_UNSENT_BYTES:
        release_result(room, holder)
        return
    asyncio.get_running_loop().call_later(
        CHECK_PERIOD_S, release_when_sent, room, connection, holder
    )


def move_result(room: ResponseRoom, holder: Hashable, to: object) -> None:
    """Let a request hold the response that was received for it."""
    now_s = room.context.clock.monotonic_s()
    size_bytes = held_bytes(room.responses, holder)
    hold(room.responses, holder, 0, now_s)
    size_bytes += held_bytes(room.responses, to)
    hold(room.responses, to, size_bytes, now_s)


def await_room(room: ResponseRoom, offer: WaitingOffer) -> None:
    """Grant an offer as soon as there is room and those before it are granted."""
    room.waiting.append(offer)
    _grant_waiting(room)
    _set_timer(room)


def _grant_waiting(room: ResponseRoom) -> None:
    while room.waiting:
        offer = room.waiting[0]
        if offer.is_wanted():
            if not _make_room(room, offer.size_bytes):
                return
            now_s = room.context.clock.monotonic_s()
            hold(room.responses, offer.holder, offer.size_bytes, now_s)
        room.waiting.popleft()
        if offer.is_wanted():
            offer.grant()


def _make_room(room: ResponseRoom, size_bytes: int) -> bool:
    """Close the slowest holders until there is room; return whether there is."""
    if not has_room(room.responses, size_bytes):
        _update_readers(room)
    while not has_room(room.responses, size_bytes):
        now_s = room.context.clock.monotonic_s()
        holder = find_slowest(room.responses, now_s)
        if holder is None:
            return False
        held = room.responses.held[holder]
        is_reader = isinstance(holder, ServerConnection)
        cause = "unread" if is_reader else "waiting"
        room.closed[cause] += 1
        room.context.record(
            EventKind.SLOW_READER_CLOSED,
            cause=cause,
            held_bytes=held.size_bytes,
            silent_ms=round((now_s - held.since_s) * 1000),
        )
        hold(room.responses, holder, 0, now_s)
        if is_reader:
            room.sizes.pop(holder, None)
            holder.abort()
        else:
            room.closers.pop(holder)()
    return True


def _update_readers(room: ResponseRoom) -> None:
    for connection in tuple(room.sizes):
        update_reader(room, connection)


def _set_timer(room: ResponseRoom) -> None:
    """Look at the readers again soon while responses are held or wait."""
    if room.timer is None and (room.sizes or room.waiting):
        loop = asyncio.get_running_loop()
        room.timer = loop.call_later(CHECK_PERIOD_S, _check, room)


def _check(room: ResponseRoom) -> None:
    room.timer = None
    try:
        _update_readers(room)
        _grant_waiting(room)
    finally:
        _set_timer(room)


def record_crowded(room: ResponseRoom, cause: str) -> None:
    """Record that a connection was closed because too many are open."""
    room.closed[f"crowded_{cause}"] += 1
    room.context.record(EventKind.CONNECTION_CLOSED, cause=cause)
