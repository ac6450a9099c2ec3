"""Decide which bodies of requests a node takes, so that they fit into its memory.

Bodies are held in several copies on their way: the caller's, the frame or the request that
carries it on, and what the connection has not sent yet. The account counts all of them.
Large bodies may take only a part of the account, so that they never keep small ones out.
"""

from __future__ import annotations

from collections.abc import Hashable

import attrs

COPIES_PER_BODY = 3
LARGE_BODY_BYTES = 64 << 10
# What large bodies may take of the account.
LARGE_BODIES_RATIO = 0.5
# What the account may take of a process's memory, together with the process itself.
PLANNED_RATIO = 0.6
PROCESS_BYTES = 40 << 20
MIN_LIMIT_BYTES = 16 << 20


@attrs.define
class MemoryAccount:
    """The bodies that a node holds.

    Attributes:
        limit_bytes: What all bodies may take.
        held: The size in bytes of the bodies of each holder.
        small_bytes: The size of all small bodies.
        large_bytes: The size of all large bodies.
    """

    limit_bytes: int
    held: dict[Hashable, int] = attrs.field(factory=dict)
    small_bytes: int = 0
    large_bytes: int = 0

    @property
    def used_bytes(self) -> int:
        """What all bodies take, with their copies."""
        return COPIES_PER_BODY * (self.small_bytes + self.large_bytes)


def plan_limit_bytes(memory_bytes: int) -> int:
    """Return what bodies may take in a process that may take ``memory_bytes``."""
    return max(int(PLANNED_RATIO * memory_bytes) - PROCESS_BYTES, MIN_LIMIT_BYTES)


def reserve(account: MemoryAccount, holder: Hashable, size_bytes: int) -> bool:
    """Reserve room for a body, or for more of it; return whether there is room.

    Args:
        account: Changed in place. If there is no room, the holder keeps what it had.
        holder: Identifies the body.
        size_bytes: The size of the whole body, as far as it is known.
    """
    before_bytes = account.held.get(holder, 0)
    if size_bytes <= before_bytes:
        return True
    release(account, holder)
    if _has_room(account, size_bytes):
        _hold(account, holder, size_bytes)
        return True
    _hold(account, holder, before_bytes)
    return False


def release(account: MemoryAccount, holder: Hashable) -> None:
    """Release the room of a body; nothing is done if it has none."""
    size_bytes = account.held.pop(holder, 0)
    if size_bytes > LARGE_BODY_BYTES:
        account.large_bytes -= size_bytes
    else:
        account.small_bytes -= size_bytes


def _has_room(account: MemoryAccount, size_bytes: int) -> bool:
    added_bytes = COPIES_PER_BODY * size_bytes
    if account.used_bytes + added_bytes > account.limit_bytes:
        return False
    large_limit_bytes = LARGE_BODIES_RATIO * account.limit_bytes
    return (
        size_bytes <= LARGE_BODY_BYTES
        or COPIES_PER_BODY * account.large_bytes + added_bytes <= large_limit_bytes
    )


def _hold(account: MemoryAccount, holder: Hashable, size_bytes: int) -> None:
    if not size_bytes:
        return
    account.held[holder] = size_bytes
    if size_bytes > LARGE_BODY_BYTES:
        account.large_bytes += size_bytes
    else:
        account.small_bytes += size_bytes
