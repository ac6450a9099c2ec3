"""The endpoint of the time line: the events of all processes, merged and filtered."""

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
from agaterelay.tasks.operators.fleet import ask_hosts, other_hosts
from agaterelay.tasks.operators.requests import BadRequestError, Operators

MIN_EVENTS_OF_HOST = 50
MAX_FILTER_LENGTH = 200
MAX_INTEGER_DIGITS = 18
_TEXT_FILTERS = ("change", "move", "request")
_NUMBER_FILTERS = ("number", "most", "after_us", "after_counter")


@attrs.frozen
class _Gathered:
    """The events of several processes, and the hosts that did not answer."""

    events: list[Event]
    unreachable: list[str]


def own_events(context: NodeContext, query: EventsQuery) -> EventsReport:
    """Return this node's events that a query asks for."""
    return EventsReport(tuple(select_events(context.timeline.ring, query)))


async def show_timeline(operators: Operators, request: web.Request) -> web.Response:
    """Return the events of all reachable nodes in causal order."""
    query, host = _read_query(request)
    gathered = await _gather(operators, query, host)
    if query.change:
        revision = _revision_of(operators, query.change, gathered.events)
        if revision:
            query = attrs.evolve(query, revision=revision)
            gathered = await _gather(operators, query, host)
    events = merge_events(gathered.events)[-query.most :]
    return web.json_response(
        {
            "events": [attrs.asdict(event) for event in events],
            "unreachable": gathered.unreachable,
        },
        dumps=lambda value: json.dumps(value, default=str),
    )


def _read_query(request: web.Request) -> tuple[EventsQuery, str]:
    """Return the filters of a request, and the one host to ask, empty for all.

    Raises:
        BadRequestError: A filter is unknown, too long, or not a number.
    """
    known = (*_TEXT_FILTERS, *_NUMBER_FILTERS, "host")
    for name, value in request.query.items():
        if name not in known:
            shown = ", ".join(known)
            raise BadRequestError(f"unknown filter {name[:40]!r}; known: {shown}")
        if len(value) > MAX_FILTER_LENGTH:
            raise BadRequestError(f"{name} has more than {MAX_FILTER_LENGTH} letters")
    numbers = {name: _number(request, name) for name in _NUMBER_FILTERS}
    texts = {name: request.query.get(name, "") for name in _TEXT_FILTERS}
    after = Stamp(numbers["after_us"], numbers["after_counter"])
    query = EventsQuery(
        after=after,
        most=min(numbers["most"] or MAX_QUERY_EVENTS, MAX_QUERY_EVENTS),
        number=min(numbers["number"], 1 << 30),
        **texts,
    )
    return query, request.query.get("host", "")


def _number(request: web.Request, name: str) -> int:
    text = request.query.get(name, "0")
    good = text.isascii() and text.isdecimal() and len(text) <= MAX_INTEGER_DIGITS
    if not good:
        raise BadRequestError(f"{name} must be a whole number")
    return int(text)


async def _gather(operators: Operators, query: EventsQuery, host: str) -> _Gathered:
    """Ask every host for its share of the events that one answer may hold."""
    own = operators.board.own.host
    hosts = [item for item in other_hosts(operators.board) if host in ("", item)]
    share = max(query.most // max(len(hosts), 1), MIN_EVENTS_OF_HOST)
    asked = attrs.evolve(query, most=min(query.most, share))
    if query.change or query.move or query.request:
        asked = query
    answers = await ask_hosts(
        hosts, lambda item: operators.node_context.peers.events(item, asked)
    )
    events: list[Event] = []
    if host in ("", own):
        events.extend(own_events(operators.node_context, asked).events)
    for answer in answers.values():
        events.extend(answer.events if answer is not None else ())
    unreachable = [item for item, answer in answers.items() if answer is None]
    if host and host != own and host not in hosts:
        unreachable.append(host)
    return _Gathered(events, unreachable)


def _revision_of(operators: Operators, change: str, events: Iterable[Event]) -> int:
    """Return the revision that a change became, 0 where nobody knows."""
    snapshot = operators.board.active
    for record in snapshot.manifest.changes if snapshot else ():
        if record.change_id == change:
            return record.revision
    for event in events:
        if event.number == EventKind.REVISION_COMMITTED.number:
            return int(event.fields.get("revision", 0))
    return 0
