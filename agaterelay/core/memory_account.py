"""Decide which bodies of requests a node takes, so that they fit into its memory.

Small bodies are held in several copies on their way: the caller's, the frame or the request
that carries it on, and what the connection has not sent yet. Large ones are held once, and
are sent in parts. The account counts all of it. Large bodies may take only a part of the
account, so that they never keep small ones out.
A request that is still being received and makes no progress gives way to others.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

import attrs

from agaterelay.core.held_responses import (
    MIN_LARGE_LIMIT_BYTES,
    HeldResponses,
    hold,
)

COPIES_PER_SMALL_BODY = 3
LARGE_BODY_BYTES = 64 << 10
# The parts of a large body that are on their way.
LARGE_BODY_PARTS_BYTES = 128 << 10
# What large bodies may take of the account together, and what a single one may take while
# responses take little, so that a node of 200 MB takes one of 64 MiB.
LARGE_BODIES_RATIO = 0.5
SINGLE_LARGE_BODY_RATIO = 0.85
FEW_RESPONSES_RATIO = 0.05
# A request being received makes progress if this much more of it arrives. Without progress
# for the second time it gives way where there is no room.
PROGRESS_BYTES = 16 << 10
STALL_S = 0.25
# What responses may take of the account, and what large ones may take of it.
RESPONSES_RATIO = 0.5
LARGE_RESPONSES_RATIO = 0.35
# What the account may take of a process's memory, together with the process itself.
PLANNED_RATIO = 0.6
PROCESS_BYTES = 40 << 20
MIN_LIMIT_BYTES = 16 << 20
# What partly received responses of the upstream may take beside the account.
UPSTREAM_RATIO = 0.25
MIN_UPSTREAM_BYTES = 17 << 20
MAX_UPSTREAM_BYTES = 32 << 20
# What received input may take that waits for its turn, in this process and in the kernel.
UNREAD_RATIO = 0.1
MIN_UNREAD_CONNECTIONS = 16
# The part of the descriptors that is left to links, the upstream, the store and the
# connections that one turn of the event loop accepts beyond the limit.
OTHER_DESCRIPTORS_RATIO = 1 / 3
# What connections to each address of the platform may take of that part.
PLATFORM_DESCRIPTORS_RATIO = 1 / 16


@attrs.define
class Receiving:
    """A request that is still being received.

    Attributes:
        progressed_s: When it last made progress, on the monotonic clock.
        progressed_bytes: What had been received of it then.
    """

    progressed_s: float
    progressed_bytes: int


@attrs.define
class MemoryAccount:
    """The bodies that a node holds.

    Attributes:
        limit_bytes: What all bodies may take.
        held: The size in bytes of the bodies of each holder.
        small_bytes: The size of all small bodies.
        large_bytes: The size of all large bodies.
        large_count: The number of large bodies.
        receiving_small: The holders of small bodies that are still being received, the
            one without progress for longest first.
        receiving_large: Those of large bodies.
        responses: The responses that the node holds.
    """

    limit_bytes: int
    held: dict[Hashable, int] = attrs.field(factory=dict)
    small_bytes: int = 0
    large_bytes: int = 0
    large_count: int = 0
    receiving_small: OrderedDict[Hashable, Receiving] = attrs.field(factory=OrderedDict)
    receiving_large: OrderedDict[Hashable, Receiving] = attrs.field(factory=OrderedDict)
    responses: HeldResponses = attrs.field(
        default=attrs.Factory(
            lambda self: plan_responses(self.limit_bytes), takes_self=True
        )
    )

    @property
    def used_bytes(self) -> int:
        """What the bodies of requests take, with their copies."""
        return COPIES_PER_SMALL_BODY * self.small_bytes + self.large_used_bytes

    @property
    def large_used_bytes(self) -> int:
        """What the large bodies take, with their parts that are being sent."""
        return self.large_bytes + LARGE_BODY_PARTS_BYTES * self.large_count


def plan_limit_bytes(memory_bytes: int) -> int:
    """Return what bodies may take in a process that may take ``memory_bytes``."""
    return max(int(PLANNED_RATIO * memory_bytes) - PROCESS_BYTES, MIN_LIMIT_BYTES)


def plan_upstream_bytes(limit_bytes: int) -> int:
    """Return what partly received responses of the upstream may take."""
    planned_bytes = int(UPSTREAM_RATIO * limit_bytes)
    return min(max(planned_bytes, MIN_UPSTREAM_BYTES), MAX_UPSTREAM_BYTES)


def plan_connections(max_descriptors: int) -> int:
    """Return how many connections of callers may be open."""
    return max(int(max_descriptors * (1 - OTHER_DESCRIPTORS_RATIO)), 1)


def plan_platform_connections(max_descriptors: int) -> int:
    """Return how many connections to one of the platform's addresses may be open."""
    return max(int(max_descriptors * PLATFORM_DESCRIPTORS_RATIO), 1)


