"""Translate between the core's values and the generated messages."""

from __future__ import annotations

import json

import attrs

from agaterelay.core.evidence import BUCKET_COUNT, Report, Tally, Window, Windows
from agaterelay.core.membership import Member, MemberState, UpstreamInfo
from agaterelay.core.messages import (
    Brake,
    EvidenceReport,
    Exchange,
    NodeStatus,
    Notify,
)
from agaterelay.core.model import Head
from agaterelay.core.timeline import Event, Stamp
from agaterelay.proto import peer_pb2 as pb

PROTOCOL = 1


def stamp_to_wire(stamp: Stamp) -> pb.Stamp:
    """Return the message of a stamp."""
    return pb.Stamp(wall_us=stamp.wall_us, counter=stamp.counter)


def stamp_from_wire(message: pb.Stamp) -> Stamp:
    """Return the stamp of a message."""
    return Stamp(message.wall_us, message.counter)


def head_to_wire(head: Head) -> pb.Revision:
    """Return the message of a head."""
    return pb.Revision(number=head.revision, digest=head.digest)


def head_from_wire(message: pb.Revision) -> Head:
    """Return the head of a message."""
    return Head(message.number, message.digest)


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
        ValueError: The message has an unknown state.
    """
    return Member(
        host=message.host,
        zone=message.zone,
        incarnation=message.incarnation,
        sequence=message.sequence,
        state=MemberState(message.state),
        region=message.region,
        calls_address=message.calls_address,
        operators_address=message.operators_address,
        upstreams=tuple(
            UpstreamInfo(
                service=item.service,
                version=item.version,
                address=item.address,
                slots=item.slots,
                connections=item.connections,
                draining=item.draining,
            )
            for item in message.upstreams
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


def brakes_from_wire(messages: object) -> tuple[Brake, ...]:
    """Return the brakes of messages."""
    return tuple(
        Brake(item.trial, item.reason, item.first_failure_ms) for item in messages
    )


def exchange_to_request(exchange: Exchange) -> pb.ExchangeRequest:
    """Return the request of an exchange."""
    return pb.ExchangeRequest(
        protocol=PROTOCOL,
        stamp=stamp_to_wire(exchange.stamp),
        sender=member_to_wire(exchange.sender),
        revision=head_to_wire(exchange.revision),
        updates=[member_to_wire(item) for item in exchange.updates],
        brakes=brakes_to_wire(exchange.brakes),
        want_all=exchange.want_all,
    )


def exchange_to_reply(exchange: Exchange) -> pb.ExchangeReply:
    """Return the reply of an exchange."""
    return pb.ExchangeReply(
        stamp=stamp_to_wire(exchange.stamp),
        sender=member_to_wire(exchange.sender),
        revision=head_to_wire(exchange.revision),
        updates=[member_to_wire(item) for item in exchange.updates],
        brakes=brakes_to_wire(exchange.brakes),
        floor=exchange.floor,
    )


def exchange_from_wire(message: pb.ExchangeRequest | pb.ExchangeReply) -> Exchange:
    """Return the exchange of a request or a reply.

    Raises:
        ValueError: The message has an unknown member state.
    """
    is_request = isinstance(message, pb.ExchangeRequest)
    return Exchange(
        stamp=stamp_from_wire(message.stamp),
        sender=member_from_wire(message.sender),
        revision=head_from_wire(message.revision),
        updates=tuple(member_from_wire(item) for item in message.updates),
        brakes=brakes_from_wire(message.brakes),
        want_all=is_request and message.want_all,
        floor=0 if is_request else message.floor,
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
        sender=message.sender,
        origin=message.origin,
        revision=head_from_wire(message.revision),
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
        age_s=seen.age_s,
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


def evidence_from_wire(message: pb.EvidenceReply) -> EvidenceReport:
    """Return the report of a reply; tallies that do not make sense are left out."""
    windows: Windows = {window: {} for window in Window}
    for item in message.routes:
        sane = len(item.latency_buckets) == BUCKET_COUNT
        if sane and item.window in windows and 0 <= item.failures <= item.calls:
            key = (item.route, item.version)
            tally = Tally(item.calls, item.failures, tuple(item.latency_buckets))
            windows[Window(item.window)][key] = tally
    report = Report(
        trial=message.trial,
        step=message.step,
        windows=windows,
        first_failure_ms=message.first_failure_ms,
        age_s=message.age_s,
        failing_s=message.failing_s,
        recent={
            item.route: tuple(zip(item.calls, item.failures, strict=False))
            for item in message.recent
        },
    )
    return EvidenceReport(report, brakes_from_wire(message.brakes))


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
    """Return the event of a message."""
    return Event(
        stamp=stamp_from_wire(message.stamp),
        host=message.host,
        number=message.number,
        name=message.name,
        fields=json.loads(message.fields_json),
    )


def status_to_wire(status: NodeStatus) -> pb.StatusReply:
    """Return the reply of a node's status."""
    return pb.StatusReply(**attrs.asdict(status))


def status_from_wire(message: pb.StatusReply) -> NodeStatus:
    """Return the status of a reply."""
    names = [field.name for field in attrs.fields(NodeStatus)]
    return NodeStatus(**{name: getattr(message, name) for name in names})
