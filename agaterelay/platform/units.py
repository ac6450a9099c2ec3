"""The platform's way to write times: a number and its unit."""

from __future__ import annotations

import re

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


def parse_seconds(text: object) -> float:
    """Return a time like ``1500ms`` or ``2.5s`` in seconds.

    Raises:
        ValueError: The text is no such time.
    """
    match = _TIME.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"not a time like 1500ms or 2.5s: {text!r}")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)
