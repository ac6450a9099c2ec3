"""Goodput and latency under overload, compared with plain round robin.

One run alternates between callers that go round robin over the upstreams and retry
each refusal or timeout, as a plain load balancer does, and callers that go through the
nodes. Both offer the same multiples of the upstreams' capacity; one call in five is
interactive, the rest is bulk.
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
from bench.measure import summarize_values, write_result
from standins.deployment import (
    Deployment,
    deployment,
    fetch,
    start_upstream,
    wait_until,
)

HOST_COUNT = 3
SLOTS_PER_UPSTREAM = 4
SERVICE_TIME_MS = 20.0
# The stand-in draws its service time uniformly from 0.8 to 1.4 times the given time, so
# its mean is 1.1 times that.
CAPACITY_PER_S = HOST_COUNT * SLOTS_PER_UPSTREAM / (SERVICE_TIME_MS * 1.1 / 1000)
LOAD_MULTIPLES = (0.7, 1.5, 3.0)
OFFER_DURATION_S = 5.0
OFFER_PAUSE_S = 1.0
CALL_TIMEOUT_S = 0.5
MAX_ATTEMPT_COUNT = 3
INTERACTIVE, BULK = "/service-0/first", "/service-0/second"
BULK_PER_INTERACTIVE = 4


@attrs.define
class CallOutcomes:
    """Outcomes of the calls of one offered load, with latencies in seconds."""

    answered_s: dict[str, list[float]] = attrs.field(factory=dict)
    refused_s: list[float] = attrs.field(factory=list)
    unknown: int = 0
    sent: dict[str, int] = attrs.field(factory=dict)


Send = Callable[[str], Awaitable[str]]


def make_round_robin_sender(
    session: aiohttp.ClientSession, upstreams: list[str]
) -> Send:
    """Return a function that sends a call to the next upstream, with retries."""
    addresses = itertools.cycle(upstreams)

    async def send(path: str) -> str:
        end_s = time.monotonic() + CALL_TIMEOUT_S
        outcome = "refused"
        for _ in range(MAX_ATTEMPT_COUNT):
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0:
                return outcome
            try:
                answer = await send_once(
                    session, "GET", next(addresses), path, b"", (), remaining_s
                )
            except NotSentError:
                continue
            except AnswerLostError:
                outcome = "unknown"
                continue
            if answer.status == 200:
                return "answered"
        return outcome

    return send


def make_node_sender(caller: Caller) -> Send:
    """Return a function that sends a call through the caller library."""

    async def send(path: str) -> str:
        outcome = await caller.call("GET", path, idempotent=True)
        if isinstance(outcome, Answered):
            return "answered" if outcome.status == 200 else "refused"
        return "refused" if isinstance(outcome, NotRun) else "unknown"

    return send


async def offer_load(send: Send, multiple: float, seed: int) -> CallOutcomes:
    """Offer a multiple of the capacity in an open loop; return the outcomes."""
    outcomes = CallOutcomes()
    draw = random.Random(seed)
    paths = [INTERACTIVE] + [BULK] * BULK_PER_INTERACTIVE

    async def send_one(path: str) -> None:
        started_s = time.perf_counter()
        outcome = await send(path)
        elapsed_s = time.perf_counter() - started_s
        if outcome == "answered" and elapsed_s <= CALL_TIMEOUT_S:
            outcomes.answered_s.setdefault(path, []).append(elapsed_s)
        elif outcome == "refused":
            outcomes.refused_s.append(elapsed_s)
        else:
            outcomes.unknown += 1

    next_send_s = time.perf_counter()
    end_s = next_send_s + OFFER_DURATION_S
    async with asyncio.TaskGroup() as group:
        while next_send_s < end_s:
            await asyncio.sleep(max(next_send_s - time.perf_counter(), 0))
            path = draw.choice(paths)
            outcomes.sent[path] = outcomes.sent.get(path, 0) + 1
            group.create_task(send_one(path))
            next_send_s += draw.expovariate(multiple * CAPACITY_PER_S)
    return outcomes


def summarize_outcomes(outcomes: CallOutcomes) -> dict[str, Any]:
    """Return the figures of one offered load, with latencies in milliseconds."""
    answered = {
        path: len(latencies_s) for path, latencies_s in outcomes.answered_s.items()
    }
    times_ms = [
        latency_s * 1000
        for latencies_s in outcomes.answered_s.values()
        for latency_s in latencies_s
    ]
    interactive_s = outcomes.answered_s.get(INTERACTIVE, [])
    return {
        "sent": sum(outcomes.sent.values()),
        "goodput_per_s": round(sum(answered.values()) / OFFER_DURATION_S, 1),
        "goodput_of_capacity": round(
            sum(answered.values()) / OFFER_DURATION_S / CAPACITY_PER_S, 3
        ),
        "interactive_answered": round(
            answered.get(INTERACTIVE, 0) / max(outcomes.sent.get(INTERACTIVE, 0), 1), 4
        ),
        "bulk_answered": round(
            answered.get(BULK, 0) / max(outcomes.sent.get(BULK, 0), 1), 4
        ),
        "unknown": outcomes.unknown,
        "answered_ms": summarize_values(times_ms),
        "interactive_ms": summarize_values(
            [latency_s * 1000 for latency_s in interactive_s]
        ),
        "refused_ms": summarize_values(
            [latency_s * 1000 for latency_s in outcomes.refused_s]
        ),
    }


async def start_upstreams(running: Deployment) -> list[str]:
    """Start the upstreams and commit the document; return the upstreams' addresses."""
    options = {"slots": SLOTS_PER_UPSTREAM, "work_ms": SERVICE_TIME_MS}
    upstreams = [
        start_upstream(running, host, "service-0", "v1", **options)
        for host in running.hosts
    ]
    async with Fleet(running) as fleet:
        await fleet.commit_document(1)
        text = build_section_text()
        record = await fleet.change("service-0", text)
        await fleet.wait_for_activations(record["revision"])

    def are_announced() -> bool:
        url = f"http://{running.hosts[0].operators}/v1/status"
        status = fetch(url)
        return bool(status) and len(status["upstreams"]) == HOST_COUNT

    wait_until(are_announced, "the upstreams' announcements")
    await asyncio.sleep(4)
    return upstreams


def build_section_text() -> str:
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
    """Offer each load through all senders in turn, in one deployment."""
    result: dict[str, Any] = {
        "capacity_per_s": round(CAPACITY_PER_S, 1),
        "load_average": os.getloadavg()[0],
    }
    with deployment({"zone-1": HOST_COUNT}) as running:
        upstreams = await start_upstreams(running)
        nodes = tuple(host.calls for host in running.hosts)
        async with open_session() as session, Caller(nodes, CALL_TIMEOUT_S) as caller:
            senders = {
                "round robin": make_round_robin_sender(session, upstreams),
                "agaterelay": make_node_sender(caller),
            }
            for seed, multiple in enumerate(LOAD_MULTIPLES):
                for name, send in senders.items():
                    outcomes = await offer_load(send, multiple, seed)
                    result.setdefault(f"times {multiple:g}", {})[name] = (
                        summarize_outcomes(outcomes)
                    )
                    await asyncio.sleep(OFFER_PAUSE_S)
    result["load_average_after"] = os.getloadavg()[0]
    return result


def main() -> None:
    """Measure and write the result."""
    write_result("overload", asyncio.run(run()))


if __name__ == "__main__":
    main()
