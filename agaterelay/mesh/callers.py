"""Callers' connections: their limits, and whether a caller is still there.

A request's limits are those of the configuration in force when it begins.
"""

from __future__ import annotations

import select

from agaterelay.adapters.http_messages import Holder, HttpRequest, RequestRoom
from agaterelay.core.memory_account import (
    find_stalled,
    finish_receiving,
    note_received,
    release,
    reserve,
)
from agaterelay.core.model import CallerLimits
from agaterelay.mesh.response_room import ResponseRoom
from agaterelay.mesh.state import MeshState

# Without a configuration it is not known what is too long, and nothing can be served. Such
# a request is refused as one that may come again, not for its size.
UNKNOWN_LIMITS = CallerLimits(max_header_bytes=64 << 10, max_body_bytes=1 << 40)


def limits_in_force(state: MeshState) -> CallerLimits:
    """Return the limits of the active configuration."""
    return state.table.limits if state.table else UNKNOWN_LIMITS


def make_request_room(room: ResponseRoom) -> RequestRoom:
    """Return the functions by which a server reserves room in the node's account."""
    account, clock = room.account, room.context.clock

    def note_holder(holder: Holder, received_bytes: int) -> None:
        note_received(account, holder, received_bytes, clock.monotonic_s())

    return RequestRoom(
        reserve=lambda holder, size_bytes: reserve_for_caller(room, holder, size_bytes),
        release=lambda holder: release(account, holder),
        note_received=note_holder,
        finish_receiving=lambda holder: finish_receiving(account, holder),
    )


def reserve_for_caller(room: ResponseRoom, holder: Holder, size_bytes: int) -> bool:
    """Reserve room for a request that may be passed on to another node.

    Requests that make no progress give way to it.

    Returns:
        Whether there is room.
    """
    account = room.account
    while not reserve(account, holder, size_bytes):
        now_s = room.context.clock.monotonic_s()
        stalled = find_stalled(account, size_bytes, now_s)
        if stalled is None or stalled is holder:
            return False
        finish_receiving(account, stalled)
        if stalled.give_way():
            room.closed["stalled"] += 1
            release(account, stalled)
        else:
            note_received(account, stalled, 0, now_s)
    return True


def has_disconnected(request: HttpRequest) -> bool:
    """Return whether the caller has closed its connection.

    The socket is polled, since the close may still be in its buffer behind the request.
    The event loop reports it only after the request has been handled for one turn, which
    is too late for a request that stayed unread on a busy host until its caller gave up.
    """
    transport = request.connection.transport
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
