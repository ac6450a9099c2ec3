"""Run the demo of one user's deployment and check its result.

It applies the first document, changes a section, and runs a move for each service until
it is final. At the end the callers' records are compared with those of the upstreams,
so that no check relies on what the system reports about itself.
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
from demo.console import DemoError, converged_s, print_step, run_command
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
class DemoService:
    """One service of a demo; ``bad_version`` tells whether its version v2 fails calls."""

    name: str
    owner: str
    instances: int
    slots: int
    calls: tuple[tuple[str, str], ...]
    bad_version: bool


@attrs.frozen
class Scenario:
    """The deployment of one user, and the change to make in it.

    ``other_sections`` are sections and owners whose services do not run here, and
    ``edit`` is what the first service's owner changes: old text and new text.
    """

    title: str
    document: Path
    zones: dict[str, int]
    services: tuple[DemoService, ...]
    other_sections: tuple[tuple[str, str], ...]
    edit: tuple[str, str]


@attrs.define
class DemoRun:
    """A running scenario, with the convergence times measured so far."""

    scenario: Scenario
    running: Deployment
    converged_s: list[float] = attrs.field(factory=list)

    @property
    def node(self) -> str:
        """The operators address that all commands use."""
        return self.running.hosts[0].operators


def apply_section(demo_run: DemoRun, path: Path, section: str, owner: str) -> None:
    """Apply a section with the key of its owner, and check its convergence time.

    Raises:
        DemoError: The section was refused, or was not in force everywhere within
            CONVERGENCE_BOUND_S.
    """
    key_file = demo_run.running.folder / f"{owner}.key"
    key_file.write_text(ADMIN_KEY if owner == "admin" else f"{owner}-key")
    output = run_command(
        "apply", path, "--node", demo_run.node, "--key-file", key_file,
        "--section", section, "--wait",
    )  # fmt: skip
    times_s = converged_s(output)
    if not times_s or max(times_s) > CONVERGENCE_BOUND_S:
        raise DemoError(f"{section} not in force within {CONVERGENCE_BOUND_S:g} s")
    demo_run.converged_s.extend(times_s)


def apply_document(demo_run: DemoRun) -> None:
    """Apply all sections of the document, each with the key of its owner."""
    scenario = demo_run.scenario
    print_step("Every team applies its own sections of the document.")
    run_command("check", scenario.document)
    apply_section(demo_run, scenario.document, "owners", "admin")
    for service in scenario.services:
        apply_section(demo_run, scenario.document, service.name, service.owner)
    for section, owner in scenario.other_sections:
        apply_section(demo_run, scenario.document, section, owner)
    run_command("status", "--upstreams", "--node", demo_run.node)


def edited_document(demo_run: DemoRun, name: str, change: Any) -> Path:
    """Write the document with the text of one section changed; return its path."""
    texts = demo_run.scenario.document.read_text().split("---\n")
    texts = [change(text) if f"section: {name}\n" in text else text for text in texts]
    path = demo_run.running.folder / f"{name}-edited.yaml"
    path.write_text("---\n".join(texts))
    return path


def change_section(demo_run: DemoRun) -> None:
    """Show the difference that a changed section makes, and apply it."""
    service = demo_run.scenario.services[0]
    old, new = demo_run.scenario.edit
    print_step(f"{service.owner} changes its section while calls are running.")
    path = edited_document(demo_run, service.name, lambda text: text.replace(old, new))
    run_command("diff", path, "--node", demo_run.node, "--section", service.name)
    apply_section(demo_run, path, service.name, service.owner)


def run_move(demo_run: DemoRun, service: DemoService) -> None:
    """Start version v2 next to v1, apply a move to it, and wait for its final state.

    Raises:
        DemoError: The final state is not the expected one.
        TimeoutError: The move did not end in time.
    """
    quality = "bad: it fails 7 calls in 10" if service.bad_version else "good"
    print_step(f"{service.owner} moves {service.name} to v2, which is {quality}.")
    options = {"fail_permille": 700} if service.bad_version else {}
    start_service(demo_run, service, "v2", **options)
    move = f"""moves:
  - name: {service.name}-v2
    service: {service.name}
    from: v1
    to: v2
    finish_within_s: {MOVE_FINISH_WITHIN_S}
    bake_s: {MOVE_BAKE_S}
