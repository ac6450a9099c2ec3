"""The choice of the hosts that a node keeps a link to."""

from collections import Counter

from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.neighbours import (
    FAR_UPSTREAM_COUNT,
    MAX_SMALL_ZONE_HOSTS,
    NEAR_UPSTREAM_COUNT,
    OTHER_HOST_COUNT,
    READER_COUNT,
    choose_linked_hosts,
    choose_readers,
)


def fleet(size, services=2, zones=3):
    return [
        Member(
            host=f"10.0.{number // 250}.{number % 250}:80",
            zone=f"z{number % zones}",
            incarnation=1,
            sequence=1,
            upstreams=(UpstreamInfo(f"s{number // zones % services}", "v1", "a:1", 4),),
        )
        for number in range(size)
    ]


def test_in_a_small_fleet_all_hosts_are_linked():
    members = fleet(12)
    for own in members:
        assert len(choose_linked_hosts(own, members)) == 11


def test_in_a_large_fleet_links_grow_with_the_services_and_not_with_the_hosts():
    max_count = NEAR_UPSTREAM_COUNT + FAR_UPSTREAM_COUNT
    for size in (96, 480):
        members = fleet(size)
        for own in members[:6]:
            linked = choose_linked_hosts(own, members)
            assert 2 * max_count <= len(linked) <= 2 * max_count + OTHER_HOST_COUNT


def test_every_host_is_linked_by_others_of_its_zone_and_of_others():
    members = fleet(120)
    linked_by = Counter()
    zones = {}
    for own in members:
        for host in choose_linked_hosts(own, members):
            linked_by[host] += 1
            zones.setdefault(host, set()).add(own.zone)
    assert min(linked_by[member.host] for member in members) >= 10
    assert all(len(zones[member.host]) == 3 for member in members)


def test_a_host_that_leaves_changes_the_choice_of_the_others_little():
    members = fleet(120)
    own, gone = members[0], members[7]
    before = choose_linked_hosts(own, members)
    after = choose_linked_hosts(own, [item for item in members if item is not gone])
    assert len(before - after - {gone.host}) <= 1


def test_hosts_with_the_widest_links_watch_for_their_zone():
    narrow = [Member(f"n{number}", "a", 1, 1, link_mbps=10) for number in range(20)]
    wide = [Member(f"w{number}", "a", 1, 1, link_mbps=200) for number in range(3)]
    readers = choose_readers([*narrow, *wide])
    assert len(readers) == READER_COUNT
    assert set(readers) < {member.host for member in wide}
    # If one reader is removed, the third host replaces it and the other reader stays.
    rest = [member for member in (*narrow, *wide) if member.host != readers[0]]
    assert set(choose_readers(rest)) == {member.host for member in wide} - {readers[0]}


def test_in_a_small_zone_every_host_watches():
    members = [
        Member(f"n{number}", "a", 1, 1) for number in range(MAX_SMALL_ZONE_HOSTS)
    ]
    assert set(choose_readers(members)) == {member.host for member in members}
