import pytest
from google.protobuf.message import DecodeError
from hypothesis import example, given, settings, strategies as st

from agaterelay.adapters import wire, wire_events, wire_evidence
from agaterelay.core.membership import Member, MemberState, UpstreamInfo
from agaterelay.core.messages import Brake, Exchange
from agaterelay.core.model import Head
from agaterelay.core.timeline import Event, EventsQuery, Stamp
from agaterelay.proto import peer_pb2 as pb

DECODERS = (
    (pb.ExchangeRequest, wire.exchange_from_wire),
    (pb.ExchangeReply, wire.exchange_from_wire),
    (pb.ProbeForRequest, wire.probe_from_wire),
    (pb.NotifyRequest, wire.notify_from_wire),
    (pb.FetchRequest, wire.digests_from_wire),
    (pb.WitnessRequest, wire.witness_from_wire),
    (pb.EvidenceReply, wire_evidence.report_from_wire),
    (pb.EventsRequest, wire_events.query_from_wire),
    (pb.EventsReply, wire_events.events_from_wire),
    (pb.StatusReply, wire.status_from_wire),
)
names = st.text(st.characters(codec="ascii", categories=["L", "N"]), max_size=8)
numbers = st.integers(0, wire.MAX_INTEGER - 1)
upstreams = st.builds(
    UpstreamInfo, names, names, names, st.integers(0, 9), st.integers(0, 9)
)
members = st.builds(
    Member,
    host=names.filter(bool),
    zone=names,
    incarnation=numbers,
    sequence=numbers,
    state=st.sampled_from(MemberState),
    upstreams=st.lists(upstreams, max_size=2).map(tuple),
)
exchanges = st.builds(
    Exchange,
    stamp=st.builds(Stamp, numbers, numbers),
    sender=names,
    pair=st.tuples(numbers, numbers),
    revision=st.builds(Head, numbers, names),
    updates=st.lists(members, max_size=3).map(tuple),
    brakes=st.lists(st.builds(Brake, names, names, numbers), max_size=2).map(tuple),
    want_entry=st.booleans(),
    want_all=st.booleans(),
    fingerprint=st.lists(st.integers(0, 2**32 - 1), max_size=4).map(tuple),
)


@given(exchanges)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_an_exchange_survives_the_wire(exchange):
    assert wire.exchange_from_wire(wire.exchange_to_request(exchange)) == exchange


@given(exchanges, st.integers(0, 400), st.binary(max_size=12), st.integers(0, 8))
@settings(derandomize=True, max_examples=400, deadline=None)
def test_bytes_of_a_peer_give_a_value_or_a_value_error(
    exchange, position, inserted, dropped
):
    body = wire.exchange_to_request(exchange).SerializeToString()
    damaged = body[:position] + inserted + body[position + dropped :]
    for kind, decode in DECODERS:
        try:
            message = kind.FromString(damaged)
        except DecodeError:
            continue
        try:
            value = decode(message)
        except ValueError:
            continue
        if isinstance(value, Exchange):
            wire.exchange_to_request(value).SerializeToString()


@given(st.text(max_size=40))
@example('{"a": ' * 100_000)
@example("[]")
@example("NaN")
@settings(derandomize=True, max_examples=100, deadline=None)
def test_fields_of_an_event_are_an_object_or_a_value_error(text):
    message = pb.Event(host="h", fields_json=text.encode("utf-8", "replace"))
    try:
        event = wire_events.event_from_wire(message)
    except ValueError:
        return
    assert isinstance(event.fields, dict)


@pytest.mark.parametrize(
    "member",
    [
        pb.Member(host="h", incarnation=2**63 - 1),
        pb.Member(host="h", sequence=-1),
        pb.Member(host="h", state=9),
        pb.Member(host="h\n"),
        pb.Member(),
        pb.Member(host="h" * 300),
        pb.Member(host="h", upstreams=[pb.Upstream()] * 65),
    ],
)
def test_members_out_of_bounds_are_refused(member):
    with pytest.raises(ValueError):
        wire.member_from_wire(member)


def test_events_and_queries_survive_the_wire():
    event = Event(Stamp(5, 1), "127.0.1.1:7001", 202, "revision_activated", {"r": 1})
    assert wire_events.event_from_wire(wire_events.event_to_wire(event)) == event
    query = EventsQuery(Stamp(5, 1), 7, "change-1", 3, "cue-v2", "request", 202)
    assert wire_events.query_from_wire(wire_events.query_to_wire(query)) == query
