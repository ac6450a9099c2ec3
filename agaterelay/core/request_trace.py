"""Build the trace of one request from the lines that nodes logged.

Hosts' clocks differ and may jump, so lines of different hosts are not ordered by time.
The lines of one host stay in the order in which it wrote them. The inbound proxy's line
on a call comes before the outbound proxy's line on the end of that attempt, which names
the instance.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

# A host's state when the request arrived: its last line of each of these events.
CONTEXT_EVENTS = (
    "node_started",
    "node_stopping",
    "settings_reloaded",
    "revision_activated",
    "platform_lost",
    "platform_back",
    "upstream_announced",
    "upstream_draining",
    "upstream_withdrawn",
    "upstream_limited",
    "move_stepped",
    "move_finished",
    "move_braked",
)
_INBOUND_EVENTS = frozenset({"call_ran", "call_failed"})
_DESCRIPTIONS = {
    "call_ran": "the upstream ran it",
    "call_failed": "the upstream ran it, and it failed",
    "call_try_ended": "a try ended without an answer",
    "call_repeated": "it is sent to another upstream",
    "budget_spent": "it is not repeated: no repeats are left",
    "call_not_run": "the caller was refused; it did not run",
    "call_unknown": "the caller was told that it may have run",
    "call_ended": "the caller got the upstream's answer",
    "call_cancelled": "the caller left",
    "upstream_crashed": "its upstream ended with calls in hand",
    "request_held": "the request is held back from now on",
    "request_refused": "it was refused before it was placed anywhere",
}
_OMITTED_FIELDS = frozenset(
    {"event", "host", "number", "timestamp", "wall_us", "counter", "request_id"}
)


@attrs.frozen
class LogLine:
    """A logged event; ``position`` is its index in the output."""

    host: str
    event: str
    position: int
    fields: dict[str, Any]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse the events in log output; lines that are no events are skipped."""
    lines = []
    for position, text in enumerate(texts):
        start = text.find("{")
        try:
            fields = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields and "host" in fields:
            lines.append(LogLine(fields["host"], fields["event"], position, fields))
    return lines


def find_request_trace(lines: Sequence[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines on a request in causal order, empty if there are none."""
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    inbound_lines = [line for line in own if line.event in _INBOUND_EVENTS]
    trace: list[LogLine] = []
    for line in own:
        if line.event in _INBOUND_EVENTS:
            continue
        instance = line.fields.get("instance")
        for inbound_line in tuple(inbound_lines):
            ends = line.event in ("call_ended", "call_unknown", "call_cancelled")
            if ends or inbound_line.fields.get("instance") == instance:
                inbound_lines.remove(inbound_line)
                trace.append(inbound_line)
        trace.append(line)
    return trace + inbound_lines


def find_host_context(
    lines: Sequence[LogLine], trace: Sequence[LogLine]
) -> list[LogLine]:
    """Return the lines on the state of the trace's hosts before the request arrived."""
    host_lines: list[LogLine] = []
    first = {}
    for line in trace:
        first.setdefault(line.host, line.position)
    for host, position in first.items():
        last: dict[str, LogLine] = {}
        for line in lines:
            if line.host == host and line.position < position:
                if line.event in CONTEXT_EVENTS:
                    last[line.event] = line
        host_lines += sorted(last.values(), key=lambda line: line.position)
    return host_lines


def find_crashes(lines: Sequence[LogLine], trace: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines on the crashes for which a request of the trace is held back.

    The reason of its refusal ends with its key, the line that it is held back names the
    crashes, and each crash has a line of the host whose upstream ended.
    """
    reasons = [str(line.fields.get("reason", "")) for line in trace]
    held = {
        line.fields["key"]: line
        for line in lines
        if line.event == "request_held"
        and any(reason.endswith(line.fields.get("key", " ")) for reason in reasons)
    }
    crashes = {crash for line in held.values() for crash in line.fields["crashes"]}
    ended = [
        line
        for line in lines
        if line.event == "upstream_crashed" and line.fields.get("crash") in crashes
    ]
    return [*ended, *held.values()]


def format_line(line: LogLine) -> str:
    """Format a line for people to read."""
    description = _DESCRIPTIONS.get(line.event, line.event.replace("_", " "))
    details = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in _OMITTED_FIELDS and value not in ("", None)
    )
    return f"{line.host}: {description}" + (f" ({details})" if details else "")
