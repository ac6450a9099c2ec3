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
        """Return the monotonic time, in seconds."""
        return time.monotonic()

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task for a delay in seconds."""
        await asyncio.sleep(delay_s)
