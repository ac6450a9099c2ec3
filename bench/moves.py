"""Measure the policy of moves on randomly generated calls, with fixed seeds.

The node's own decisions run on random counts of calls; no process, network or store is
simulated. The policy is compared with two baselines: a fixed schedule that ignores
failures, and one global threshold on the failure ratio of all calls of the service.
The generator, not the policy, counts the harmed calls.

``python -m bench.moves`` prints JSON and writes it under ``bench/out``; ``--table``
prints the tables of ``docs/MEASURES.md``.
"""

from __future__ import annotations

import argparse
import math
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

import attrs

from agaterelay.core.brake import find_brake, find_combined_brake, is_suspect
from agaterelay.core.demand import BAKE_SHARE_PERMILLE, RAISE_FACTOR
from agaterelay.core.evidence import (
    Report,
    TrialTallies,
    add_windows,
    begin_step,
    build_report,
    freeze_windows,
    record_calls,
    record_failure,
    sum_windows,
)
from agaterelay.core.model import (
    FINAL_MOVE_STATES,
    Move,
    MoveProgress,
    MoveState,
    Place,
)
from agaterelay.core.steps import MoveView, next_progress
from agaterelay.tasks.tallies import WarmUp, is_warm
from bench.measure import write_result
from bench.move_kinds import (
    BASE_FAILURE_RATIO,
    FAULTY_VERSIONS,
    NEW_VERSION,
    OLD_VERSION,
    SOUND_VERSIONS,
    CallContext,
    Fault,
)
from bench.move_report import format_tables, summarize_runs

TICK_S = 0.25
STEP_PERIOD_S = 3.0
COMMIT_DELAY_S = 1.0
BRAKE_DELAY_S = 1.0
FINISH_WITHIN_S = 300
BAKE_S = 30
MAX_RUN_S = FINISH_WITHIN_S + 60
ROUTE_RATIOS = {"main": 0.9, "side": 0.1}
NORMAL_LATENCY_MS, TAIL_LATENCY_MS, SLOW_LATENCY_MS = 7.0, 12.0, 60.0
TAIL_RATIO = 0.1
SLOTS_PER_HOST = 12
START_TIME = datetime(2026, 1, 1, tzinfo=UTC)
GLOBAL_MAX_FAILURE_RATIO = 0.05
GLOBAL_WINDOW_S = 20.0
GLOBAL_MIN_CALL_COUNT = 20
BRAKE_CHECK_PERIOD_S = 1.0
SEED_COUNT = 5


HOST_COUNTS = {"siamsong": 5, "guild": 7, "target": 27}
CALLS_PER_HOST_S = {"little": 0.4, "usual": 10.0}
# Runs at the target size take longest, so their rows summarize fewer seeds.
TARGET_SIZE_SEED_COUNT = 2


@attrs.define
class Run:
    """One move under one policy."""

    fault: Fault
    hosts: int
    rate: float
    draw: random.Random
    restarts: bool
    move: Move
    progress: MoveProgress
    active: MoveProgress
    active_at_s: float = 0.0
    warm_ups: dict[int, WarmUp] = attrs.field(factory=dict)
    hosts_with_failures: set[int] = attrs.field(factory=set)
    inbound_tallies: list[TrialTallies] = attrs.field(factory=list)
    outbound_tallies: list[TrialTallies] = attrs.field(factory=list)
    braked_s: float = math.inf
    brakes: tuple = ()
    recent: list[tuple[float, int, int]] = attrs.field(factory=list)
    harmed: int = 0
    new_calls: int = 0
    first_harm_s: float | None = None
    last_harm_s: float | None = None


def draw_poisson(draw: random.Random, mean: float) -> int:
    if mean > 40:
        return max(round(draw.gauss(mean, math.sqrt(mean))), 0)
    limit, product, count = math.exp(-mean), draw.random(), 0
    while product > limit:
        product *= draw.random()
        count += 1
    return count


def draw_binomial(draw: random.Random, count: int, probability: float) -> int:
    if probability <= 0 or not count:
        return 0
    if probability >= 1:
        return count
    return sum(draw.random() < probability for _ in range(count))


