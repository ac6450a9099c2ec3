"""Run one user's deployment from the first document to two verdicts, and check it.

The callers' own records are compared with the upstreams' own records at the end; the
system's word is not taken for anything.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import attrs

from agaterelay.core.model import MoveState
from standins.deployment import (
    ADMIN_KEY,
    Deployment,
    deployment,
    fetch,
    start_upstream,
    wait_until,
)
from standins.traffic import (
    Traffic,
    count_runs,
    find_problems,
    start_traffic,
    stop_traffic,
)

CALL_PERIOD_S = 0.01
CONVERGENCE_BOUND_S = 10.0
MOVE_TIMEOUT_S = 60.0
MOVE_FINISH_WITHIN_S = 45


@attrs.frozen
class ServicePart:
    """One service of a story: how many instances, and which calls."""

    name: str
    owner: str
    instances: int
    slots: int
    calls: tuple[tuple[str, str], ...]
    bad_version: bool


@attrs.frozen
class Story:
    """A user's deployment."""

    title: str
    document: Path
    zones: dict[str, int]
    services: tuple[ServicePart, ...]


def run_command(*arguments: str) -> str:
    """Run an operators' command, show it, and return its output.

    Raises:
        SystemExit: The command failed.
    """
    shown = " ".join(item if "/" not in item else Path(item).name for item in arguments)
    print(f"$ agaterelay {shown}")
    command = [sys.executable, "-m", "agaterelay.cli.main", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    print("".join(f"  {line}\n" for line in done.stdout.splitlines()), end="")
    if done.returncode:
        raise SystemExit(f"exit status {done.returncode}: {done.stderr}")
    return done.stdout


def apply_section(running: Deployment, path: Path, section: str, owner: str) -> None:
    """Apply one section with its owner's key, and check how fast it was in force."""
    key_file = running.folder / f"{owner}.key"
    key_file.write_text(ADMIN_KEY if owner == "admin" else f"{owner}-key")
    node = running.hosts[0].operators
    output = run_command(
        "apply", str(path), "--node", node, "--key-file", str(key_file),
        "--section", section, "--wait", "--json",
    )  # fmt: skip
    for record in json.loads(output):
        if record["converged_s"] > CONVERGENCE_BOUND_S:
            raise SystemExit(f"not in force within {CONVERGENCE_BOUND_S} s: {record}")


def add_move(story: Story, running: Deployment, service: ServicePart) -> Path:
    """Write the document with a move of a service added to the owner's section."""
    sections = story.document.read_text().split("---\n")
    index = next(
        number
        for number, text in enumerate(sections)
        if f"section: {service.name}\n" in text
    )
    sections[index] += f"""moves:
  - name: {service.name}-v2
    service: {service.name}
    from: v1
    to: v2
    finish_within_s: {MOVE_FINISH_WITHIN_S}
    bake_s: 3
"""
    path = running.folder / f"{service.name}-v2.yaml"
    path.write_text("---\n".join(sections))
    return path


def wait_for_verdict(running: Deployment, name: str, expected: MoveState) -> None:
    """Wait until a move is finished and check its verdict."""
    node = running.hosts[0].operators

    def verdict() -> str | None:
        moves = (fetch(f"http://{node}/v1/moves") or {"moves": []})["moves"]
        states = [move["state"] for move in moves if move["name"] == name]
        return states[0] if states and states[0] in ("done", "reverted") else None

    wait_until(verdict, f"verdict of {name}", MOVE_TIMEOUT_S)
    run_command("move", "--node", node)
    if verdict() != expected:
        raise SystemExit(f"move {name} ended {verdict()}, expected {expected}")


def run_story(story: Story, running: Deployment) -> Traffic:
    """Apply the document, send traffic, and run the moves."""
    apply_section(running, story.document, "owners", "admin")
    for service in story.services:
        apply_section(running, story.document, service.name, service.owner)
    nodes = tuple(host.calls for host in running.hosts)
    kinds = tuple(call for service in story.services for call in service.calls)
    traffic = start_traffic(nodes, kinds, CALL_PERIOD_S)
    try:
        for service in story.services:
            run_move_of(story, running, service)
    finally:
        stop_traffic(traffic)
    return traffic


def run_move_of(story: Story, running: Deployment, service: ServicePart) -> None:
    """Start the new version beside the old one, apply the move, wait for it."""
    options = {"fail_permille": 700} if service.bad_version else {}
    for host in running.hosts[: service.instances]:
        start_upstream(
            running, host, service.name, "v2", slots=service.slots, **options
        )
    path = add_move(story, running, service)
    apply_section(running, path, service.name, service.owner)
    expected = MoveState.REVERTED if service.bad_version else MoveState.DONE
    wait_for_verdict(running, f"{service.name}-v2", expected)


def tell(story: Story) -> None:
    """Run a story and print what an operator would read; exits non-zero on a fault."""
    started_s = time.monotonic()
    print(f"== {story.title}")
    with deployment(story.zones, move_step_s=1.0) as running:
        for service in story.services:
            for host in running.hosts[: service.instances]:
                start_upstream(running, host, service.name, "v1", slots=service.slots)
        run_command("check", str(story.document))
        wait_until(lambda: has_upstreams(story, running), "the upstreams' announcement")
        traffic = run_story(story, running)
        run_command("status", "--node", running.hosts[-1].operators)
        problems = find_problems(traffic, count_runs(running))
    kinds = Counter(type(outcome).__name__ for outcome in traffic.outcomes.values())
    print(f"calls: {len(traffic.outcomes)}, outcomes: {dict(kinds)}")
    print(f"lost, doubled, crossed or falsely refused calls: {len(problems)}")
    print(f"ended after {time.monotonic() - started_s:.0f} s")
    if problems:
        raise SystemExit("\n".join(problems[:20]))


def has_upstreams(story: Story, running: Deployment) -> bool:
    """Return whether the last node knows of all upstreams."""
    expected = sum(service.instances for service in story.services)
    status = fetch(f"http://{running.hosts[-1].operators}/v1/status")
    return status is not None and len(status["upstreams"]) == expected
