"""Order what an upstream says of itself, so that nothing late undoes what is newer.

An upstream speaks of itself every heartbeat. Its words are ordered by its start and by
a sequence within it; a word that was held up on the way, or is of an earlier start,
changes nothing. A start that has said that it leaves never takes new calls again.
"""

from __future__ import annotations

from enum import Enum

import attrs


@attrs.frozen
class Announcement:
    """What an upstream says of itself.

    ``born_ms`` is its start in milliseconds since 1970, ``sequence`` counts its words
    since then, and ``warm_in_s`` is how much longer it is slow after the start.
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
    warm_in_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """What decides between two words of the same upstream."""
        return (self.born_ms, self.sequence)


class UpstreamState(Enum):
    """What the node may do with its upstream."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@attrs.define
class UpstreamLine:
    """All that a node holds of its own upstream.

    ``left`` are the newest starts that said that they leave, oldest first. ``doubted``
    is set after a restart about which nobody could say what this node had confirmed
    before: a first word may then be a late one, so a second one has to follow it.
    """

    current: Announcement | None = None
    state: UpstreamState = UpstreamState.UNKNOWN
    heard_s: float = 0.0
    left: dict[tuple[str, int], None] = attrs.field(factory=dict)
    doubted: bool = False


MAX_LEFT = 64


def accept(line: UpstreamLine, word: Announcement, now_s: float) -> bool:
    """Take in a word of the upstream; return whether it changed what may be done.

    Args:
        line: What is held of the upstream; changed in place.
        word: The word.
        now_s: The present time on the steady clock.
    """
    start = (word.instance, word.born_ms)
    current = line.current
    if start in line.left and not word.draining:
        return False
    if current is not None and _is_late(current, word):
        return False
    line.heard_s = now_s
    line.current = word
    if word.draining:
        remember_left(line, start)
        return _change_state(line, UpstreamState.DRAINING) or current != word
    if line.doubted and current is None:
        return False
    line.doubted = False
    same = current is not None and (current.instance, current.born_ms) == start
    return _change_state(line, UpstreamState.READY) or not same


def confirm(line: UpstreamLine) -> bool:
    """Take in that the upstream itself answered that it is well and not leaving.

    Returns:
        Whether that changed what may be done.
    """
    if not line.doubted or line.current is None or line.current.draining:
        return False
    line.doubted = False
    return _change_state(line, UpstreamState.READY)


def withdraw(line: UpstreamLine, instance: str, born_ms: int | None) -> bool:
    """Take in that an upstream is about to end; return whether that is news.

    A withdrawal of another instance, or of an earlier start, only closes that one.
    """
    current = line.current
    if current is None or current.instance != instance:
        if born_ms is not None:
            remember_left(line, (instance, born_ms))
        return False
    if born_ms is not None and born_ms < current.born_ms:
        remember_left(line, (instance, born_ms))
        return False
    remember_left(line, (instance, current.born_ms))
    return _change_state(line, UpstreamState.GONE)


def remember_left(line: UpstreamLine, start: tuple[str, int]) -> None:
    """Note that a start takes no new calls any more."""
    line.left.pop(start, None)
    line.left[start] = None
    while len(line.left) > MAX_LEFT:
        del line.left[next(iter(line.left))]


def _is_late(current: Announcement, word: Announcement) -> bool:
    if current.instance == word.instance:
        return word.order <= current.order
    # Another instance at the same address: the later start is the present one.
    return word.born_ms < current.born_ms


def _change_state(line: UpstreamLine, state: UpstreamState) -> bool:
    if line.state is state:
        return False
    line.state = state
    return True
