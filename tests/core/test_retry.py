"""Retries of a deep chain of calls stay within the forwarded budget."""

import random

from hypothesis import given, strategies as st

from agaterelay.core.outcome import Answered, NotRun, Unknown
from agaterelay.core.retry import (
    MAX_RETRIES,
    MAX_TOKENS,
    RETRY_RATIO,
    RetryTokens,
    backoff_s,
    combine_outcomes,
    earn_retry_tokens,
    forwarded_retries,
    forwarded_timeout_ms,
    may_retry,
    parse_retries,
    spend_retry_token,
)


def runs_at_the_end(depth, budget):
    """Return the runs at the end of a chain in which every attempt fails."""
    if depth == 0:
        return 1
    return sum(
        runs_at_the_end(depth - 1, forwarded_retries(budget, attempt))
        for attempt in range(budget + 1)
    )


@given(depth=st.integers(1, 14), text=st.text(max_size=4))
def test_a_chain_of_calls_does_not_multiply_retries(depth, text):
    runs = runs_at_the_end(depth, parse_retries(text))
    assert runs <= 1 + MAX_RETRIES * depth


@given(st.lists(st.booleans(), max_size=500))
def test_a_node_retries_no_more_than_its_calls_earned(steps):
    tokens = RetryTokens()
    retries = calls = 0
    for is_call in steps:
        if is_call:
            earn_retry_tokens(tokens)
            calls += 1
        else:
            retries += spend_retry_token(tokens)
    assert retries <= MAX_TOKENS + RETRY_RATIO * calls


@given(deadline_s=st.floats(0, 1e6), now_s=st.floats(0, 1e6))
def test_a_deadline_only_gets_shorter(deadline_s, now_s):
    assert (
        0
        <= forwarded_timeout_ms(deadline_s, now_s)
        <= max((deadline_s - now_s) * 1000, 0)
    )


def test_only_what_did_not_run_or_may_run_twice_is_retried():
    assert may_retry(NotRun("full"), idempotent=False)
    assert may_retry(Unknown("cut"), idempotent=True)
    assert not may_retry(Unknown("cut"), idempotent=False)
    assert not may_retry(Answered(500), idempotent=True)


def test_a_caller_concludes_not_run_only_if_no_try_was_sent():
    unsent, lost = Unknown("unreachable", sent=False), Unknown("cut")
    assert isinstance(combine_outcomes([unsent, unsent]), NotRun)
    assert isinstance(combine_outcomes([lost, unsent]), Unknown)
    assert combine_outcomes([lost, Answered(200)]) == Answered(200)


def test_backoff_grows_and_is_bounded():
    rng = random.Random(1)
    assert all(backoff_s(attempt, rng) <= 0.25 for attempt in range(1, 20))
