"""Run one user's deployment from the first document to two verdicts, and check it.

The callers' own records are compared with the upstreams' own records at the end; the
system's word is not taken for anything.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import attrs

from agaterelay.core.model import FINAL_MOVE_STATES, MoveState
from agaterelay.core.outcome import Answered
from demo.console import DemoError, converged_s, run_command, say
from demo.interrupts import Interrupted, install_interrupts
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
MOVE_FINISH_WITHIN_S = 40
MOVE_BAKE_S = 3
MOVE_TIMEOUT_S = 50.0
WARM_UP_S = 2.0
TIMELINE_LINES = 8


@attrs.frozen
class ServicePart:
    """One service of a story: how many instances, which calls, how v2 turns out."""

    name: str
    owner: str
    instances: int
    slots: int
    calls: tuple[tuple[str, str], ...]
    bad_version: bool


@attrs.frozen
class Story:
    """A user's deployment.

    ``other_sections`` are sections and owners whose services do not run here, and
    ``edit`` is what the first service's owner changes: old text and new text.
    """

    title: str
    document: Path
    zones: dict[str, int]
    services: tuple[ServicePart, ...]
    other_sections: tuple[tuple[str, str], ...]
    edit: tuple[str, str]


@attrs.define
class Telling:
    """A story while it runs, and the convergence times seen so far."""

    story: Story
    running: Deployment
    converged_s: list[float] = attrs.field(factory=list)

    @property
    def node(self) -> str:
        """The operators' address that all commands use."""
        return self.running.hosts[0].operators


def apply_section(telling: Telling, path: Path, section: str, owner: str) -> None:
    """Apply one section with its owner's key, and check how fast it was in force.

    Raises:
        DemoError: It was refused, or not in force within the bound.
    """
    key_file = telling.running.folder / f"{owner}.key"
    key_file.write_text(ADMIN_KEY if owner == "admin" else f"{owner}-key")
    output = run_command(
        "apply", path, "--node", telling.node, "--key-file", key_file,
        "--section", section, "--wait",
    )  # fmt: skip
    times_s = converged_s(output)
    if not times_s or max(times_s) > CONVERGENCE_BOUND_S:
        raise DemoError(f"{section} not in force within {CONVERGENCE_BOUND_S:g} s")
    telling.converged_s.extend(times_s)


def apply_document(telling: Telling) -> None:
    """Apply the whole document, each section with its owner's key."""
    story = telling.story
    say("Every team applies its own sections of the document.")
    run_command("check", story.document)
    apply_section(telling, story.document, "owners", "admin")
    for service in story.services:
        apply_section(telling, story.document, service.name, service.owner)
    for section, owner in story.other_sections:
        apply_section(telling, story.document, section, owner)
    run_command("status", "--upstreams", "--node", telling.node)


def edited_document(telling: Telling, name: str, change: Any) -> Path:
    """Write the document with one section's text changed; return its path."""
    texts = telling.story.document.read_text().split("---\n")
    texts = [change(text) if f"section: {name}\n" in text else text for text in texts]
    path = telling.running.folder / f"{name}-edited.yaml"
    path.write_text("---\n".join(texts))
    return path


def change_section(telling: Telling) -> None:
    """Change a section under traffic, after looking at what would change."""
    service = telling.story.services[0]
    old, new = telling.story.edit
    say(f"{service.owner} changes its section while calls are running.")
    path = edited_document(telling, service.name, lambda text: text.replace(old, new))
    run_command("diff", path, "--node", telling.node, "--section", service.name)
    apply_section(telling, path, service.name, service.owner)


def run_move(telling: Telling, service: ServicePart) -> None:
    """Start v2 beside v1, apply a move to it, and wait for its verdict.

    Raises:
        DemoError: The verdict is missing or wrong.
    """
    quality = "bad: it fails 7 calls in 10" if service.bad_version else "good"
    say(f"{service.owner} moves {service.name} to v2, which is {quality}.")
    options = {"fail_permille": 700} if service.bad_version else {}
    start_service(telling, service, "v2", **options)
    move = f"""moves:
  - name: {service.name}-v2
    service: {service.name}
    from: v1
    to: v2
    finish_within_s: {MOVE_FINISH_WITHIN_S}
    bake_s: {MOVE_BAKE_S}
"""
    old, new = telling.story.edit
    path = edited_document(
        telling, service.name, lambda text: text.replace(old, new) + move
    )
    apply_section(telling, path, service.name, service.owner)
    name = f"{service.name}-v2"
    wait_until(lambda: verdict(telling, name), f"verdict of {name}", MOVE_TIMEOUT_S)
    run_command("move", "show", name, "--node", telling.node)
    expected = MoveState.REVERTED if service.bad_version else MoveState.DONE
    if verdict(telling, name) != expected:
        raise DemoError(f"move {name} should have ended {expected}")


