"""Measure the policy of moves on a small synthetic generator of calls, with fixed seeds.

The product's decisions run as they are, on counts of calls drawn by chance; no
process, network or store is modelled. Beside the policy run two baselines: a fixed
schedule that looks at nothing, and one global error threshold over all calls of the
service. What is harmed is counted by the generator, not by the policy.

``python -m bench.moves`` writes JSON, also under ``bench/out``; ``--table`` writes the tables of the docs.
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
from bench.measure import write
from bench.move_kinds import BAD, BASE_RATE, GOOD, NEW, OLD, Fault, Moment
from bench.move_report import summarize, table

TICK_S = 0.25
STEP_PERIOD_S = 3.0
COMMIT_DELAY_S = 1.0
BRAKE_SPREAD_S = 1.0
FINISH_WITHIN_S = 300
BAKE_S = 30
RUN_S = FINISH_WITHIN_S + 60
ROUTE_PARTS = {"main": 0.9, "side": 0.1}
NORMAL_MS, TAIL_MS, SLOW_MS = 7.0, 12.0, 60.0
TAIL_PART = 0.1
SLOTS = 12
START = datetime(2026, 1, 1, tzinfo=UTC)
GLOBAL_THRESHOLD = 0.05
GLOBAL_WINDOW_S = 20.0
GLOBAL_MIN_CALLS = 20
LOOK_S = 1.0
SEEDS = 5


SIZES = {"siamsong": 5, "guild": 7, "target": 27}
RATES = {"little": 0.4, "usual": 10.0}
# A run at target size takes longest; its rows are means over fewer seeds.
TARGET_SEEDS = 2


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
    failing: set[int] = attrs.field(factory=set)
    ran: list[TrialTallies] = attrs.field(factory=list)
    forwarded: list[TrialTallies] = attrs.field(factory=list)
    braked_s: float = math.inf
    brakes: tuple = ()
    recent: list[tuple[float, int, int]] = attrs.field(factory=list)
    harmed: int = 0
    new_calls: int = 0
    first_s: float | None = None
    last_s: float | None = None


def poisson(draw: random.Random, mean: float) -> int:
    if mean > 40:
        return max(round(draw.gauss(mean, math.sqrt(mean))), 0)
    limit, product, count = math.exp(-mean), draw.random(), 0
    while product > limit:
        product *= draw.random()
        count += 1
    return count


def binomial(draw: random.Random, count: int, chance: float) -> int:
    if chance <= 0 or not count:
        return 0
    if chance >= 1:
        return count
    return sum(draw.random() < chance for _ in range(count))


def start_run(kind: str, fault: Fault, hosts: int, rate: float, seed: int) -> Run:
    move = Move("move", "service", OLD, NEW, Place("bench"), None, FINISH_WITHIN_S)
    finish_by = START + timedelta(seconds=FINISH_WITHIN_S)
    progress = MoveProgress("move", "service", OLD, NEW, finish_by, START)
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
    renew_ledgers(run, 0.0)
    return run


def renew_ledgers(run: Run, at_s: float) -> None:
    run.ran = [TrialTallies(run.active.trial, NEW, at_s) for _ in range(run.hosts)]
    run.forwarded = [
        TrialTallies(run.active.trial, NEW, at_s) for _ in range(run.hosts)
    ]


def generate(run: Run, at_s: float, evidence: bool) -> None:
    """Draw the calls of one tick and count them."""
    if run.active.state is MoveState.DONE:
        share = 1.0
    else:
        braked = at_s >= run.braked_s + BRAKE_SPREAD_S
        share = 0.0 if braked else run.active.share_permille / 1000
    failed_calls = all_calls = 0
    for host in range(run.hosts):
        for version, part in ((OLD, 1 - share), (NEW, share)):
            for route, route_part in ROUTE_PARTS.items():
                mean = run.rate / run.hosts * TICK_S * part * route_part
                calls = poisson(run.draw, mean) if mean else 0
                if not calls:
                    continue
                failed = _count(run, host, version, route, calls, at_s, share, evidence)
                failed_calls += failed
                all_calls += calls
    run.recent.append((at_s, all_calls, failed_calls))


def _count(
    run: Run,
    host: int,
    version: str,
    route: str,
    calls: int,
    at_s: float,
    share: float,
    evidence: bool,
) -> int:
    warm_up = WarmUp(at_s)
    if version == NEW:
        warm_up = run.warm_ups.setdefault(host, warm_up)
    age_s = at_s - warm_up.first_s
    fail, slow = run.fault(
        Moment(version, route, host, at_s, share, warm_up.calls, age_s, run.hosts)
    )
    failed = binomial(run.draw, calls, fail)
    slowed = binomial(run.draw, calls - failed, slow)
    tail = binomial(run.draw, calls - failed - slowed, TAIL_PART)
    if version == NEW:
        warm_up.calls += calls
        run.new_calls += calls
        if failed + slowed and max(fail, slow) > BASE_RATE:
            run.harmed += failed + slowed
            run.first_s = at_s if run.first_s is None else run.first_s
            run.last_s = at_s
    if evidence:
        normal = calls - failed - slowed - tail
        groups = (
            (failed, True, NORMAL_MS),
            (slowed, False, SLOW_MS),
            (tail, False, TAIL_MS),
            (normal, False, NORMAL_MS),
        )
        entry = run.draw.randrange(run.hosts)
        for count, is_failed, latency_ms in groups:
            if count:
                key = (route, version)
                measured = version == OLD or is_warm(warm_up, at_s)
                warm_ms = latency_ms if measured else None
                record_calls(run.ran[host], key, is_failed, warm_ms, at_s, count)
                if is_failed and version == NEW:
                    now_ms = int((START.timestamp() + at_s) * 1000)
                    run.failing.update((host, entry))
                    record_failure(run.ran[host], at_s, now_ms)
                if entry != host:
                    record_calls(
                        run.forwarded[entry], key, is_failed, None, at_s, count
                    )
    return failed


def look(run: Run, at_s: float) -> None:
    """Let every node look at its own evidence, as the brake task does."""
    if run.brakes or not run.active.share_permille:
        return
    now_ms = int((START.timestamp() + at_s) * 1000)
    full = at_s % LOOK_S < TICK_S
    hosts = range(run.hosts) if full else sorted(run.failing)
    run.failing = set()
    for host in hosts:
        ran, forwarded = run.ran[host], run.forwarded[host]
        windows = add_windows((sum_windows(ran, at_s), sum_windows(forwarded, at_s)))
        brake = find_brake(run.active, windows, now_ms, now_ms)
        if brake is None and is_suspect(run.active, windows):
            reports = reports_of(run, at_s)
            brake = find_combined_brake(run.active, reports, now_ms)
        if brake is not None:
            run.brakes = (brake,)
            run.braked_s = at_s
            for ledger in (*run.ran, *run.forwarded):
                freeze_windows(ledger, at_s)
            return


def reports_of(run: Run, at_s: float) -> dict[str, Report]:
    return {
        str(host): build_report(ledger, at_s) for host, ledger in enumerate(run.ran)
    }


def activate(run: Run, at_s: float) -> None:
    """Put a committed progress in force after the time that takes."""
    if run.progress == run.active or at_s < run.active_at_s:
        return
    renewed = run.progress.trial != run.active.trial
    run.active = run.progress
    if renewed:
        run.brakes = ()
        run.braked_s = math.inf
        renew_ledgers(run, at_s)
    for ledger in (*run.ran, *run.forwarded):
        begin_step(ledger, run.active.step)


def step_policy(run: Run, at_s: float) -> None:
    """Take the product's next step."""
    view = MoveView(reports_of(run, at_s), True, run.brakes, run.hosts * SLOTS)
    following = next_progress(
        run.move, run.active, view, START + timedelta(seconds=at_s)
    )
    if following is not None:
        run.progress = following
        run.active_at_s = at_s + COMMIT_DELAY_S


