"""Summarize the runs of ``bench.moves`` and format them for ``docs/MEASURES.md``."""

from __future__ import annotations

import statistics
from typing import Any

from bench.move_kinds import SOUND_VERSIONS

Row = dict[str, Any]


def summarize_runs(
    size: str, level: str, kind: str, policy: str, results: list[dict[str, Any]]
) -> dict[str, Any]:
    harmed = sorted(item["harmed"] for item in results)
    return {
        "size": size,
        "traffic": level,
        "kind": kind,
        "good": kind in SOUND_VERSIONS,
        "policy": policy,
        "runs": len(results),
        "taken_back": sum(item["state"] == "reverted" for item in results),
        "in_time": sum(item["in_time"] for item in results),
        "harmed_median": statistics.median(harmed),
        "harmed_most": harmed[-1],
        "stop_s_median": statistics.median(item["stop_s"] for item in results),
        "finished_s_median": statistics.median(item["finished_s"] for item in results),
        "reasons": sorted({item["reason"] for item in results if item["reason"]})[:2],
    }


def format_tables(rows: list[Row]) -> str:
    """Return the rows as Markdown tables, one for each level of traffic.

    A cell counts the runs of all sizes; its medians are in the order of the sizes.
    """
    return "\n\n".join(
        _format_table([row for row in rows if row["traffic"] == level], level)
        for level in dict.fromkeys(row["traffic"] for row in rows)
    )


def _format_table(rows: list[Row], level: str) -> str:
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    lines = [
        f"| {level} traffic | " + " | ".join(policies) + " |",
        "| --- |" + " --- |" * len(policies),
    ]
    for kind in dict.fromkeys(row["kind"] for row in rows):
        cells = [
            _format_cell(
                [row for row in rows if (row["kind"], row["policy"]) == (kind, policy)]
            )
            for policy in policies
        ]
        lines.append(f"| {kind} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_cell(rows: list[Row]) -> str:
    runs = sum(row["runs"] for row in rows)
    taken_back = sum(row["taken_back"] for row in rows)
    if rows[0]["good"]:
        in_time = sum(row["in_time"] for row in rows)
        return f"{in_time}/{runs} in time, {taken_back} taken back"
    harmed = ", ".join(f"{row['harmed_median']:.0f}" for row in rows)
    stop_s = ", ".join(f"{row['stop_s_median']:.1f}" for row in rows)
    return f"{taken_back}/{runs} taken back; harmed {harmed}; {stop_s} s"
