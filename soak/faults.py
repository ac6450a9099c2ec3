"""What goes wrong in a soak; drawn by a seed, and healed at the end."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from soak.fleet import Fleet, Host, say, send_signal, start_node, write_revision
from soak.proxy import Route, heal, reset
from standins.store import forget_history

# A stopped or killed node is started again after this.
RESTART_S = (0.1, 1.5)
STOP_S = 7.0
LEAVE_TRIES = 20
GONE_S = (0.5, 2.0)

Fault = Callable[[Fleet, random.Random, float], Awaitable[None]]


@attrs.frozen
class Step:
    """One fault of a plan: when it begins, how long it lasts, and its own seed."""

    at_s: float
    lasts_s: float
    name: str
    seed: int

    def __str__(self) -> str:
        return f"{self.at_s:.1f} s: {self.name} for {self.lasts_s:.1f} s"


def draw_plan(seed: int, duration_s: float) -> list[Step]:
    """Return faults that begin within a time, some of them in series and overlapping."""
    draw = random.Random(seed)
    steps = []
    at_s = 0.5
    while at_s < duration_s:
        name = draw.choice(sorted(FAULTS))
        for _ in range(draw.choice((1, 1, 1, 2, 3))):
            lasts_s = draw.uniform(0.3, 4.0)
            steps.append(Step(at_s, lasts_s, name, draw.randrange(1 << 30)))
            at_s += draw.uniform(0.05, 0.8)
        at_s += draw.uniform(0.1, 1.5)
    return steps


async def play(fleet: Fleet, steps: list[Step]) -> None:
    """Let the faults of a plan happen; return when all are over."""
    began_s = time.monotonic()

    async def run(step: Step) -> None:
        await asyncio.sleep(step.at_s - (time.monotonic() - began_s))
        await FAULTS[step.name](fleet, random.Random(step.seed), step.lasts_s)

    await asyncio.gather(*(run(step) for step in steps))


def _pick(fleet: Fleet, draw: random.Random) -> Host:
    return draw.choice(fleet.hosts)


def _pick_route(fleet: Fleet, draw: random.Random) -> Route:
    return draw.choice(_pick(fleet, draw).routes)


async def _slow_route(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    route = _pick_route(fleet, draw)
    route.delay_s = draw.uniform(0.01, 0.4)
    await asyncio.sleep(lasts_s)
    heal(route)


async def _silent_route(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    route = _pick_route(fleet, draw)
    route.hold_out = route.hold_back = True
    await asyncio.sleep(lasts_s)
    heal(route)


async def _one_way_route(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    route = _pick_route(fleet, draw)
    route.hold_out = draw.random() < 0.5
    route.hold_back = not route.hold_out
    await asyncio.sleep(lasts_s)
    heal(route)


async def _reset_routes(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    for route in _pick(fleet, draw).routes:
        reset(route)


async def _cut_zone(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    zone = _pick(fleet, draw).zone
    zones = {host.number: host.zone for host in fleet.hosts}
    cut = [
        route
        for host in fleet.hosts
        for other, route in host.link_routes.items()
        if (host.zone == zone) != (zones[other] == zone)
    ]
    for route in cut:
        route.hold_out = route.hold_back = True
    await asyncio.sleep(lasts_s)
    for route in cut:
        heal(route)


async def _freeze_node(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    host = _pick(fleet, draw)
    span = _impair(host)
    send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(lasts_s)
    send_signal(host, signal.SIGCONT)
    span[1] = time.monotonic()


async def _kill_node(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    await _end_node(_pick(fleet, draw), signal.SIGKILL, draw)


async def _kill_all(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    await asyncio.gather(
        *(_end_node(host, signal.SIGKILL, draw) for host in fleet.hosts)
    )


async def _stop_node(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    await _end_node(_pick(fleet, draw), signal.SIGTERM, draw)


async def _reload_node(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    send_signal(_pick(fleet, draw), signal.SIGHUP)


async def _end_node(host: Host, number: signal.Signals, draw: random.Random) -> None:
    process = host.process
    if process is None or process.returncode is not None:
        return
    span = _impair(host)
    send_signal(host, number)
    try:
        async with asyncio.timeout(STOP_S):
            await process.wait()
    except TimeoutError:
        if sum(span[1] == float("inf") for span in host.impaired_s) == 1:
            # Nothing else happened to it, so it should have stopped.
            host.overran_stop += 1
        send_signal(host, signal.SIGKILL)
        await process.wait()
    await asyncio.sleep(draw.uniform(*RESTART_S))
    # Another fault may have started it again.
    if host.process is process:
        await start_node(host)
    span[1] = time.monotonic()


def _impair(host: Host) -> list[float]:
    span = [time.monotonic(), float("inf")]
    host.impaired_s.append(span)
    return span


async def _store_fault(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    faults = fleet.store.faults
    name = draw.choice(("down", "silent", "lose_answers", "deaf"))
    setattr(faults, name, True)
    await asyncio.sleep(lasts_s)
    setattr(faults, name, False)


async def _slow_store(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    fleet.store.faults.delay_s = draw.uniform(0.1, 1.0)
    await asyncio.sleep(lasts_s)
    fleet.store.faults.delay_s = 0.0


async def _forget(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    forget_history(fleet.store)


async def _change(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    await write_revision(fleet)


async def _replace_instance(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    """Let an instance leave; where that is confirmed, a later start follows it."""
    host = _pick(fleet, draw)
    if host.leaving:
        return
    host.leaving = True
    instance = host.instance
    for _ in range(LEAVE_TRIES):
        if await say(host, "draining"):
            host.departed.append((time.monotonic(), instance.born_ms))
            await asyncio.sleep(draw.uniform(*GONE_S))
            break
        await asyncio.sleep(0.2)
    instance.born_ms += 1_000
    instance.sequence = 0
    instance.leaving = False
    host.leaving = False


async def _bad_instance(fleet: Fleet, draw: random.Random, lasts_s: float) -> None:
    instance = _pick(fleet, draw).instance
    instance.fault = draw.choice(("error", "reset", "early_end", "garbage", "silent"))
    await asyncio.sleep(lasts_s)
    instance.fault = ""


FAULTS: dict[str, Fault] = {
    "a slow connection": _slow_route,
    "a silent connection": _silent_route,
    "a connection cut one way": _one_way_route,
    "resets of a host's connections": _reset_routes,
    "a zone cut off": _cut_zone,
    "a frozen node": _freeze_node,
    "a killed node": _kill_node,
    "all nodes killed": _kill_all,
    "a stopped node": _stop_node,
    "settings read again": _reload_node,
    "a fault of the store": _store_fault,
    "a slow store": _slow_store,
    "a store without history": _forget,
    "a change of the configuration": _change,
    "a replaced instance": _replace_instance,
    "a bad instance": _bad_instance,
}
