"""Callers that keep a record of what they sent and what they were told.

The record is compared with the upstreams' own records: the system's word is not taken.
"""

from __future__ import annotations

import asyncio
import json
import random
import threading
import uuid
from collections import Counter
from typing import Any

import attrs

from agaterelay.client import Caller
from agaterelay.core.outcome import Answered, NotRun, Outcome
from standins.deployment import RECORDS_SUFFIX, Deployment

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})


@attrs.define
class Traffic:
    """What the callers sent, by request id, and what they were told."""

    sent: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    stopping: threading.Event = attrs.field(factory=threading.Event)
    thread: threading.Thread | None = None


def start_traffic(
    nodes: tuple[str, ...],
    kinds: tuple[tuple[str, str], ...],
    period_s: float,
    seed: int = 1,
    timeout_s: float = 2.0,
    direct: bool = False,
) -> Traffic:
    """Send calls of the given kinds, a new one each period, until stopped.

    Args:
        nodes: The callers' addresses of the nodes to send through.
        kinds: Methods and paths to draw from.
        period_s: The time between two calls.
        seed: The seed of the draw.
        timeout_s: How long a caller waits for one answer.
        direct: Whether callers send straight to the owners of upstreams.
    """
    traffic = Traffic()
    arguments = (traffic, nodes, kinds, period_s, seed, timeout_s, direct)
    traffic.thread = threading.Thread(
        target=lambda: asyncio.run(_send(*arguments)), daemon=True
    )
    traffic.thread.start()
    return traffic


def stop_traffic(traffic: Traffic) -> None:
    """Stop to send, and wait for what is under way."""
    traffic.stopping.set()
    traffic.thread.join()


async def _send(
    traffic: Traffic,
    nodes: tuple[str, ...],
    kinds: tuple[tuple[str, str], ...],
    period_s: float,
    seed: int,
    timeout_s: float,
    direct: bool,
) -> None:
    draw = random.Random(seed)
    async with (
        Caller(nodes, timeout_s, direct=direct) as caller,
        asyncio.TaskGroup() as group,
    ):
        while not traffic.stopping.is_set():
            method, path = draw.choice(kinds)
            request_id = str(uuid.UUID(int=draw.getrandbits(128), version=4))
            traffic.sent[request_id] = (method, path)
            group.create_task(_send_one(caller, traffic, method, path, request_id))
            await asyncio.sleep(period_s)


async def _send_one(
    caller: Caller, traffic: Traffic, method: str, path: str, request_id: str
) -> None:
    idempotent = method in IDEMPOTENT_METHODS
    traffic.outcomes[request_id] = await caller.call(
        method, path, request_id.encode(), idempotent, request_id
    )


def read_records(running: Deployment) -> list[dict[str, Any]]:
    """Return the records of all upstreams, also of those that are gone."""
    return [
        json.loads(line)
        for path in sorted(running.folder.glob(f"*{RECORDS_SUFFIX}"))
        for line in path.read_text().splitlines()
    ]


def count_runs(running: Deployment) -> Counter[str]:
    """Return how often each request id ran, by the upstreams' own records."""
    return Counter(entry["request_id"] for entry in read_records(running))


def find_problems(traffic: Traffic, runs: Counter[str]) -> list[str]:
    """Return what is wrong with the callers' records against the upstreams'."""
    problems = []
    for request_id, outcome in traffic.outcomes.items():
        method, path = traffic.sent[request_id]
        name = f"{method} {path} {request_id}"
        once = method not in IDEMPOTENT_METHODS
        if once and runs[request_id] > 1:
            problems.append(f"{name} ran {runs[request_id]} times")
        if once and isinstance(outcome, NotRun) and runs[request_id]:
            problems.append(f"{name} ran, but was refused as not run")
        if isinstance(outcome, Answered) and outcome.status == 200:
            if not runs[request_id]:
                problems.append(f"{name} was answered, but never ran")
            if json.loads(outcome.body)["request_id"] != request_id:
                problems.append(f"{name} got another call's answer")
    return problems
