"""Slow calls aren't taken for hung ones, and the lowered limit recovers."""

import math

from agaterelay.core.hang_limit import (
    MIN_HANG_S,
    MIN_SAMPLES,
    HangLimit,
    hang_time_s,
    is_hung,
    lowered_by,
    record_hang,
)


def test_a_call_of_a_slow_or_frozen_upstream_is_not_hung():
    assert not is_hung(elapsed_s=9.0, limit_s=0.8, answered_later=0)
    assert not is_hung(elapsed_s=0.7, limit_s=0.8, answered_later=99)
    assert is_hung(elapsed_s=0.8, limit_s=0.8, answered_later=3)


def test_a_route_whose_service_time_is_not_learned_has_no_hung_calls():
    assert hang_time_s(0.1, MIN_SAMPLES - 1) == math.inf
    assert hang_time_s(0.001, MIN_SAMPLES) == MIN_HANG_S
    assert hang_time_s(1.0, MIN_SAMPLES) > 5.0


def test_repeated_hangs_lower_the_limit_but_never_to_nothing_and_it_recovers():
    limit = HangLimit()
    assert not record_hang(limit, 3, 10.0)
    assert lowered_by(limit, 10.0) == 0
    for _ in range(9):
        record_hang(limit, 3, 10.5)
    assert [lowered_by(limit, now_s) for now_s in (10.5, 11.6, 12.6)] == [2, 1, 0]


def test_rare_hangs_do_not_lower_the_limit():
    limit = HangLimit()
    assert not any(record_hang(limit, 3, 6.0 * number) for number in range(20))
