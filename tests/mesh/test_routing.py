"""The outbound proxy's use of the spillover decision."""

from types import SimpleNamespace

import pytest

from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.placing import LoadReport, TargetLoad, record_load_report
from agaterelay.events import EventKind
from agaterelay.mesh import routing
from agaterelay.mesh.request_state import Outbound


def make_member(host, zone):
    upstream = UpstreamInfo("desk", "1", host, 3)
    return Member(host, zone, 1, 1, upstreams=(upstream,))


@pytest.fixture
def scene():
    """Return an outbound proxy in a full zone, its events and its clock."""
    members = [make_member("near", "a"), make_member("far", "b")]
    events, now_s = [], [100.0]
    own_load, far_load = TargetLoad(), TargetLoad()
    record_load_report(own_load, LoadReport(9, 3), 100.0)
    record_load_report(far_load, LoadReport(0, 3), 100.0)
    state = SimpleNamespace(
        own=members[0],
        targets={("desk", "1"): members},
        versions={"desk": ("1", None)},
    )
    line = SimpleNamespace(state=SimpleNamespace(value="ready"))
    far = SimpleNamespace(usable=True, load=far_load)
    links = SimpleNamespace(
        state=state,
        inbound=SimpleNamespace(line=line),
        links={"far": far},
        own_load=own_load,
    )
    context = SimpleNamespace(
        clock=SimpleNamespace(monotonic_s=lambda: now_s[0]),
        record=lambda kind, **fields: events.append((kind, fields)),
    )
    return SimpleNamespace(
        outbound=Outbound(context, state, links, None, None),
        events=events,
        now_s=now_s,
        own_load=own_load,
        far=far,
    )


def choose(scene):
    """Place one call whose target is far away, and return the host chosen."""
    request_state = SimpleNamespace(
        service="desk",
        route=SimpleNamespace(name="read"),
        tried_hosts=set(),
        placements=0,
        target_s=scene.now_s[0] + 5,
    )
    return routing.choose_upstream(scene.outbound, request_state, "1", False)[0].host


def test_a_spill_starts_and_ends_once_with_an_event_each(scene):
    """Guards against a change that operators don't see, and against repeated events."""
    hosts = []
    for _ in range(5):
        hosts.append(choose(scene))
        scene.now_s[0] += 0.1
    assert hosts[-1] == "far"
    scene.far.usable = False
    assert choose(scene) == "near"
    assert [kind for kind, _ in scene.events] == [
        EventKind.SPILL_STARTED,
        EventKind.SPILL_ENDED,
    ]
    assert scene.events[0][1]["service"] == "desk"


def test_placements_are_counted_in_the_zone_that_was_chosen(scene):
    """Guards against a share of a zone that is counted for another."""
    zones = []
    scene.outbound.observe_placement = zones.append
    scene.own_load.others_in_flight = 0.0
    choose(scene)
    assert zones == ["a"]


def test_versions_that_are_gone_are_forgotten(scene):
    """Guards against state that grows with each version of a service."""
    scene.outbound.spills["desk"] = {"0": None}
    choose(scene)
    assert list(scene.outbound.spills["desk"]) == ["1"]
