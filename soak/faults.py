"""The faults of a soak test: planned from a seed, each of them ended by itself."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import attrs

from soak import addresses
from soak.fleet import (
    Fleet,
    Host,
    announce_state,
    send_signal,
    start_node,
    write_revision,
)
from soak.proxy import Route, heal, reset
from standins.crowd import SHAPES
from standins.store import compact_history

# The delay after which a node that was stopped or killed is started again.
RESTART_DELAY_RANGE_S = (0.1, 1.5)
STOP_TIMEOUT_S = 7.0
MAX_LEAVE_ATTEMPTS = 20
CROWD = "crowd"
CROWD_INTERVAL_S = 5.0
CROWD_SIZES = (20, 50, 100)
CROWD_BODY_BYTES = (1_000, 60_000, 900_000)
REPLACEMENT_DELAY_RANGE_S = (0.5, 2.0)

Fault = Callable[[Fleet, random.Random, float], Awaitable[None]]


@attrs.frozen
class PlannedFault:
    """One fault of a plan, with the seed of its own random choices."""

    at_s: float
    duration_s: float
    name: str
    seed: int

    def __str__(self) -> str:
        return f"{self.at_s:.1f} s: {self.name} for {self.duration_s:.1f} s"


def plan_faults(seed: int, duration_s: float) -> list[PlannedFault]:
    """Return the faults that begin within a time.

    Some come in series of the same kind, and faults may overlap.
    """
    generator = random.Random(seed)
    plan = []
    at_s = 0.5
    while at_s < duration_s:
        name = generator.choice(sorted(FAULTS))
        for _ in range(generator.choice((1, 1, 1, 2, 3))):
            fault_duration_s = generator.uniform(0.3, 4.0)
            plan.append(
                PlannedFault(at_s, fault_duration_s, name, generator.randrange(1 << 30))
            )
            at_s += generator.uniform(0.05, 0.8)
        at_s += generator.uniform(0.1, 1.5)
    return plan


def plan_crowds(seed: int, duration_s: float) -> list[PlannedFault]:
    """Return the crowds of callers that begin within a time.

    They are planned apart, so that the faults of a seed stay the same.
    """
    generator = random.Random(f"crowds {seed}")
    return [
        PlannedFault(
            generator.uniform(0.5, duration_s),
            generator.uniform(1.0, 6.0),
            CROWD,
            generator.randrange(1 << 30),
        )
        for _ in range(max(round(duration_s / CROWD_INTERVAL_S), 1))
    ]


async def run_plan(fleet: Fleet, plan: list[PlannedFault]) -> None:
    """Inject the faults of a plan; return when all have ended."""
    began_s = time.monotonic()

    async def run(fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s - (time.monotonic() - began_s))
        run_fault = _play_crowd if fault.name == CROWD else FAULTS[fault.name]
        await run_fault(fleet, random.Random(fault.seed), fault.duration_s)

    await asyncio.gather(*(run(fault) for fault in plan))


def _choose_host(fleet: Fleet, generator: random.Random) -> Host:
    return generator.choice(fleet.hosts)


def _choose_route(fleet: Fleet, generator: random.Random) -> Route:
    return generator.choice(_choose_host(fleet, generator).routes)


async def _slow_route(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    route = _choose_route(fleet, generator)
    route.delay_s = generator.uniform(0.01, 0.4)
    await asyncio.sleep(duration_s)
    heal(route)


async def _silent_route(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    route = _choose_route(fleet, generator)
    route.hold_out = route.hold_back = True
    await asyncio.sleep(duration_s)
    heal(route)


async def _one_way_route(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    route = _choose_route(fleet, generator)
    route.hold_out = generator.random() < 0.5
    route.hold_back = not route.hold_out
    await asyncio.sleep(duration_s)
    heal(route)


async def _reset_routes(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    for route in _choose_host(fleet, generator).routes:
        reset(route)


async def _cut_zone(fleet: Fleet, generator: random.Random, duration_s: float) -> None:
    zone = _choose_host(fleet, generator).zone
    zones = {host.number: host.zone for host in fleet.hosts}
    cut = [
        route
        for host in fleet.hosts
        for other, route in host.link_routes.items()
        if (host.zone == zone) != (zones[other] == zone)
    ]
    for route in cut:
        route.hold_out = route.hold_back = True
    await asyncio.sleep(duration_s)
    for route in cut:
        heal(route)


async def _freeze_node(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    host = _choose_host(fleet, generator)
    interval = _begin_impairment(host)
    send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    send_signal(host, signal.SIGCONT)
    interval[1] = time.monotonic()


async def _kill_node(fleet: Fleet, generator: random.Random, duration_s: float) -> None:
    await _end_node(_choose_host(fleet, generator), signal.SIGKILL, generator)


async def _kill_all(fleet: Fleet, generator: random.Random, duration_s: float) -> None:
    await asyncio.gather(
        *(_end_node(host, signal.SIGKILL, generator) for host in fleet.hosts)
    )


async def _stop_node(fleet: Fleet, generator: random.Random, duration_s: float) -> None:
    await _end_node(_choose_host(fleet, generator), signal.SIGTERM, generator)


async def _reload_node(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    send_signal(_choose_host(fleet, generator), signal.SIGHUP)


async def _end_node(
    host: Host, number: signal.Signals, generator: random.Random
) -> None:
    process = host.process
    if process is None or process.returncode is not None:
        return
    interval = _begin_impairment(host)
    send_signal(host, number)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        if sum(interval[1] == float("inf") for interval in host.impaired_s) == 1:
            # No other fault was active on this host, so the node should have stopped.
            host.stop_timeouts += 1
        send_signal(host, signal.SIGKILL)
        await process.wait()
    await asyncio.sleep(generator.uniform(*RESTART_DELAY_RANGE_S))
    # Another fault may have restarted the node already.
    if host.process is process:
        await start_node(host)
    interval[1] = time.monotonic()


def _begin_impairment(host: Host) -> list[float]:
    interval = [time.monotonic(), float("inf")]
    host.impaired_s.append(interval)
    return interval


async def _play_crowd(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    """Let callers that don't behave send one shape of input to a host."""
    host = _choose_host(fleet, generator)
    arguments = {
        "address": f"{host.ip}:{addresses.CALLS_PORT}",
        "shape": generator.choice(sorted(SHAPES)),
        "callers": generator.choice(CROWD_SIZES),
        "body-bytes": generator.choice(CROWD_BODY_BYTES),
        "limit-s": duration_s,
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.crowd",
        *(f"--{name}={value}" for name, value in arguments.items()),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.DEVNULL,
    )
    await process.wait()


