"""Conversion between events, event queries and the generated protobuf messages."""

from __future__ import annotations

import json

from agaterelay.adapters.wire import (
    PROTOCOL,
    check_items,
    check_number,
    check_text,
    stamp_from_wire,
    stamp_to_wire,
)
from agaterelay.core.messages import EventsReport
from agaterelay.core.timeline import Event, EventsQuery
from agaterelay.proto import peer_pb2 as pb

MAX_FIELDS_BYTES = 64 << 10


def event_to_wire(event: Event) -> pb.Event:
    """Encode an event."""
    return pb.Event(
        stamp=stamp_to_wire(event.stamp),
        host=event.host,
        number=event.number,
        name=event.name,
        fields_json=json.dumps(event.fields, default=str),
    )


def event_from_wire(message: pb.Event) -> Event:
    """Decode an event.

    Raises:
        ValueError: A field of the message is invalid.
    """
    if len(message.fields_json) > MAX_FIELDS_BYTES:
        raise ValueError("event fields exceed the size limit")
    try:
        fields = json.loads(message.fields_json)
    except RecursionError as error:
        raise ValueError("event fields are nested too deeply") from error
    if not isinstance(fields, dict):
        raise ValueError("event fields are not a JSON object")
    return Event(
        stamp=stamp_from_wire(message.stamp),
        host=check_text(message.host),
        number=check_number(message.number),
        name=check_text(message.name),
        fields=fields,
    )


def events_from_wire(message: pb.EventsReply) -> EventsReport:
    """Decode the events of a reply.

    Raises:
        ValueError: A field of the message is invalid.
    """
    return EventsReport(
        tuple(event_from_wire(item) for item in check_items(message.events))
    )


def query_to_wire(query: EventsQuery) -> pb.EventsRequest:
    """Encode an event query."""
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
    """Decode an event query.

    Raises:
        ValueError: A field of the message is invalid.
    """
    return EventsQuery(
        after=stamp_from_wire(message.after),
        most=check_number(message.most),
        change=check_text(message.change),
        revision=check_number(message.revision),
        move=check_text(message.move),
        request=check_text(message.request),
        number=check_number(message.number),
    )
