"""Order the announcements of an upstream, so that a delayed one has no effect.

An upstream announces itself with every heartbeat. Announcements are ordered by the start
of the upstream and by a sequence number within it; one that was delayed, or is of an
earlier start, changes nothing. A start that has announced that it leaves never gets new
calls again.
"""

from __future__ import annotations

from enum import Enum

import attrs


@attrs.frozen
class Announcement:
    """What an upstream reports about itself.

    ``born_ms`` is its start in milliseconds since 1970, ``sequence`` counts its
    announcements since then, and ``warm_up_s`` is the remaining time in which it is still
    slow after the start.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    version: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    warm_up_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """The sort key for two announcements of the same upstream."""
        return (self.born_ms, self.sequence)


class UpstreamState(Enum):
    """Whether the node may send calls to its upstream."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@attrs.define
class UpstreamRecord:
    """The state that a node keeps on its own upstream.

    ``departed`` are the most recent starts that announced that they leave, oldest first.
    ``unconfirmed`` is set after a restart, when it is not known what this node had
    confirmed before. Announcements may then be delayed ones of a start that has left, also
    several of them, so that either the upstream's own answer confirms them, or they have to
    go on for ``CONFIRMING_S``. ``confirming_since_s`` is when the first one of the current
    start came.
    """

    current: Announcement | None = None
    state: UpstreamState = UpstreamState.UNKNOWN
    last_received_s: float = 0.0
    departed: dict[tuple[str, int], None] = attrs.field(factory=dict)
    unconfirmed: bool = False
    confirming_since_s: float = 0.0


MAX_DEPARTED_COUNT = 64
# Longer than announcements are delayed on their way.
CONFIRMING_S = 6.0


def apply_announcement(
    record: UpstreamRecord, announcement: Announcement, now_s: float
) -> bool:
    """Apply an announcement; return whether it changed the upstream's state.

    Args:
        record: The record of the upstream; changed in place.
        announcement: The announcement.
        now_s: The current time on the monotonic clock.
    """
    start = (announcement.instance, announcement.born_ms)
    current = record.current
    if start in record.departed and not announcement.draining:
        return False
    if current is not None and _is_stale(current, announcement):
        return False
    record.last_received_s = now_s
    record.current = announcement
    if announcement.draining:
        record_departed(record, start)
        return _change_state(record, UpstreamState.DRAINING) or current != announcement
    same = current is not None and (current.instance, current.born_ms) == start
    if record.unconfirmed:
        if not same:
            record.confirming_since_s = now_s
        if now_s - record.confirming_since_s < CONFIRMING_S:
            return False
    record.unconfirmed = False
    reannounced = current is not None and current.slots != announcement.slots
    return _change_state(record, UpstreamState.READY) or not same or reannounced


def apply_confirmation(record: UpstreamRecord) -> bool:
    """Apply the upstream's own answer that it is healthy and not leaving.

    Returns:
        Whether that changed the upstream's state.
    """
    if not record.unconfirmed or record.current is None or record.current.draining:
        return False
    record.unconfirmed = False
    return _change_state(record, UpstreamState.READY)


def apply_withdrawal(
    record: UpstreamRecord, instance: str, born_ms: int | None
) -> bool:
    """Apply the withdrawal of an upstream; return whether that changed its state.

    A withdrawal of another instance, or of an earlier start, only records that start as
    departed.
    """
    current = record.current
    if current is None or current.instance != instance:
        if born_ms is not None:
            record_departed(record, (instance, born_ms))
        return False
    if born_ms is not None and born_ms < current.born_ms:
        record_departed(record, (instance, born_ms))
        return False
    record_departed(record, (instance, current.born_ms))
    return _change_state(record, UpstreamState.GONE)


def apply_leaving_answer(record: UpstreamRecord, start: tuple[str, int]) -> bool:
    """Apply an upstream's statement in an answer that it leaves.

    Args:
        record: The record of the upstream; changed in place.
        start: The instance and the start to which the answered call was sent.

    Returns:
        Whether that changed the state of the upstream.
    """
    record_departed(record, start)
    current = record.current
    if current is None or (current.instance, current.born_ms) != start:
        return False
    if record.state is UpstreamState.GONE:
        return False
    return _change_state(record, UpstreamState.DRAINING)


def record_departed(record: UpstreamRecord, start: tuple[str, int]) -> None:
    """Record that a start gets no new calls any more."""
    record.departed.pop(start, None)
    record.departed[start] = None
    while len(record.departed) > MAX_DEPARTED_COUNT:
        del record.departed[next(iter(record.departed))]


def _is_stale(current: Announcement, announcement: Announcement) -> bool:
    if current.instance == announcement.instance:
        return announcement.order <= current.order
    # Of two instances at the same address, the one that started later is current.
    return announcement.born_ms < current.born_ms


def _change_state(record: UpstreamRecord, state: UpstreamState) -> bool:
    if record.state is state:
        return False
    record.state = state
    return True
