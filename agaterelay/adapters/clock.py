"""The clock of the operating system."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime


class SystemClock:
    """A ``Clock`` that reads the system's time."""

    def now(self) -> datetime:
        """Return the wall-clock time, in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the time since the host was booted, in seconds.

        Unlike the plain monotonic clock it counts the time that the host was suspended.
        A deadline or a claim that ran out meanwhile is over when the process goes on.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task for a delay in seconds."""
        await asyncio.sleep(delay_s)