async def _store_fault(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    faults = fleet.store.faults
    name = generator.choice(("down", "silent", "lose_answers", "feeds_miss_changes"))
    setattr(faults, name, True)
    await asyncio.sleep(duration_s)
    setattr(faults, name, False)


async def _slow_store(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    fleet.store.faults.delay_s = generator.uniform(0.1, 1.0)
    await asyncio.sleep(duration_s)
    fleet.store.faults.delay_s = 0.0


async def _compact_store_history(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    compact_history(fleet.store)


async def _change_configuration(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    await write_revision(fleet)


async def _replace_instance(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    """Drain an instance and replace it by a later start of itself.

    Calls after a confirmed leave are a violation; see ``check_hosts``.
    """
    host = _choose_host(fleet, generator)
    if host.leaving:
        return
    host.leaving = True
    instance = host.instance
    for _ in range(MAX_LEAVE_ATTEMPTS):
        if await announce_state(host, "draining"):
            host.departed.append((time.monotonic(), instance.born_ms))
            await asyncio.sleep(generator.uniform(*REPLACEMENT_DELAY_RANGE_S))
            break
        await asyncio.sleep(0.2)
    instance.born_ms += 1_000
    instance.sequence = 0
    instance.leaving = False
    host.leaving = False


async def _bad_instance(
    fleet: Fleet, generator: random.Random, duration_s: float
) -> None:
    instance = _choose_host(fleet, generator).instance
    instance.fault = generator.choice(
        ("error", "reset", "early_end", "garbage", "silent")
    )
    await asyncio.sleep(duration_s)
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
    "a store without history": _compact_store_history,
    "a change of the configuration": _change_configuration,
    "a replaced instance": _replace_instance,
    "a bad instance": _bad_instance,
}
