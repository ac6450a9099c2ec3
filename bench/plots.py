"""Draw the figures of the newest run as plots for ``docs/MEASURES.md``."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import matplotlib

from bench.measure import OUT

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "agaterelay"

from matplotlib import pyplot  # noqa: E402

PLOTS = Path(__file__).parent.parent / "docs" / "measures"


def load(name: str) -> dict[str, Any] | None:
    """Return a bench's newest result, None where it was not run."""
    path = OUT / f"{name}.json"
    return json.loads(path.read_text()) if path.exists() else None


def save(name: str) -> None:
    """Write the present plot."""
    PLOTS.mkdir(exist_ok=True)
    pyplot.tight_layout()
    pyplot.savefig(PLOTS / f"{name}.svg", metadata={"Date": None})
    pyplot.close()


def draw_convergence(result: dict[str, Any]) -> None:
    """Draw convergence time by number of nodes, beside the baseline's."""
    sizes = result["sizes"]
    nodes = [int(size) for size in sizes]
    pyplot.figure(figsize=(6, 3.5))
    for kind, label in (
        (("quiet_s",), "quiet"),
        (("restarts_s",), "10 % of nodes restarting"),
        (("cut", "after_heal_s"), "after a zone's cut healed"),
        (("baseline_polling", "convergence_s"), "baseline: every node polls"),
    ):
        figures = []
        for size in sizes.values():
            value: Any = size
            for key in kind:
                value = value[key]
            figures.append(value["p99"])
        pyplot.plot(nodes, figures, marker="o", label=label)
    pyplot.xlabel("nodes")
    pyplot.ylabel("p99 convergence, s")
    pyplot.ylim(bottom=0)
    pyplot.legend(fontsize=8)
    save("convergence")


def draw_control(result: dict[str, Any]) -> None:
    """Draw control bytes by number of nodes."""
    sizes = result["sizes"]
    nodes = [int(size) for size in sizes]
    pyplot.figure(figsize=(6, 3.5))
    for kind in ("idle", "churn"):
        figures = [size[kind]["bytes_per_node_s"] for size in sizes.values()]
        pyplot.plot(nodes, figures, marker="o", label=f"{kind}, a node and second")
    figures = [size["change"]["bytes_per_node_change"] for size in sizes.values()]
    pyplot.plot(nodes, figures, marker="o", label="a node and change")
    pyplot.axhline(3000, linestyle="--", color="grey", label="budget, a second")
    pyplot.xlabel("nodes")
    pyplot.ylabel("bytes on the wire")
    pyplot.ylim(bottom=0)
    pyplot.legend(fontsize=8)
    save("control")


DRAWINGS = {"convergence": draw_convergence, "control": draw_control}


def draw_all() -> None:
    """Draw every plot whose bench was run."""
    for name, draw in DRAWINGS.items():
        result = load(name)
        if result is not None:
            draw(result)


if __name__ == "__main__":
    draw_all()
