"""The guarantees that a soak test checks in the records of callers and instances."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterator

from agaterelay.core.deployment import DEFAULT_MEMORY_MB
from soak.callers import CALL_KINDS, CALL_TIMEOUT_S, Answer, Callers, call
from soak.fleet import Fleet, Host, read_revision

# The longest time from the last fault until everything is served again; it is the
# required bound for a configuration to be in force everywhere.
RECOVERY_TIMEOUT_S = 10.0
# How long after its deadline a call may be answered on a busy machine.
ANSWER_SLACK_S = 2.0
# A call that was sent before the leave of its instance was confirmed may still be in
# transit through the proxy.
IN_TRANSIT_S = 1.0
REQUIRED_SUCCESS_COUNT = 4
# The settings name no limit, so the nodes plan with the default one.
MEMORY_LIMIT_BYTES = DEFAULT_MEMORY_MB << 20
RECOVERY_POLL_S = 0.2


def check_answers(fleet: Fleet, answers: list[Answer]) -> Iterator[str]:
    """Yield each violation of the guarantees to callers."""
    ran: Counter[str] = Counter()
    for host in fleet.hosts:
        ran.update(host.instance.ran)
    hosts = {host.number: host for host in fleet.hosts}
    for answer in answers:
        label = f"{answer.call_id} ({answer.method} {answer.path}, host {answer.host})"
        if answer.method == "POST" and ran[answer.call_id] > 1:
            yield f"{label} ran {ran[answer.call_id]} times"
        if answer.status == 503 and answer.retry_after is None:
            yield f"{label} was answered 503 without Retry-After"
        if answer.status == 503 and answer.method == "POST" and ran[answer.call_id]:
            yield f"{label} was reported as not run, but ran"
        if answer.status == 200 and not answer.body_matches:
            yield f"{label} received a body that is not its own"
        waited_s = answer.ended_s - answer.began_s
        if waited_s > CALL_TIMEOUT_S + ANSWER_SLACK_S and not _was_impaired(
            hosts[answer.host], answer.began_s, answer.ended_s
        ):
            yield f"{label} waited {waited_s:.1f} s for status {answer.status}"
        if answer.status == 404:
            yield f"{label} found no route"


def _was_impaired(host: Host, since_s: float, until_s: float) -> bool:
    return any(begin < until_s and end > since_s for begin, end in host.impaired_s)


def check_hosts(fleet: Fleet) -> Iterator[str]:
    """Yield each violation of the guarantees to instances and operators."""
    for host in fleet.hosts:
        if host.peak_memory_bytes > MEMORY_LIMIT_BYTES:
            yield f"host {host.number} took {host.peak_memory_bytes >> 20} MB"
        for leave_s, born_ms in host.departed:
            late = [
                call_id
                for began_s, born, call_id in host.instance.started_calls
                if born == born_ms and began_s > leave_s + IN_TRANSIT_S
            ]
            if late:
                yield (
                    f"host {host.number}: {len(late)} calls reached its instance after "
                    f"its leave was confirmed, the first is {late[0]}"
                )
        newest: dict[int, int] = {}
        for _, start_count, revision in host.revisions:
            if revision < newest.get(start_count, 0):
                yield f"host {host.number} went back to revision {revision}"
            newest[start_count] = max(revision, newest.get(start_count, 0))
        if host.stop_timeouts:
            yield f"host {host.number} did not stop in time"
        if host.instance.peak_running > host.instance.slots:
            yield f"host {host.number}: its instance ran more calls than it has slots"


async def check_recovery(fleet: Fleet, callers: Callers) -> list[str]:
    """Wait until all is served again after the last fault.

    Returns:
        What is still not served after RECOVERY_TIMEOUT_S.
    """
    began_s = time.monotonic()
    missing: set[str] = set()
    while time.monotonic() - began_s < RECOVERY_TIMEOUT_S:
        found = await asyncio.gather(
            *(_find_missing(fleet, callers, host) for host in fleet.hosts)
        )
        missing = set().union(*found)
        if not missing:
            return []
        await asyncio.sleep(RECOVERY_POLL_S)
    return [
        f"{item} {RECOVERY_TIMEOUT_S:.0f} s after the last fault" for item in missing
    ]


async def _find_missing(fleet: Fleet, callers: Callers, host: Host) -> set[str]:
    missing = set()
    revision = await read_revision(fleet, host)
    if revision != fleet.revision:
        missing.add(
            f"host {host.number} serves revision {revision}, not {fleet.revision}"
        )
    for method, path in CALL_KINDS:
        for _ in range(REQUIRED_SUCCESS_COUNT):
            answer = await call(callers, host, method, path)
            callers.answers.append(answer)
            if answer.status != 200:
                missing.add(f"host {host.number} answers {path} with {answer.status}")
                break
    return missing
