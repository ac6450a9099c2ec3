"""Grants, loans and losses never exceed a workspace's limit in any window."""

import math
import random

import attrs
import pytest
from hypothesis import given, strategies as st

from agaterelay.core.allotment import (
    MAX_GAP_S,
    Ledger,
    begin_bucket,
    grant,
    keep_tokens,
    lend,
    make_plan,
    refill,
    return_tokens,
    take_kept,
    token_lifetime_s,
    wanted_loan,
)
from agaterelay.core.deployment import Bounds
from agaterelay.core.model import Workspace

ZONES = 3
BOUNDS = Bounds()
LOAN_LATENCY_S = 0.003
MAX_WAIT_S = 0.1


def limit_in_window(rate, burst):
    """Return the bound that the rule states, from the settings alone."""
    whole = rate * BOUNDS.allotment_window_s + burst
    return whole * (1 + BOUNDS.allotment_excess_ratio) + BOUNDS.allotment_slack


def largest_window(times):
    """Return the largest number of times within one window."""
    times = sorted(times)
    largest = first = 0
    for last, time_s in enumerate(times):
        while times[first] <= time_s - BOUNDS.allotment_window_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


def full_bucket(plan, now_s):
    """Return the bucket of a workspace that was idle for long."""
    return attrs.evolve(begin_bucket(plan, now_s), tokens=plan.capacity)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "lend", "restart", "split", "late"]),
        st.integers(0, ZONES - 1),
        st.floats(0, 0.6),
        st.integers(1, 400),
    ),
    max_size=80,
)


@given(STEPS, st.sampled_from([0.5, 2.0, 30.0, 300.0]), st.floats(0, 1))
def test_no_series_of_grants_losses_and_successors_exceeds_the_limit(
    steps, rate, burst_s
):
    """Guards against tokens made by a loan, a restart or two hosts that both grant."""
    workspace = Workspace("w", rate_per_s=rate, burst=rate * burst_s)
    plan = make_plan(workspace, BOUNDS, ZONES)
    lifetime_s = token_lifetime_s(BOUNDS)
    now_s = 0.0
    buckets = [[full_bucket(plan, now_s)] for _ in range(ZONES)]
    used = []
    restarted_s = -math.inf
    for kind, zone, elapsed_s, wanted in steps:
        now_s += elapsed_s
        reach = 1 / len(buckets[zone])
        for bucket in buckets[zone]:
            refill(bucket, plan, reach, now_s)
        bucket = buckets[zone][wanted % len(buckets[zone])]
        if kind in ("ask", "late"):
            granted, wait_s = grant(bucket, plan, wanted, now_s)
            assert granted == wanted or wait_s > 0
            delay_s = lifetime_s if kind == "late" else 0.0
            used += [now_s + delay_s] * granted
        elif kind == "lend":
            borrower = buckets[(zone + 1) % ZONES][0]
            refill(borrower, plan, 1 / len(buckets[(zone + 1) % ZONES]), now_s)
            before = bucket.tokens
            lent = lend(bucket, wanted, now_s)
            assert 0 <= lent <= before / 2
            return_tokens(borrower, plan, lent)
        elif now_s - restarted_s >= BOUNDS.allotment_window_s:
            # One failure of the granting hosts a window, as the plan assumes.
            restarted_s = now_s
            if kind == "restart":
                buckets[zone] = [begin_bucket(plan, now_s)]
            else:
                refill(bucket, plan, 0.5, now_s)
                buckets[zone] = [bucket, begin_bucket(plan, now_s)]
    assert largest_window(used) <= limit_in_window(rate, workspace.burst)


@given(st.floats(-100, 100), st.floats(0, 1))
def test_a_clock_that_goes_back_adds_no_tokens(jump_s, reach):
    """Guards against a refill for the same time twice."""
    plan = make_plan(Workspace("w", rate_per_s=10, burst=10), BOUNDS, ZONES)
    bucket = begin_bucket(plan, 100.0)
    for now_s in (100.0, 100.0 + jump_s, 100.0):
        refill(bucket, plan, reach, now_s)
    most = plan.start_tokens + plan.rate_per_s * max(jump_s, 0)
    assert bucket.tokens <= most + 1e-9


