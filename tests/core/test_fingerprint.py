"""Fingerprints find what two views differ in, and equal views cost nothing."""

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.fingerprint import BUCKETS, bucket_of, differing, fingerprint
from agaterelay.core.membership import Member, MemberState, merge

members = st.builds(
    Member,
    host=st.integers(1, 40).map(lambda number: f"127.0.1.{number}:7001"),
    zone=st.just("bangkok-1"),
    incarnation=st.integers(1, 2),
    sequence=st.integers(0, 2),
)
views = st.lists(members, max_size=30).map(lambda items: merge({}, items)[0])


@settings(derandomize=True, max_examples=200)
@given(views, views, st.integers(0, BUCKETS - 1))
def test_views_that_send_what_differs_end_up_the_same(one, two, first):
    for _ in range(2):
        one = merge(one, differing(two, fingerprint(one), first, 1000))[0]
        two = merge(two, differing(one, fingerprint(two), first, 1000))[0]
    assert one == two
    assert differing(one, fingerprint(two), first, 1000) == []


@settings(derandomize=True, max_examples=100)
@given(views, st.integers(0, BUCKETS - 1))
def test_a_bounded_reply_still_ends_in_equal_views(two, first):
    one = {}
    for turn in range(BUCKETS):
        one = merge(one, differing(two, fingerprint(one), first + turn, 1))[0]
    assert one == two


def test_an_entry_that_is_never_taken_does_not_hold_up_the_others():
    two = {}
    for number in range(1, 30):
        host = f"127.0.1.{number}:7001"
        two[host] = Member(host, "bangkok-1", 1, 1)
    refused = dict.fromkeys(
        [host for host in two if bucket_of(host) <= BUCKETS // 2], (1, 1)
    )
    one = {}
    for first in range(BUCKETS):
        found = differing(two, fingerprint(one), first, 1)
        one = merge(one, found, refused)[0]
    assert set(one) == set(two) - set(refused)


@settings(derandomize=True, max_examples=50)
@given(views)
def test_tombstones_do_not_count(view):
    dead = {
        host: attrs.evolve(member, state=MemberState.DEAD)
        for host, member in view.items()
    }
    assert fingerprint(dead) == fingerprint({})
