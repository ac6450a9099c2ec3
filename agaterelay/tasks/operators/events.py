"""The timeline endpoint: the events of all nodes, merged and filtered."""

from __future__ import annotations

import json
from collections.abc import Iterable

import attrs
from aiohttp import web

from agaterelay.core.messages import EventsReport
from agaterelay.core.timeline import (
    MAX_QUERY_EVENTS,
    Event,
    EventsQuery,
    Stamp,
    merge_events,
    select_events,
)
from agaterelay.events import EventKind
from agaterelay.tasks.board import NodeContext
from agaterelay.tasks.operators.fleet import other_hosts, query_hosts
from agaterelay.tasks.operators.requests import BadRequestError, Operators

MIN_EVENTS_PER_HOST = 50
MAX_FILTER_LENGTH = 200
MAX_INTEGER_DIGITS = 18
_TEXT_FILTERS = ("change", "move", "request")
_NUMBER_FILTERS = ("number", "most", "after_us", "after_counter")


@attrs.frozen
class _CollectedEvents:
    """The events of several nodes, and the hosts that did not respond."""

    events: list[Event]
    unreachable: list[str]


def own_events(context: NodeContext, query: EventsQuery) -> EventsReport:
    """Return this node's events that match a query."""
    return EventsReport(tuple(select_events(context.timeline.ring, query)))


async def show_timeline(operators: Operators, request: web.Request) -> web.Response:
    """Return the events of all reachable nodes in causal order."""
    query, host = _parse_query(request)
    collected = await _collect_events(operators, query, host)
    if query.change:
        revision = _find_revision(operators, query.change, collected.events)
        if revision:
            query = attrs.evolve(query, revision=revision)
            collected = await _collect_events(operators, query, host)
    events = merge_events(collected.events)[-query.most :]
    return web.json_response(
        {
            "events": [attrs.asdict(event) for event in events],
            "unreachable": collected.unreachable,
        },
        dumps=lambda value: json.dumps(value, default=str),
    )


def _parse_query(request: web.Request) -> tuple[EventsQuery, str]:
    """Return the query of a request, and the only host to query, empty for all.

    Raises:
        BadRequestError: A filter is unknown, too long, or not a number.
    """
    known = (*_TEXT_FILTERS, *_NUMBER_FILTERS, "host")
    for name, value in request.query.items():
        if name not in known:
            shown = ", ".join(known)
            raise BadRequestError(f"unknown filter {name[:40]!r}; known: {shown}")
        if len(value) > MAX_FILTER_LENGTH:
            raise BadRequestError(
                f"{name} has more than {MAX_FILTER_LENGTH} characters"
            )
    numbers = {name: _parse_number(request, name) for name in _NUMBER_FILTERS}
    texts = {name: request.query.get(name, "") for name in _TEXT_FILTERS}
    after = Stamp(numbers["after_us"], numbers["after_counter"])
    query = EventsQuery(
        after=after,
        most=min(numbers["most"] or MAX_QUERY_EVENTS, MAX_QUERY_EVENTS),
        number=min(numbers["number"], 1 << 30),
        **texts,
    )
    return query, request.query.get("host", "")


def _parse_number(request: web.Request, name: str) -> int:
    text = request.query.get(name, "0")
    is_valid = text.isascii() and text.isdecimal() and len(text) <= MAX_INTEGER_DIGITS
    if not is_valid:
        raise BadRequestError(f"{name} must be a whole number")
    return int(text)


async def _collect_events(
    operators: Operators, query: EventsQuery, host: str
) -> _CollectedEvents:
    """Query the hosts for events.

    The limit on the number of events is divided among the hosts, unless the query is for
    one change, move or request.
    """
    own = operators.board.own.host
    hosts = [item for item in other_hosts(operators.board) if host in ("", item)]
    max_host_events = max(query.most // max(len(hosts), 1), MIN_EVENTS_PER_HOST)
    host_query = attrs.evolve(query, most=min(query.most, max_host_events))
    if query.change or query.move or query.request:
        host_query = query
    answers = await query_hosts(
        hosts, lambda item: operators.node_context.peers.events(item, host_query)
    )
    events: list[Event] = []
    if host in ("", own):
        events.extend(own_events(operators.node_context, host_query).events)
    for answer in answers.values():
        events.extend(answer.events if answer is not None else ())
    unreachable = [item for item, answer in answers.items() if answer is None]
    if host and host != own and host not in hosts:
        unreachable.append(host)
    return _CollectedEvents(events, unreachable)


def _find_revision(operators: Operators, change: str, events: Iterable[Event]) -> int:
    """Return the revision that a change was committed as, 0 if it is unknown."""
    snapshot = operators.board.active
    for record in snapshot.manifest.changes if snapshot else ():
        if record.change_id == change:
            return record.revision
    for event in events:
        if event.number == EventKind.REVISION_COMMITTED.number:
            return int(event.fields.get("revision", 0))
    return 0
