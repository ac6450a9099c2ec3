"""The system's clock."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime


class SystemClock:
    """Tells the machine's time."""

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return a time in seconds that never jumps."""
        return time.monotonic()

    async def sleep(self, delay_s: float) -> None:
        """Wait for a while."""
        await asyncio.sleep(delay_s)
