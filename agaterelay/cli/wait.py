"""Waiting until a revision is in force on every node."""

from __future__ import annotations

import time
from typing import Any

import attrs

from agaterelay.cli.api import NodeUnreachableError, fetch_body
from agaterelay.cli.outcome import CommandError, Exit, report_progress

POLL_PERIOD_S = 0.2


@attrs.frozen
class InForce:
    """Which nodes serve a revision or a later one, and which do not."""

    revision: int
    serving: tuple[str, ...]
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]
    lost: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every node that is not lost serves the revision."""
        return bool(self.serving) and not self.behind and not self.unreachable

    def __str__(self) -> str:
        total = len(self.serving) + len(self.behind) + len(self.unreachable)
        text = f"in force on {len(self.serving)} of {total} nodes"
        for kind in ("behind", "unreachable", "lost"):
            hosts = getattr(self, kind)
            if hosts:
                text += f"; {kind}: {', '.join(hosts)}"
        return text


def summarize_in_force(status: dict[str, Any], revision: int) -> InForce:
    """Return which nodes serve a revision, from the nodes' status."""
    behind = [
        f"{node['host']} (at {node['active_revision']})"
        for node in status["nodes"]
        if node["active_revision"] < revision
    ]
    serving = [
        node["host"] for node in status["nodes"] if node["active_revision"] >= revision
    ]
    return InForce(
        revision=revision,
        serving=tuple(serving),
        behind=tuple(behind),
        unreachable=tuple(status["unreachable"]),
        lost=tuple(status["lost"]),
    )


def wait_until_in_force(
    node: str, revision: int, committed_ms: int, timeout_s: float
) -> float:
    """Wait until a revision is in force everywhere; print progress.

    Args:
        node: The operators' address of a node.
        revision: The revision to wait for.
        committed_ms: When it was committed, in milliseconds since the Unix epoch.
        timeout_s: How long to wait, in seconds.

    Returns:
        The seconds from the commit until the last node served it. A node that has
        skipped to a later revision counts from when that was first observed, or from
        its activation if that is earlier.

    Raises:
        CommandError: The revision was not in force on every node in time.
    """
    deadline_s = time.monotonic() + timeout_s
    activated_ms_by_host: dict[str, int] = {}
    reported = ""
    while True:
        try:
            status = fetch_body(node, "/v1/status")
        except NodeUnreachableError as error:
            state, text = None, error.message
        else:
            _record_activations(activated_ms_by_host, status, revision)
            state = summarize_in_force(status, revision)
            text = f"revision {revision}: {state}"
        if text != reported:
            report_progress(text)
            reported = text
        if state is not None and state.everywhere:
            newest_ms = max(activated_ms_by_host[host] for host in state.serving)
            return max(newest_ms - committed_ms, 0) / 1000
        if time.monotonic() > deadline_s:
            message = f"not in force everywhere after {timeout_s:g} s; {text}"
            raise CommandError(Exit.NOT_IN_FORCE, message)
        time.sleep(POLL_PERIOD_S)


def _record_activations(
    activated_ms_by_host: dict[str, int], status: dict[str, Any], revision: int
) -> None:
    now_ms = int(time.time() * 1000)
    for item in status["nodes"]:
        if item["active_revision"] == revision:
            activated_ms_by_host.setdefault(item["host"], item["activated_ms"])
        elif item["active_revision"] > revision:
            activated_ms_by_host.setdefault(
                item["host"], min(item["activated_ms"], now_ms)
            )
