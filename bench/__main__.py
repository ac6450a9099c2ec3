"""Run all benches one after another, then draw their plots.

Nothing else may run on the machine, as that would distort the results.
"""

from __future__ import annotations

import argparse
import importlib
import json
import sys
from pathlib import Path
from typing import Any

from bench.measure import OUTPUT_DIR
from bench.plots import draw_all

BENCHES = ("moves", "latency", "overload", "convergence", "control", "mesh_cost")


def flatten_numbers(value: Any, path: str = "") -> dict[str, float]:
    """Return all numbers of a nested result by their path in it."""
    if isinstance(value, dict):
        numbers: dict[str, float] = {}
        for key, item in value.items():
            numbers |= flatten_numbers(item, f"{path}/{key}")
        return numbers
    if isinstance(value, int | float) and not isinstance(value, bool):
        return {path: float(value)}
    return {}


def compare_results(earlier: Path) -> list[str]:
    """Return a line for each figure that compares this run with an earlier one."""
    lines = []
    for path in sorted(OUTPUT_DIR.glob("*.json")):
        old_path = earlier / path.name
        if not old_path.exists():
            continue
        old = flatten_numbers(json.loads(old_path.read_text()))
        for name, new_number in flatten_numbers(json.loads(path.read_text())).items():
            if name in old:
                lines.append(f"{path.stem}{name}: {old[name]:g} -> {new_number:g}")
    return lines


def main() -> None:
    """Run the benches that the arguments name, or all of them."""
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
        print("\n".join(compare_results(arguments.compare)))


if __name__ == "__main__":
    main()