"""
    old, new = demo_run.scenario.edit
    path = edited_document(
        demo_run, service.name, lambda text: text.replace(old, new) + move
    )
    apply_section(demo_run, path, service.name, service.owner)
    name = f"{service.name}-v2"
    wait_until(
        lambda: final_state(demo_run, name), f"final state of {name}", MOVE_TIMEOUT_S
    )
    run_command("move", "show", name, "--node", demo_run.node)
    expected = MoveState.REVERTED if service.bad_version else MoveState.DONE
    if final_state(demo_run, name) != expected:
        raise DemoError(f"move {name} should have ended {expected}")


def final_state(demo_run: DemoRun, name: str) -> str | None:
    """Return the final state of a move, None while it is in progress."""
    answer = fetch(f"http://{demo_run.node}/v1/moves")
    for move in answer["moves"] if answer else ():
        if move["name"] == name and move["state"] in tuple(FINAL_MOVE_STATES):
            return move["state"]
    return None


def start_service(
    demo_run: DemoRun, service: DemoService, version: str, **options: Any
) -> None:
    """Start a version of a service on as many hosts as it has instances."""
    running = demo_run.running
    for host in running.hosts[: service.instances]:
        start_upstream(
            running, host, service.name, version, slots=service.slots, **options
        )


def start_services(demo_run: DemoRun) -> None:
    """Start version v1 of all services and wait until the last node knows them."""
    zones = demo_run.scenario.zones
    print_step(
        f"{sum(zones.values())} nodes run in {', '.join(zones)}; "
        "the upstreams announce themselves to the nodes of their hosts."
    )
    for service in demo_run.scenario.services:
        start_service(demo_run, service, "v1")
        print(f"  {service.name}: {service.instances} x {service.slots} slots")
    expected = sum(service.instances for service in demo_run.scenario.services)
    last = demo_run.running.hosts[-1].operators

    def announced() -> bool:
        status = fetch(f"http://{last}/v1/status")
        return status is not None and len(status["upstreams"]) == expected

    wait_until(announced, "the upstreams' announcement")


def run_changes_under_traffic(demo_run: DemoRun) -> Traffic:
    """Change a section and run the moves while callers send calls."""
    nodes = tuple(host.calls for host in demo_run.running.hosts)
    kinds = tuple(
        call for service in demo_run.scenario.services for call in service.calls
    )
    traffic = start_traffic(nodes, kinds, CALL_PERIOD_S)
    try:
        time.sleep(WARM_UP_S)
        change_section(demo_run)
        for service in demo_run.scenario.services:
            run_move(demo_run, service)
    finally:
        stop_traffic(traffic)
    bad = next(item for item in demo_run.scenario.services if item.bad_version)
    print_step(f"What happened to the move {bad.name}-v2, from all processes:")
    run_command(
        "timeline", "--move", f"{bad.name}-v2", "--node", demo_run.node,
        last_lines=TIMELINE_LINES,
    )  # fmt: skip
    return traffic


def summarize(demo_run: DemoRun, traffic: Traffic) -> None:
    """Print a summary of the calls and of the convergence times.

    Raises:
        DemoError: The records contradict each other: a call was lost, ran twice, received
            another call's answer, or was refused although it ran.
    """
    outcomes = traffic.outcomes.values()
    good = sum(isinstance(item, Answered) and item.status < 500 for item in outcomes)
    kinds = Counter(
        "server error"
        if isinstance(item, Answered) and item.status >= 500
        else type(item).__name__
        for item in outcomes
    )
    problems = find_problems(traffic, count_runs(demo_run.running))
    print_step("The callers' records against the upstreams' records:")
    others = {name: count for name, count in kinds.items() if name != "Answered"}
    print(f"  {len(outcomes)} calls, {good} answered well, others: {others or 'none'}")
    print(f"  lost, doubled, crossed or falsely refused: {len(problems)}")
    times_s = demo_run.converged_s
    print(
        f"  {len(times_s)} changes in force everywhere, the slowest after "
        f"{max(times_s):.2f} s"
    )
    if problems:
        raise DemoError("\n".join(problems[:20]))


def run_scenario(scenario: Scenario) -> None:
    """Start the deployment of a scenario, run all steps and print the summary.

    Raises:
        DemoError: A check failed.
        TimeoutError: A step took too long.
    """
    with deployment(scenario.zones, move_step_s=1.0) as running:
        demo_run = DemoRun(scenario, running)
        start_services(demo_run)
        apply_document(demo_run)
        traffic = run_changes_under_traffic(demo_run)
        run_command("status", "--node", running.hosts[-1].operators)
        summarize(demo_run, traffic)


def run_demo(scenario: Scenario) -> int:
    """Run a demo; return the exit status of the process."""
    install_interrupts()
    started_s = time.monotonic()
    print(f"== {scenario.title}")
    try:
        run_scenario(scenario)
    except (DemoError, TimeoutError) as error:
        print(f"\nFAILED: {error}", file=sys.stderr)
        return 1
    except Interrupted as interrupted:
        print("\ninterrupted; all processes are stopped", file=sys.stderr)
        return interrupted.status
    print_step(f"All checks passed in {time.monotonic() - started_s:.0f} s.")
    return 0
