"""Targets are chosen by locality, then load; unconfirmed ones last but never dropped."""

import random

from hypothesis import given, settings, strategies as st

from agaterelay.core.membership import Member, MemberState, UpstreamInfo
from agaterelay.core.routing import (
    TargetIndex,
    choose_target,
    distance,
    find_indexed_targets,
    find_targets,
)

OWN = Member("127.0.1.1:7001", "bangkok-1", 1, 1, region="bangkok")
ZONES = {
    "bangkok-1": "bangkok",
    "bangkok-2": "bangkok",
    "north-1": "north",
}

placed = st.lists(
    st.tuples(
        st.sampled_from(sorted(ZONES)),
        st.sampled_from(list(MemberState)),
        st.integers(0, 15),
        st.booleans(),
    ),
    max_size=10,
)


def view_of(places):
    view = {}
    for number, (zone, state, _, draining) in enumerate(places, start=1):
        host = f"127.0.1.{number}:7001"
        upstream = UpstreamInfo("archive", "v1", f"{host}:9000", 10, 0, draining)
        view[host] = Member(host, zone, 1, 1, state, ZONES[zone], host, "", (upstream,))
    return view


@settings(derandomize=True, max_examples=300)
@given(placed, st.integers(0, 100))
def test_the_choice_is_nearest_with_room_and_never_left_or_draining(places, seed):
    view = view_of(places)
    targets = find_targets(view, "archive", "v1")
    for target in targets:
        assert view[target.host].usable
        assert not target.upstream.draining
    loads = {
        f"127.0.1.{number}:7001": in_flight / 10
        for number, (_, _, in_flight, _) in enumerate(places, start=1)
    }
    chosen = choose_target(
        targets, OWN, lambda target: loads[target.host], random.Random(seed)
    )
    assert (chosen is None) == (not targets)
    if chosen is None:
        return
    free = [target for target in targets if loads[target.host] < 1]
    if not free:
        assert chosen.unconfirmed == all(target.unconfirmed for target in targets)
        return
    nearest = min(distance(target, OWN) for target in free)
    assert distance(chosen, OWN) == nearest
    peers = [target for target in free if distance(target, OWN) == nearest]
    if len(peers) == 2:
        assert loads[chosen.host] == min(loads[item.host] for item in peers)


@settings(derandomize=True, max_examples=100)
@given(st.lists(placed, min_size=1, max_size=4), st.booleans())
def test_the_index_finds_what_a_search_finds(views, cut):
    index = TargetIndex()
    out_of_reach = frozenset({"bangkok-2"} if cut else ())
    for places in views:
        view = view_of(places)
        for _ in range(2):
            for reach in (frozenset(), out_of_reach):
                arguments = (view, "archive", "v1", reach)
                assert find_indexed_targets(index, *arguments) == find_targets(
                    *arguments
                )


def test_suspected_hosts_are_kept_but_come_last():
    places = [
        ("bangkok-1", MemberState.SUSPECT, 0, False),
        ("north-1", MemberState.ALIVE, 0, False),
    ]
    targets = find_targets(view_of(places), "archive", "v1")
    chosen = choose_target(targets, OWN, lambda _: 0.0, random.Random(1))
    assert chosen.zone == "north-1"
    alone = choose_target(targets[:1], OWN, lambda _: 0.0, random.Random(1))
    assert alone.unconfirmed


def test_a_zone_out_of_reach_is_unconfirmed_and_not_dropped():
    places = [
        ("bangkok-2", MemberState.ALIVE, 0, False),
        ("north-1", MemberState.ALIVE, 0, False),
    ]
    cut = frozenset({"bangkok-2"})
    targets = find_targets(view_of(places), "archive", "v1", cut)
    assert [target.unconfirmed for target in targets] == [True, False]
    chosen = choose_target(targets, OWN, lambda _: 0.0, random.Random(1))
    assert chosen.zone == "north-1"
