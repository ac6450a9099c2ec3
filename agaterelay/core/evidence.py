"""What calls showed of the versions of a service, by route."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

import attrs

# Upper bounds of the latency buckets in milliseconds; the last bucket is open.
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


@attrs.frozen
class Tally:
    """Calls of one route on one version."""

    calls: int = 0
    failures: int = 0
    latency_buckets: tuple[int, ...] = (0,) * (len(LATENCY_BOUNDS_MS) + 1)


# Tallies by (route, version).
Evidence = dict[tuple[str, str], Tally]


def count_call(tally: Tally, failed: bool, latency_ms: float) -> Tally:
    """Return the tally with one more call."""
    bucket = bisect_left(LATENCY_BOUNDS_MS, latency_ms)
    buckets = list(tally.latency_buckets)
    buckets[bucket] += 1
    return Tally(tally.calls + 1, tally.failures + int(failed), tuple(buckets))


def add_evidence(parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of what several nodes saw."""
    total: Evidence = {}
    for part in parts:
        for key, tally in part.items():
            known = total.get(key, Tally())
            buckets = zip(known.latency_buckets, tally.latency_buckets, strict=True)
            total[key] = Tally(
                known.calls + tally.calls,
                known.failures + tally.failures,
                tuple(left + right for left, right in buckets),
            )
    return total