def start_run(kind: str, fault: Fault, hosts: int, rate: float, seed: int) -> Run:
    move = Move(
        "move",
        "service",
        OLD_VERSION,
        NEW_VERSION,
        Place("bench"),
        None,
        FINISH_WITHIN_S,
    )
    finish_by = START_TIME + timedelta(seconds=FINISH_WITHIN_S)
    progress = MoveProgress(
        "move", "service", OLD_VERSION, NEW_VERSION, finish_by, START_TIME
    )
    run = Run(
        fault=fault,
        hosts=hosts,
        rate=rate * hosts,
        draw=random.Random(f"{kind} {hosts} {rate} {seed}"),
        restarts=kind == "owners restart",
        move=attrs.evolve(move, bake_s=BAKE_S),
        progress=progress,
        active=progress,
    )
    reset_tallies(run, 0.0)
    return run


def reset_tallies(run: Run, at_s: float) -> None:
    run.inbound_tallies = [
        TrialTallies(run.active.trial, NEW_VERSION, at_s) for _ in range(run.hosts)
    ]
    run.outbound_tallies = [
        TrialTallies(run.active.trial, NEW_VERSION, at_s) for _ in range(run.hosts)
    ]


def generate_calls(run: Run, at_s: float, collects_evidence: bool) -> None:
    """Generate the calls of one tick and count them."""
    if run.active.state is MoveState.DONE:
        traffic_ratio = 1.0
    else:
        braked = at_s >= run.braked_s + BRAKE_DELAY_S
        traffic_ratio = 0.0 if braked else run.active.share_permille / 1000
    failed_calls = all_calls = 0
    for host in range(run.hosts):
        for version, version_ratio in (
            (OLD_VERSION, 1 - traffic_ratio),
            (NEW_VERSION, traffic_ratio),
        ):
            for route, route_ratio in ROUTE_RATIOS.items():
                mean = run.rate / run.hosts * TICK_S * version_ratio * route_ratio
                calls = draw_poisson(run.draw, mean) if mean else 0
                if not calls:
                    continue
                failed = _generate_route_calls(
                    run,
                    host,
                    version,
                    route,
                    calls,
                    at_s,
                    traffic_ratio,
                    collects_evidence,
                )
                failed_calls += failed
                all_calls += calls
    run.recent.append((at_s, all_calls, failed_calls))


def _generate_route_calls(
    run: Run,
    host: int,
    version: str,
    route: str,
    calls: int,
    at_s: float,
    traffic_ratio: float,
    collects_evidence: bool,
) -> int:
    warm_up = WarmUp(at_s)
    if version == NEW_VERSION:
        warm_up = run.warm_ups.setdefault(host, warm_up)
    age_s = at_s - warm_up.first_s
    failure_probability, slow_probability = run.fault(
        CallContext(
            version, route, host, at_s, traffic_ratio, warm_up.calls, age_s, run.hosts
        )
    )
    failed = draw_binomial(run.draw, calls, failure_probability)
    slowed = draw_binomial(run.draw, calls - failed, slow_probability)
    tail = draw_binomial(run.draw, calls - failed - slowed, TAIL_RATIO)
    if version == NEW_VERSION:
        warm_up.calls += calls
        run.new_calls += calls
        if (
            failed + slowed
            and max(failure_probability, slow_probability) > BASE_FAILURE_RATIO
        ):
            run.harmed += failed + slowed
            run.first_harm_s = at_s if run.first_harm_s is None else run.first_harm_s
            run.last_harm_s = at_s
    if collects_evidence:
        normal = calls - failed - slowed - tail
        groups = (
            (failed, True, NORMAL_LATENCY_MS),
            (slowed, False, SLOW_LATENCY_MS),
            (tail, False, TAIL_LATENCY_MS),
            (normal, False, NORMAL_LATENCY_MS),
        )
        outbound_host = run.draw.randrange(run.hosts)
        for count, is_failed, latency_ms in groups:
            if count:
                key = (route, version)
                measured = version == OLD_VERSION or is_warm(warm_up, at_s)
                warm_ms = latency_ms if measured else None
                record_calls(
                    run.inbound_tallies[host], key, is_failed, warm_ms, at_s, count
                )
                if is_failed and version == NEW_VERSION:
                    now_ms = int((START_TIME.timestamp() + at_s) * 1000)
                    run.hosts_with_failures.update((host, outbound_host))
                    record_failure(run.inbound_tallies[host], at_s, now_ms)
                if outbound_host != host:
                    record_calls(
                        run.outbound_tallies[outbound_host],
                        key,
                        is_failed,
                        None,
                        at_s,
                        count,
                    )
    return failed


