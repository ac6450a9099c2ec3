"""Ejection follows from calls, is capped, and ends gradually after a real call's probe."""

import random

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.health import (
    COMPARISON_PERIOD_S,
    EJECTION_FAILURE_COUNT,
    EJECTION_S,
    MAX_EJECTED_RATIO,
    MAX_EJECTION_S,
    MIN_COMPARED_CALLS,
    NON_RETRYABLE_PROBE_DELAY_S,
    RECOVERY_CALL_COUNT,
    SAMPLE_PERIOD_S,
    Fitness,
    Health,
    ejected_targets,
    ejection_s,
    estimate_load,
    observe_outcome,
    record_reported_load,
    remove_unknown_upstreams,
    usable_targets,
)
from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.outcome import Answered, NotRun, Unknown
from agaterelay.core.routing import Target

OWN = Member("127.0.9.9:7001", "bangkok-1", 1, 1)
GOOD = Answered(200)
BAD = (Answered(500), Unknown("lost"), NotRun("the upstream cannot be reached"))
BUSY = NotRun("no upstream has a free slot", retry_after_s=0.1)


def targets_for(count):
    return [
        Target(
            host=f"127.0.1.{number}:7001",
            zone="bangkok-1",
            calls_address=f"127.0.1.{number}:7000",
            upstream=UpstreamInfo("cue-desk", "v1", f"127.0.1.{number}:9000", 12),
        )
        for number in range(1, count + 1)
    ]


def fail(health, target, now_s=0.0):
    for _ in range(EJECTION_FAILURE_COUNT):
        observe_outcome(health, target, BAD[0], 5.0, now_s)


def fitness(health, target):
    return health.upstreams[target.upstream.address].fitness


@settings(derandomize=True, max_examples=200)
@given(
    st.integers(1, 12),
    st.lists(
        st.tuples(st.integers(0, 11), st.sampled_from([GOOD, BUSY, *BAD])),
        max_size=120,
    ),
    st.booleans(),
)
def test_at_most_a_third_is_ejected_and_one_always_stays(count, calls, retryable):
    targets, health, rng = targets_for(count), Health(), random.Random(1)
    for step, (index, outcome) in enumerate(calls):
        now_s = step * 0.05
        usable = usable_targets(health, targets, OWN, now_s, retryable, rng)
        assert usable
        assert set(usable) <= set(targets)
        ejected = ejected_targets(health, targets)
        assert len(ejected) <= count * MAX_EJECTED_RATIO
        observe_outcome(health, targets[index % count], outcome, 5.0, now_s)


def test_failures_in_a_row_eject_and_a_success_between_them_does_not():
    targets, health = targets_for(3), Health()
    for _ in range(3):
        for outcome in (*BAD, GOOD):
            observe_outcome(health, targets[0], outcome, 5.0, 0.0)
    assert fitness(health, targets[0]) is Fitness.FIT
    fail(health, targets[0])
    usable = usable_targets(health, targets, OWN, 0.1, True, random.Random(1))
    assert targets[0] not in usable


def test_a_refusal_for_load_is_no_failure():
    targets, health = targets_for(3), Health()
    for _ in range(10 * EJECTION_FAILURE_COUNT):
        observe_outcome(health, targets[0], BUSY, 1.0, 0.0)
    assert ejected_targets(health, targets) == []


def test_one_far_slower_than_its_peers_is_ejected_and_even_ones_are_not():
    targets, health, rng = targets_for(4), Health(), random.Random(1)
    for _ in range(MIN_COMPARED_CALLS):
        for target in targets:
            slow = target is targets[3]
            observe_outcome(health, target, GOOD, 400.0 if slow else 20.0, 0.0)
    assert targets[3] not in usable_targets(health, targets, OWN, 0.1, False, rng)
    assert ejected_targets(health, targets) == [targets[3]]
    even = Health()
    for _ in range(MIN_COMPARED_CALLS):
        for target in targets:
            observe_outcome(even, target, GOOD, 400.0, 0.0)
    usable_targets(even, targets, OWN, COMPARISON_PERIOD_S, False, rng)
    assert ejected_targets(even, targets) == []


