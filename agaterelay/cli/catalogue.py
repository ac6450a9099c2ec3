"""Writes or checks ``docs/EVENTS.md``, the catalogue of events."""

from __future__ import annotations

import sys
from pathlib import Path

from agaterelay.events import EventKind

_HEADER = """# Events

Every process logs these events and keeps the newest in memory for `agaterelay
timeline`. A number never changes its meaning. This page is written by
`python -m agaterelay.cli.catalogue --write docs/EVENTS.md` and checked in CI.

| number | name | meaning |
| --- | --- | --- |
"""


def render_catalogue() -> str:
    """Return the catalogue page as Markdown."""
    rows = [
        f"| {kind.number} | `{kind.name.lower()}` | {kind.meaning} |\n"
        for kind in sorted(EventKind, key=lambda kind: kind.number)
    ]
    return _HEADER + "".join(rows)


def main(arguments: list[str]) -> int:
    """Check the page at the last argument, or write it with ``--write``.

    Returns:
        The exit status.
    """
    path = Path(arguments[-1])
    if "--write" in arguments:
        path.write_text(render_catalogue())
        return 0
    if path.read_text() != render_catalogue():
        print(f"{path} does not match agaterelay/events.py; write it with --write")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
