"""Retry policy: a forwarded retry budget, a ratio per node, and a deadline.

Each call carries the number of retries that may still be made for it downstream. A
retry carries none, so that a chain of calls of depth d makes at most 1 + MAX_RETRIES * d
runs at its end instead of (1 + MAX_RETRIES) ** d. The ratio bounds the retries of a
whole node.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from agaterelay.core.outcome import NotRun, Outcome, Unknown

MAX_RETRIES = 2
RETRY_RATIO = 0.1
MAX_TOKENS = 20.0
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
HOP_MARGIN_S = 0.002


@attrs.define
class RetryTokens:
    """A token bucket for a node's retries, filled by the calls that it serves."""

    tokens: float = MAX_TOKENS


def earn_retry_tokens(tokens: RetryTokens) -> None:
    """Add the part of a retry that a first attempt earns."""
    tokens.tokens = min(tokens.tokens + RETRY_RATIO, MAX_TOKENS)


def spend_retry_token(tokens: RetryTokens) -> bool:
    """Spend one retry; return False if none is left."""
    if tokens.tokens < 1:
        return False
    tokens.tokens -= 1
    return True


def parse_retries(text: str) -> int:
    """Return the retries that a call carries, MAX_RETRIES if the text is invalid."""
    if not text.isdecimal() or len(text) > 3:
        return MAX_RETRIES
    return min(int(text), MAX_RETRIES)


def forwarded_retries(budget: int, attempt: int) -> int:
    """Return the retries that an attempt carries; the first attempt is number 0."""
    return budget if attempt == 0 else 0


def may_retry(outcome: Outcome, idempotent: bool) -> bool:
    """Return whether a retry of the same request is safe and may succeed."""
    if isinstance(outcome, NotRun):
        return True
    return idempotent and isinstance(outcome, Unknown)


def combine_outcomes(outcomes: Sequence[Outcome]) -> Outcome:
    """Combine the outcomes of all attempts with one key, in order.

    The caller must be the only sender of the key. An attempt that was not sent gives no
    information on the others, so that "not run" follows only if none was sent.
    """
    last = outcomes[-1]
    if not isinstance(last, Unknown):
        return last
    if any(isinstance(item, Unknown) and item.sent for item in outcomes):
        return Unknown(last.reason)
    return NotRun(last.reason)


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the random delay before a retry, in seconds; the first is number 1."""
    return rng.uniform(0, min(INITIAL_BACKOFF_S * 2**attempt, MAX_BACKOFF_S))


def forwarded_timeout_ms(deadline_s: float, now_s: float) -> int:
    """Return the remaining time to forward, in milliseconds, 0 if none is left."""
    return max(int((deadline_s - now_s - HOP_MARGIN_S) * 1000), 0)
