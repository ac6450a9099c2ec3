"""Wait until a revision is in force everywhere, and say who is behind."""

from __future__ import annotations

import time
from typing import Any

import attrs

from agaterelay.cli.api import NodeUnreachableError, read
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


def in_force(status: dict[str, Any], revision: int) -> InForce:
    """Return who serves a revision, by the nodes' status."""
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


def wait_in_force(
    node: str, revision: int, committed_ms: int, timeout_s: float
) -> float:
    """Wait until a revision is in force everywhere; print progress.

    Args:
        node: The operators' address of a node.
        revision: The revision.
        committed_ms: When it was committed, in milliseconds since 1970.
        timeout_s: How long to wait.

    Returns:
        The seconds from the commit until the last node served it. A node that serves a
        later revision by now counts from when it was first seen to do so.

    Raises:
        CommandError: It was not in force everywhere in time.
    """
    give_up_s = time.monotonic() + timeout_s
    first_ms: dict[str, int] = {}
    shown = ""
    while True:
        try:
            status = read(node, "/v1/status")
        except NodeUnreachableError as error:
            state, text = None, error.message
        else:
            _note_first(first_ms, status, revision)
            state = in_force(status, revision)
            text = f"revision {revision}: {state}"
        if text != shown:
            report_progress(text)
            shown = text
        if state is not None and state.everywhere:
            newest_ms = max(first_ms[host] for host in state.serving)
            return max(newest_ms - committed_ms, 0) / 1000
        if time.monotonic() > give_up_s:
            message = f"not in force everywhere after {timeout_s:g} s; {text}"
            raise CommandError(Exit.NOT_IN_FORCE, message)
        time.sleep(POLL_PERIOD_S)


def _note_first(
    first_ms: dict[str, int], status: dict[str, Any], revision: int
) -> None:
    now_ms = int(time.time() * 1000)
    for item in status["nodes"]:
        if item["active_revision"] == revision:
            first_ms.setdefault(item["host"], item["activated_ms"])
        elif item["active_revision"] > revision:
            first_ms.setdefault(item["host"], min(item["activated_ms"], now_ms))
