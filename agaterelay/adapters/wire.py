"""Translate between the core's values and the generated messages."""

from __future__ import annotations

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
    EvidenceReport,
    Exchange,
    NodeStatus,
    Notify,
)
from agaterelay.core.model import Head
from agaterelay.core.timeline import Stamp
from agaterelay.proto import peer_pb2 as pb

PROTOCOL = 1
MAX_TEXT_LENGTH = 4096
MAX_NAME_LENGTH = 255
MAX_ITEMS = 10_000
MAX_UPSTREAMS = 64
# Sums of a few such numbers still fit the protocol's 64-bit integers.
MAX_INTEGER = 1 << 62


def check_number(value: int) -> int:
    """Return a number that fits; raise ValueError on any other."""
    if not 0 <= value < MAX_INTEGER:
        raise ValueError(f"the number {value} is out of bounds")
    return value


def _real(value: float) -> float:
    if not 0 <= value < MAX_INTEGER:
        raise ValueError(f"the number {value} is out of bounds")
    return value


def check_text(value: str, most: int = MAX_NAME_LENGTH) -> str:
    """Return a printable text of bounded length; raise ValueError on any other."""
    if len(value) > most:
        raise ValueError(f"a text has {len(value)} letters, at most {most}")
    if not value.isprintable():
        raise ValueError("a text has control characters")
    return value


def check_items(values: Sequence[Any], most: int = MAX_ITEMS) -> Sequence[Any]:
    """Return a list of bounded length; raise ValueError on any other."""
    if len(values) > most:
        raise ValueError(f"a list has {len(values)} items, at most {most}")
    return values


def stamp_to_wire(stamp: Stamp) -> pb.Stamp:
    """Return the message of a stamp."""
    return pb.Stamp(wall_us=stamp.wall_us, counter=stamp.counter)


def stamp_from_wire(message: pb.Stamp) -> Stamp:
    """Return the stamp of a message."""
    return Stamp(check_number(message.wall_us), check_number(message.counter))


def head_to_wire(head: Head) -> pb.Revision:
    """Return the message of a head."""
    return pb.Revision(number=head.revision, digest=head.digest)


def head_from_wire(message: pb.Revision) -> Head:
    """Return the head of a message."""
    return Head(check_number(message.number), check_text(message.digest))


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
        host=check_text(message.host),
        zone=check_text(message.zone),
        incarnation=check_number(message.incarnation),
        sequence=check_number(message.sequence),
        state=MemberState(message.state),
        region=check_text(message.region),
        calls_address=check_text(message.calls_address),
        operators_address=check_text(message.operators_address),
        age_s=check_number(message.age_s),
        upstreams=tuple(
            UpstreamInfo(
                service=check_text(item.service),
                version=check_text(item.version),
                address=check_text(item.address),
                slots=check_number(item.slots),
                connections=check_number(item.connections),
                draining=item.draining,
            )
            for item in check_items(message.upstreams, MAX_UPSTREAMS)
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
            check_text(item.trial),
            check_text(item.reason, MAX_TEXT_LENGTH),
            check_number(item.first_failure_ms),
        )
        for item in check_items(messages)
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
        sender=check_text(message.sender),
        pair=(check_number(message.incarnation), check_number(message.sequence)),
        revision=head_from_wire(message.revision),
        updates=tuple(member_from_wire(item) for item in check_items(message.updates)),
        brakes=brakes_from_wire(message.brakes),
        want_entry=message.want_entry,
        want_all=is_request and message.want_all,
        fingerprint=tuple(check_items(message.fingerprint)) if is_request else (),
        floor=0 if is_request else check_number(message.floor),
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
        sender=check_text(message.sender),
        origin=check_text(message.origin),
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
    for item in check_items(messages):
        sane = len(item.latency_buckets) == BUCKET_COUNT
        if sane and item.window in windows and item.failures <= item.calls:
            windows[Window(item.window)][
                check_text(item.route), check_text(item.version)
            ] = Tally(
                check_number(item.calls),
                check_number(item.failures),
                tuple(check_number(count) for count in item.latency_buckets),
            )
    return windows


def recent_from_wire(messages: Sequence[Any]) -> Recent:
    """Return the new version's last slots by route."""
    return {
        check_text(item.route): tuple(
            (check_number(calls), check_number(failures))
            for calls, failures in zip(
                check_items(item.calls), check_items(item.failures), strict=False
            )
        )
        for item in check_items(messages)
    }


def report_from_wire(message: pb.EvidenceReply) -> EvidenceReport:
    """Return the evidence report of a reply.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    report = Report(
        trial=check_text(message.trial),
        step=check_number(message.step),
        windows=windows_from_wire(message.routes),
        first_failure_ms=check_number(message.first_failure_ms),
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
    return check_text(message.host)


def digests_from_wire(message: pb.FetchRequest) -> tuple[str, ...]:
    """Return the digests that a request asks for.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    return tuple(check_text(digest) for digest in check_items(message.digests))


def witness_from_wire(message: pb.WitnessRequest) -> tuple[str, int]:
    """Return the host and the revision that a request tells of.

    Raises:
        ValueError: A part of the message is out of bounds.
    """
    return check_text(message.host), check_number(message.revision)


def status_to_wire(status: NodeStatus) -> pb.StatusReply:
    """Return the reply of a node's status."""
    return pb.StatusReply(**attrs.asdict(status))


def status_from_wire(message: pb.StatusReply) -> NodeStatus:
    """Return the status of a reply."""
    names = [field.name for field in attrs.fields(NodeStatus)]
    return NodeStatus(**{name: getattr(message, name) for name in names})
