"""Decide whether a call is tried again: a carried budget, a ratio, and a deadline.

Each call carries how many retries may still be made for it further down. A retry
carries none, so a chain of calls d deep makes at most 1 + MAX_RETRIES * d runs at its
end instead of (1 + MAX_RETRIES) ** d. The ratio bounds retries of a whole node.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from agaterelay.core.outcome import NotRun, Outcome, Unknown

MAX_RETRIES = 2
RETRY_RATIO = 0.1
MAX_TOKENS = 20.0
FIRST_DELAY_S = 0.01
MAX_DELAY_S = 0.25
HOP_MARGIN_S = 0.002


@attrs.define
class RetryTokens:
    """A node's allowance of retries, earned by the calls it serves."""

    tokens: float = MAX_TOKENS


def earn(tokens: RetryTokens) -> None:
    """Count a first try, which earns a part of a retry."""
    tokens.tokens = min(tokens.tokens + RETRY_RATIO, MAX_TOKENS)


def spend(tokens: RetryTokens) -> bool:
    """Take one retry; return whether there was one left."""
    if tokens.tokens < 1:
        return False
    tokens.tokens -= 1
    return True


def parse_retries(text: str) -> int:
    """Return the retries that a call carries; all where it does not say."""
    if not text.isdecimal() or len(text) > 3:
        return MAX_RETRIES
    return min(int(text), MAX_RETRIES)


def retries_to_carry(budget: int, attempt: int) -> int:
    """Return the retries that a try carries down; the first try is number 0."""
    return budget if attempt == 0 else 0


def may_retry(outcome: Outcome, idempotent: bool) -> bool:
    """Return whether another try of the same request does no harm and may help."""
    if isinstance(outcome, NotRun):
        return True
    return idempotent and isinstance(outcome, Unknown)


def conclude(outcomes: Sequence[Outcome]) -> Outcome:
    """Return what a caller knows who alone sent a key, from all its tries in order.

    A try that was not sent says nothing of the others, so "not run" follows only
    where none was sent.
    """
    last = outcomes[-1]
    if not isinstance(last, Unknown):
        return last
    if any(isinstance(item, Unknown) and item.sent for item in outcomes):
        return Unknown(last.reason)
    return NotRun(last.reason)


def backoff_s(attempt: int, draw: random.Random) -> float:
    """Return how long to wait before a retry, in seconds; the first is number 1."""
    return draw.uniform(0, min(FIRST_DELAY_S * 2**attempt, MAX_DELAY_S))


def shortened_ms(deadline_s: float, now_s: float) -> int:
    """Return the time to carry down in milliseconds, 0 where none is left."""
    return max(int((deadline_s - now_s - HOP_MARGIN_S) * 1000), 0)
