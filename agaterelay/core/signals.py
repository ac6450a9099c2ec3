"""What an upstream says about itself in its answers, beside what it announces."""

from __future__ import annotations

import attrs


@attrs.frozen
class UpstreamSignals:
    """What one answer of an upstream says about it.

    Attributes:
        rate_limit_per_s: The calls per second that the upstream accepts from all hosts
            together, None if the answer names no limit.
        invalid_limit: The text of a limit that can't be read, empty if there is none.
        leaving: Whether the upstream is about to leave.
    """

    rate_limit_per_s: float | None = None
    invalid_limit: str = ""
    leaving: bool = False


NO_SIGNALS = UpstreamSignals()
