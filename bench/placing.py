"""A simulation of callers, proxies and upstreams that runs the node's own decisions.

Placing and queueing are the modules that the node uses. The clock, the service times
and the network are simulated, so a run takes a second and is deterministic. The node's
placing is compared with baselines under the same load.

    python -m bench.placing [--load 1.1] [--scenario uneven] [--before REVISION]
"""

from __future__ import annotations

import argparse
import heapq
import random
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from types import ModuleType

import attrs

from agaterelay.core import slot_queue
from agaterelay.core.placing import (
    RouteCosts,
    TargetLoad,
    expected_cost_ms,
    record_answer,
    record_load_report,
    serves_in_useful_time,
)
from agaterelay.core.rate_limit import update_rate
from agaterelay.core.slot_queue import Granted, Queued, Refused, SlotQueue, Ticket
from agaterelay.core.zone_spill import ZoneSpill, select_by_zone

# The one-way delay by whether both ends are in the same zone.
HOP_TIME_S = {True: 0.0003, False: 0.0016}
MAX_ATTEMPT_COUNT = 4


@attrs.frozen
class RequestKind:
    """A kind of request.

    ``per_s`` is the arrival rate at a load of 1. ``sigma`` is that of the log-normal
    distribution of service times. ``worth`` is what an answer within the target latency
    is worth to the caller, ``late_worth`` what a later one is.
    """

    name: str
    per_s: float
    service_time_s: float
    sigma: float
    target_latency_s: float
    deadline_s: float
    rank: int
    worth: float
    late_worth: float
    answer_bytes: int = 0
    unsafe: bool = False


@attrs.frozen
class Scenario:
    """The offered load and the upstreams that serve it.

    ``speeds`` and ``zones`` hold one value for each upstream, as does ``rate_limits_per_s``
    unless no upstream names a limit; None is an upstream without one.
    ``zone_weights`` returns the parts of the arrivals that each zone gets at a time, all
    the same if None. ``is_cut`` returns whether a zone can't reach another at a time.
    """

    kinds: tuple[RequestKind, ...]
    speeds: tuple[float, ...]
    slots: int
    zones: tuple[int, ...]
    outbound_count: int = 11
    length_s: float = 20.0
    load: float = 1.0
    rate_limits_per_s: tuple[float | None, ...] = ()
    zone_weights: Callable[[float], tuple[float, ...]] | None = None
    is_cut: Callable[[int, int, float], bool] = lambda own, other, now_s: False


@attrs.define
class Inbound:
    """One upstream and the inbound proxy next to it; ``sent_s`` is when calls were sent."""

    zone: int
    speed: float
    queue: SlotQueue
    waiting: dict[int, Attempt] = attrs.field(factory=dict)
    sent_s: list[float] = attrs.field(factory=list)
    grant_is_scheduled: bool = False


@attrs.define
class Outbound:
    """An outbound proxy: what it knows about all inbound proxies."""

    zone: int
    loads: list[TargetLoad]
    costs: dict[str, RouteCosts] = attrs.field(factory=dict)
    spill: ZoneSpill = attrs.field(factory=ZoneSpill)
    is_cut: Callable[[int, int, float], bool] = lambda own, other, now_s: False


@attrs.define
class Request:
    """One caller's request; a caller retries a refused request once.

    ``work_ratio`` is its service time as a part of the mean of its kind. It is drawn with
    the arrival, so that all policies get the same requests.
    """

    kind: RequestKind
    outbound_index: int
    started_s: float
    attempted_s: float
    work_ratio: float
    is_retry: bool = False
    tried: set[int] = attrs.field(factory=set)
    retry_after_s: float = 9.0


@attrs.define(eq=False)
class Attempt:
    """An attempt to run a request at an inbound proxy."""

    request: Request
    inbound_index: int
    ticket: Ticket


@attrs.define
class Result:
    """Outcomes by kind of request, and the time for which slots were in use.

    ``crossings`` are the times and own zones of the calls that ran in another zone.
    """

    outcome_counts: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    worth: float = 0.0
    offered_worth: float = 0.0
    busy_s: float = 0.0
    cross_zone_bytes: int = 0
    crossings: list[tuple[float, int]] = attrs.field(factory=list)
    answer_times_s: list[float] = attrs.field(factory=list)
    sent_s: tuple[list[float], ...] = ()

    @property
    def earned_ratio(self) -> float:
        """Return the ratio of the worth of all answers to that of all requests."""
        return self.worth / self.offered_worth if self.offered_worth else 0.0