def check_brakes(run: Run, at_s: float) -> None:
    """Check each node's own evidence for a reason to brake, as the brake task does.

    All nodes check once a period; between, only nodes with new failures do.
    """
    if run.brakes or not run.active.share_permille:
        return
    now_ms = int((START_TIME.timestamp() + at_s) * 1000)
    checks_all = at_s % BRAKE_CHECK_PERIOD_S < TICK_S
    hosts = range(run.hosts) if checks_all else sorted(run.hosts_with_failures)
    run.hosts_with_failures = set()
    for host in hosts:
        inbound_tallies, outbound_tallies = (
            run.inbound_tallies[host],
            run.outbound_tallies[host],
        )
        windows = add_windows(
            (sum_windows(inbound_tallies, at_s), sum_windows(outbound_tallies, at_s))
        )
        brake = find_brake(run.active, windows, now_ms, now_ms)
        if brake is None and is_suspect(run.active, windows):
            reports = build_reports(run, at_s)
            brake = find_combined_brake(run.active, reports, now_ms)
        if brake is not None:
            run.brakes = (brake,)
            run.braked_s = at_s
            for tallies in (*run.inbound_tallies, *run.outbound_tallies):
                freeze_windows(tallies, at_s)
            return


def build_reports(run: Run, at_s: float) -> dict[str, Report]:
    return {
        str(host): build_report(tallies, at_s)
        for host, tallies in enumerate(run.inbound_tallies)
    }


def activate_progress(run: Run, at_s: float) -> None:
    """Activate a committed progress once the delay of its commit has passed."""
    if run.progress == run.active or at_s < run.active_at_s:
        return
    has_new_trial = run.progress.trial != run.active.trial
    run.active = run.progress
    if has_new_trial:
        run.brakes = ()
        run.braked_s = math.inf
        reset_tallies(run, at_s)
    for tallies in (*run.inbound_tallies, *run.outbound_tallies):
        begin_step(tallies, run.active.step)


def apply_policy_step(run: Run, at_s: float) -> None:
    """Apply the next step that the node's policy decides."""
    view = MoveView(
        build_reports(run, at_s), True, run.brakes, run.hosts * SLOTS_PER_HOST
    )
    next_state = next_progress(
        run.move, run.active, view, START_TIME + timedelta(seconds=at_s)
    )
    if next_state is not None:
        run.progress = next_state
        run.active_at_s = at_s + COMMIT_DELAY_S


def apply_schedule_step(run: Run, at_s: float, max_failure_ratio: float | None) -> None:
    """Apply a step of the fixed schedule, or revert above the failure threshold."""
    since_s = at_s - GLOBAL_WINDOW_S
    run.recent = [item for item in run.recent if item[0] > since_s]
    calls = sum(item[1] for item in run.recent)
    failed = sum(item[2] for item in run.recent)
    if max_failure_ratio is not None and calls >= GLOBAL_MIN_CALL_COUNT:
        if failed > max_failure_ratio * calls:
            _set_progress(run, MoveState.REVERTED, 0, at_s)
            return
    steps = math.ceil(math.log(BAKE_SHARE_PERMILLE / 10, RAISE_FACTOR)) + 1
    step_s = (FINISH_WITHIN_S - BAKE_S) / 2 / steps
    share_permille = min(10 * RAISE_FACTOR ** int(at_s / step_s), 1000)
    if at_s >= steps * step_s + BAKE_S:
        _set_progress(run, MoveState.DONE, 1000, at_s)
    elif share_permille > run.active.share_permille:
        _set_progress(run, MoveState.STEPPING, share_permille, at_s)


