"""Measure how long the store takes to answer, which bounds how old its news is.

A call that waits for changes says nothing about the answer time if changes ended it,
since it is unknown when they were written. Any other call does.
"""

from __future__ import annotations

import attrs

# A healthy store answers within some milliseconds.
SLOW_ANSWER_S = 0.2


@attrs.define
class AnswerTime:
    """The store's answer time as last measured, in seconds, and when that was."""

    answer_s: float = 0.0
    measured_s: float = float("-inf")

    @property
    def is_slow(self) -> bool:
        """Whether the answer time matters beside the other delays of a change."""
        return self.answer_s >= SLOW_ANSWER_S


def record_answer(
    answer_time: AnswerTime, began_s: float, wait_s: float, now_s: float
) -> bool:
    """Record a call whose answer no change has ended early.

    Args:
        answer_time: Changed in place.
        began_s: When the call was sent.
        wait_s: How long the store was asked to wait for changes.
        now_s: The current time in seconds.

    Returns:
        Whether the store has become slow, or is no longer slow.
    """
    was_slow = answer_time.is_slow
    answer_time.answer_s = max(now_s - began_s - wait_s, 0.0)
    answer_time.measured_s = now_s
    return answer_time.is_slow != was_slow
