"""A node that is behind learns so, and requests the configuration in time."""

import json

import msgpack
import pytest

from agaterelay.adapters.frames import Frame
from agaterelay.core.delta import diff
from agaterelay.core.membership import Member
from agaterelay.core.model import RouteTable
from agaterelay.mesh.feeds import apply_config
from agaterelay.mesh.revisions import (
    MAX_CACHED_DOCUMENTS,
    handle_revision,
    handle_table_frame,
)
from tests.mesh.fleet import config, route
from tests.mesh.test_feeds import watch_of
from tests.mesh.test_views import Clock, LinkEnd, connect, deliver, node_of

NEAR, FAR = "10.0.1.1:1", "10.0.2.1:1"
# A quarter of the 2 s in which a configuration must be in force, plus a margin.
MAX_REQUEST_DELAY_S = 0.6


@pytest.fixture(autouse=True)
def dial_nobody(monkeypatch):
    monkeypatch.setattr("agaterelay.mesh.links.update_links", lambda links: None)


def node_behind():
    """Return a node at revision 3 that knows a host in its own zone and one in another."""
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
        handle_revision(links, far, 7)
        handle_revision(links, near, 3)
        clock.now_s += 0.02
    assert far.sent[:1] == [[Frame.WANT_TABLE, 3]]
    assert clock.now_s - began_s < MAX_REQUEST_DELAY_S
    assert near.sent == []


def documents(count):
    """Yield configurations, each with one route changed from the one before."""
    rows = [route(f"/{number}/") for number in range(300)]
    for number in range(1, count + 1):
        rows[number] = route(f"/{number}/", timeout=f"{number}ms")
        yield config(number, rows)


def catch_up_from(sources, first, newest):
    """Let a node catch up with another; return its table and the frames that carried it."""
    clock = Clock()
    ahead, behind = (watch_of(node_of(n, "a", clock), []) for n in (1, 2))
    behind.links.apply_document = lambda value: apply_config(behind, value, "link")
    for source in sources[first - 1 : newest]:
        apply_config(ahead, source, "store")
    apply_config(behind, sources[first - 1], "store")
    frames = deliver(ahead.links, behind.links, connect(ahead.links, behind.links))
    table_frames = [
        frame for frame in frames if frame[0] in (Frame.TABLE, Frame.TABLE_DELTA)
    ]
    return behind.state.table, table_frames


def test_a_changed_key_of_a_large_workspace_is_told_as_what_differs():
    """Guards against sending all keys of a workspace over links for one of them."""
    sources = []
    for number in (1, 2):
        tree = json.loads(config(number, [route()]))
        keys = [f"key-{item:036}" for item in range(2000)]
        keys[900] = f"key of {number}"
        rows = [["large", keys, 1], ["small", ["other"], 1]]
        tree["tenants"] = {"columns": ["name", "apiKeys", "priority"], "rows": rows}
        sources.append(json.dumps(tree, separators=(",", ":")).encode())
    table, table_frames = catch_up_from(sources, 1, 2)
    assert table.source == sources[1]
    assert [frame[0] for frame in table_frames] == [Frame.TABLE_DELTA]
    assert len(msgpack.packb(table_frames)) < 300


def test_a_node_that_is_a_few_revisions_behind_is_told_what_differs():
    sources = list(documents(4))
    table, table_frames = catch_up_from(sources, 1, 4)
    assert (table.revision, table.source) == (4, sources[3])
    assert [frame[0] for frame in table_frames] == [Frame.TABLE_DELTA]
    assert len(msgpack.packb(table_frames)) < 1000 < len(sources[3]) / 20


def test_a_node_that_is_many_revisions_behind_is_sent_the_whole_document():
    sources = list(documents(MAX_CACHED_DOCUMENTS + 2))
    table, table_frames = catch_up_from(sources, 1, len(sources))
    assert table.source == sources[-1]
    assert [frame[0] for frame in table_frames] == [Frame.TABLE]


def test_a_delta_that_cannot_be_applied_is_answered_by_requesting_the_whole_document():
    links, _ = node_behind()
    ahead = LinkEnd(NEAR)
    steps, checksum = diff(b"another document", b"the newest one")
    handle_table_frame(links, ahead, [Frame.TABLE_DELTA, 3, steps, checksum + 1])
    assert ahead.sent == [[Frame.WANT_TABLE, 0]]
