"""Translate between the core's values and the generated messages."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

import attrs

from agaterelay.core.evidence import (
    BUCKET_COUNT,
    Recent,
    Report,
    Tally,
    Window,
    Windows,
)
from agaterelay.core.floors import FloorAnswer
from agaterelay.core.membership import Member, MemberState, UpstreamInfo
from agaterelay.core.messages import (
    Brake,
    EventsReport,
    EvidenceReport,
    Exchange,
    NodeStatus,
    Notify,
)
from agaterelay.core.model import Head
from agaterelay.core.timeline import Event, EventsQuery, Stamp
from agaterelay.proto import peer_pb2 as pb

PROTOCOL = 1
MAX_TEXT_LENGTH = 4096
MAX_NAME_LENGTH = 255
MAX_ITEMS = 10_000
MAX_UPSTREAMS = 64
MAX_FIELDS_BYTES = 64 << 10
# Sums of a few such numbers still fit the protocol's 64-bit integers.
MAX_INTEGER = 1 << 62


def _number(value: int) -> int:
    if not 0 <= value < MAX_INTEGER:
        raise ValueError(f"the number {value} is out of bounds")
    return value


def _real(value: float) -> float:
    if not 0 <= value < MAX_INTEGER:
        raise ValueError(f"the number {value} is out of bounds")
    return value


def _text(value: str, most: int = MAX_NAME_LENGTH) -> str:
    if len(value) > most:
        raise ValueError(f"a text has {len(value)} letters, at most {most}")
    if not value.isprintable():
        raise ValueError("a text has control characters")
    return value


def _items(values: Sequence[Any], most: int = MAX_ITEMS) -> Sequence[Any]:
    if len(values) > most:
        raise ValueError(f"a list has {len(values)} items, at most {most}")
    return values


def stamp_to_wire(stamp: Stamp) -> pb.Stamp:
    """Return the message of a stamp."""
    return pb.Stamp(wall_us=stamp.wall_us, counter=stamp.counter)


def stamp_from_wire(message: pb.Stamp) -> Stamp:
    """Return the stamp of a message."""
    return Stamp(_number(message.wall_us), _number(message.counter))


def head_to_wire(head: Head) -> pb.Revision:
    """Return the message of a head."""
    return pb.Revision(number=head.revision, digest=head.digest)


def head_from_wire(message: pb.Revision) -> Head:
    """Return the head of a message."""
    return Head(_number(message.number), _text(message.digest))


def member_to_wire(member: Member) -> pb.Member:
    """Return the message of a member."""
    return pb.Member(
        host=member.host,
        zone=member.zone,
        incarnation=member.incarnation,
        sequence=member.sequence,
        state=int(member.state),
        region=member.region,
        calls_address=member.calls_address,
        operators_address=member.operators_address,
        age_s=member.age_s,
        upstreams=[
            pb.Upstream(
                service=item.service,
                version=item.version,
                address=item.address,
                slots=item.slots,
                connections=item.connections,
                draining=item.draining,
            )
            for item in member.upstreams
        ],
    )


def member_from_wire(message: pb.Member) -> Member:
    """Return the member of a message.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    if not message.host:
        raise ValueError("a member without its host")
    return Member(
        host=_text(message.host),
        zone=_text(message.zone),
        incarnation=_number(message.incarnation),
        sequence=_number(message.sequence),
        state=MemberState(message.state),
        region=_text(message.region),
        calls_address=_text(message.calls_address),
        operators_address=_text(message.operators_address),
        age_s=_number(message.age_s),
        upstreams=tuple(
            UpstreamInfo(
                service=_text(item.service),
                version=_text(item.version),
                address=_text(item.address),
                slots=_number(item.slots),
                connections=_number(item.connections),
                draining=item.draining,
            )
            for item in _items(message.upstreams, MAX_UPSTREAMS)
        ),
    )


def brakes_to_wire(brakes: tuple[Brake, ...]) -> list[pb.Brake]:
    """Return the messages of brakes."""
    return [
        pb.Brake(
            trial=item.trial,
            reason=item.reason,
            first_failure_ms=item.first_failure_ms,
        )
        for item in brakes
    ]


