"""Responses fit into their part of the account, and the slowest reader gives way first."""

from hypothesis import given, strategies as st

from agaterelay.core.held_responses import (
    LARGE_RESPONSE_BYTES,
    MIN_SILENT_S,
    HeldResponses,
    find_slowest,
    has_room,
    hold,
)
from agaterelay.core.memory_account import MemoryAccount, plan_limit_bytes, reserve

MB = 1 << 20


# Guards against closing a caller that reads, or one that holds little, for others.
def test_the_holder_with_the_most_bytes_for_longest_without_progress_gives_way():
    responses = HeldResponses(100 * MB, 100 * MB)
    hold(responses, "frame", 50 * MB, 0.0)
    hold(responses, "large", 8 * MB, 0.0, closable=True)
    hold(responses, "old", MB, -20.0, closable=True)
    hold(responses, "reading", 16 * MB, 0.0, closable=True)
    hold(responses, "reading", 15 * MB, 4.0, closable=True, progressed=True)
    assert find_slowest(responses, MIN_SILENT_S - 0.1) == "old"
    assert find_slowest(responses, 5.0) == "large"
    hold(responses, "large", 8 * MB, 5.0, closable=True)
    assert find_slowest(responses, 5.0) == "large"


# Guards against long responses that leave no room to ordinary ones.
def test_large_responses_leave_room_to_small_ones_and_to_small_requests():
    account = MemoryAccount(plan_limit_bytes(200 * MB))
    responses = account.responses
    assert has_room(responses, 16 * MB)
    number = 0
    while has_room(responses, MB):
        hold(responses, number, MB, 0.0)
        number += 1
    assert has_room(responses, LARGE_RESPONSE_BYTES)
    while has_room(responses, LARGE_RESPONSE_BYTES):
        hold(responses, number, LARGE_RESPONSE_BYTES, 0.0)
        number += 1
    assert reserve(account, "small", LARGE_RESPONSE_BYTES)
    assert not reserve(account, "large", MB)
    assert responses.total_bytes + account.used_bytes <= account.limit_bytes


operations = st.tuples(st.integers(0, 5), st.sampled_from([0, 1, 70_000, MB]))


# Guards against a sum that drifts, so that a node refuses without holding anything.
@given(st.lists(operations, max_size=60))
def test_the_sum_is_that_of_all_holders_and_ends_at_zero(series):
    responses = HeldResponses(100 * MB, 100 * MB)
    for now_s, (holder, size_bytes) in enumerate(series):
        hold(responses, holder, size_bytes, now_s)
        assert responses.total_bytes == sum(
            held.size_bytes for held in responses.held.values()
        )
    for holder in range(6):
        hold(responses, holder, 0, 0.0)
    assert (responses.total_bytes, responses.held) == (0, {})
