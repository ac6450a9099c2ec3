"""``agaterelay timeline``: the events of all processes, merged in causal order."""

from __future__ import annotations

import json
import time
from collections import OrderedDict
from datetime import UTC, datetime
from typing import Annotated, Any

import attrs
import cappa

from agaterelay.cli.api import read
from agaterelay.cli.options import AsJson, NodeAddress
from agaterelay.cli.outcome import report_progress, show

FOLLOW_PERIOD_S = 1.0
OVERLAP_US = 5_000_000
MAX_REMEMBERED = 20_000
DEFAULT_MOST = 500


def run_timeline(command: Timeline) -> None:
    """Print the events that pass the filters; with ``--follow`` go on."""
    filters = {
        "change": command.change or "",
        "move": command.move or "",
        "request": command.request or "",
        "host": command.host or "",
        "number": command.number or 0,
        "most": command.most,
    }
    answer = read(command.node, "/v1/timeline", **filters)
    _report_unreachable(answer)
    lines = [event_line(event) for event in answer["events"]]
    if not command.follow:
        show(answer, command.json, lines or ["no events"])
        return
    show_events(answer["events"], command.json)
    follow(command, filters, answer["events"])


def follow(command: Timeline, filters: dict[str, Any], events: list[Any]) -> None:
    """Print new events until interrupted.

    Each request reaches back a little, since an event of a slow node arrives after
    later ones of others.
    """
    seen = _Seen()
    seen.take(events)
    newest_us = max((event["stamp"]["wall_us"] for event in events), default=0)
    while True:
        time.sleep(FOLLOW_PERIOD_S)
        after_us = max(newest_us - OVERLAP_US, 0)
        answer = read(command.node, "/v1/timeline", **filters, after_us=after_us)
        fresh = seen.take(answer["events"])
        show_events(fresh, command.json)
        newest_us = max([newest_us, *(event["stamp"]["wall_us"] for event in fresh)])


class _Seen:
    """The newest events that were printed, up to a bound."""

    def __init__(self) -> None:
        self._keys: OrderedDict[tuple[Any, ...], None] = OrderedDict()

    def take(self, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return the events that were not seen before, and remember them."""
        fresh = []
        for event in events:
            stamp = event["stamp"]
            key = (stamp["wall_us"], stamp["counter"], event["host"])
            if key not in self._keys:
                self._keys[key] = None
                fresh.append(event)
        while len(self._keys) > MAX_REMEMBERED:
            self._keys.popitem(last=False)
        return fresh


def show_events(events: list[dict[str, Any]], as_json: bool) -> None:
    """Print events, one a line."""
    for event in events:
        print(json.dumps(event) if as_json else event_line(event), flush=True)


def event_line(event: dict[str, Any]) -> str:
    """Return an event as a line: when, where, what, and its fields."""
    stamp = event["stamp"]
    when = datetime.fromtimestamp(stamp["wall_us"] / 1_000_000, UTC)
    counter = f"+{stamp['counter']}" if stamp["counter"] else ""
    fields = " ".join(
        f"{name}={_shown(value)}"
        for name, value in event["fields"].items()
        if value not in ("", None)
    )
    return (
        f"{when:%H:%M:%S.%f}{counter:<4} {event['host']:<21} {event['number']} "
        f"{event['name']} {fields}"
    ).rstrip()


def _shown(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    return json.dumps(text) if " " in text or not text.isprintable() else text


def _report_unreachable(answer: dict[str, Any]) -> None:
    if answer["unreachable"]:
        hosts = ", ".join(answer["unreachable"])
        report_progress(f"without the events of unreachable hosts: {hosts}")


def _filter(long: str, text: str) -> Any:
    return cappa.Arg(long=long, help=text)


@cappa.command(invoke=run_timeline, help="Show the events of all processes.")
@attrs.define
class Timeline:
    """The arguments of ``timeline``."""

    node: NodeAddress
    change: Annotated[str | None, _filter("--change", "Only this change.")] = None
    move: Annotated[str | None, _filter("--move", "Only this move.")] = None
    request: Annotated[
        str | None, _filter("--request", "Only the request of this id.")
    ] = None
    host: Annotated[str | None, _filter("--host", "Only events of this host.")] = None
    number: Annotated[
        int | None, _filter("--number", "Only events of this number.")
    ] = None
    most: Annotated[int, _filter("--most", "At most so many events.")] = DEFAULT_MOST
    follow: Annotated[bool, _filter("--follow", "Go on with new events.")] = False
    json: AsJson = False
