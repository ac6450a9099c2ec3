"""Run all benches one after the other, then draw their plots.

The machine must be quiet: one bench at a time, nothing else running.
"""

from __future__ import annotations

import argparse
import importlib
import json
import sys
from pathlib import Path
from typing import Any

from bench.measure import OUT
from bench.plots import draw_all

BENCHES = ("moves", "latency", "overload", "convergence", "control", "mesh_cost")


def numbers(value: Any, path: str = "") -> dict[str, float]:
    """Return all numbers of a result by their path in it."""
    if isinstance(value, dict):
        found: dict[str, float] = {}
        for key, item in value.items():
            found |= numbers(item, f"{path}/{key}")
        return found
    if isinstance(value, int | float) and not isinstance(value, bool):
        return {path: float(value)}
    return {}


def compare(earlier: Path) -> list[str]:
    """Return a line for each figure of this run beside that of an earlier run."""
    lines = []
    for path in sorted(OUT.glob("*.json")):
        old_path = earlier / path.name
        if not old_path.exists():
            continue
        old = numbers(json.loads(old_path.read_text()))
        for name, figure in numbers(json.loads(path.read_text())).items():
            if name in old:
                lines.append(f"{path.stem}{name}: {old[name]:g} -> {figure:g}")
    return lines


def main() -> None:
    """Run the benches that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("benches", nargs="*", default=BENCHES)
    parser.add_argument("--compare", type=Path, help="folder of an earlier run's JSON")
    arguments = parser.parse_args()
    for name in arguments.benches:
        print(f"== {name}", flush=True)
        sys.argv = [f"bench.{name}"]
        importlib.import_module(f"bench.{name}").main()
    draw_all()
    if arguments.compare:
        print("\n".join(compare(arguments.compare)))


if __name__ == "__main__":
    main()
