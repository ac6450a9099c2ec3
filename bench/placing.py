"""A model of callers, entries, gates and upstreams that runs the node's own decisions.

The decisions are the modules that the node uses (placing, the slots' queue); time, work
and the network are simulated, so a run takes a second and gives the same figures each
time. It compares them with baselines on one load.

    python -m bench.placing [--load 1.1]
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from agaterelay.core import slot_queue
from agaterelay.core.placing import (
    LoadReport,
    RouteCosts,
    TargetLoad,
    expected_cost_ms,
    record_answer,
    record_load_report,
    select_cheapest,
)
from agaterelay.core.slot_queue import Granted, Queued, Refused, SlotQueue, Ticket

HOP_S = {True: 0.0003, False: 0.0016}
MAX_PLACEMENTS = 4


@attrs.frozen
class Kind:
    """A kind of request; times in seconds, ``per_s`` at a load of 1."""

    name: str
    per_s: float
    service_time_s: float
    spread: float
    target_s: float
    deadline_s: float
    rank: int
    worth: float
    late_worth: float
    answer_bytes: int = 0
    unsafe: bool = False


@attrs.frozen
class Scene:
    """Who calls whom."""

    kinds: tuple[Kind, ...]
    speeds: tuple[float, ...]
    slots: int
    zones: tuple[int, ...]
    entries: int = 11
    length_s: float = 20.0
    load: float = 1.0


@attrs.define
class Gate:
    """One upstream and its gate."""

    zone: int
    speed: float
    queue: SlotQueue
    waiting: dict[int, Try] = attrs.field(factory=dict)


@attrs.define
class Entry:
    """What one entry knows of all gates."""

    zone: int
    loads: list[TargetLoad]
    costs: dict[str, RouteCosts] = attrs.field(factory=dict)


@attrs.define
class Journey:
    """One caller's request; a refused caller comes back once."""

    kind: Kind
    entry: int
    began_s: float
    attempt_s: float
    came_back: bool = False
    tried: set[int] = attrs.field(factory=set)
    retry_after_s: float = 9.0


@attrs.define(eq=False)
class Try:
    """A journey at a gate."""

    journey: Journey
    inbound: int
    ticket: Ticket


@attrs.define
class Result:
    """What callers got, by kind and outcome, and how busy the slots were."""

    ends: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    worth: float = 0.0
    owed: float = 0.0
    busy_s: float = 0.0
    crossed_bytes: int = 0

    @property
    def earned(self) -> float:
        """The part of what callers were owed that they got."""
        return self.worth / self.owed if self.owed else 0.0


Choose = Callable[[Entry, Journey, list[Gate], float, random.Random], int | None]


def choose_cheapest(
    entry: Entry,
    journey: Journey,
    gates: list[Gate],
    now_s: float,
    draw: random.Random,
) -> int | None:
    """Choose as the node does."""
    route = entry.costs.setdefault(journey.kind.name, RouteCosts())
    return select_cheapest(
        [index for index in range(len(gates)) if index not in journey.tried],
        lambda index: expected_cost_ms(
            entry.loads[index],
            gates[index].queue.slots,
            route,
            gates[index].zone == entry.zone,
            now_s,
        ),
        draw,
    )


def make_round_robin() -> Choose:
    """Return a baseline that takes the gates in turn."""
    turn = iter(range(1 << 60))

    def choose(entry, journey, gates, now_s, draw):
        left = [index for index in range(len(gates)) if index not in journey.tried]
        return left[next(turn) % len(left)] if left else None

    return choose


def choose_least_outstanding(entry, journey, gates, now_s, draw) -> int | None:
    """A baseline: the gate with the fewest calls of this entry."""
    left = [index for index in range(len(gates)) if index not in journey.tried]
    return min(
        left, key=lambda index: (entry.loads[index].own, draw.random()), default=None
    )


@attrs.define
class Run:
    """The state of one run."""

    scene: Scene
    choose: Choose
    draw: random.Random
    gates: list[Gate]
    entries: list[Entry]
    now_s: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    numbers: Iterator[int] = attrs.field(factory=lambda: iter(range(1 << 60)))
    result: Result = attrs.field(factory=Result)


