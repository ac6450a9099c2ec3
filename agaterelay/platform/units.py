"""Parsing of the platform's duration format: a number and its unit."""

from __future__ import annotations

import re

from agaterelay.core.checked import check_number

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


def parse_seconds(text: object) -> float:
    """Parse a duration like ``1500ms`` or ``2.5s`` into seconds.

    Raises:
        ValueError: The value is not such a duration.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"must be a duration like 1500ms or 2.5s, not {text!r}")
    return check_number(float(match[1])) / (1000 if match[2] == "ms" else 1)
