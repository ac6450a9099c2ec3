"""``agaterelay timeline``: prints the events of all processes in causal order."""

from __future__ import annotations

import json
import time
from collections import OrderedDict
from datetime import UTC, datetime
from typing import Annotated, Any

import attrs
import cappa

from agaterelay.cli.api import fetch_body
from agaterelay.cli.options import AsJson, NodeAddress
from agaterelay.cli.outcome import print_result, report_progress

FOLLOW_PERIOD_S = 1.0
FOLLOW_OVERLAP_US = 5_000_000
MAX_REMEMBERED_EVENTS = 20_000
DEFAULT_MAX_EVENTS = 500


def run_timeline(command: Timeline) -> None:
    """Print the events that match the filters; with ``--follow`` also new ones."""
    filters = {
        "change": command.change or "",
        "move": command.move or "",
        "request": command.request or "",
        "host": command.host or "",
        "number": command.number or 0,
        "most": command.most,
    }
    response = fetch_body(command.node, "/v1/timeline", **filters)
    _report_unreachable(response)
    lines = [format_event(event) for event in response["events"]]
    if not command.follow:
        print_result(response, command.json, lines or ["no events"])
        return
    print_events(response["events"], command.json)
    follow(command, filters, response["events"])


def follow(command: Timeline, filters: dict[str, Any], events: list[Any]) -> None:
    """Print new events until interrupted.

    Each request overlaps the last one by ``FOLLOW_OVERLAP_US``, since an event of a
    slow node may arrive after later events of other nodes.
    """
    printed = _PrintedEvents()
    printed.record_new(events)
    newest_us = max((event["stamp"]["wall_us"] for event in events), default=0)
    while True:
        time.sleep(FOLLOW_PERIOD_S)
        after_us = max(newest_us - FOLLOW_OVERLAP_US, 0)
        response = fetch_body(
            command.node, "/v1/timeline", **filters, after_us=after_us
        )
        new_events = printed.record_new(response["events"])
        print_events(new_events, command.json)
        newest_us = max(
            [newest_us, *(event["stamp"]["wall_us"] for event in new_events)]
        )


class _PrintedEvents:
    """The identities of the newest printed events, at most MAX_REMEMBERED_EVENTS."""

    def __init__(self) -> None:
        self._keys: OrderedDict[tuple[Any, ...], None] = OrderedDict()

    def record_new(self, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return the events that were not printed before, and remember them."""
        new_events = []
        for event in events:
            stamp = event["stamp"]
            key = (stamp["wall_us"], stamp["counter"], event["host"])
            if key not in self._keys:
                self._keys[key] = None
                new_events.append(event)
        while len(self._keys) > MAX_REMEMBERED_EVENTS:
            self._keys.popitem(last=False)
        return new_events


def print_events(events: list[dict[str, Any]], as_json: bool) -> None:
    """Print events, one per line."""
    for event in events:
        print(json.dumps(event) if as_json else format_event(event), flush=True)


def format_event(event: dict[str, Any]) -> str:
    """Return an event as a line: its time, host, number, name and fields."""
    stamp = event["stamp"]
    when = datetime.fromtimestamp(stamp["wall_us"] / 1_000_000, UTC)
    counter = f"+{stamp['counter']}" if stamp["counter"] else ""
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in event["fields"].items()
        if value not in ("", None)
    )
    return (
        f"{when:%H:%M:%S.%f}{counter:<4} {event['host']:<21} {event['number']} "
        f"{event['name']} {fields}"
    ).rstrip()


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    return json.dumps(text) if " " in text or not text.isprintable() else text


def _report_unreachable(response: dict[str, Any]) -> None:
    if response["unreachable"]:
        hosts = ", ".join(response["unreachable"])
        report_progress(f"events of unreachable hosts are missing: {hosts}")


def _filter_option(long: str, text: str) -> Any:
    return cappa.Arg(long=long, help=text)


@cappa.command(invoke=run_timeline, help="Show the events of all processes.")
@attrs.define
class Timeline:
    """The arguments of ``timeline``."""

    node: NodeAddress
    change: Annotated[str | None, _filter_option("--change", "Only this change.")] = (
        None
    )
    move: Annotated[str | None, _filter_option("--move", "Only this move.")] = None
    request: Annotated[
        str | None, _filter_option("--request", "Only the request of this id.")
    ] = None
    host: Annotated[
        str | None, _filter_option("--host", "Only events of this host.")
    ] = None
    number: Annotated[
        int | None, _filter_option("--number", "Only events of this number.")
    ] = None
    most: Annotated[int, _filter_option("--most", "Maximum number of events.")] = (
        DEFAULT_MAX_EVENTS
    )
    follow: Annotated[bool, _filter_option("--follow", "Keep printing new events.")] = (
        False
    )
    json: AsJson = False