def step_schedule(run: Run, at_s: float, threshold: float | None) -> None:
    """Take a step of the fixed schedule, or back where the threshold is passed."""
    since_s = at_s - GLOBAL_WINDOW_S
    run.recent = [item for item in run.recent if item[0] > since_s]
    calls = sum(item[1] for item in run.recent)
    failed = sum(item[2] for item in run.recent)
    if threshold is not None and calls >= GLOBAL_MIN_CALLS:
        if failed > threshold * calls:
            _set(run, MoveState.REVERTED, 0, at_s)
            return
    steps = math.ceil(math.log(BAKE_SHARE_PERMILLE / 10, RAISE_FACTOR)) + 1
    step_s = (FINISH_WITHIN_S - BAKE_S) / 2 / steps
    share = min(10 * RAISE_FACTOR ** int(at_s / step_s), 1000)
    if at_s >= steps * step_s + BAKE_S:
        _set(run, MoveState.DONE, 1000, at_s)
    elif share > run.active.share_permille:
        _set(run, MoveState.STEPPING, share, at_s)


def _set(run: Run, state: MoveState, share: int, at_s: float) -> None:
    now = START + timedelta(seconds=at_s)
    run.progress = attrs.evolve(
        run.active, state=state, share_permille=share, finished_at=now
    )
    run.active_at_s = at_s + COMMIT_DELAY_S


