"""Decide which responses a node holds, and which holder has to give way.

A holder is a caller's connection that has not read its response, a frame that another
node has been allowed to send, or a result that waits until it may be sent.
"""

from __future__ import annotations

from collections.abc import Hashable

import attrs

LARGE_RESPONSE_BYTES = 64 << 10
# An upstream's longest response has to fit into any node.
MIN_LARGE_LIMIT_BYTES = 17 << 20
# A reader at 5 Mbit/s empties a third of a send buffer of 4 MiB in 2.1 s, and the kernel
# takes no more bytes until then.
MIN_SILENT_S = 3.0


@attrs.define
class HeldResponse:
    """What one holder holds.

    Attributes:
        size_bytes: The bytes that count.
        since_s: Since when the holder has made no progress, on the monotonic clock.
        closable: Whether the holder can be closed to make room.
    """

    size_bytes: int
    since_s: float
    closable: bool


@attrs.define
class HeldResponses:
    """All responses that a node holds.

    Attributes:
        limit_bytes: What all responses may take.
        large_limit_bytes: What may be taken when a large response is added.
    """

    limit_bytes: int
    large_limit_bytes: int
    held: dict[Hashable, HeldResponse] = attrs.field(factory=dict)
    total_bytes: int = 0


def hold(
    responses: HeldResponses,
    holder: Hashable,
    size_bytes: int,
    now_s: float,
    closable: bool = False,
    progressed: bool = False,
) -> None:
    """Count what a holder holds, in place of what it held before; 0 releases it.

    Args:
        responses: Changed in place.
        holder: Identifies the holder.
        size_bytes: The bytes that it holds.
        now_s: The monotonic time.
        closable: Whether the holder can be closed to make room.
        progressed: Whether it has read some of what it held before.
    """
    before = responses.held.pop(holder, None)
    if before is not None:
        responses.total_bytes -= before.size_bytes
    if not size_bytes:
        return
    since_s = now_s
    if before is not None and not progressed:
        since_s = before.since_s
    responses.held[holder] = HeldResponse(size_bytes, since_s, closable)
    responses.total_bytes += size_bytes


def held_bytes(responses: HeldResponses, holder: Hashable) -> int:
    """Return what a holder holds, 0 if it holds nothing."""
    held = responses.held.get(holder)
    return held.size_bytes if held is not None else 0


def has_room(responses: HeldResponses, size_bytes: int) -> bool:
    """Return whether there is room for a response.

    Large responses leave a part of the room to small ones.
    """
    is_large = size_bytes > LARGE_RESPONSE_BYTES
    limit = responses.large_limit_bytes if is_large else responses.limit_bytes
    return responses.total_bytes + size_bytes <= limit


def find_slowest(responses: HeldResponses, now_s: float) -> Hashable | None:
    """Return the holder that has held the most for longest without progress.

    Holders that made progress within ``MIN_SILENT_S`` are left alone.
    """
    silent = [
        (held.size_bytes * (now_s - held.since_s), holder)
        for holder, held in responses.held.items()
        if held.closable and now_s - held.since_s >= MIN_SILENT_S
    ]
    return max(silent, key=lambda item: item[0])[1] if silent else None
