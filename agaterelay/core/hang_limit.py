"""Tell calls that an upstream never answers from slow ones, and send fewer after hangs.

A call hangs if it has taken many times the service time learned for its route while calls
that were sent later have been answered. An upstream that is slow or frozen answers none of
them.
"""

from __future__ import annotations

import math

import attrs

HANG_FACTOR = 8.0
# Shorter pauses of a process, of its host or of its network are common.
MIN_HANG_S = 0.5
# Answered calls of a route from which its service time is learned.
MIN_SAMPLES = 20
# Calls sent later that must have been answered.
MIN_ANSWERED_LATER = 3
# A single hang may be the upstream's fault in one request only.
REPEATED_HANGS = 2
REPEAT_WINDOW_S = 5.0
RECOVERY_STEP_S = 1.0


@attrs.define
class SentCalls:
    """The calls in progress by the order in which they were sent.

    ``answered_later`` counts, for each, the answered calls that were sent after it.
    """

    sent_count: int = 0
    answered_later: dict[int, int] = attrs.field(factory=dict)


@attrs.define
class HangLimit:
    """The hangs of an upstream; times are on the monotonic clock.

    ``lowered`` is by how many calls the limit was lowered at ``hung_s``, the time of the
    last hang. ``repeats`` counts the hangs since which none was rare.
    """

    lowered: int = 0
    hung_s: float = -math.inf
    repeats: int = 0


def record_sent(calls: SentCalls) -> int:
    """Return the number of a call that is sent now."""
    calls.sent_count += 1
    calls.answered_later[calls.sent_count] = 0
    return calls.sent_count


def record_answered(calls: SentCalls, number: int) -> None:
    """Count an answered call for all that were sent before it."""
    for other in calls.answered_later:
        if other < number:
            calls.answered_later[other] += 1


def hang_time_s(estimated_time_s: float, samples: int) -> float:
    """Return after how long a call may be considered hung, infinity if that is unknown.

    Args:
        estimated_time_s: The service time that most calls of the route stay below.
        samples: The number of calls from which it was learned.
    """
    if samples < MIN_SAMPLES:
        return math.inf
    return max(HANG_FACTOR * estimated_time_s, MIN_HANG_S)


def is_hung(elapsed_s: float, limit_s: float, answered_later: int) -> bool:
    """Return whether a call without any part of an answer hangs."""
    return elapsed_s >= limit_s and answered_later >= MIN_ANSWERED_LATER


def lowered_by(limit: HangLimit, now_s: float) -> int:
    """Return by how many calls the limit is lowered at this time."""
    if not limit.lowered:
        return 0
    return max(limit.lowered - int((now_s - limit.hung_s) / RECOVERY_STEP_S), 0)


def record_hang(limit: HangLimit, slots: int, now_s: float) -> bool:
    """Record a call that hung; return whether the limit was lowered for it."""
    lowered = lowered_by(limit, now_s)
    limit.repeats = limit.repeats + 1 if now_s - limit.hung_s < REPEAT_WINDOW_S else 1
    is_lowered = limit.repeats >= REPEATED_HANGS and lowered < slots - 1
    limit.lowered = lowered + is_lowered
    limit.hung_s = now_s
    return is_lowered