POLICIES: dict[str, Callable[[Run, float], None]] = {
    "agaterelay": step_policy,
    "fixed schedule": lambda run, at_s: step_schedule(run, at_s, None),
    "global threshold": lambda run, at_s: step_schedule(run, at_s, GLOBAL_THRESHOLD),
}


def simulate(run: Run, policy: str) -> dict[str, Any]:
    """Run a move to its end and return what became of it."""
    evidence = policy == "agaterelay"
    at_s = 0.0
    while at_s < RUN_S:
        at_s += TICK_S
        activate(run, at_s)
        if run.active.state is MoveState.REVERTED:
            break
        # A done version goes on for a while, so that a missed fault does its harm.
        if run.active.state is MoveState.DONE and at_s > FINISH_WITHIN_S:
            break
        generate(run, at_s, evidence)
        if evidence:
            if run.restarts and run.draw.random() < TICK_S / 10:
                host = run.draw.randrange(run.hosts)
                run.ran[host] = TrialTallies(
                    run.active.trial, NEW, at_s, run.active.step
                )
                run.forwarded[host] = TrialTallies(
                    run.active.trial, NEW, at_s, run.active.step
                )
            look(run, at_s)
        due = at_s % STEP_PERIOD_S < TICK_S and run.progress == run.active
        if due and run.active.state not in FINAL_MOVE_STATES:
            POLICIES[policy](run, at_s)
    done = run.active.state is MoveState.DONE
    stop_s = run.last_s - run.first_s if run.first_s is not None else 0.0
    return {
        "state": str(run.active.state),
        "in_time": done and run.active.finished_at <= run.active.finish_by,
        "finished_s": (run.active.finished_at - START).total_seconds()
        if run.active.finished_at
        else RUN_S,
        "harmed": run.harmed,
        "stop_s": stop_s,
        "reason": run.active.reason,
    }


def measure(seeds: int, sizes: list[str], rates: list[str]) -> list[dict[str, Any]]:
    """Run every kind at every size and rate under every policy."""
    rows = []
    for size in sizes:
        for level in rates:
            for kind, fault in {**BAD, **GOOD}.items():
                for policy in POLICIES:
                    results = [
                        simulate(
                            start_run(kind, fault, SIZES[size], RATES[level], seed),
                            policy,
                        )
                        for seed in range(TARGET_SEEDS if size == "target" else seeds)
                    ]
                    rows.append(summarize(size, level, kind, policy, results))
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--sizes", nargs="+", default=list(SIZES))
    parser.add_argument("--rates", nargs="+", default=list(RATES))
    parser.add_argument("--table", action="store_true")
    arguments = parser.parse_args()
    rows = measure(arguments.seeds, arguments.sizes, arguments.rates)
    if arguments.table:
        print(table(rows))
    else:
        write("moves", {"seeds": arguments.seeds, "rows": rows})


if __name__ == "__main__":
    main()
