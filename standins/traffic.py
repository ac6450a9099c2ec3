"""Callers that record what they sent and which outcomes they received.

Their records are compared with those of the upstreams, so that no check relies on what
the system under test reports about itself.
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
    """The calls that were sent and their outcomes, by request id.

    ``sent`` holds method and path.
    """

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
    """Send calls from a background thread, a new one each period, until stopped.

    Args:
        nodes: The addresses for callers of the nodes to send through.
        kinds: The pairs of method and path to choose from at random.
        period_s: The time between the starts of two calls.
        seed: The seed of the random choice.
        timeout_s: The time limit of one call.
        direct: Whether callers send directly to the nodes that own the upstreams.
    """
    traffic = Traffic()
    arguments = (traffic, nodes, kinds, period_s, seed, timeout_s, direct)
    traffic.thread = threading.Thread(
        target=lambda: asyncio.run(_send(*arguments)), daemon=True
    )
    traffic.thread.start()
    return traffic


def stop_traffic(traffic: Traffic) -> None:
    """Stop sending, and wait for the calls in progress."""
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
    generator = random.Random(seed)
    async with (
        Caller(nodes, timeout_s, direct=direct) as caller,
        asyncio.TaskGroup() as group,
    ):
        while not traffic.stopping.is_set():
            method, path = generator.choice(kinds)
            request_id = str(uuid.UUID(int=generator.getrandbits(128), version=4))
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
    """Return the records of all upstreams, including those that have ended."""
    return [
        json.loads(line)
        for path in sorted(running.folder.glob(f"*{RECORDS_SUFFIX}"))
        for line in path.read_text().splitlines()
    ]


def count_runs(running: Deployment) -> Counter[str]:
    """Return how often each request id ran, according to the upstreams' records."""
    return Counter(record["request_id"] for record in read_records(running))


def find_problems(traffic: Traffic, runs: Counter[str]) -> list[str]:
    """Compare the callers' records with those of the upstreams.

    Args:
        traffic: What the callers recorded.
        runs: How often each request id ran, see ``count_runs``.

    Returns:
        A line for each contradiction: a call that is not idempotent and ran more than
        once or ran in spite of NotRun, an answer without a run, an answer to another
        call.
    """
    problems = []
    for request_id, outcome in traffic.outcomes.items():
        method, path = traffic.sent[request_id]
        name = f"{method} {path} {request_id}"
        runs_at_most_once = method not in IDEMPOTENT_METHODS
        if runs_at_most_once and runs[request_id] > 1:
            problems.append(f"{name} ran {runs[request_id]} times")
        if runs_at_most_once and isinstance(outcome, NotRun) and runs[request_id]:
            problems.append(f"{name} ran, but its outcome was NotRun")
        if isinstance(outcome, Answered) and outcome.status == 200:
            if not runs[request_id]:
                problems.append(f"{name} was answered with status 200, but never ran")
            if json.loads(outcome.body)["request_id"] != request_id:
                problems.append(f"{name} received the answer to another call")
    return problems
