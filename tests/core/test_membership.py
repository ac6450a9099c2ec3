"""Views are joins of entries: any order of any exchange ends in the same view."""

import random

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.membership import (
    MAX_BURIED,
    TOMBSTONE_S,
    Member,
    MemberState,
    UpstreamInfo,
    bury,
    claim_about,
    doubt,
    merge,
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
views = st.lists(members, max_size=8).map(lambda items: merge({}, items)[0])


def join(view, other):
    return merge(view, other.values())[0]


@settings(derandomize=True, max_examples=300)
@given(views, views, views)
def test_merge_is_a_join(one, two, three):
    assert join(one, two) == join(two, one)
    assert join(join(one, two), three) == join(one, join(two, three))
    assert join(one, one) == one
    assert merge(one, one.values())[1] == []


@settings(derandomize=True, max_examples=200)
@given(st.lists(members, max_size=12), st.integers(0, 2**16))
def test_views_converge_under_any_order_of_exchanges(entries, seed):
    draw = random.Random(seed)
    held = [{} for _ in range(4)]
    for entry in entries:
        index = draw.randrange(4)
        held[index] = merge(held[index], [entry])[0]
    pairs = [(one, two) for one in range(4) for two in range(4) if one != two] * 3
    draw.shuffle(pairs)
    for one, two in pairs:
        held[one] = join(held[one], held[two])
    # One round each through the first: what is left over by the random order.
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
        view, _ = merge({own.host: own}, order)
        assert view[own.host] == answer
        assert view[own.host].state is MemberState.ALIVE


@settings(derandomize=True, max_examples=200)
@given(members, st.lists(members, max_size=6))
def test_nobody_elses_word_brings_back_a_dead_host(dead, words):
    dead = attrs.evolve(dead, state=MemberState.DEAD)
    others = [
        attrs.evolve(
            doubt(word, MemberState.ALIVE),
            host=dead.host,
            incarnation=min(word.incarnation, dead.incarnation),
            sequence=min(word.sequence, dead.sequence),
        )
        for word in words
    ]
    view, _ = merge({dead.host: dead}, others)
    assert not view[dead.host].usable


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, 2**41), st.integers(0, 2**57), st.integers(0, 2**16 - 1))
def test_a_new_host_is_above_its_predecessor(now_ms, predecessor, random_bits):
    assert next_incarnation(now_ms, predecessor, random_bits) > predecessor


def test_a_clock_behind_does_not_hide_the_new_host():
    before = Member(HOSTS[0], "bangkok-1", next_incarnation(2_000, 0, 7), 5)
    incarnation = next_incarnation(1_000, before.incarnation, 3)
    after = attrs.evolve(before, incarnation=incarnation, sequence=1)
    assert merge({before.host: before}, [after])[0][before.host] == after


@settings(derandomize=True, max_examples=200)
@given(members, st.lists(members, max_size=6))
def test_a_dropped_tombstone_does_not_come_back(entry, words):
    dead = attrs.evolve(entry, state=MemberState.DEAD)
    view, buried = bury({dead.host: dead}, {}, {dead.host: 0.0}, TOMBSTONE_S)
    assert view == {}
    older = [
        attrs.evolve(word, host=dead.host) for word in words if word.pair <= dead.pair
    ]
    assert merge(view, older, buried)[0] == {}
    claim = claim_about(view, buried, dead.host)
    back = refute(attrs.evolve(dead, state=MemberState.ALIVE), claim)
    assert merge(view, [back], buried)[0] == {dead.host: back}


def test_tombstones_are_kept_for_their_time_and_remembered_within_bounds():
    dead = Member(HOSTS[0], "bangkok-1", 1, 1, MemberState.DEAD)
    kept, _ = bury({dead.host: dead}, {}, {dead.host: 1.0}, TOMBSTONE_S)
    assert kept == {dead.host: dead}
    old = {f"host-{number}": (1, 1) for number in range(MAX_BURIED)}
    _, buried = bury({dead.host: dead}, old, {dead.host: 0.0}, TOMBSTONE_S)
    assert len(buried) == MAX_BURIED
    assert dead.host in buried


def test_an_old_tombstone_of_an_unknown_host_is_not_taken():
    dead = Member(HOSTS[0], "bangkok-1", 1, 1, MemberState.DEAD, age_s=TOMBSTONE_S)
    assert merge({}, [dead])[0] == {}


def test_a_host_that_has_not_joined_counts_nowhere():
    joining = Member(HOSTS[0], "bangkok-1", 0, 0)
    assert merge({}, [joining])[0] == {}


def test_hosts_in_doubt_have_no_role():
    alive = Member(HOSTS[0], "bangkok-1", 1, 1)
    suspect = Member(HOSTS[1], "bangkok-1", 1, 1, MemberState.SUSPECT)
    view = {item.host: item for item in (alive, suspect)}
    assert zone_hosts(view, "bangkok-1") == [alive.host]
