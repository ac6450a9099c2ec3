"""Callers' connections: their limits, and whether a caller is still there.

A request's limits are those of the configuration in force when it begins.
"""

from __future__ import annotations

import select

from agaterelay.adapters.frames import MAX_BODY_BYTES
from agaterelay.adapters.http_server import HttpRequest
from agaterelay.core.memory_account import MemoryAccount, reserve
from agaterelay.core.model import CallerLimits
from agaterelay.mesh.state import MeshState

# Without a configuration it is not known what is too long, and nothing can be served. Such
# a request is refused as one that may come again, not for its size.
UNKNOWN_LIMITS = CallerLimits(max_header_bytes=64 << 10, max_body_bytes=1 << 40)


def limits_in_force(state: MeshState) -> CallerLimits:
    """Return the limits of the active configuration."""
    return state.table.limits if state.table else UNKNOWN_LIMITS


def reserve_body(account: MemoryAccount, holder: object, size_bytes: int) -> bool:
    """Reserve room for the body of a request that may be passed on to another node.

    Returns:
        Whether there is room, and a frame can hold the body.
    """
    return size_bytes <= MAX_BODY_BYTES and reserve(account, holder, size_bytes)


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
