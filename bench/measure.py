"""What all benches share: the machine, loopback bytes, processes, percentiles."""

from __future__ import annotations

import json
import os
import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import attrs
import psutil

OUT = Path(__file__).parent / "out"
MIB = 1 << 20


@attrs.frozen
class Usage:
    """What a set of processes has used so far."""

    cpu_s: float
    rss_bytes: int
    unique_bytes: int


def machine() -> dict[str, Any]:
    """Return the machine's size."""
    memory_gib = psutil.virtual_memory().total / (1 << 30)
    return {"cores": os.cpu_count(), "memory_gib": round(memory_gib, 1)}


def loopback_bytes() -> int:
    """Return the bytes that went over the loopback interface, headers included."""
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent


def usage(pids: Iterable[int]) -> Usage:
    """Return the processor time and memory of processes, summed."""
    cpu_s, rss_bytes, unique_bytes = 0.0, 0, 0
    for pid in pids:
        process = psutil.Process(pid)
        times = process.cpu_times()
        memory = process.memory_full_info()
        cpu_s += times.user + times.system
        rss_bytes += memory.rss
        unique_bytes += memory.uss
    return Usage(cpu_s, rss_bytes, unique_bytes)


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by the nearest rank; NaN of no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    rank = max(0, min(len(ordered) - 1, round(percent / 100 * len(ordered)) - 1))
    return ordered[rank]


def summary(values: Sequence[float]) -> dict[str, float]:
    """Return the figures of a distribution that the pages show."""
    if not values:
        return {"count": 0}
    return {
        "count": len(values),
        "p50": round(percentile(values, 50), 4),
        "p99": round(percentile(values, 99), 4),
        "max": round(max(values), 4),
        "stdev": round(statistics.pstdev(values), 4),
    }


def write(name: str, result: dict[str, Any]) -> None:
    """Print a result and write it as JSON under ``bench/out``."""
    OUT.mkdir(exist_ok=True)
    result = {"bench": name, "machine": machine(), **result}
    text = json.dumps(result, indent=2)
    (OUT / f"{name}.json").write_text(text + "\n")
    print(text)
