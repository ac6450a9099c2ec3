"""``agaterelay status``: every node, its revision, and what it can reach."""

from __future__ import annotations

from typing import Annotated, Any

import attrs
import cappa

from agaterelay.cli.api import read
from agaterelay.cli.options import AsJson, NodeAddress
from agaterelay.cli.outcome import show, table


def run_status(command: Status) -> None:
    """Print a line a node, and on request a line an upstream."""
    status = read(command.node, "/v1/status")
    lines = node_lines(status)
    if command.upstreams:
        lines += ["", *upstream_lines(status)]
    show(status, command.json, lines)


def node_lines(status: dict[str, Any]) -> list[str]:
    """Return a summary and a table of the nodes."""
    nodes = status["nodes"]
    newest = max(node["held_revision"] for node in nodes)
    current = [node for node in nodes if node["active_revision"] >= newest]
    silent = status["unreachable"] + status["lost"]
    with_platform = sum(node["platform_up"] for node in nodes)
    platform = "reachable" if with_platform else "NOT reachable"
    if 0 < with_platform < len(nodes):
        platform = f"reachable from {with_platform} of {len(nodes)} nodes"
    rows: list[tuple[Any, ...]] = [("host", "zone", "revision", "state", "platform")]
    for node in nodes:
        rows.append(
            (
                node["host"],
                node["zone"],
                node["active_revision"],
                _state(node, newest),
                "up" if node["platform_up"] else "down",
            )
        )
    for kind in ("unreachable", "lost"):
        rows += [(host, status["zones"].get(host, "?"), "?", kind, "?")
                 for host in status[kind]]  # fmt: skip
    return [
        f"revision {newest}: in force on {len(current)} of "
        f"{len(nodes) + len(silent)} nodes; the platform is {platform}",
        *table(rows),
    ]


def _state(node: dict[str, Any], newest: int) -> str:
    if node["stopping"]:
        return "stopping"
    behind = newest - node["active_revision"]
    return f"behind by {behind}" if behind else "current"


def upstream_lines(status: dict[str, Any]) -> list[str]:
    """Return a table of the upstreams."""
    rows: list[tuple[Any, ...]] = [("service", "version", "upstream", "zone", "slots",
                                    "state")]  # fmt: skip
    for item in sorted(
        status["upstreams"], key=lambda item: (item["service"], item["address"])
    ):
        state = "draining" if item["draining"] else "serving"
        rows.append(
            (
                item["service"],
                item["version"],
                item["address"],
                item["zone"],
                item["slots"],
                state,
            )
        )
    return table(rows)


@cappa.command(invoke=run_status, help="Show every node and its revision.")
@attrs.define
class Status:
    """The arguments of ``status``."""

    node: NodeAddress
    upstreams: Annotated[
        bool, cappa.Arg(long="--upstreams", help="Show the upstreams, too.")
    ] = False
    json: AsJson = False