ChooseTarget = Callable[
    [Outbound, Request, list[Inbound], float, random.Random], int | None
]


def find_candidates(
    outbound: Outbound, request: Request, inbounds: list[Inbound], now_s: float
) -> list[int]:
    """Return the inbound proxies that can be reached and weren't tried."""
    return [
        index
        for index, inbound in enumerate(inbounds)
        if index not in request.tried
        and not outbound.is_cut(outbound.zone, inbound.zone, now_s)
    ]


def choose_cheapest(
    outbound: Outbound,
    request: Request,
    inbounds: list[Inbound],
    now_s: float,
    draw: random.Random,
) -> int | None:
    """Choose the inbound proxy as the node does."""
    route = outbound.costs.setdefault(request.kind.name, RouteCosts())
    candidates = find_candidates(outbound, request, inbounds, now_s)
    return select_by_zone(
        outbound.spill,
        [index for index in candidates if inbounds[index].zone == outbound.zone],
        [index for index in candidates if inbounds[index].zone != outbound.zone],
        lambda index: expected_cost_ms(
            outbound.loads[index],
            inbounds[index].queue.slots,
            route,
            inbounds[index].zone == outbound.zone,
            now_s,
        ),
        lambda index: outbound.loads[index],
        lambda index: serves_in_useful_time(
            outbound.loads[index],
            inbounds[index].queue.slots,
            route,
            1000 * (request.started_s + request.kind.target_latency_s - now_s),
        ),
        bool(request.tried),
        now_s,
        draw,
    )


def make_choice_before(placing: ModuleType) -> ChooseTarget:
    """Return the choice without a decision on spillover.

    Args:
        placing: The module ``core.placing`` of the revision to compare with.
    """

    def choose(outbound, request, inbounds, now_s, draw):
        route = outbound.costs.setdefault(request.kind.name, RouteCosts())
        return placing.select_cheapest(
            find_candidates(outbound, request, inbounds, now_s),
            lambda index: placing.expected_cost_ms(
                outbound.loads[index],
                inbounds[index].queue.slots,
                route,
                inbounds[index].zone == outbound.zone,
                now_s,
            ),
            draw,
        )

    return choose


