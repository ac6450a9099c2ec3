"""Conversion between the core's values and the generated protobuf messages."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import attrs

from agaterelay.core.floors import FloorAnswer
from agaterelay.core.membership import Member, MemberState, UpstreamInfo
from agaterelay.core.messages import (
    Brake,
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
# The sum of a few such numbers still fits in the protocol's 64-bit integers.
MAX_INTEGER = 1 << 62


def check_number(value: int) -> int:
    """Return a number from 0 to below MAX_INTEGER.

    Raises:
        ValueError: The number is out of range.
    """
    if not 0 <= value < MAX_INTEGER:
        raise ValueError(f"number {value} is negative or too large")
    return value


def check_text(value: str, max_length: int = MAX_NAME_LENGTH) -> str:
    """Return a printable text of bounded length.

    Raises:
        ValueError: The text is too long or has control characters.
    """
    if len(value) > max_length:
        raise ValueError(
            f"text has {len(value)} characters, at most {max_length} allowed"
        )
    if not value.isprintable():
        raise ValueError("text contains non-printable characters")
    return value


def check_items(values: Sequence[Any], max_items: int = MAX_ITEMS) -> Sequence[Any]:
    """Return a list of bounded length.

    Raises:
        ValueError: The list is too long.
    """
    if len(values) > max_items:
        raise ValueError(f"list has {len(values)} items, at most {max_items} allowed")
    return values


def stamp_to_wire(stamp: Stamp) -> pb.Stamp:
    """Encode a stamp."""
    return pb.Stamp(wall_us=stamp.wall_us, counter=stamp.counter)


def stamp_from_wire(message: pb.Stamp) -> Stamp:
    """Decode a stamp."""
    return Stamp(check_number(message.wall_us), check_number(message.counter))


def head_to_wire(head: Head) -> pb.Revision:
    """Encode a head."""
    return pb.Revision(number=head.revision, digest=head.digest)


def head_from_wire(message: pb.Revision) -> Head:
    """Decode a head."""
    return Head(check_number(message.number), check_text(message.digest))


def member_to_wire(member: Member) -> pb.Member:
    """Encode a member."""
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
    """Decode a member.

    Raises:
        ValueError: A field of the message is invalid.
    """
    if not message.host:
        raise ValueError("member has no host")
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
    """Encode brakes."""
    return [
        pb.Brake(
            trial=item.trial,
            reason=item.reason,
            first_failure_ms=item.first_failure_ms,
        )
        for item in brakes
    ]


def brakes_from_wire(messages: Sequence[Any]) -> tuple[Brake, ...]:
    """Decode brakes."""
    return tuple(
        Brake(
            check_text(item.trial),
            check_text(item.reason, MAX_TEXT_LENGTH),
            check_number(item.first_failure_ms),
        )
        for item in check_items(messages)
    )


def exchange_to_request(exchange: Exchange) -> pb.ExchangeRequest:
    """Encode an exchange as a request."""
    return pb.ExchangeRequest(
        protocol=PROTOCOL,
        want_all=exchange.want_all,
        fingerprint=exchange.fingerprint,
        **_exchange_fields(exchange),
    )


def exchange_to_reply(exchange: Exchange) -> pb.ExchangeReply:
    """Encode an exchange as a reply."""
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
    """Decode the exchange of a request or reply.

    Raises:
        ValueError: A field of the message is invalid.
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
    """Encode a revision notification."""
    return pb.NotifyRequest(
        protocol=PROTOCOL,
        stamp=stamp_to_wire(notify.stamp),
        sender=notify.sender,
        origin=notify.origin,
        revision=head_to_wire(notify.revision),
    )


def notify_from_wire(message: pb.NotifyRequest) -> Notify:
    """Decode a revision notification."""
    return Notify(
        stamp=stamp_from_wire(message.stamp),
        sender=check_text(message.sender),
        origin=check_text(message.origin),
        revision=head_from_wire(message.revision),
    )


def floor_to_wire(answer: FloorAnswer) -> pb.WitnessReply:
    """Encode a floor."""
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
    """Decode a floor."""
    has_age = reply.HasField("head_age_ms")
    return FloorAnswer(
        witnessed=reply.floor,
        own=reply.own_floor,
        settled=reply.settled,
        head_revision=reply.head_revision,
        head_age_s=reply.head_age_ms / 1000 if has_age else None,
    )


def probe_from_wire(message: pb.ProbeForRequest) -> str:
    """Decode the host that a peer asks to probe.

    Raises:
        ValueError: A field of the message is invalid.
    """
    return check_text(message.host)


def digests_from_wire(message: pb.FetchRequest) -> tuple[str, ...]:
    """Decode the digests of the requested bodies.

    Raises:
        ValueError: A field of the message is invalid.
    """
    return tuple(check_text(digest) for digest in check_items(message.digests))


def witness_from_wire(message: pb.WitnessRequest) -> tuple[str, int]:
    """Decode a host and the revision that it is about to serve.

    Raises:
        ValueError: A field of the message is invalid.
    """
    return check_text(message.host), check_number(message.revision)


def status_to_wire(status: NodeStatus) -> pb.StatusReply:
    """Encode a node's status."""
    return pb.StatusReply(**attrs.asdict(status))


def status_from_wire(message: pb.StatusReply) -> NodeStatus:
    """Decode a node's status."""
    names = [field.name for field in attrs.fields(NodeStatus)]
    return NodeStatus(**{name: getattr(message, name) for name in names})
