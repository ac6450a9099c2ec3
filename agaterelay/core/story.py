"""Tell what became of one request, from the lines that nodes logged.

Hosts' clocks differ and may jump, so lines of different hosts are not ordered by time.
The lines of one host stand in the order in which it wrote them; what a gate says of a
call goes before the entry's line on the end of that try, which names the instance.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

# What a host believed when the request came: the last line of each of these.
BELIEFS = (
    "node_started",
    "node_stopping",
    "settings_reloaded",
    "revision_activated",
    "platform_lost",
    "platform_back",
    "upstream_announced",
    "upstream_draining",
    "upstream_withdrawn",
    "move_stepped",
    "move_finished",
    "move_braked",
)
_GATE_EVENTS = frozenset({"call_ran", "call_failed"})
_WORDS = {
    "call_ran": "the upstream ran it",
    "call_failed": "the upstream ran it, and it failed",
    "call_try_ended": "a try ended without an answer",
    "call_repeated": "it is sent to another upstream",
    "budget_spent": "it is not repeated: no repeats are left",
    "call_not_run": "the caller was refused; it did not run",
    "call_unknown": "the caller was told that it may have run",
    "call_ended": "the caller got the upstream's answer",
    "call_cancelled": "the caller left",
    "request_refused": "it was refused before it was placed anywhere",
}
_LEFT_OUT = frozenset(
    {"event", "host", "number", "timestamp", "wall_us", "counter", "request_id"}
)


@attrs.frozen
class Line:
    """One logged event; ``position`` is its place among its host's lines."""

    host: str
    event: str
    position: int
    fields: dict[str, Any]


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Return the events in some output; what is no event is left out."""
    lines = []
    for position, text in enumerate(texts):
        start = text.find("{")
        try:
            fields = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields and "host" in fields:
            lines.append(Line(fields["host"], fields["event"], position, fields))
    return lines


def find_story(lines: Sequence[Line], request_id: str) -> list[Line]:
    """Return the lines on a request in causal order, empty where there are none."""
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    gates = [line for line in own if line.event in _GATE_EVENTS]
    story: list[Line] = []
    for line in own:
        if line.event in _GATE_EVENTS:
            continue
        instance = line.fields.get("instance")
        for gate in tuple(gates):
            ends = line.event in ("call_ended", "call_unknown", "call_cancelled")
            if ends or gate.fields.get("instance") == instance:
                gates.remove(gate)
                story.append(gate)
        story.append(line)
    return story + gates


def find_beliefs(lines: Sequence[Line], story: Sequence[Line]) -> list[Line]:
    """Return what the story's hosts believed when the request came to them."""
    beliefs: list[Line] = []
    first = {}
    for line in story:
        first.setdefault(line.host, line.position)
    for host, position in first.items():
        last: dict[str, Line] = {}
        for line in lines:
            if line.host == host and line.position < position:
                if line.event in BELIEFS:
                    last[line.event] = line
        beliefs += sorted(last.values(), key=lambda line: line.position)
    return beliefs


def tell(line: Line) -> str:
    """Return a line in words."""
    words = _WORDS.get(line.event, line.event.replace("_", " "))
    details = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in _LEFT_OUT and value not in ("", None)
    )
    return f"{line.host}: {words}" + (f" ({details})" if details else "")
