"""Run one user's deployment from the first document to two verdicts, and check it.

The callers' own records are compared with the upstreams' own records at the end; the
system's word is not taken for anything.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import subprocess
import sys
import time
import uuid
from collections import Counter
from pathlib import Path

import attrs

from agaterelay.client import Caller
from agaterelay.core.model import MoveState
from agaterelay.core.outcome import Answered, NotRun, Outcome
from standins.deployment import (
    ADMIN_KEY,
    Deployment,
    deployment,
    fetch,
    start_upstream,
    wait_until,
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


@attrs.define
class Traffic:
    """What the callers sent and what they were told."""

    sent: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)


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


async def send_traffic(story: Story, running: Deployment, traffic: Traffic) -> None:
    """Send calls until cancelled, a new one each period."""
    draw = random.Random(1)
    nodes = tuple(host.calls for host in running.hosts)
    kinds = [call for service in story.services for call in service.calls]
    async with Caller(nodes) as caller, asyncio.TaskGroup() as group:
        while True:
            method, path = draw.choice(kinds)
            request_id = str(uuid.uuid4())
            traffic.sent[request_id] = (method, path)
            group.create_task(send_one(caller, traffic, method, path, request_id))
            await asyncio.sleep(CALL_PERIOD_S)


async def send_one(
    caller: Caller, traffic: Traffic, method: str, path: str, request_id: str
) -> None:
    """Send one call and keep what the caller was told."""
    idempotent = method == "GET"
    traffic.outcomes[request_id] = await caller.call(
        method, path, request_id.encode(), idempotent, request_id
    )


def check_records(running: Deployment, traffic: Traffic) -> list[str]:
    """Compare the callers' records with the upstreams'; return what is wrong."""
    runs: Counter[str] = Counter()
    for host in running.hosts:
        for address in host.upstreams:
            for entry in fetch(f"http://{address}/-/records") or ():
                runs[entry["request_id"]] += 1
    problems = []
    for request_id, outcome in traffic.outcomes.items():
        method, path = traffic.sent[request_id]
        count = runs[request_id]
        if method == "POST" and count > 1:
            problems.append(f"{path} {request_id} ran {count} times")
        if isinstance(outcome, NotRun) and method == "POST" and count:
            problems.append(f"{path} {request_id} ran, but was refused as not run")
        if isinstance(outcome, Answered) and outcome.status == 200:
            if not count:
                problems.append(f"{path} {request_id} was answered, but never ran")
            if json.loads(outcome.body)["request_id"] != request_id:
                problems.append(f"{path} {request_id} got another call's answer")
    return problems


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


async def run_story(story: Story, running: Deployment) -> Traffic:
    """Apply the document, send traffic, and run the moves."""
    traffic = Traffic()
    apply_section(running, story.document, "owners", "admin")
    for service in story.services:
        apply_section(running, story.document, service.name, service.owner)
    sending = asyncio.create_task(send_traffic(story, running, traffic))
    try:
        for service in story.services:
            await asyncio.to_thread(run_move_of, story, running, service)
    finally:
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
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
        traffic = asyncio.run(run_story(story, running))
        run_command("status", "--node", running.hosts[-1].operators)
        problems = check_records(running, traffic)
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
