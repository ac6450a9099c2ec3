"""Bodies fit into a node's memory, and large ones leave room for small ones."""

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.memory_account import (
    COPIES_PER_SMALL_BODY,
    LARGE_BODY_BYTES,
    LARGE_BODY_PARTS_BYTES,
    PROGRESS_BYTES,
    STALL_S,
    MemoryAccount,
    find_stalled,
    finish_receiving,
    note_received,
    plan_limit_bytes,
    release,
    reserve,
)

LIMIT_BYTES = 30 << 20
LARGE = 1 << 20
SMALL = 1 << 10


def test_large_bodies_leave_half_of_the_room_to_small_ones():
    account = MemoryAccount(LIMIT_BYTES)
    taken = sum(reserve(account, f"large {number}", LARGE) for number in range(20))
    assert taken == LIMIT_BYTES // 2 // (LARGE + LARGE_BODY_PARTS_BYTES)
    assert all(reserve(account, number, SMALL) for number in range(5000))
    assert account.used_bytes <= LIMIT_BYTES


def test_a_single_large_body_may_take_more_and_leaves_room_to_small_ones():
    account = MemoryAccount(plan_limit_bytes(200 << 20))
    assert reserve(account, "largest", 64 << 20)
    assert not reserve(account, "large", LARGE)
    assert all(reserve(account, number, SMALL) for number in range(4000))
    assert account.used_bytes <= account.limit_bytes


def test_small_bodies_are_bounded_too():
    account = MemoryAccount(LIMIT_BYTES)
    taken = sum(reserve(account, number, LARGE_BODY_BYTES) for number in range(2000))
    assert taken == LIMIT_BYTES // (COPIES_PER_SMALL_BODY * LARGE_BODY_BYTES)


def test_a_body_that_grows_keeps_what_it_has_when_there_is_no_more_room():
    account = MemoryAccount(LIMIT_BYTES)
    assert reserve(account, "a", SMALL)
    assert reserve(account, "a", LARGE)
    assert not reserve(account, "a", LIMIT_BYTES)
    assert account.held == {"a": LARGE}
    release(account, "a")
    release(account, "a")
    assert (account.used_bytes, account.held) == (0, {})


@pytest.mark.parametrize("memory_mb", [200, 300, 552])
def test_the_plan_stays_within_six_tenths_of_the_memory(memory_mb):
    assert plan_limit_bytes(memory_mb << 20) < 0.6 * (memory_mb << 20)


def receive(account, holder, size_bytes, now_s):
    assert reserve(account, holder, size_bytes)
    note_received(account, holder, 1, now_s)


def test_the_request_without_progress_for_longest_gives_way():
    account = MemoryAccount(LIMIT_BYTES)
    receive(account, "first", SMALL, 0.0)
    receive(account, "second", SMALL, 0.1)
    assert find_stalled(account, SMALL, STALL_S / 2) is None
    note_received(account, "first", PROGRESS_BYTES + 1, STALL_S)
    note_received(account, "second", PROGRESS_BYTES - 1, STALL_S)
    assert find_stalled(account, SMALL, 0.2 + STALL_S) == "second"
    release(account, "second")
    assert find_stalled(account, SMALL, 0.2 + STALL_S) is None
    assert find_stalled(account, SMALL, 2 * STALL_S) == "first"


def test_a_complete_request_gives_way_no_more():
    account = MemoryAccount(LIMIT_BYTES)
    receive(account, "a", SMALL, 0.0)
    finish_receiving(account, "a")
    assert find_stalled(account, SMALL, 10.0) is None
    assert account.held == {"a": SMALL}


def test_only_large_bodies_give_way_to_a_large_one():
    account = MemoryAccount(LIMIT_BYTES)
    receive(account, "small", SMALL, 0.0)
    receive(account, "grows", SMALL, 0.0)
    receive(account, "grows", LARGE, 0.1)
    note_received(account, "grows", LARGE, 0.1)
    assert find_stalled(account, LARGE, 10.0) == "grows"
    assert find_stalled(account, SMALL, 10.0) == "small"
    release(account, "grows")
    assert find_stalled(account, LARGE, 10.0) is None


operations = st.tuples(
    st.integers(0, 5),
    st.sampled_from([0, 1, SMALL, LARGE_BODY_BYTES, LARGE, 5 * LARGE]),
)


@given(st.lists(operations, max_size=60))
def test_the_account_is_never_below_zero_or_over_its_limit_and_ends_at_zero(series):
    account = MemoryAccount(LIMIT_BYTES)
    for holder, size_bytes in series:
        if size_bytes:
            reserve(account, holder, size_bytes)
        else:
            release(account, holder)
        assert 0 <= account.small_bytes
        assert 0 <= account.large_bytes
        assert account.used_bytes <= LIMIT_BYTES
        assert account.small_bytes + account.large_bytes == sum(account.held.values())
    for holder in range(6):
        release(account, holder)
    assert account.used_bytes == 0