def test_one_real_call_probes_and_a_growing_share_readmits():
    targets, health, rng = targets_for(3), Health(), random.Random(1)
    fail(health, targets[0])
    due_s = ejection_s(1)
    assert usable_targets(health, targets, OWN, due_s, True, rng) == [targets[0]]
    assert targets[0] not in usable_targets(health, targets, OWN, due_s, True, rng)
    shares = []
    for successful_calls in range(1, RECOVERY_CALL_COUNT):
        observe_outcome(health, targets[0], GOOD, 5.0, due_s)
        assert fitness(health, targets[0]) is Fitness.RECOVERING
        taken = sum(
            targets[0] in usable_targets(health, targets, OWN, due_s, True, rng)
            for _ in range(1000)
        )
        shares.append(taken / 1000)
        assert abs(shares[-1] - successful_calls / RECOVERY_CALL_COUNT) < 0.06
    observe_outcome(health, targets[0], GOOD, 5.0, due_s)
    assert fitness(health, targets[0]) is Fitness.FIT


def test_a_failed_probe_ejects_for_longer_up_to_a_bound():
    targets, health = targets_for(3), Health()
    fail(health, targets[0])
    now_s = 0.0
    expected_s = EJECTION_S
    for _ in range(10):
        state = health.upstreams[targets[0].upstream.address]
        assert state.probe_at_s - now_s == min(expected_s, MAX_EJECTION_S)
        expected_s *= 2
        now_s = state.probe_at_s
        observe_outcome(health, targets[0], BAD[1], 5.0, now_s)


def test_a_slow_one_must_answer_fast_to_come_back():
    targets, health, rng = targets_for(4), Health(), random.Random(1)
    for _ in range(MIN_COMPARED_CALLS):
        for target in targets:
            latency_ms = 400.0 if target is targets[3] else 20.0
            observe_outcome(health, target, GOOD, latency_ms, 0.0)
    usable_targets(health, targets, OWN, 0.1, True, rng)
    observe_outcome(health, targets[3], GOOD, 400.0, 2.0)
    assert fitness(health, targets[3]) is Fitness.EJECTED
    observe_outcome(health, targets[3], GOOD, 20.0, 4.0)
    assert fitness(health, targets[3]) is Fitness.RECOVERING


def test_calls_that_cannot_be_retried_probe_last():
    targets, health, rng = targets_for(3), Health(), random.Random(1)
    fail(health, targets[0])
    due_s = ejection_s(1)
    later_s = due_s + NON_RETRYABLE_PROBE_DELAY_S
    assert targets[0] not in usable_targets(health, targets, OWN, due_s, False, rng)
    assert usable_targets(health, targets, OWN, later_s, False, rng) == [targets[0]]


@settings(derandomize=True, max_examples=100)
@given(st.integers(0, 24), st.integers(0, 24), st.floats(0, 60))
def test_reported_load_adds_to_own_calls_and_decays(in_flight, own, age_s):
    target, health = targets_for(1)[0], Health()
    address = target.upstream.address
    record_reported_load(health, address, in_flight, own, 100.0)
    fresh = estimate_load(health, target, own, 100.0)
    later = estimate_load(health, target, own, 100.0 + age_s)
    assert fresh == max(in_flight, own) / 12
    assert own / 12 <= later <= fresh


def test_a_host_with_its_own_upstream_samples_a_few_calls_of_a_near_one():
    targets, health, rng = targets_for(4), Health(), random.Random(1)
    targets[3] = attrs.evolve(targets[3], zone="bangkok-2")
    own = Member(targets[0].host, "bangkok-1", 1, 1)
    calls = 2000
    period_s = 0.01
    sampled = []
    for step in range(calls):
        usable = usable_targets(health, targets, own, step * period_s, False, rng)
        if len(usable) == 1:
            sampled.extend(usable)
    assert 0 < len(sampled) <= min(calls * period_s / SAMPLE_PERIOD_S, calls / 20)
    assert {target.host for target in sampled} == {targets[1].host, targets[2].host}
    elsewhere = [
        usable_targets(health, targets, OWN, 100.0 + step, False, rng)
        for step in range(200)
    ]
    assert all(usable == targets for usable in elsewhere)


def test_upstreams_that_no_longer_exist_are_removed():
    targets, health = targets_for(3), Health()
    for target in targets:
        observe_outcome(health, target, GOOD, 5.0, 0.0)
    remove_unknown_upstreams(health, [targets[0].upstream.address])
    assert list(health.upstreams) == [targets[0].upstream.address]
