"""Measurements that the benches share: machine, traffic, processes, percentiles."""

from __future__ import annotations

import json
import os
import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import attrs
import psutil

OUTPUT_DIR = Path(__file__).parent / "out"
MIB = 1 << 20


@attrs.frozen
class Usage:
    """The processor time that processes have used, and the memory that they use."""

    cpu_s: float
    rss_bytes: int
    unique_bytes: int


def describe_machine() -> dict[str, Any]:
    """Return the number of processor cores and the memory of the machine."""
    memory_gib = psutil.virtual_memory().total / (1 << 30)
    return {"cores": os.cpu_count(), "memory_gib": round(memory_gib, 1)}


def read_loopback_bytes() -> int:
    """Return the bytes sent over the loopback interface so far, headers included."""
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent


def measure_usage(pids: Iterable[int]) -> Usage:
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
    """Return a percentile by the nearest rank, or NaN if there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    rank = max(0, min(len(ordered) - 1, round(percent / 100 * len(ordered)) - 1))
    return ordered[rank]


def summarize_values(values: Sequence[float]) -> dict[str, float]:
    """Return the figures of a distribution that the documentation shows."""
    if not values:
        return {"count": 0}
    return {
        "count": len(values),
        "p50": round(percentile(values, 50), 4),
        "p99": round(percentile(values, 99), 4),
        "max": round(max(values), 4),
        "stdev": round(statistics.pstdev(values), 4),
    }


def write_result(name: str, result: dict[str, Any]) -> None:
    """Print a result and write it as JSON under ``bench/out``."""
    OUTPUT_DIR.mkdir(exist_ok=True)
    result = {"bench": name, "machine": describe_machine(), **result}
    text = json.dumps(result, indent=2)
    (OUTPUT_DIR / f"{name}.json").write_text(text + "\n")
    print(text)