def brakes_from_wire(messages: Sequence[Any]) -> tuple[Brake, ...]:
    """Return the brakes of messages."""
    return tuple(
        Brake(
            _text(item.trial),
            _text(item.reason, MAX_TEXT_LENGTH),
            _number(item.first_failure_ms),
        )
        for item in _items(messages)
    )


def exchange_to_request(exchange: Exchange) -> pb.ExchangeRequest:
    """Return the request of an exchange."""
    return pb.ExchangeRequest(
        protocol=PROTOCOL,
        want_all=exchange.want_all,
        fingerprint=exchange.fingerprint,
        **_exchange_fields(exchange),
    )


def exchange_to_reply(exchange: Exchange) -> pb.ExchangeReply:
    """Return the reply of an exchange."""
    return pb.ExchangeReply(floor=exchange.floor, **_exchange_fields(exchange))


def _exchange_fields(exchange: Exchange) -> dict[str, Any]:
    return {
        "stamp": stamp_to_wire(exchange.stamp),
        "sender": exchange.sender,
        "incarnation": exchange.pair[0],
        "sequence": exchange.pair[1],
        "revision": head_to_wire(exchange.revision),
        "updates": [member_to_wire(item) for item in exchange.updates],
        "brakes": brakes_to_wire(exchange.brakes),
        "want_entry": exchange.want_entry,
    }


def exchange_from_wire(message: pb.ExchangeRequest | pb.ExchangeReply) -> Exchange:
    """Return the exchange of a request or a reply.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    is_request = isinstance(message, pb.ExchangeRequest)
    return Exchange(
        stamp=stamp_from_wire(message.stamp),
        sender=_text(message.sender),
        pair=(_number(message.incarnation), _number(message.sequence)),
        revision=head_from_wire(message.revision),
        updates=tuple(member_from_wire(item) for item in _items(message.updates)),
        brakes=brakes_from_wire(message.brakes),
        want_entry=message.want_entry,
        want_all=is_request and message.want_all,
        fingerprint=tuple(_items(message.fingerprint)) if is_request else (),
        floor=0 if is_request else _number(message.floor),
    )


def notify_to_wire(notify: Notify) -> pb.NotifyRequest:
    """Return the request of a notification."""
    return pb.NotifyRequest(
        protocol=PROTOCOL,
        stamp=stamp_to_wire(notify.stamp),
        sender=notify.sender,
        origin=notify.origin,
        revision=head_to_wire(notify.revision),
    )


def notify_from_wire(message: pb.NotifyRequest) -> Notify:
    """Return the notification of a request."""
    return Notify(
        stamp=stamp_from_wire(message.stamp),
        sender=_text(message.sender),
        origin=_text(message.origin),
        revision=head_from_wire(message.revision),
    )


def floor_to_wire(answer: FloorAnswer) -> pb.WitnessReply:
    """Return the reply of a floor."""
    reply = pb.WitnessReply(
        floor=answer.witnessed,
        settled=answer.settled,
        own_floor=answer.own,
        head_revision=answer.head_revision,
    )
    if answer.head_age_s is not None:
        reply.head_age_ms = math.ceil(answer.head_age_s * 1000)
    return reply


def floor_from_wire(reply: pb.WitnessReply) -> FloorAnswer:
    """Return the floor of a reply."""
    has_age = reply.HasField("head_age_ms")
    return FloorAnswer(
        witnessed=reply.floor,
        own=reply.own_floor,
        settled=reply.settled,
        head_revision=reply.head_revision,
        head_age_s=reply.head_age_ms / 1000 if has_age else None,
    )


def evidence_to_reply(report: EvidenceReport) -> pb.EvidenceReply:
    """Return the reply of a report."""
    seen = report.report
    return pb.EvidenceReply(
        routes=[
            pb.RouteEvidence(
                route=route,
                version=version,
                calls=tally.calls,
                failures=tally.failures,
                latency_buckets=tally.latency_buckets,
                window=window,
            )
            for window, evidence in seen.windows.items()
            for (route, version), tally in evidence.items()
        ],
        brakes=brakes_to_wire(report.brakes),
        trial=seen.trial,
        step=seen.step,
        first_failure_ms=seen.first_failure_ms,
        rate=seen.rate,
        in_flight=seen.in_flight,
        failing_s=seen.failing_s,
        recent=[
            pb.RecentCalls(
                route=route,
                calls=[calls for calls, _ in slots],
                failures=[failures for _, failures in slots],
            )
            for route, slots in seen.recent.items()
        ],
    )


def windows_from_wire(messages: Sequence[Any]) -> Windows:
    """Return the windows of messages; tallies that make no sense are left out."""
    windows: Windows = {window: {} for window in Window}
    for item in _items(messages):
        sane = len(item.latency_buckets) == BUCKET_COUNT
        if sane and item.window in windows and item.failures <= item.calls:
            windows[Window(item.window)][_text(item.route), _text(item.version)] = (
                Tally(
                    _number(item.calls),
                    _number(item.failures),
                    tuple(_number(count) for count in item.latency_buckets),
                )
            )
    return windows


def recent_from_wire(messages: Sequence[Any]) -> Recent:
    """Return the new version's last slots by route."""
    return {
        _text(item.route): tuple(
            (_number(calls), _number(failures))
            for calls, failures in zip(
                _items(item.calls), _items(item.failures), strict=False
            )
        )
        for item in _items(messages)
    }


