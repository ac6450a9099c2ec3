"""Plot the results of the newest run for ``docs/MEASURES.md``."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import matplotlib

from bench.measure import OUTPUT_DIR

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "agaterelay"

from matplotlib import pyplot  # noqa: E402

PLOT_DIR = Path(__file__).parent.parent / "docs" / "measures"


def load_result(name: str) -> dict[str, Any] | None:
    """Return a bench's newest result, or None if it has not been run."""
    path = OUTPUT_DIR / f"{name}.json"
    return json.loads(path.read_text()) if path.exists() else None


def save_plot(name: str) -> None:
    """Write the current plot as an SVG file and close it."""
    PLOT_DIR.mkdir(exist_ok=True)
    pyplot.tight_layout()
    pyplot.savefig(PLOT_DIR / f"{name}.svg", metadata={"Date": None})
    pyplot.close()


def draw_convergence(result: dict[str, Any]) -> None:
    """Plot convergence time by number of nodes, with that of the baseline."""
    sizes = result["sizes"]
    nodes = [int(size) for size in sizes]
    pyplot.figure(figsize=(6, 3.5))
    for kind, label in (
        (("quiet_s",), "quiet"),
        (("restarts_s",), "10 % of nodes restarting"),
        (("cut", "after_heal_s"), "after a zone's cut healed"),
        (("baseline_polling", "convergence_s"), "baseline: every node polls"),
    ):
        values = []
        for size in sizes.values():
            value: Any = size
            for key in kind:
                value = value[key]
            values.append(value["p99"])
        pyplot.plot(nodes, values, marker="o", label=label)
    pyplot.xlabel("nodes")
    pyplot.ylabel("p99 convergence, s")
    pyplot.ylim(bottom=0)
    pyplot.legend(fontsize=8)
    save_plot("convergence")


def draw_control(result: dict[str, Any]) -> None:
    """Plot the bytes of the control plane by number of nodes."""
    sizes = result["sizes"]
    nodes = [int(size) for size in sizes]
    pyplot.figure(figsize=(6, 3.5))
    for kind in ("idle", "churn"):
        values = [size[kind]["bytes_per_node_s"] for size in sizes.values()]
        pyplot.plot(nodes, values, marker="o", label=f"{kind}, a node and second")
    values = [size["change"]["bytes_per_node_change"] for size in sizes.values()]
    pyplot.plot(nodes, values, marker="o", label="a node and change")
    pyplot.axhline(3000, linestyle="--", color="grey", label="budget, a second")
    pyplot.xlabel("nodes")
    pyplot.ylabel("bytes on the wire")
    pyplot.ylim(bottom=0)
    pyplot.legend(fontsize=8)
    save_plot("control")


DRAW_FUNCTIONS = {"convergence": draw_convergence, "control": draw_control}


def draw_all() -> None:
    """Draw the plots of all benches that have results."""
    for name, draw in DRAW_FUNCTIONS.items():
        result = load_result(name)
        if result is not None:
            draw(result)


if __name__ == "__main__":
    draw_all()