def verdict(telling: Telling, name: str) -> str | None:
    """Return a move's final state, None while it is open."""
    answer = fetch(f"http://{telling.node}/v1/moves")
    for move in answer["moves"] if answer else ():
        if move["name"] == name and move["state"] in tuple(FINAL_MOVE_STATES):
            return move["state"]
    return None


def start_service(
    telling: Telling, service: ServicePart, version: str, **options: Any
) -> None:
    """Start a version of a service on as many hosts as it has instances."""
    running = telling.running
    for host in running.hosts[: service.instances]:
        start_upstream(
            running, host, service.name, version, slots=service.slots, **options
        )


def start_services(telling: Telling) -> None:
    """Start the first version of all services and wait for their announcement."""
    zones = telling.story.zones
    say(
        f"{sum(zones.values())} nodes run in {', '.join(zones)}; "
        "the upstreams announce themselves to the nodes of their hosts."
    )
    for service in telling.story.services:
        start_service(telling, service, "v1")
        print(f"  {service.name}: {service.instances} x {service.slots} slots")
    expected = sum(service.instances for service in telling.story.services)
    last = telling.running.hosts[-1].operators

    def announced() -> bool:
        status = fetch(f"http://{last}/v1/status")
        return status is not None and len(status["upstreams"]) == expected

    wait_until(announced, "the upstreams' announcement")


def tell_under_traffic(telling: Telling) -> Traffic:
    """Change the document and run the moves while callers call."""
    nodes = tuple(host.calls for host in telling.running.hosts)
    kinds = tuple(call for service in telling.story.services for call in service.calls)
    traffic = start_traffic(nodes, kinds, CALL_PERIOD_S)
    try:
        time.sleep(WARM_UP_S)
        change_section(telling)
        for service in telling.story.services:
            run_move(telling, service)
    finally:
        stop_traffic(traffic)
    bad = next(item for item in telling.story.services if item.bad_version)
    say(f"What happened to the move {bad.name}-v2, from all processes:")
    run_command(
        "timeline", "--move", f"{bad.name}-v2", "--node", telling.node,
        last_lines=TIMELINE_LINES,
    )  # fmt: skip
    return traffic


def summarize(telling: Telling, traffic: Traffic) -> None:
    """Print the account of the calls.

    Raises:
        DemoError: A call was lost, doubled, crossed or falsely refused.
    """
    outcomes = traffic.outcomes.values()
    good = sum(isinstance(item, Answered) and item.status < 500 for item in outcomes)
    kinds = Counter(
        "server error"
        if isinstance(item, Answered) and item.status >= 500
        else type(item).__name__
        for item in outcomes
    )
    problems = find_problems(traffic, count_runs(telling.running))
    say("The callers' records against the upstreams' records:")
    others = {name: count for name, count in kinds.items() if name != "Answered"}
    print(f"  {len(outcomes)} calls, {good} answered well, others: {others or 'none'}")
    print(f"  lost, doubled, crossed or falsely refused: {len(problems)}")
    times_s = telling.converged_s
    print(
        f"  {len(times_s)} changes in force everywhere, the slowest after "
        f"{max(times_s):.2f} s"
    )
    if problems:
        raise DemoError("\n".join(problems[:20]))


def run_story(story: Story) -> None:
    """Run a story from its first process to its account.

    Raises:
        DemoError: Something did not turn out as it should.
        TimeoutError: Something did not happen in time.
    """
    with deployment(story.zones, move_step_s=1.0) as running:
        telling = Telling(story, running)
        start_services(telling)
        apply_document(telling)
        traffic = tell_under_traffic(telling)
        run_command("status", "--node", running.hosts[-1].operators)
        summarize(telling, traffic)


def tell(story: Story) -> int:
    """Run a story and print it; return the process's exit status."""
    install_interrupts()
    started_s = time.monotonic()
    print(f"== {story.title}")
    try:
        run_story(story)
    except (DemoError, TimeoutError) as error:
        print(f"\nFAILED: {error}", file=sys.stderr)
        return 1
    except Interrupted as interrupted:
        print("\ninterrupted; all processes are stopped", file=sys.stderr)
        return interrupted.status
    say(f"All of it held; it took {time.monotonic() - started_s:.0f} s.")
    return 0
