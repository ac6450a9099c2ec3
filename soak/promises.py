"""What has to hold in a soak, from what callers got and instances saw."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterator

from soak.callers import PATHS, WAIT_S, Answer, Callers, call
from soak.fleet import Fleet, Host, read_revision

# After the last fault everything is served again within this; the brief's bound for a
# configuration to be in force everywhere.
RECOVER_S = 10.0
# A caller's time, and what a busy machine takes to answer it at once.
ANSWER_SLACK_S = 2.0
# What was sent before an instance's leave was confirmed may still be on its way
# through the proxy.
ON_ITS_WAY_S = 1.0
GOOD_IN_A_ROW = 4
POLL_S = 0.2


def check_answers(fleet: Fleet, answers: list[Answer]) -> Iterator[str]:
    """Yield each promise that the answers break."""
    ran: Counter[str] = Counter()
    for host in fleet.hosts:
        ran.update(host.instance.ran)
    hosts = {host.number: host for host in fleet.hosts}
    for answer in answers:
        where = f"{answer.call_id} ({answer.method} {answer.path}, host {answer.host})"
        if answer.method == "POST" and ran[answer.call_id] > 1:
            yield f"{where} ran {ran[answer.call_id]} times"
        if answer.status == 503 and answer.retry_after is None:
            yield f"{where} was refused without a time to come back"
        if answer.status == 503 and answer.method == "POST" and ran[answer.call_id]:
            yield f"{where} was said not to have run, and had"
        if answer.status == 200 and not answer.whole:
            yield f"{where} got an answer that is not its own"
        waited_s = answer.ended_s - answer.began_s
        if waited_s > WAIT_S + ANSWER_SLACK_S and not _impaired(
            hosts[answer.host], answer.began_s, answer.ended_s
        ):
            yield f"{where} waited {waited_s:.1f} s for status {answer.status}"
        if answer.status == 404:
            yield f"{where} found no route"


def _impaired(host: Host, since_s: float, until_s: float) -> bool:
    return any(begin < until_s and end > since_s for begin, end in host.impaired_s)


def check_hosts(fleet: Fleet) -> Iterator[str]:
    """Yield each promise that nodes break towards their instances and the operator."""
    for host in fleet.hosts:
        for left_s, born_ms in host.departed:
            late = [
                call_id
                for began_s, born, call_id in host.instance.began
                if born == born_ms and began_s > left_s + ON_ITS_WAY_S
            ]
            if late:
                yield (
                    f"host {host.number}: {len(late)} calls reached its instance after "
                    f"its leave was confirmed, the first is {late[0]}"
                )
        newest: dict[int, int] = {}
        for _, boot, revision in host.revisions:
            if revision < newest.get(boot, 0):
                yield f"host {host.number} went back to revision {revision}"
            newest[boot] = max(revision, newest.get(boot, 0))
        if host.overran_stop:
            yield f"host {host.number} did not stop in its time"
        if host.instance.most_running > host.instance.slots:
            yield f"host {host.number}: its instance had more calls than slots"


async def check_recovery(fleet: Fleet, callers: Callers) -> list[str]:
    """Return what is not served again in time once nothing is wrong any more."""
    began_s = time.monotonic()
    missing: set[str] = set()
    while time.monotonic() - began_s < RECOVER_S:
        found = await asyncio.gather(
            *(_missing_of(fleet, callers, host) for host in fleet.hosts)
        )
        missing = set().union(*found)
        if not missing:
            return []
        await asyncio.sleep(POLL_S)
    return [f"{item} {RECOVER_S:.0f} s after the last fault" for item in missing]


async def _missing_of(fleet: Fleet, callers: Callers, host: Host) -> set[str]:
    missing = set()
    revision = await read_revision(fleet, host)
    if revision != fleet.revision:
        missing.add(
            f"host {host.number} serves revision {revision}, not {fleet.revision}"
        )
    for method, path in PATHS:
        for _ in range(GOOD_IN_A_ROW):
            answer = await call(callers, host, method, path)
            callers.answers.append(answer)
            if answer.status != 200:
                missing.add(f"host {host.number} answers {path} with {answer.status}")
                break
    return missing
