"""``agaterelay status``: prints the nodes, their revisions and the upstreams."""

from __future__ import annotations

from typing import Annotated, Any

import attrs
import cappa

from agaterelay.cli.api import fetch_body
from agaterelay.cli.options import AsJson, NodeAddress
from agaterelay.cli.outcome import format_table, print_result


def run_status(command: Status) -> None:
    """Print one line per node and, with ``--upstreams``, one per upstream."""
    status = fetch_body(command.node, "/v1/status")
    lines = format_nodes(status)
    if command.upstreams:
        lines += ["", *format_upstreams(status)]
    print_result(status, command.json, lines)


def format_nodes(status: dict[str, Any]) -> list[str]:
    """Return a summary and a table of the nodes."""
    nodes = status["nodes"]
    newest = max(node["held_revision"] for node in nodes)
    current = [node for node in nodes if node["active_revision"] >= newest]
    unresponsive = status["unreachable"] + status["lost"]
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
                _format_node_state(node, newest),
                "up" if node["platform_up"] else "down",
            )
        )
    for kind in ("unreachable", "lost"):
        rows += [(host, status["zones"].get(host, "?"), "?", kind, "?")
                 for host in status[kind]]  # fmt: skip
    return [
        f"revision {newest}: in force on {len(current)} of "
        f"{len(nodes) + len(unresponsive)} nodes; the platform is {platform}",
        *format_table(rows),
    ]


def _format_node_state(node: dict[str, Any], newest: int) -> str:
    if node["stopping"]:
        return "stopping"
    behind = newest - node["active_revision"]
    return f"behind by {behind}" if behind else "current"


def format_upstreams(status: dict[str, Any]) -> list[str]:
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
    return format_table(rows)


@cappa.command(invoke=run_status, help="Show every node and its revision.")
@attrs.define
class Status:
    """The arguments of ``status``."""

    node: NodeAddress
    upstreams: Annotated[
        bool, cappa.Arg(long="--upstreams", help="Also show the upstreams.")
    ] = False
    json: AsJson = False
