"""Views are joins of member records: exchanges in any order converge to one view."""

import random

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.membership import (
    DEAD_MEMBER_RETENTION_S,
    MAX_TOMBSTONES,
    Member,
    MemberState,
    UpstreamInfo,
    apply_suspicion,
    expire_dead_members,
    find_refutable_claim,
    merge_members,
    next_incarnation,
    refute,
    zone_hosts,
)

HOSTS = ("127.0.1.1:7001", "127.0.1.2:7001", "127.0.2.1:7001")
UPSTREAM = UpstreamInfo("cue-desk", "v1", "127.0.1.1:9000", 12)

members = st.builds(
    Member,
    host=st.sampled_from(HOSTS),
    zone=st.just("bangkok-1"),
    incarnation=st.integers(1, 3),
    sequence=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    upstreams=st.sampled_from([(), (UPSTREAM,)]),
)
views = st.lists(members, max_size=8).map(lambda items: merge_members({}, items)[0])


def join(view, other):
    return merge_members(view, other.values())[0]


@settings(derandomize=True, max_examples=300)
@given(views, views, views)
def test_merge_is_a_join(one, two, three):
    assert join(one, two) == join(two, one)
    assert join(join(one, two), three) == join(one, join(two, three))
    assert join(one, one) == one
    assert merge_members(one, one.values())[1] == []


@settings(derandomize=True, max_examples=200)
@given(st.lists(members, max_size=12), st.integers(0, 2**16))
def test_views_converge_under_any_order_of_exchanges(records, seed):
    rng = random.Random(seed)
    held = [{} for _ in range(4)]
    for record in records:
        index = rng.randrange(4)
        held[index] = merge_members(held[index], [record])[0]
    pairs = [(one, two) for one in range(4) for two in range(4) if one != two] * 3
    rng.shuffle(pairs)
    for one, two in pairs:
        held[one] = join(held[one], held[two])
    # A full round through the first view completes what the random order left out.
    for index in (1, 2, 3):
        held[0] = join(held[0], held[index])
    for index in (1, 2, 3):
        held[index] = join(held[index], held[0])
    assert all(view == held[0] for view in held)


@settings(derandomize=True, max_examples=200)
@given(members, members)
def test_a_refutation_wins_over_the_claim(own, claim):
    own = attrs.evolve(own, state=MemberState.ALIVE)
    claim = attrs.evolve(claim, host=own.host)
    answer = refute(own, claim)
    if answer is None:
        assert claim.order <= own.order
        return
    for order in ([claim, answer], [answer, claim]):
        view, _ = merge_members({own.host: own}, order)
        assert view[own.host] == answer
        assert view[own.host].state is MemberState.ALIVE


@settings(derandomize=True, max_examples=200)
@given(members, st.lists(members, max_size=6))
def test_no_update_of_others_brings_back_a_dead_host(dead, updates):
    dead = attrs.evolve(dead, state=MemberState.DEAD)
    others = [
        attrs.evolve(
            apply_suspicion(update, MemberState.ALIVE),
            host=dead.host,
            incarnation=min(update.incarnation, dead.incarnation),
            sequence=min(update.sequence, dead.sequence),
        )
        for update in updates
    ]
    view, _ = merge_members({dead.host: dead}, others)
    assert not view[dead.host].usable


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, 2**41), st.integers(0, 2**57), st.integers(0, 2**16 - 1))
def test_a_new_host_is_above_its_predecessor(now_ms, predecessor, random_bits):
    assert next_incarnation(now_ms, predecessor, random_bits) > predecessor


def test_a_clock_behind_does_not_hide_the_new_host():
    before = Member(HOSTS[0], "bangkok-1", next_incarnation(2_000, 0, 7), 5)
    incarnation = next_incarnation(1_000, before.incarnation, 3)
    after = attrs.evolve(before, incarnation=incarnation, sequence=1)
    assert merge_members({before.host: before}, [after])[0][before.host] == after


@settings(derandomize=True, max_examples=200)
@given(members, st.lists(members, max_size=6))
def test_a_dropped_tombstone_does_not_come_back(record, updates):
    dead = attrs.evolve(record, state=MemberState.DEAD)
    view, tombstones = expire_dead_members(
        {dead.host: dead}, {}, {dead.host: 0.0}, DEAD_MEMBER_RETENTION_S
    )
    assert view == {}
    older = [
        attrs.evolve(update, host=dead.host)
        for update in updates
        if update.pair <= dead.pair
    ]
    assert merge_members(view, older, tombstones)[0] == {}
    claim = find_refutable_claim(view, tombstones, dead.host)
    back = refute(attrs.evolve(dead, state=MemberState.ALIVE), claim)
    assert merge_members(view, [back], tombstones)[0] == {dead.host: back}


def test_dead_hosts_are_retained_and_tombstones_are_bounded():
    dead = Member(HOSTS[0], "bangkok-1", 1, 1, MemberState.DEAD)
    kept, _ = expire_dead_members(
        {dead.host: dead}, {}, {dead.host: 1.0}, DEAD_MEMBER_RETENTION_S
    )
    assert kept == {dead.host: dead}
    old = {f"host-{number}": (1, 1) for number in range(MAX_TOMBSTONES)}
    _, tombstones = expire_dead_members(
        {dead.host: dead}, old, {dead.host: 0.0}, DEAD_MEMBER_RETENTION_S
    )
    assert len(tombstones) == MAX_TOMBSTONES
    assert dead.host in tombstones


def test_an_old_dead_record_of_an_unknown_host_is_ignored():
    dead = Member(
        HOSTS[0], "bangkok-1", 1, 1, MemberState.DEAD, age_s=DEAD_MEMBER_RETENTION_S
    )
    assert merge_members({}, [dead])[0] == {}


def test_a_host_that_has_not_joined_is_ignored():
    joining = Member(HOSTS[0], "bangkok-1", 0, 0)
    assert merge_members({}, [joining])[0] == {}


def test_suspected_hosts_have_no_role():
    alive = Member(HOSTS[0], "bangkok-1", 1, 1)
    suspect = Member(HOSTS[1], "bangkok-1", 1, 1, MemberState.SUSPECT)
    view = {item.host: item for item in (alive, suspect)}
    assert zone_hosts(view, "bangkok-1") == [alive.host]
