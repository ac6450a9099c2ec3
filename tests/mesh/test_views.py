"""Linked nodes reconcile their membership views and send only differing records."""

from datetime import UTC, datetime

import attrs
import pytest

from agaterelay.adapters.frames import Frame
from agaterelay.core.deployment import Bounds, Deployment, StoreSettings
from agaterelay.core.membership import Member
from agaterelay.core.model import RouteTable
from agaterelay.deployed import build_node
from agaterelay.mesh.links import _handle_frame
from agaterelay.mesh.notifications import send_hello
from agaterelay.mesh.state import all_members
from agaterelay.mesh.views import OTHER_ZONE_VIEW_DELAY_S, request_differing_members


@pytest.fixture(autouse=True)
def disable_dialling(monkeypatch):
    monkeypatch.setattr("agaterelay.mesh.links.update_links", lambda links: None)


class Clock:
    """A clock whose time a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        return self.now_s

    def now(self):
        return datetime.fromtimestamp(self.now_s, UTC)


@attrs.define(eq=False)
class LinkEnd:
    """One end of a link in memory, which holds sent frames until they are delivered."""

    host: str = ""
    open: bool = True
    sent: list = attrs.field(factory=list)

    def send(self, frame):
        self.sent.append(frame)
        return self.open


def node_of(number, zone, clock, hosts=()):
    """Return the links of a node that knows some hosts; none of its tasks run."""
    address = f"10.0.0.{number}:1"
    deployment = Deployment(
        name=f"host-{number}",
        zone=zone,
        link_address=address,
        calls_address="",
        announce_address="",
        ready_address="",
        metrics_address="",
        service="desk",
        upstream_address="10.0.0.99:1",
        store=StoreSettings(""),
        bounds=Bounds(),
        heartbeat_s=1.5,
        first_start=True,
    )
    links = build_node(deployment, clock, None).links
    links.state.members = {member.host: member for member in hosts}
    links.state.fleet_known = bool(hosts)
    return links


def hosts_of(links):
    return {member.host for member in all_members(links.state)}


def many(count, zone="a"):
    return [Member(f"10.0.1.{n}:1", zone, 1, 1) for n in range(count)]


def connect(one, two):
    """Link two nodes; return the ends on which the first and the second node send."""
    ends = (LinkEnd(two.state.own.host), LinkEnd(one.state.own.host))
    send_hello(one, ends[0])
    send_hello(two, ends[1])
    return ends


def deliver(one, two, ends):
    """Deliver frames until none is left; return all of them."""
    frames = []
    while ends[0].sent or ends[1].sent:
        for receiver, source, reply_end in (
            (two, ends[0], ends[1]),
            (one, ends[1], ends[0]),
        ):
            frames_sent, source.sent = source.sent, []
            for frame in frames_sent:
                frames.append(frame)
                _handle_frame(receiver, reply_end, frame)
    return frames


def count_member_records(frames):
    """Return how many member records the frames contain."""
    count = 0
    for frame in frames:
        if frame[0] in (Frame.HELLO, Frame.NEWS):
            count += len(frame[3])
        elif frame[0] == Frame.MEMBERS:
            count += len(frame[1])
    return count


def test_equal_views_are_not_told():
    clock = Clock()
    known = many(100)
    one = node_of(1, "a", clock, [*known, Member("10.0.0.2:1", "a", 1, 0)])
    two = node_of(2, "a", clock, [*known, one.state.own])
    one.state.members["10.0.0.2:1"] = two.state.own
    frames = deliver(one, two, connect(one, two))
    assert count_member_records(frames) == 2


def test_a_node_that_knows_nobody_is_told_all_at_once():
    clock = Clock()
    one = node_of(1, "a", clock, many(100, "b"))
    two = node_of(2, "b", clock)
    deliver(one, two, connect(one, two))
    assert hosts_of(two) == hosts_of(one)
    assert two.state.fleet_known


def test_only_what_differs_is_told_and_both_end_up_the_same():
    clock = Clock()
    one = node_of(1, "a", clock, many(100)[:-1])
    two = node_of(2, "a", clock, many(100)[1:])
    frames = deliver(one, two, connect(one, two))
    assert hosts_of(one) == hosts_of(two)
    # Four records differ; the records that share their buckets are sent as well.
    assert count_member_records(frames) < 40


def test_another_zone_is_asked_only_after_the_own_one():
    clock = Clock()
    one = node_of(1, "a", clock, many(20))
    two = node_of(2, "b", clock, many(40, "b"))
    ends = connect(one, two)
    frames = deliver(one, two, ends)
    assert Frame.WANT_MEMBERS not in [frame[0] for frame in frames]
    clock.now_s += OTHER_ZONE_VIEW_DELAY_S
    request_differing_members(one)
    request_differing_members(two)
    deliver(one, two, ends)
    assert hosts_of(one) == hosts_of(two)


def test_a_node_without_a_configuration_asks_another_zone_at_once():
    clock = Clock()
    fresh = node_of(1, "a", clock)
    other = node_of(2, "b", clock, many(3, "b"))
    other.state.table = RouteTable(7, source=b"document")
    applied = []
    fresh.apply_document = applied.append
    deliver(fresh, other, connect(fresh, other))
    assert applied == [b"document"]
    # A node with an older configuration gives its own zone time to send the newer one.
    behind = node_of(3, "a", clock, many(3))
    behind.state.table = RouteTable(6)
    behind.apply_document = applied.append
    deliver(behind, other, connect(behind, other))
    assert len(applied) == 1


def test_a_node_whose_neighbours_all_differ_asks_one_at_a_time():
    clock = Clock()
    fresh = node_of(1, "a", clock)
    others = [node_of(n, "a", clock, many(50)) for n in range(2, 12)]
    asked = 0
    for other in others:
        frames = deliver(fresh, other, connect(fresh, other))
        asked += sum(frame[0] == Frame.WANT_MEMBERS for frame in frames[:3])
    # The first answer has all records but the other nodes' own, which their greetings
    # carry.
    assert hosts_of(fresh) >= {member.host for member in many(50)}
    assert asked <= len(others) + 1