def _set_progress(run: Run, state: MoveState, share_permille: int, at_s: float) -> None:
    now = START_TIME + timedelta(seconds=at_s)
    run.progress = attrs.evolve(
        run.active, state=state, share_permille=share_permille, finished_at=now
    )
    run.active_at_s = at_s + COMMIT_DELAY_S


POLICIES: dict[str, Callable[[Run, float], None]] = {
    "agaterelay": apply_policy_step,
    "fixed schedule": lambda run, at_s: apply_schedule_step(run, at_s, None),
    "global threshold": lambda run, at_s: apply_schedule_step(
        run, at_s, GLOBAL_MAX_FAILURE_RATIO
    ),
}


def simulate(run: Run, policy: str) -> dict[str, Any]:
    """Run a move to its end and return its result."""
    collects_evidence = policy == "agaterelay"
    at_s = 0.0
    while at_s < MAX_RUN_S:
        at_s += TICK_S
        activate_progress(run, at_s)
        if run.active.state is MoveState.REVERTED:
            break
        # Calls go on after the move is done, to count the harm of a missed fault.
        if run.active.state is MoveState.DONE and at_s > FINISH_WITHIN_S:
            break
        generate_calls(run, at_s, collects_evidence)
        if collects_evidence:
            if run.restarts and run.draw.random() < TICK_S / 10:
                host = run.draw.randrange(run.hosts)
                run.inbound_tallies[host] = TrialTallies(
                    run.active.trial, NEW_VERSION, at_s, run.active.step
                )
                run.outbound_tallies[host] = TrialTallies(
                    run.active.trial, NEW_VERSION, at_s, run.active.step
                )
            check_brakes(run, at_s)
        step_is_due = at_s % STEP_PERIOD_S < TICK_S and run.progress == run.active
        if step_is_due and run.active.state not in FINAL_MOVE_STATES:
            POLICIES[policy](run, at_s)
    done = run.active.state is MoveState.DONE
    harm_duration_s = (
        run.last_harm_s - run.first_harm_s if run.first_harm_s is not None else 0.0
    )
    return {
        "state": str(run.active.state),
        "in_time": done and run.active.finished_at <= run.active.finish_by,
        "finished_s": (run.active.finished_at - START_TIME).total_seconds()
        if run.active.finished_at
        else MAX_RUN_S,
        "harmed": run.harmed,
        "stop_s": harm_duration_s,
        "reason": run.active.reason,
    }


def measure_policies(
    seeds: int, sizes: list[str], rates: list[str]
) -> list[dict[str, Any]]:
    """Run every kind of version at every size and rate under every policy."""
    rows = []
    for size in sizes:
        for level in rates:
            for kind, fault in {**FAULTY_VERSIONS, **SOUND_VERSIONS}.items():
                for policy in POLICIES:
                    results = [
                        simulate(
                            start_run(
                                kind,
                                fault,
                                HOST_COUNTS[size],
                                CALLS_PER_HOST_S[level],
                                seed,
                            ),
                            policy,
                        )
                        for seed in range(
                            TARGET_SIZE_SEED_COUNT if size == "target" else seeds
                        )
                    ]
                    rows.append(summarize_runs(size, level, kind, policy, results))
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEED_COUNT)
    parser.add_argument("--sizes", nargs="+", default=list(HOST_COUNTS))
    parser.add_argument("--rates", nargs="+", default=list(CALLS_PER_HOST_S))
    parser.add_argument("--table", action="store_true")
    arguments = parser.parse_args()
    rows = measure_policies(arguments.seeds, arguments.sizes, arguments.rates)
    if arguments.table:
        print(format_tables(rows))
    else:
        write_result("moves", {"seeds": arguments.seeds, "rows": rows})


if __name__ == "__main__":
    main()
