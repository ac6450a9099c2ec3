"""Fingerprints find the members in which two views differ, none for equal views."""

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.fingerprint import (
    BUCKET_COUNT,
    bucket_of,
    find_differing_members,
    fingerprint,
)
from agaterelay.core.membership import Member, MemberState, merge_members

members = st.builds(
    Member,
    host=st.integers(1, 40).map(lambda number: f"127.0.1.{number}:7001"),
    zone=st.just("bangkok-1"),
    incarnation=st.integers(1, 2),
    sequence=st.integers(0, 2),
)
views = st.lists(members, max_size=30).map(lambda items: merge_members({}, items)[0])


@settings(derandomize=True, max_examples=200)
@given(views, views, st.integers(0, BUCKET_COUNT - 1))
def test_views_that_send_what_differs_end_up_the_same(one, two, first):
    for _ in range(2):
        one = merge_members(
            one, find_differing_members(two, fingerprint(one), first, 1000)
        )[0]
        two = merge_members(
            two, find_differing_members(one, fingerprint(two), first, 1000)
        )[0]
    assert one == two
    assert find_differing_members(one, fingerprint(two), first, 1000) == []


@settings(derandomize=True, max_examples=100)
@given(views, st.integers(0, BUCKET_COUNT - 1))
def test_a_bounded_reply_still_ends_in_equal_views(two, first):
    one = {}
    for turn in range(BUCKET_COUNT):
        one = merge_members(
            one, find_differing_members(two, fingerprint(one), first + turn, 1)
        )[0]
    assert one == two


def test_a_record_that_is_never_accepted_does_not_block_the_others():
    two = {}
    for number in range(1, 30):
        host = f"127.0.1.{number}:7001"
        two[host] = Member(host, "bangkok-1", 1, 1)
    refused = dict.fromkeys(
        [host for host in two if bucket_of(host) <= BUCKET_COUNT // 2], (1, 1)
    )
    one = {}
    for first in range(BUCKET_COUNT):
        found = find_differing_members(two, fingerprint(one), first, 1)
        one = merge_members(one, found, refused)[0]
    assert set(one) == set(two) - set(refused)


@settings(derandomize=True, max_examples=50)
@given(views)
def test_dead_members_do_not_count(view):
    dead = {
        host: attrs.evolve(member, state=MemberState.DEAD)
        for host, member in view.items()
    }
    assert fingerprint(dead) == fingerprint({})