def load_placing(revision: str) -> ModuleType:
    """Return the module ``core.placing`` of an earlier revision of this repository."""
    source = subprocess.run(
        ["git", "show", f"{revision}:agaterelay/core/placing.py"],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    module = ModuleType("placing_before")
    sys.modules[module.__name__] = module
    exec(compile(source, f"{revision}:placing.py", "exec"), module.__dict__)
    return module


def make_round_robin() -> ChooseTarget:
    """Return a baseline that chooses the inbound proxies in turn."""
    counter = iter(range(1 << 60))

    def choose(outbound, request, inbounds, now_s, draw):
        candidates = find_candidates(outbound, request, inbounds, now_s)
        return candidates[next(counter) % len(candidates)] if candidates else None

    return choose


def choose_least_outstanding(outbound, request, inbounds, now_s, draw) -> int | None:
    """Choose the inbound proxy with the fewest calls of this outbound proxy."""
    candidates = find_candidates(outbound, request, inbounds, now_s)
    return min(
        candidates,
        key=lambda index: (outbound.loads[index].own, draw.random()),
        default=None,
    )


@attrs.define
class Run:
    """The state of one run."""

    scenario: Scenario
    choose: ChooseTarget
    draw: random.Random
    arrivals: random.Random
    inbounds: list[Inbound]
    outbounds: list[Outbound]
    now_s: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    sequence_numbers: Iterator[int] = attrs.field(factory=lambda: iter(range(1 << 60)))
    result: Result = attrs.field(factory=Result)


def simulate(
    scenario: Scenario, choose: ChooseTarget = choose_cheapest, seed: int = 1
) -> Result:
    """Simulate a scenario and return its outcomes."""
    draw = random.Random(seed)
    inbounds = [
        Inbound(zone, speed, SlotQueue(scenario.slots))
        for zone, speed in zip(scenario.zones, scenario.speeds, strict=True)
    ]
    outbounds = [
        Outbound(number % 3, [TargetLoad() for _ in inbounds], is_cut=scenario.is_cut)
        for number in range(scenario.outbound_count)
    ]
    for inbound, rate_per_s in zip(inbounds, scenario.rate_limits_per_s, strict=False):
        update_rate(inbound.queue.rate_limit, rate_per_s, 0.0, 0.0)
    run = Run(scenario, choose, draw, random.Random(seed), inbounds, outbounds)
    run.result.sent_s = tuple(inbound.sent_s for inbound in inbounds)
    for kind in scenario.kinds:
        _schedule_arrival(run, kind)
    while run.events:
        run.now_s, _, action = heapq.heappop(run.events)
        action()
    return run.result


def _schedule(run: Run, delay_s: float, action: Callable[[], None]) -> None:
    heapq.heappush(
        run.events, (run.now_s + delay_s, next(run.sequence_numbers), action)
    )


def _schedule_arrival(run: Run, kind: RequestKind) -> None:
    delay_s = run.arrivals.expovariate(kind.per_s * run.scenario.load)
    if run.now_s + delay_s > run.scenario.length_s:
        return

    def handle_arrival() -> None:
        outbound_index = _draw_outbound(run)
        run.result.offered_worth += kind.worth
        sigma = kind.sigma
        work_ratio = run.arrivals.lognormvariate(-sigma * sigma / 2, sigma)
        request = Request(kind, outbound_index, run.now_s, run.now_s, work_ratio)
        _place_request(run, request)
        _schedule_arrival(run, kind)

    _schedule(run, delay_s, handle_arrival)


def _draw_outbound(run: Run) -> int:
    zone_weights = run.scenario.zone_weights
    if zone_weights is None:
        return run.arrivals.randrange(len(run.outbounds))
    weights = zone_weights(run.now_s)
    (zone,) = run.arrivals.choices(range(len(weights)), weights)
    return run.arrivals.randrange(zone, len(run.outbounds), len(weights))


def _place_request(run: Run, request: Request) -> None:
    outbound = run.outbounds[request.outbound_index]
    index = None
    if len(request.tried) < MAX_ATTEMPT_COUNT:
        index = run.choose(outbound, request, run.inbounds, run.now_s, run.draw)
    if index is None:
        _retry_or_refuse(run, request)
        return
    request.tried.add(index)
    outbound.loads[index].own += 1
    hop_s = HOP_TIME_S[run.inbounds[index].zone == outbound.zone]
    _schedule(run, hop_s, lambda: _handle_attempt(run, request, index))


def _handle_attempt(run: Run, request: Request, index: int) -> None:
    kind, inbound = request.kind, run.inbounds[index]
    ticket = slot_queue.make_ticket(
        inbound.queue,
        kind.name,
        kind.rank,
        request.started_s + kind.target_latency_s,
        request.started_s + kind.deadline_s,
        run.now_s,
    )
    answer = slot_queue.request_slot(inbound.queue, ticket, run.now_s, run.draw)
    attempt = Attempt(request, index, ticket)
    if isinstance(answer, Granted):
        _run_call(run, attempt)
    elif isinstance(answer, Refused):
        _return_refusal(run, attempt, answer.retry_after_s)
    elif isinstance(answer, Queued):
        inbound.waiting[id(ticket)] = attempt
        if answer.evicted is not None:
            evicted = inbound.waiting.pop(id(answer.evicted))
            _return_refusal(run, evicted, inbound.queue.service_time_s)
        max_wait_s = slot_queue.max_wait_s(ticket, run.now_s)
        _schedule(run, max_wait_s, lambda: _expire_ticket(run, attempt))
        _schedule_grant(run, inbound)


def _schedule_grant(run: Run, inbound: Inbound) -> None:
    wait_s = slot_queue.wait_for_rate_limit_s(inbound.queue, run.now_s)
    if not wait_s or inbound.grant_is_scheduled:
        return

    def grant() -> None:
        inbound.grant_is_scheduled = False
        _grant_next(run, inbound)

    inbound.grant_is_scheduled = True
    _schedule(run, wait_s, grant)


def _grant_next(run: Run, inbound: Inbound) -> None:
    granted, late = slot_queue.grant_free_slots(inbound.queue, run.now_s)
    for ticket in granted:
        _run_call(run, inbound.waiting.pop(id(ticket)))
    for ticket in late:
        _return_refusal(
            run, inbound.waiting.pop(id(ticket)), inbound.queue.service_time_s
        )
    _schedule_grant(run, inbound)


def _expire_ticket(run: Run, attempt: Attempt) -> None:
    inbound = run.inbounds[attempt.inbound_index]
    if inbound.waiting.pop(id(attempt.ticket), None) is None:
        return
    slot_queue.remove_ticket(inbound.queue, attempt.ticket)
    retry_s = slot_queue.compute_retry_after_s(
        inbound.queue, inbound.queue.slots, run.now_s, run.draw
    )
    _return_refusal(run, attempt, retry_s)


def _run_call(run: Run, attempt: Attempt) -> None:
    kind, inbound = attempt.request.kind, run.inbounds[attempt.inbound_index]
    inbound.sent_s.append(run.now_s)
    service_time_s = kind.service_time_s * attempt.request.work_ratio / inbound.speed
    run.result.busy_s += service_time_s
    if inbound.zone != run.outbounds[attempt.request.outbound_index].zone:
        run.result.cross_zone_bytes += kind.answer_bytes
        zone = run.outbounds[attempt.request.outbound_index].zone
        run.result.crossings.append((run.now_s, zone))
    _schedule(run, service_time_s, lambda: _finish_call(run, attempt, service_time_s))


def _finish_call(run: Run, attempt: Attempt, service_time_s: float) -> None:
    inbound = run.inbounds[attempt.inbound_index]
    slot_queue.record_service_time(
        inbound.queue, attempt.request.kind.name, service_time_s
    )
    slot_queue.release_slot(inbound.queue)
    _grant_next(run, inbound)
    _schedule_report(run, attempt, service_time_s * 1000)
    _schedule(
        run, _hop_time_s(run, attempt), lambda: _record_outcome(run, attempt.request)
    )


def _hop_time_s(run: Run, attempt: Attempt) -> float:
    outbound = run.outbounds[attempt.request.outbound_index]
    return HOP_TIME_S[run.inbounds[attempt.inbound_index].zone == outbound.zone]


def _schedule_report(run: Run, attempt: Attempt, service_time_ms: float) -> None:
    report = slot_queue.make_load_report(
        run.inbounds[attempt.inbound_index].queue, run.now_s
    )

    def apply_report() -> None:
        outbound = run.outbounds[attempt.request.outbound_index]
        load = outbound.loads[attempt.inbound_index]
        load.own -= 1
        record_load_report(load, report, run.now_s)
        if service_time_ms:
            route = outbound.costs.setdefault(attempt.request.kind.name, RouteCosts())
            record_answer(
                route, load, service_time_ms, attempt.request.kind.answer_bytes
            )

    _schedule(run, _hop_time_s(run, attempt), apply_report)


def _return_refusal(run: Run, attempt: Attempt, retry_after_s: float) -> None:
    request = attempt.request
    request.retry_after_s = min(request.retry_after_s, retry_after_s)
    _schedule_report(run, attempt, 0.0)
    _schedule(run, _hop_time_s(run, attempt), lambda: _place_request(run, request))


def _retry_or_refuse(run: Run, request: Request) -> None:
    remaining_s = request.started_s + request.kind.deadline_s - run.now_s
    wait_s = min(request.retry_after_s, remaining_s / 3)
    if request.is_retry or remaining_s <= 0:
        run.result.outcome_counts[request.kind.name, "refused"] += 1
        return
    retry = Request(
        request.kind,
        request.outbound_index,
        request.started_s,
        run.now_s + wait_s,
        request.work_ratio,
        True,
    )
    _schedule(run, wait_s, lambda: _place_request(run, retry))


def _record_outcome(run: Run, request: Request) -> None:
    kind = request.kind
    elapsed_s = run.now_s - request.started_s
    run.result.answer_times_s.append(elapsed_s)
    if elapsed_s <= kind.target_latency_s:
        run.result.outcome_counts[kind.name, "in time"] += 1
        run.result.worth += kind.worth
    else:
        run.result.outcome_counts[kind.name, "late"] += 1
        run.result.worth += kind.late_worth


DESK_SCENARIO = Scenario(
    kinds=(
        RequestKind("read", 377, 0.085, 0.5, 0.2, 0.8, 2, 1, 0.3, 5000),
        RequestKind("fire", 189, 0.078, 0.3, 0.25, 1.0, 1, 2, 0.6, 1500, unsafe=True),
    ),
    speeds=(0.5, 1.0, 1.0, 1.5, 1.0),
    slots=12,
    zones=(0, 0, 1, 1, 2),
)


# Uneven upstreams of three slots in three zones, asked by many hosts. A load of 1 is what
# their slots can do.
UNEVEN_SPEEDS = (0.5, 1.6, 1.0, 0.7, 1.3, 0.6, 1.5, 0.9, 1.1, 1.2, 0.8, 1.4)
UNEVEN_SCENARIO = Scenario(
    kinds=(
        RequestKind("read", 257, 0.085, 0.5, 0.2, 0.8, 2, 1, 0.3, 5000),
        RequestKind("fire", 129, 0.078, 0.3, 0.25, 1.0, 1, 2, 0.6, 1500, unsafe=True),
        RequestKind("list", 40, 0.160, 0.4, 0.5, 1.5, 2, 1, 0.3, 20000),
    ),
    speeds=UNEVEN_SPEEDS,
    slots=3,
    zones=tuple(number // 4 for number in range(12)),
    outbound_count=33,
    length_s=10.0,
)


def compute_capacity_ratio(scenario: Scenario) -> float:
    """Return the ratio of the slots' capacity to the offered load."""
    slots = scenario.slots * sum(scenario.speeds)
    demand_s = (
        sum(kind.per_s * kind.service_time_s for kind in scenario.kinds) * scenario.load
    )
    return slots / demand_s


def summarize(result: Result, scenario: Scenario) -> str:
    """Return one line of figures on a run."""
    ends = ", ".join(
        f"{kind} {outcome} {count}"
        for (kind, outcome), count in sorted(result.outcome_counts.items())
    )
    slots = scenario.slots * len(scenario.speeds)
    busy = result.busy_s / scenario.length_s / slots
    times_ms = sorted(1000 * time_s for time_s in result.answer_times_s) or [0.0]
    p50_ms = times_ms[len(times_ms) // 2]
    p99_ms = times_ms[len(times_ms) * 99 // 100]
    return (
        f"earned {result.earned_ratio:.3f} busy {busy:.2f} p50 {p50_ms:.0f} ms "
        f"p99 {p99_ms:.0f} ms left {len(result.crossings)} "
        f"between zones {result.cross_zone_bytes / 1e6:.1f} MB | {ends}"
    )


def main() -> None:
    """Print the results of each placing policy under several loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", type=float, nargs="*", default=[0.7, 1.0, 1.5, 3.0])
    parser.add_argument("--seed", type=int, nargs="*", default=[1])
    parser.add_argument("--crowd", type=float, help="the first zone's part of arrivals")
    parser.add_argument("--scenario", choices=("desk", "uneven"), default="desk")
    parser.add_argument("--before", help="a revision whose placing is compared")
    options = parser.parse_args()
    policies = {"cheapest": lambda: choose_cheapest}
    if options.before:
        before = load_placing(options.before)
        policies["before"] = lambda: make_choice_before(before)
    else:
        policies["least outstanding"] = lambda: choose_least_outstanding
        policies["round robin"] = make_round_robin
    scenario = {"desk": DESK_SCENARIO, "uneven": UNEVEN_SCENARIO}[options.scenario]
    if options.crowd:
        weights = (options.crowd, (1 - options.crowd) / 2, (1 - options.crowd) / 2)
        scenario = attrs.evolve(scenario, zone_weights=lambda now_s: weights)
    for load in options.load:
        scenario = attrs.evolve(scenario, load=load)
        print(
            f"load {load}: the slots can do "
            f"{compute_capacity_ratio(scenario):.2f} of the work"
        )
        for name, make_policy in policies.items():
            for seed in options.seed:
                result = simulate(scenario, make_policy(), seed)
                print(f"  {name:18} seed {seed} {summarize(result, scenario)}")


if __name__ == "__main__":
    main()
