"""Neighbours are few and reach all hosts; a partition does not kill a whole zone."""

import math

from hypothesis import given, settings, strategies as st

from agaterelay.core.membership import Member, MemberState
from agaterelay.core.probing import (
    NEIGHBOUR_COUNT,
    choose_neighbours,
    choose_remote_host,
    gossip_repeat_count,
    may_declare_dead,
)

ZONE = "bangkok-1"


def hosts_of(count):
    return [f"127.0.1.{number}:7001" for number in range(1, count + 1)]


def view_of(states):
    return {
        host: Member(host, ZONE, 1, 1, state)
        for host, state in zip(hosts_of(len(states)), states, strict=True)
    }


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(1, 60))
def test_every_host_is_probed_and_updates_reach_all_in_few_hops(count):
    hosts = hosts_of(count)
    ring = {host: choose_neighbours(hosts, host) for host in hosts}
    assert all(len(set(ring[host])) == len(ring[host]) for host in hosts)
    assert all(len(ring[host]) == min(NEIGHBOUR_COUNT, count - 1) for host in hosts)
    assert all(host not in ring[host] for host in hosts)
    probed = {name for names in ring.values() for name in names}
    assert count == 1 or probed == set(hosts)
    reached, hops = {hosts[0]}, 0
    while reached != set(hosts):
        reached |= {name for host in reached for name in ring[host]}
        hops += 1
        assert hops <= math.ceil(math.log2(count + 1)) + 1


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(8, 40))
def test_a_join_changes_few_neighbours(count):
    hosts = hosts_of(count)
    joined = [*hosts, "127.0.1.200:7001"]
    changed = [
        host
        for host in hosts
        if set(choose_neighbours(hosts, host)) != set(choose_neighbours(joined, host))
    ]
    assert len(changed) <= 3 * NEIGHBOUR_COUNT


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(st.sampled_from(list(MemberState)[:2]), min_size=1, max_size=12),
    st.integers(0, 12),
)
def test_no_host_is_left_with_a_sliver_of_its_zone(states, recently_dead):
    states = [MemberState.ALIVE, *states]
    alive = states.count(MemberState.ALIVE)
    known = len(states) + recently_dead
    allowed = may_declare_dead(view_of(states), ZONE, recently_dead, in_contact=True)
    assert allowed == (alive >= known / 2)
    assert not may_declare_dead(view_of(states), ZONE, recently_dead, False)


def test_a_host_cut_off_alone_declares_at_most_half_of_its_zone():
    """The neighbours become suspects one after the other, as probes fail."""
    states = [MemberState.ALIVE] * 10
    declared = 0
    for index in range(1, 10):
        states[index] = MemberState.SUSPECT
        if may_declare_dead(view_of(states), ZONE, declared, in_contact=True):
            states[index] = MemberState.DEAD
            declared += 1
    assert declared == 5


def test_a_single_death_in_a_small_zone_is_declared():
    states = [MemberState.ALIVE, MemberState.SUSPECT]
    assert may_declare_dead(view_of(states), ZONE, 0, in_contact=True)


def test_failures_move_on_to_every_host_of_another_zone():
    view = view_of([MemberState.ALIVE] * 4)
    asked = {
        choose_remote_host(view, ZONE, "127.0.2.1:7001", failures)
        for failures in range(4)
    }
    assert asked == set(view)
    assert choose_remote_host(view, "bangkok-2", "127.0.2.1:7001", 0) is None


def test_repeats_grow_with_the_logarithm_of_the_fleet():
    assert gossip_repeat_count(1) == 2
    assert gossip_repeat_count(860) <= 2 * math.log2(860)