def report_from_wire(message: pb.EvidenceReply) -> EvidenceReport:
    """Return the evidence report of a reply.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    report = Report(
        trial=_text(message.trial),
        step=_number(message.step),
        windows=windows_from_wire(message.routes),
        first_failure_ms=_number(message.first_failure_ms),
        rate=_real(message.rate),
        in_flight=_real(message.in_flight),
        failing_s=_real(message.failing_s),
        recent=recent_from_wire(message.recent),
    )
    return EvidenceReport(report, brakes_from_wire(message.brakes))


def probe_from_wire(message: pb.ProbeForRequest) -> str:
    """Return the host that a request asks to probe.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    return _text(message.host)


def digests_from_wire(message: pb.FetchRequest) -> tuple[str, ...]:
    """Return the digests that a request asks for.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    return tuple(_text(digest) for digest in _items(message.digests))


def witness_from_wire(message: pb.WitnessRequest) -> tuple[str, int]:
    """Return the host and the revision that a request tells of.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    return _text(message.host), _number(message.revision)


def event_to_wire(event: Event) -> pb.Event:
    """Return the message of an event."""
    return pb.Event(
        stamp=stamp_to_wire(event.stamp),
        host=event.host,
        number=event.number,
        name=event.name,
        fields_json=json.dumps(event.fields, default=str),
    )


def event_from_wire(message: pb.Event) -> Event:
    """Return the event of a message.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    if len(message.fields_json) > MAX_FIELDS_BYTES:
        raise ValueError("the fields of an event are too large")
    try:
        fields = json.loads(message.fields_json)
    except RecursionError as error:
        raise ValueError("the fields of an event are nested too deeply") from error
    if not isinstance(fields, dict):
        raise ValueError("the fields of an event are not an object")
    return Event(
        stamp=stamp_from_wire(message.stamp),
        host=_text(message.host),
        number=_number(message.number),
        name=_text(message.name),
        fields=fields,
    )


def events_from_wire(message: pb.EventsReply) -> EventsReport:
    """Return the events of a reply.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    return EventsReport(tuple(event_from_wire(item) for item in _items(message.events)))


def query_to_wire(query: EventsQuery) -> pb.EventsRequest:
    """Return the request of a query for events."""
    return pb.EventsRequest(
        protocol=PROTOCOL,
        after=stamp_to_wire(query.after),
        most=query.most,
        change=query.change,
        revision=query.revision,
        move=query.move,
        request=query.request,
        number=query.number,
    )


def query_from_wire(message: pb.EventsRequest) -> EventsQuery:
    """Return the query of a request."""
    return EventsQuery(
        after=stamp_from_wire(message.after),
        most=_number(message.most),
        change=_text(message.change),
        revision=_number(message.revision),
        move=_text(message.move),
        request=_text(message.request),
        number=_number(message.number),
    )


def status_to_wire(status: NodeStatus) -> pb.StatusReply:
    """Return the reply of a node's status."""
    return pb.StatusReply(**attrs.asdict(status))


def status_from_wire(message: pb.StatusReply) -> NodeStatus:
    """Return the status of a reply."""
    names = [field.name for field in attrs.fields(NodeStatus)]
    return NodeStatus(**{name: getattr(message, name) for name in names})