def test_a_lowered_limit_caps_the_bucket_at_once():
    """Guards against tokens of the old limit that are granted after the new one."""
    high = make_plan(Workspace("w", rate_per_s=300, burst=300), BOUNDS, ZONES)
    low = make_plan(Workspace("w", rate_per_s=3, burst=3), BOUNDS, ZONES)
    bucket = full_bucket(high, 0.0)
    refill(bucket, low, 1.0, 0.0)
    assert grant(bucket, low, 1000, 0.0)[0] <= low.capacity


def test_expired_tokens_are_worthless():
    """Guards against tokens that a frozen host uses after it wakes."""
    ledger = Ledger()
    keep_tokens(ledger, 3, 1.0)
    assert take_kept(ledger, 0.9) == 1.0
    assert take_kept(ledger, 1.0 + MAX_GAP_S) is None


@attrs.define
class Arrivals:
    """A workspace's requests in the simulation of granting hosts."""

    served: list = attrs.field(factory=list)
    refused: int = 0


def simulate(rate, demand_per_s, choose_zone, seed, duration_s=120.0):
    """Play Poisson arrivals; a denied request waits briefly, as the node lets it."""
    rng = random.Random(seed)
    plan = make_plan(Workspace("w", rate_per_s=rate, burst=rate), BOUNDS, ZONES)
    buckets = [begin_bucket(plan, 0.0) for _ in range(ZONES)]
    arrivals = Arrivals()
    now_s = 0.0
    while now_s < duration_s:
        now_s += rng.expovariate(demand_per_s)
        zone = choose_zone(rng, now_s)
        time_s, granted, wait_s = now_s, 0, 0.0
        while not granted and time_s + wait_s <= now_s + MAX_WAIT_S:
            time_s += wait_s
            for bucket in buckets:
                refill(bucket, plan, 1.0, max(time_s, bucket.updated_s))
            granted, wait_s = grant(buckets[zone], plan, 1, time_s)
            before = buckets[zone].tokens
            for other in range(ZONES):
                wanted = wanted_loan(buckets[zone], plan, time_s)
                if other != zone and wanted > 0:
                    lent = lend(buckets[other], wanted, time_s)
                    return_tokens(buckets[zone], plan, lent)
            if buckets[zone].tokens > before:
                wait_s = min(wait_s, 2 * LOAN_LATENCY_S)
        if granted:
            arrivals.served.append(time_s)
        else:
            arrivals.refused += 1
    return arrivals


PLACES = {
    "one": lambda rng, now_s: 0,
    "all": lambda rng, now_s: rng.randrange(ZONES),
    "moving": lambda rng, now_s: int(now_s) % ZONES,
}


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rate", [2.0, 3.0, 30.0, 300.0])
def test_less_than_one_in_100_is_refused_below_the_rate(rate, place):
    """Guards against refusals because a small bucket or the wrong zone is empty."""
    refused = served = 0
    for seed in range(20 if rate < 10 else 2):
        arrivals = simulate(rate, 0.9 * rate, PLACES[place], seed)
        refused += arrivals.refused
        served += len(arrivals.served)
        assert largest_window(arrivals.served) <= limit_in_window(rate, rate)
    assert refused / (refused + served) < 0.01


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rate", [2.0, 30.0, 300.0])
def test_a_hot_workspace_gets_its_rate_and_no_more(rate, place):
    """Guards against tokens that stay in other zones, and against any beyond."""
    duration_s = 60.0
    arrivals = simulate(rate, 0.62 * 9 * rate, PLACES[place], 1, duration_s)
    assert len(arrivals.served) >= 0.95 * rate * duration_s
    assert largest_window(arrivals.served) <= limit_in_window(rate, rate)