def plan_unread_connections(memory_bytes: int, unread_bytes: int) -> int:
    """Return how many connections may have input that waits for its turn.

    Args:
        memory_bytes: What the process may take.
        unread_bytes: What one connection may have received.
    """
    count = int(UNREAD_RATIO * memory_bytes / unread_bytes)
    return max(count, MIN_UNREAD_CONNECTIONS)


def plan_responses(limit_bytes: int) -> HeldResponses:
    """Return the account of responses as a part of an account of ``limit_bytes``."""
    large_limit_bytes = int(LARGE_RESPONSES_RATIO * limit_bytes)
    large_limit_bytes = max(large_limit_bytes, MIN_LARGE_LIMIT_BYTES)
    return HeldResponses(
        max(int(RESPONSES_RATIO * limit_bytes), large_limit_bytes), large_limit_bytes
    )


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
    _release_body(account, holder)
    if _has_room(account, size_bytes):
        _hold(account, holder, size_bytes)
        return True
    _hold(account, holder, before_bytes)
    return False


def release(account: MemoryAccount, holder: Hashable) -> None:
    """Release the room of a body and of the response to it, if it has any."""
    hold(account.responses, holder, 0, 0.0)
    finish_receiving(account, holder)
    _release_body(account, holder)


def note_received(
    account: MemoryAccount, holder: Hashable, received_bytes: int, now_s: float
) -> None:
    """Record how much of a holder's request has been received.

    Args:
        account: Changed in place.
        holder: Identifies the request.
        received_bytes: What has been received of it.
        now_s: The monotonic time.
    """
    is_large = account.held.get(holder, 0) > LARGE_BODY_BYTES
    same, other = account.receiving_small, account.receiving_large
    if is_large:
        same, other = other, same
    before = same.get(holder)
    if before is not None and (
        received_bytes - before.progressed_bytes < PROGRESS_BYTES
    ):
        return
    other.pop(holder, None)
    same[holder] = Receiving(now_s, received_bytes)
    same.move_to_end(holder)


def finish_receiving(account: MemoryAccount, holder: Hashable) -> None:
    """Record that a request is complete, so that it gives way no more."""
    account.receiving_small.pop(holder, None)
    account.receiving_large.pop(holder, None)


def find_stalled(
    account: MemoryAccount, size_bytes: int, now_s: float
) -> Hashable | None:
    """Return the holder that gives way to a body, None if none has to.

    Args:
        account: The account.
        size_bytes: The size of the body; only large bodies give way to a large one.
        now_s: The monotonic time.
    """
    candidates = [account.receiving_large]
    if size_bytes <= LARGE_BODY_BYTES:
        candidates.append(account.receiving_small)
    first = [next(iter(receiving.items())) for receiving in candidates if receiving]
    stalled = [
        (item.progressed_s, holder)
        for holder, item in first
        if now_s - item.progressed_s >= STALL_S
    ]
    return min(stalled, key=lambda item: item[0])[1] if stalled else None


def _release_body(account: MemoryAccount, holder: Hashable) -> None:
    size_bytes = account.held.pop(holder, 0)
    if size_bytes > LARGE_BODY_BYTES:
        account.large_bytes -= size_bytes
        account.large_count -= 1
    else:
        account.small_bytes -= size_bytes


def _has_room(account: MemoryAccount, size_bytes: int) -> bool:
    is_large = size_bytes > LARGE_BODY_BYTES
    added_bytes = COPIES_PER_SMALL_BODY * size_bytes
    if is_large:
        added_bytes = size_bytes + LARGE_BODY_PARTS_BYTES
    response_bytes = account.responses.total_bytes
    if account.used_bytes + added_bytes + response_bytes > account.limit_bytes:
        return False
    if not is_large:
        return True
    few_responses = response_bytes <= FEW_RESPONSES_RATIO * account.limit_bytes
    is_single = not account.large_count and few_responses
    ratio = SINGLE_LARGE_BODY_RATIO if is_single else LARGE_BODIES_RATIO
    # Responses take their room from that of large bodies, so small ones keep theirs.
    large_limit_bytes = ratio * account.limit_bytes - response_bytes
    return account.large_used_bytes + added_bytes <= large_limit_bytes


def _hold(account: MemoryAccount, holder: Hashable, size_bytes: int) -> None:
    if not size_bytes:
        return
    account.held[holder] = size_bytes
    if size_bytes > LARGE_BODY_BYTES:
        account.large_bytes += size_bytes
        account.large_count += 1
    else:
        account.small_bytes += size_bytes
