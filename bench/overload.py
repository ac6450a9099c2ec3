"""Goodput and latency under overload, against plain round robin over the upstreams.

One run, in turns: callers that go round robin over the upstreams with a retry on each
refusal or timeout, as a plain load balancer does, and callers that go through the
nodes. Both offer the same multiples of what the upstreams can take; one call in five
is interactive, the rest is bulk.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import attrs

from agaterelay.adapters.http import (
    AnswerLostError,
    NotSentError,
    open_session,
    send_once,
)
from agaterelay.client import Caller
from agaterelay.core.outcome import Answered, NotRun
from bench.fleet import Fleet
from bench.measure import summary, write
from standins.deployment import (
    Deployment,
    deployment,
    fetch,
    start_upstream,
    wait_until,
)

HOSTS = 3
SLOTS = 4
WORK_MS = 20.0
# The stand-in draws its work from 0.8 to 1.4 times the given time.
CAPACITY_PER_S = HOSTS * SLOTS / (WORK_MS * 1.1 / 1000)
MULTIPLES = (0.7, 1.5, 3.0)
DURATION_S = 5.0
PAUSE_S = 1.0
TIMEOUT_S = 0.5
TRIES = 3
INTERACTIVE, BULK = "/service-0/first", "/service-0/second"
BULK_PER_INTERACTIVE = 4


@attrs.define
class Told:
    """What callers were told, by path, with the seconds that it took."""

    answered_s: dict[str, list[float]] = attrs.field(factory=dict)
    refused_s: list[float] = attrs.field(factory=list)
    unknown: int = 0
    sent: dict[str, int] = attrs.field(factory=dict)


Send = Callable[[str], Awaitable[str]]


def round_robin(session: aiohttp.ClientSession, upstreams: list[str]) -> Send:
    """Return a function that sends a call to the next upstream, and tries again."""
    order = itertools.cycle(upstreams)

    async def send(path: str) -> str:
        end_s = time.monotonic() + TIMEOUT_S
        told = "refused"
        for _ in range(TRIES):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return told
            try:
                answer = await send_once(
                    session, "GET", next(order), path, b"", (), left_s
                )
            except NotSentError:
                continue
            except AnswerLostError:
                told = "unknown"
                continue
            if answer.status == 200:
                return "answered"
        return told

    return send


def through_nodes(caller: Caller) -> Send:
    """Return a function that sends a call through the caller library."""

    async def send(path: str) -> str:
        outcome = await caller.call("GET", path, idempotent=True)
        if isinstance(outcome, Answered):
            return "answered" if outcome.status == 200 else "refused"
        return "refused" if isinstance(outcome, NotRun) else "unknown"

    return send


async def offer(send: Send, multiple: float, seed: int) -> Told:
    """Offer a multiple of the capacity open-loop; return what the callers were told."""
    told = Told()
    draw = random.Random(seed)
    paths = [INTERACTIVE] + [BULK] * BULK_PER_INTERACTIVE

    async def send_one(path: str) -> None:
        started_s = time.perf_counter()
        kind = await send(path)
        taken_s = time.perf_counter() - started_s
        if kind == "answered" and taken_s <= TIMEOUT_S:
            told.answered_s.setdefault(path, []).append(taken_s)
        elif kind == "refused":
            told.refused_s.append(taken_s)
        else:
            told.unknown += 1

    next_s = time.perf_counter()
    end_s = next_s + DURATION_S
    async with asyncio.TaskGroup() as group:
        while next_s < end_s:
            await asyncio.sleep(max(next_s - time.perf_counter(), 0))
            path = draw.choice(paths)
            told.sent[path] = told.sent.get(path, 0) + 1
            group.create_task(send_one(path))
            next_s += draw.expovariate(multiple * CAPACITY_PER_S)
    return told


def figures(told: Told) -> dict[str, Any]:
    """Return the figures of one offer; times are in milliseconds."""
    answered = {path: len(taken) for path, taken in told.answered_s.items()}
    times_ms = [taken * 1000 for all_s in told.answered_s.values() for taken in all_s]
    interactive_s = told.answered_s.get(INTERACTIVE, [])
    return {
        "sent": sum(told.sent.values()),
        "goodput_per_s": round(sum(answered.values()) / DURATION_S, 1),
        "goodput_of_capacity": round(
            sum(answered.values()) / DURATION_S / CAPACITY_PER_S, 3
        ),
        "interactive_answered": round(
            answered.get(INTERACTIVE, 0) / max(told.sent.get(INTERACTIVE, 0), 1), 4
        ),
        "bulk_answered": round(
            answered.get(BULK, 0) / max(told.sent.get(BULK, 0), 1), 4
        ),
        "unknown": told.unknown,
        "answered_ms": summary(times_ms),
        "interactive_ms": summary([taken * 1000 for taken in interactive_s]),
        "refused_ms": summary([taken * 1000 for taken in told.refused_s]),
    }


async def start(running: Deployment) -> list[str]:
    """Start the upstreams and bring in the document; return their addresses."""
    options = {"slots": SLOTS, "work_ms": WORK_MS}
    upstreams = [
        start_upstream(running, host, "service-0", "v1", **options)
        for host in running.hosts
    ]
    async with Fleet(running) as fleet:
        await fleet.settle(1)
        text = bulk_section()
        record = await fleet.change("service-0", text)
        await fleet.activations_ms(record["revision"])

    def known() -> bool:
        url = f"http://{running.hosts[0].operators}/v1/status"
        status = fetch(url)
        return bool(status) and len(status["upstreams"]) == HOSTS

    wait_until(known, "the upstreams' announcements")
    await asyncio.sleep(4)
    return upstreams


def bulk_section() -> str:
    """Return the section of the service, with one interactive and one bulk route."""
    return (
        "section: service-0\nowner: team\nservices:\n  - name: service-0\n"
        "    version: v1\nroutes:\n"
        f"  - name: first\n    path: {INTERACTIVE}\n    service: service-0\n"
        f"    timeout_ms: 500\n"
        f"  - name: second\n    path: {BULK}\n    service: service-0\n"
        f"    timeout_ms: 500\n    priority: bulk\n"
    )


async def run() -> dict[str, Any]:
    """Run all offers in turns in one deployment."""
    result: dict[str, Any] = {
        "capacity_per_s": round(CAPACITY_PER_S, 1),
        "load_average": os.getloadavg()[0],
    }
    with deployment({"zone-1": HOSTS}) as running:
        upstreams = await start(running)
        nodes = tuple(host.calls for host in running.hosts)
        async with open_session() as session, Caller(nodes, TIMEOUT_S) as caller:
            senders = {
                "round robin": round_robin(session, upstreams),
                "agaterelay": through_nodes(caller),
            }
            for seed, multiple in enumerate(MULTIPLES):
                for name, send in senders.items():
                    told = await offer(send, multiple, seed)
                    result.setdefault(f"times {multiple:g}", {})[name] = figures(told)
                    await asyncio.sleep(PAUSE_S)
    result["load_average_after"] = os.getloadavg()[0]
    return result


def main() -> None:
    """Measure and write the result."""
    write("overload", asyncio.run(run()))


if __name__ == "__main__":
    main()
