"""A node that is behind hears of it, and asks for the configuration in time."""

import msgpack
import pytest

from agaterelay.adapters.frames import Frame
from agaterelay.core.delta import diff
from agaterelay.core.membership import Member
from agaterelay.core.model import RouteTable
from agaterelay.mesh.feeds import take_config
from agaterelay.mesh.revisions import (
    KEPT_DOCUMENTS,
    note_revision,
    take_table_frame,
)
from tests.mesh.fleet import config, route
from tests.mesh.test_feeds import watch_of
from tests.mesh.test_views import Clock, LinkEnd, connect, deliver, node_of

NEAR, FAR = "10.0.1.1:1", "10.0.2.1:1"
# A quarter of the two seconds in which a configuration is in force, and a margin.
ASKED_WITHIN_S = 0.6


@pytest.fixture(autouse=True)
def dial_nobody(monkeypatch):
    monkeypatch.setattr("agaterelay.mesh.links.update_links", lambda links: None)


def node_behind():
    """Return a node at revision 3 that knows a host of its zone and another one."""
    clock = Clock()
    hosts = [Member(NEAR, "a", 1, 1), Member(FAR, "b", 1, 1)]
    links = node_of(1, "a", clock, hosts)
    links.state.table = RouteTable(3)
    return links, clock


def test_neighbours_that_are_as_late_do_not_put_off_asking_another_zone():
    links, clock = node_behind()
    near, far = LinkEnd(NEAR), LinkEnd(FAR)
    began_s = clock.now_s
    while not far.sent and clock.now_s < began_s + 3:
        note_revision(links, far, 7)
        note_revision(links, near, 3)
        clock.now_s += 0.02
    assert far.sent[:1] == [[Frame.WANT_TABLE, 3]]
    assert clock.now_s - began_s < ASKED_WITHIN_S
    assert near.sent == []


def documents(count):
    """Return configurations of which each differs from the one before in a route."""
    rows = [route(f"/{number}/") for number in range(300)]
    for number in range(1, count + 1):
        rows[number] = route(f"/{number}/", timeout=f"{number}ms")
        yield config(number, rows)


def hand_on(sources, first, newest):
    """Let a node that holds one revision take a newer one over from another node."""
    clock = Clock()
    ahead, behind = (watch_of(node_of(n, "a", clock), []) for n in (1, 2))
    behind.links.apply_document = lambda value: take_config(behind, value, "link")
    for source in sources[first - 1 : newest]:
        take_config(ahead, source, "store")
    take_config(behind, sources[first - 1], "store")
    frames = deliver(ahead.links, behind.links, connect(ahead.links, behind.links))
    told = [frame for frame in frames if frame[0] in (Frame.TABLE, Frame.TABLE_DELTA)]
    return behind.state.table, told


def test_a_node_that_is_a_few_revisions_behind_is_told_what_differs():
    sources = list(documents(4))
    table, told = hand_on(sources, 1, 4)
    assert (table.revision, table.source) == (4, sources[3])
    assert [frame[0] for frame in told] == [Frame.TABLE_DELTA]
    assert len(msgpack.packb(told)) < 1000 < len(sources[3]) / 20


def test_a_node_that_is_many_revisions_behind_is_told_the_whole():
    sources = list(documents(KEPT_DOCUMENTS + 2))
    table, told = hand_on(sources, 1, len(sources))
    assert table.source == sources[-1]
    assert [frame[0] for frame in told] == [Frame.TABLE]


def test_a_delta_that_does_not_fit_is_answered_by_asking_for_the_whole():
    links, _ = node_behind()
    ahead = LinkEnd(NEAR)
    steps, checksum = diff(b"another document", b"the newest one")
    take_table_frame(links, ahead, [Frame.TABLE_DELTA, 3, steps, checksum + 1])
    assert ahead.sent == [[Frame.WANT_TABLE, 0]]
