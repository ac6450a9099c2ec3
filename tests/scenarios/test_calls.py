"""Calls under kills, lost answers, repeated keys, cuts and overload."""

import asyncio
import signal
import time
import uuid

from pytest_bdd import given, parsers, scenarios, then, when

from agaterelay.client import Caller
from agaterelay.core.keys import parse_key
from agaterelay.core.outcome import Answered, NotRun, Unknown
from standins import traffic as callers
from standins.deployment import (
    FAULT_PORT,
    fetch,
    start_node,
    start_upstream,
    stop,
    wait_until,
)
from tests.scenarios.conftest import CALL_PERIOD_S

scenarios("calls.feature")

FIRE = ("POST", "/cue-desk/fire")
SLOW_WORK_MS = 60
EARLY_S = 0.25
ARCHIVE = "/panel-feed/archive"
LIVE = "/panel-feed/live"


def wait_for_upstreams(site, service, count):
    def announced():
        for host in site.running.hosts:
            status = fetch(f"http://{host.operators}/v1/status")
            found = status["upstreams"] if status else ()
            if len([u for u in found if u["service"] == service]) < count:
                return False
        return True

    wait_until(announced, f"{count} upstreams of {service}")


@given(parsers.parse("slow upstreams of {service} {version} run on {count:d} hosts"))
def _slow_upstreams(site, service, version, count):
    for host in site.running.hosts[:count]:
        start_upstream(site.running, host, service, version, work_ms=SLOW_WORK_MS)
    wait_for_upstreams(site, service, count)


@given(
    parsers.parse(
        "upstreams of {service} {version} with {slots:d} slots and {work_ms:d} ms of "
        "work run on {count:d} hosts"
    )
)
def _sized_upstreams(site, service, version, slots, work_ms, count):
    for host in site.running.hosts[:count]:
        options = {"slots": slots, "work_ms": work_ms}
        start_upstream(site.running, host, service, version, **options)
    wait_for_upstreams(site, service, count)


@when(parsers.parse("the node of host {number:d} loses the next {count:d} answers"))
def _lose(site, number, count):
    url = f"http://{site.host(number).ip}:{FAULT_PORT}/lost-answers"
    assert fetch(url, "PUT", count) is not None


@when(parsers.parse("the upstream of host {number:d} is killed"))
def _kill_upstream(site, number):
    for process in site.host(number).upstreams.values():
        stop(process, signal.SIGKILL)


@when(parsers.parse("callers that route by themselves send {kinds}"))
def _direct_callers(site, kinds):
    pairs = tuple(tuple(kind.split(" ")) for kind in kinds.split(" and "))
    nodes = tuple(host.calls for host in site.running.hosts)
    site.traffic = callers.start_traffic(nodes, pairs, CALL_PERIOD_S, direct=True)


def fire_everywhere(site, key, at_once):
    """Fire one cue under a key through every running host; return the outcomes."""
    nodes = [host for host in site.running.hosts if host.node.poll() is None]

    async def fire(host):
        async with Caller((host.calls,)) as caller:
            return await caller.call_with_key(*FIRE, b"", key, site.request_id)

    async def fire_all():
        if at_once:
            return await asyncio.gather(*map(fire, nodes))
        return [await fire(host) for host in nodes]

    return asyncio.run(fire_all())


@when("a cue is fired under one key through every host at once")
def _fire(site):
    async def mint():
        async with Caller((site.running.hosts[0].calls,)) as caller:
            return (await caller.mint_keys(*FIRE))[0]

    site.request_id = str(uuid.uuid4())
    site.key = asyncio.run(mint())
    home = parse_key(site.key).host
    site.home = next(host for host in site.running.hosts if host.peers == home)
    site.outcomes = fire_everywhere(site, site.key, at_once=True)


@when("the cue is fired again under the same key through every host")
def _fire_again(site):
    site.outcomes = fire_everywhere(site, site.key, at_once=False)


@when("the upstream of the key's home is replaced")
def _replace_upstream(site):
    for process in site.home.upstreams.values():
        stop(process)
    start_upstream(site.running, site.home, "cue-desk", "v1")
    wait_for_upstreams(site, "cue-desk", len(site.running.hosts))


@when("the node of the key's home is killed")
def _kill_home(site):
    stop(site.home.node, signal.SIGKILL)


@when("the node of the key's home is started")
def _start_home(site):
    start_node(site.running, site.home)
    wait_for_upstreams(site, "cue-desk", len(site.running.hosts))


def runs_of_the_cue(site):
    return callers.count_runs(site.running)[site.request_id]


@then("every caller got the same answer, and the cue ran once")
def _same_answer(site):
    assert all(isinstance(outcome, Answered) for outcome in site.outcomes)
    assert len({outcome.body for outcome in site.outcomes}) == 1
    assert runs_of_the_cue(site) == 1


@then("every caller was told unknown, and the cue ran once")
def _told_unknown(site):
    assert site.outcomes
    assert all(isinstance(outcome, Unknown) for outcome in site.outcomes)
    assert runs_of_the_cue(site) == 1


@when(
    parsers.parse(
        "callers send GET {first} and {factor:d} times as many GET {second} at "
        "{rate:d} calls a second for {seconds:d} seconds"
    )
)
def _overload(site, first, factor, second, rate, seconds):
    paths = [first, *[second] * factor]
    nodes = tuple(host.calls for host in site.running.hosts)
    site.told = {first: [], second: []}

    async def send(caller, path):
        started_s = time.monotonic()
        outcome = await caller.call("GET", path, idempotent=True)
        site.told[path].append((outcome, time.monotonic() - started_s))

    async def send_all():
        async with Caller(nodes) as caller, asyncio.TaskGroup() as group:
            for index in range(rate * seconds):
                group.create_task(send(caller, paths[index % len(paths)]))
                await asyncio.sleep(1 / rate)

    asyncio.run(send_all())


@then("live look-ups were answered before archive reads")
def _interactive_first(site):
    shares = {
        path: sum(isinstance(outcome, Answered) for outcome, _ in told) / len(told)
        for path, told in site.told.items()
    }
    assert shares[LIVE] >= 0.9, shares
    assert shares[ARCHIVE] <= 0.5, shares


@then("refusals came early and said not run")
def _early(site):
    told = site.told[LIVE] + site.told[ARCHIVE]
    refused = [taken_s for outcome, taken_s in told if isinstance(outcome, NotRun)]
    assert refused
    assert not [outcome for outcome, _ in told if isinstance(outcome, Unknown)]
    assert sorted(refused)[len(refused) // 2] < EARLY_S