def play(scene: Scene, choose: Choose = choose_cheapest, seed: int = 1) -> Result:
    """Run a scene and return what callers got."""
    draw = random.Random(seed)
    gates = [
        Gate(zone, speed, SlotQueue(scene.slots))
        for zone, speed in zip(scene.zones, scene.speeds, strict=True)
    ]
    entries = [
        Entry(number % 3, [TargetLoad() for _ in gates])
        for number in range(scene.entries)
    ]
    run = Run(scene, choose, draw, gates, entries)
    for kind in scene.kinds:
        _arrive_later(run, kind)
    while run.events:
        run.now_s, _, act = heapq.heappop(run.events)
        act()
    return run.result


def _after(run: Run, delay_s: float, act: Callable[[], None]) -> None:
    heapq.heappush(run.events, (run.now_s + delay_s, next(run.numbers), act))


def _arrive_later(run: Run, kind: Kind) -> None:
    delay_s = run.draw.expovariate(kind.per_s * run.scene.load)
    if run.now_s + delay_s > run.scene.length_s:
        return

    def arrive() -> None:
        entry = run.draw.randrange(len(run.entries))
        run.result.owed += kind.worth
        _place(run, Journey(kind, entry, run.now_s, run.now_s))
        _arrive_later(run, kind)

    _after(run, delay_s, arrive)


def _place(run: Run, journey: Journey) -> None:
    entry = run.entries[journey.entry]
    index = None
    if len(journey.tried) < MAX_PLACEMENTS:
        index = run.choose(entry, journey, run.gates, run.now_s, run.draw)
    if index is None:
        _refuse(run, journey)
        return
    journey.tried.add(index)
    entry.loads[index].own += 1
    hop_s = HOP_S[run.gates[index].zone == entry.zone]
    _after(run, hop_s, lambda: _ask(run, journey, index))


def _ask(run: Run, journey: Journey, index: int) -> None:
    kind, gate = journey.kind, run.gates[index]
    ticket = slot_queue.make_ticket(
        gate.queue,
        kind.name,
        kind.rank,
        journey.began_s + kind.target_s,
        journey.began_s + kind.deadline_s,
        run.now_s,
    )
    answer = slot_queue.request_slot(gate.queue, ticket, run.now_s, run.draw)
    attempt = Try(journey, index, ticket)
    if isinstance(answer, Granted):
        _run_call(run, attempt)
    elif isinstance(answer, Refused):
        _send_back(run, attempt, answer.retry_after_s)
    elif isinstance(answer, Queued):
        gate.waiting[id(ticket)] = attempt
        if answer.evicted is not None:
            evicted = gate.waiting.pop(id(answer.evicted))
            _send_back(run, evicted, gate.queue.service_time_s)
        longest_s = slot_queue.max_wait_s(ticket, run.now_s)
        _after(run, longest_s, lambda: _give_up_waiting(run, attempt))


def _give_up_waiting(run: Run, attempt: Try) -> None:
    gate = run.gates[attempt.inbound]
    if gate.waiting.pop(id(attempt.ticket), None) is None:
        return
    slot_queue.remove_ticket(gate.queue, attempt.ticket)
    retry_s = slot_queue.compute_retry_after_s(gate.queue, gate.queue.slots, run.draw)
    _send_back(run, attempt, retry_s)


def _run_call(run: Run, attempt: Try) -> None:
    kind, gate = attempt.journey.kind, run.gates[attempt.inbound]
    spread = kind.spread
    work_s = kind.service_time_s / gate.speed
    work_s *= run.draw.lognormvariate(-spread * spread / 2, spread)
    run.result.busy_s += work_s
    if gate.zone != run.entries[attempt.journey.entry].zone:
        run.result.crossed_bytes += kind.answer_bytes
    _after(run, work_s, lambda: _finish(run, attempt, work_s))


