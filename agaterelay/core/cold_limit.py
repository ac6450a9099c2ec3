"""Limit the calls per second to an upstream while it is cold, as a token bucket.

An upstream is cold for some time after its start, and may become cold again at any
moment. Its announcements and its health check say how long that lasts. After it could not
be reached, it is assumed to be cold until one of these says otherwise. As with the rate
limit (``rate_limit.py``), one bucket at its inbound proxy bounds the sum over all hosts.
"""

from __future__ import annotations

import attrs

from agaterelay.core.rate_limit import BURST_S, MIN_RATE_PER_S, TOKEN_EPSILON

# The part of the slack that the bucket may hold as a burst. The rest covers calls whose
# time in transit varies, so that they arrive closer together than they were sent.
BURST_SLACK_RATIO = 0.25


@attrs.define
class ColdState:
    """Whether an upstream is cold, and what it accepts; times are on the monotonic clock.

    Attributes:
        announced_until_s: Until when it is cold by its newest announcement.
        probed_until_s: Until when it is cold by its newest health check.
        is_assumed: Whether it is taken to be cold since it could not be reached.
        assumed_s: When it was last found that it could not be reached.
        rate_per_s: The calls per second that it accepts while cold, None for any number.
        burst: The calls that the bucket holds.
        tokens: The calls that it accepts at once, as of ``updated_s``.
        period: Counts the times in which the limit applied. A call that got its slot in
            another period has not been counted in this one.
    """

    announced_until_s: float = float("-inf")
    probed_until_s: float = float("-inf")
    is_assumed: bool = False
    assumed_s: float = float("-inf")
    rate_per_s: float | None = None
    burst: float = 1.0
    tokens: float = 0.0
    updated_s: float = 0.0
    period: int = 0


def assume_cold(cold: ColdState, now_s: float) -> None:
    """Take the upstream to be cold until it says otherwise."""
    was_limited = is_limited(cold, now_s)
    cold.is_assumed = True
    cold.assumed_s = now_s
    _begin_period(cold, was_limited, now_s)


def apply_announced_cold(cold: ColdState, left_s: float, now_s: float) -> None:
    """Apply how long the upstream stays cold, from an announcement that is in order."""
    was_limited = is_limited(cold, now_s)
    cold.announced_until_s = now_s + left_s
    cold.is_assumed = False
    _begin_period(cold, was_limited, now_s)


def apply_probed_cold(
    cold: ColdState, left_s: float, sent_s: float, now_s: float
) -> None:
    """Apply how long the upstream stays cold, from a health check.

    Args:
        cold: The state of the upstream; changed in place.
        left_s: How long it stays cold.
        sent_s: When the health check was sent. An answer to one that was sent before the
            upstream could not be reached doesn't say that it is no longer cold.
        now_s: The current time.
    """
    was_limited = is_limited(cold, now_s)
    cold.probed_until_s = now_s + left_s
    if sent_s >= cold.assumed_s:
        cold.is_assumed = False
    _begin_period(cold, was_limited, now_s)


def apply_new_start(cold: ColdState) -> None:
    """Forget what an earlier start of the upstream has said; the bucket is kept."""
    cold.announced_until_s = cold.probed_until_s = float("-inf")


def update_cold_limit(
    cold: ColdState,
    rate_per_s: float | None,
    excess_ratio: float,
    slack: float,
    now_s: float,
) -> None:
    """Apply the limit of the configuration and the bound of the settings.

    The bucket's rate and burst together stay below the bound, since both may be used
    within one second.

    Args:
        cold: The state of the upstream; changed in place.
        rate_per_s: The calls per second that the service's cold upstreams accept, None
            if there is no limit.
        excess_ratio: The part of the rate that an upstream may get in any second.
        slack: The calls that it may get besides.
        now_s: The current time.
    """
    was_limited = is_limited(cold, now_s)
    if rate_per_s is None:
        cold.rate_per_s = None
    else:
        _refill(cold, now_s)
        cold.burst = max(min(BURST_S * rate_per_s, BURST_SLACK_RATIO * slack), 1.0)
        room = excess_ratio * rate_per_s + slack - cold.burst
        cold.rate_per_s = max(min(rate_per_s, room), MIN_RATE_PER_S)
        cold.tokens = min(cold.tokens, cold.burst)
    _begin_period(cold, was_limited, now_s)


def is_cold(cold: ColdState, now_s: float) -> bool:
    """Return whether the upstream is cold now."""
    return (
        cold.is_assumed or now_s < cold.announced_until_s or now_s < cold.probed_until_s
    )


def is_limited(cold: ColdState, now_s: float) -> bool:
    """Return whether the upstream is cold and the service has a cold limit."""
    return cold.rate_per_s is not None and is_cold(cold, now_s)


def has_cold_token(cold: ColdState, now_s: float) -> bool:
    """Return whether the upstream accepts one more call now."""
    if not is_limited(cold, now_s):
        return True
    _refill(cold, now_s)
    return cold.tokens >= 1 - TOKEN_EPSILON


def take_cold_token(cold: ColdState, now_s: float) -> int:
    """Count one call that is sent to the upstream; return the period it counts in."""
    if is_limited(cold, now_s):
        _refill(cold, now_s)
        cold.tokens -= 1
    return cold.period


def return_cold_token(cold: ColdState, period: int) -> None:
    """Take back the count of a call that was not sent after all."""
    if period == cold.period:
        cold.tokens = min(cold.tokens + 1, cold.burst)


def wait_for_cold_token_s(cold: ColdState, ahead: int, now_s: float) -> float:
    """Return when a call can be sent, in seconds from now.

    Args:
        cold: The state of the upstream.
        ahead: The number of calls that are sent before it.
        now_s: The current time.

    Returns:
        0 without a limit. A negative time if tokens are left over.
    """
    if not is_limited(cold, now_s):
        return 0.0
    _refill(cold, now_s)
    wait_s = (ahead + 1 - cold.tokens) / (cold.rate_per_s or MIN_RATE_PER_S)
    if cold.is_assumed:
        return wait_s
    return min(wait_s, max(cold.announced_until_s, cold.probed_until_s) - now_s)


def _begin_period(cold: ColdState, was_limited: bool, now_s: float) -> None:
    """Begin a period with an empty bucket if the limit applies from now on.

    The bucket starts empty because calls that were sent just before may still arrive.
    """
    if not was_limited and is_limited(cold, now_s):
        cold.period += 1
        cold.tokens, cold.updated_s = 0.0, now_s


def _refill(cold: ColdState, now_s: float) -> None:
    if cold.rate_per_s is None:
        return
    elapsed_s = max(now_s - cold.updated_s, 0.0)
    cold.tokens = min(cold.tokens + cold.rate_per_s * elapsed_s, cold.burst)
    cold.updated_s = now_s
