"""Keep the rate limit that an upstream names in its answers, as a token bucket.

This handles an upstream that accepts fewer calls per second than its slots could serve.
All calls to it pass the inbound proxy next to it, so one bucket there bounds the sum over
all hosts, whichever of them can reach each other. The bucket never fills slower than
``MIN_RATE_PER_S``: at a limit near zero, the upstream's answers to these few calls are
what tells that the limit has ended.
"""

from __future__ import annotations

import attrs

# How many seconds' worth of calls the bucket holds, at least one call.
BURST_S = 0.5
MIN_RATE_PER_S = 0.5
# Covers rounding, so that a token is complete once its wait is over.
TOKEN_EPSILON = 1e-6


@attrs.define
class RateLimit:
    """The calls that an upstream accepts; times are on the monotonic clock.

    Attributes:
        rate_per_s: The calls per second, None if the upstream names no limit.
        tokens: The calls that it accepts at once, as of ``updated_s``.
        named_s: When an answer last named a limit.
    """

    rate_per_s: float | None = None
    tokens: float = 0.0
    updated_s: float = 0.0
    named_s: float = float("-inf")


def update_rate(
    limit: RateLimit, rate_per_s: float | None, call_started_s: float, now_s: float
) -> bool:
    """Apply the limit that an answer names; return whether it changed.

    A lower limit applies at once. A higher one, or none, applies only if the call was
    sent after the last answer that named one was received: answers may overtake each
    other, and the upstream may have lowered its limit since this one was written.

    Args:
        limit: The limit; changed in place.
        rate_per_s: The limit that the answer names, None if it names none.
        call_started_s: When the call was sent that is answered.
        now_s: The current time.
    """
    current = limit.rate_per_s
    is_newest = call_started_s >= limit.named_s
    if rate_per_s is None:
        if current is None or not is_newest:
            return False
        limit.rate_per_s = None
        return True
    _refill(limit, now_s)
    limit.named_s = now_s
    if rate_per_s == current or (
        current is not None and rate_per_s > current and not is_newest
    ):
        return False
    if current is None:
        limit.tokens, limit.updated_s = 0.0, now_s
    limit.rate_per_s = rate_per_s
    _refill(limit, now_s)
    return True


def has_token(limit: RateLimit, now_s: float) -> bool:
    """Return whether the upstream accepts one more call now."""
    if limit.rate_per_s is None:
        return True
    _refill(limit, now_s)
    return limit.tokens >= 1 - TOKEN_EPSILON


def take_token(limit: RateLimit, now_s: float) -> None:
    """Count one call that is sent to the upstream."""
    if limit.rate_per_s is None:
        return
    _refill(limit, now_s)
    limit.tokens -= 1


def return_token(limit: RateLimit) -> None:
    """Take back the count of a call that was not sent after all."""
    if limit.rate_per_s is not None:
        limit.tokens += 1


def wait_for_token_s(limit: RateLimit, ahead: int, now_s: float) -> float:
    """Return when a call can be sent, in seconds from now.

    Args:
        limit: The limit.
        ahead: The number of calls that are sent before it.
        now_s: The current time.

    Returns:
        0 without a limit. A negative time if tokens are left over.
    """
    if limit.rate_per_s is None:
        return 0.0
    _refill(limit, now_s)
    return (ahead + 1 - limit.tokens) / _filling_rate(limit.rate_per_s)


def _filling_rate(rate_per_s: float) -> float:
    return max(rate_per_s, MIN_RATE_PER_S)


def _refill(limit: RateLimit, now_s: float) -> None:
    if limit.rate_per_s is None:
        return
    rate_per_s = _filling_rate(limit.rate_per_s)
    elapsed_s = max(now_s - limit.updated_s, 0.0)
    capacity = max(BURST_S * rate_per_s, 1.0)
    limit.tokens = min(limit.tokens + rate_per_s * elapsed_s, capacity)
    limit.updated_s = now_s
