"""A node that is behind hears of it, and asks for the configuration in time."""

import pytest

from agaterelay.adapters.frames import Frame
from agaterelay.core.membership import Member
from agaterelay.core.model import RouteTable
from agaterelay.mesh.revisions import note_revision
from tests.mesh.test_views import Clock, Wire, node_of

NEAR, FAR = "10.0.1.1:1", "10.0.2.1:1"
# A quarter of the two seconds in which a configuration is in force, and a margin.
ASKED_WITHIN_S = 0.6


@pytest.fixture(autouse=True)
def dial_nobody(monkeypatch):
    monkeypatch.setattr("agaterelay.mesh.links.follow_members", lambda links: None)


def node_behind():
    """Return a node at revision 3 that knows a host of its zone and another one."""
    clock = Clock()
    hosts = [Member(NEAR, "a", 1, 1), Member(FAR, "b", 1, 1)]
    links = node_of(1, "a", clock, hosts)
    links.state.table = RouteTable(3)
    return links, clock


def test_neighbours_that_are_as_late_do_not_put_off_asking_another_zone():
    links, clock = node_behind()
    near, far = Wire(NEAR), Wire(FAR)
    began_s = clock.now_s
    while not far.sent and clock.now_s < began_s + 3:
        note_revision(links, far, 7)
        note_revision(links, near, 3)
        clock.now_s += 0.02
    assert far.sent[:1] == [[Frame.WANT_TABLE]]
    assert clock.now_s - began_s < ASKED_WITHIN_S
    assert near.sent == []
