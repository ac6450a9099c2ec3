"""Recognise calls that an upstream makes for a request that it is running.

Such a call's id extends the id of its parent: ``PARENT.CHILD``. The id is only a hint, and
callers choose their ids too, so the parent must be running at this moment, and only a few
calls of one parent are nested at a time.
"""

from __future__ import annotations

import attrs

# An upstream that runs one request calls few others at once.
MAX_NESTED_PER_PARENT = 4


@attrs.define
class RunningCalls:
    """The calls that an upstream runs, and their nested calls in progress, by id."""

    counts: dict[str, int] = attrs.field(factory=dict)
    nested: dict[str, int] = attrs.field(factory=dict)


def record_start(running: RunningCalls, call_id: str) -> None:
    """Count a call that is sent to the upstream."""
    running.counts[call_id] = running.counts.get(call_id, 0) + 1


def record_end(running: RunningCalls, call_id: str) -> None:
    """Stop counting a call that has ended."""
    _decrement(running.counts, call_id)


def begin_nested(running: RunningCalls, call_id: str) -> str | None:
    """Return the parent of a call if it counts as nested, else None.

    If a parent is returned, ``end_nested`` must be called once the call has ended.
    """
    parent, separator, _ = call_id.rpartition(".")
    if not separator or not parent or parent not in running.counts:
        return None
    if running.nested.get(parent, 0) >= MAX_NESTED_PER_PARENT:
        return None
    running.nested[parent] = running.nested.get(parent, 0) + 1
    return parent


def end_nested(running: RunningCalls, parent: str) -> None:
    """Stop counting a nested call."""
    _decrement(running.nested, parent)


def _decrement(counts: dict[str, int], key: str) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