def _finish(run: Run, attempt: Try, work_s: float) -> None:
    gate = run.gates[attempt.inbound]
    slot_queue.record_service_time(gate.queue, attempt.journey.kind.name, work_s)
    slot_queue.release_slot(gate.queue)
    granted, late = slot_queue.grant_free_slots(gate.queue, run.now_s)
    for ticket in granted:
        _run_call(run, gate.waiting.pop(id(ticket)))
    for ticket in late:
        _send_back(run, gate.waiting.pop(id(ticket)), gate.queue.service_time_s)
    _report_later(run, attempt, work_s * 1000)
    _after(run, _hop_s(run, attempt), lambda: _end(run, attempt.journey))


def _hop_s(run: Run, attempt: Try) -> float:
    entry = run.entries[attempt.journey.entry]
    return HOP_S[run.gates[attempt.inbound].zone == entry.zone]


def _report_later(run: Run, attempt: Try, ran_ms: float) -> None:
    queue = run.gates[attempt.inbound].queue
    report = LoadReport(
        queue.in_use + len(queue.waiting), queue.slots, queue.service_time_s * 1000
    )

    def hear() -> None:
        entry = run.entries[attempt.journey.entry]
        load = entry.loads[attempt.inbound]
        load.own -= 1
        record_load_report(load, report, run.now_s)
        if ran_ms:
            route = entry.costs.setdefault(attempt.journey.kind.name, RouteCosts())
            record_answer(route, load, ran_ms, attempt.journey.kind.answer_bytes)

    _after(run, _hop_s(run, attempt), hear)


def _send_back(run: Run, attempt: Try, retry_after_s: float) -> None:
    journey = attempt.journey
    journey.retry_after_s = min(journey.retry_after_s, retry_after_s)
    _report_later(run, attempt, 0.0)
    _after(run, _hop_s(run, attempt), lambda: _place(run, journey))


def _refuse(run: Run, journey: Journey) -> None:
    left_s = journey.began_s + journey.kind.deadline_s - run.now_s
    wait_s = min(journey.retry_after_s, left_s / 3)
    if journey.came_back or left_s <= 0:
        run.result.ends[journey.kind.name, "refused"] += 1
        return
    again = Journey(
        journey.kind, journey.entry, journey.began_s, run.now_s + wait_s, True
    )
    _after(run, wait_s, lambda: _place(run, again))


def _end(run: Run, journey: Journey) -> None:
    kind = journey.kind
    elapsed_s = run.now_s - journey.began_s
    if elapsed_s <= kind.target_s:
        run.result.ends[kind.name, "in time"] += 1
        run.result.worth += kind.worth
    else:
        run.result.ends[kind.name, "late"] += 1
        run.result.worth += kind.late_worth


DESK = Scene(
    kinds=(
        Kind("read", 377, 0.085, 0.5, 0.2, 0.8, 2, 1, 0.3, 5000),
        Kind("fire", 189, 0.078, 0.3, 0.25, 1.0, 1, 2, 0.6, 1500, unsafe=True),
    ),
    speeds=(0.5, 1.0, 1.0, 1.5, 1.0),
    slots=12,
    zones=(0, 0, 1, 1, 2),
)


def capacity_of(scene: Scene) -> float:
    """Return the part of the offered work that the slots can do."""
    slots = scene.slots * sum(scene.speeds)
    asked = sum(kind.per_s * kind.service_time_s for kind in scene.kinds) * scene.load
    return slots / asked


def main() -> None:
    """Print what each way to place gives on several loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", type=float, nargs="*", default=[0.8, 1.0, 1.25, 1.6])
    ways = {
        "cheapest": lambda: choose_cheapest,
        "least outstanding": lambda: choose_least_outstanding,
        "round robin": make_round_robin,
    }
    for load in parser.parse_args().load:
        scene = attrs.evolve(DESK, load=load)
        print(f"load {load}: the slots can do {capacity_of(scene):.2f} of the work")
        for name, make in ways.items():
            result = play(scene, make())
            ends = ", ".join(
                f"{kind} {outcome} {count}"
                for (kind, outcome), count in sorted(result.ends.items())
            )
            busy = result.busy_s / scene.length_s / scene.slots / len(scene.speeds)
            crossed_mb = result.crossed_bytes / 1e6
            print(
                f"  {name:18} earned {result.earned:.3f} busy {busy:.2f} "
                f"between zones {crossed_mb:.1f} MB | {ends}"
            )


if __name__ == "__main__":
    main()
