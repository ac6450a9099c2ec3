"""Calls during crashes, lost answers, reused keys, network cuts and overload."""

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

FIRE_REQUEST = ("POST", "/cue-desk/fire")
SLOW_SERVICE_TIME_MS = 60
MAX_MEDIAN_REFUSAL_S = 0.25
ARCHIVE_PATH = "/panel-feed/archive"
LIVE_PATH = "/panel-feed/live"


def wait_for_upstreams(site, service, count):
    def are_announced():
        for host in site.running.hosts:
            status = fetch(f"http://{host.operators}/v1/status")
            found = status["upstreams"] if status else ()
            if len([u for u in found if u["service"] == service]) < count:
                return False
        return True

    wait_until(are_announced, f"{count} upstreams of {service} on every host")


@given(parsers.parse("slow upstreams of {service} {version} run on {count:d} hosts"))
def _start_slow_upstreams(site, service, version, count):
    for host in site.running.hosts[:count]:
        start_upstream(
            site.running, host, service, version, work_ms=SLOW_SERVICE_TIME_MS
        )
    wait_for_upstreams(site, service, count)


@given(
    parsers.parse(
        "upstreams of {service} {version} with {slots:d} slots and {work_ms:d} ms of "
        "work run on {count:d} hosts"
    )
)
def _start_sized_upstreams(site, service, version, slots, work_ms, count):
    for host in site.running.hosts[:count]:
        options = {"slots": slots, "work_ms": work_ms}
        start_upstream(site.running, host, service, version, **options)
    wait_for_upstreams(site, service, count)


@when(parsers.parse("the node of host {number:d} loses the next {count:d} answers"))
def _lose_answers(site, number, count):
    url = f"http://{site.host(number).ip}:{FAULT_PORT}/lost-answers"
    assert fetch(url, "PUT", count) is not None


@when(parsers.parse("the upstream of host {number:d} is killed"))
def _kill_upstream(site, number):
    for process in site.host(number).upstreams.values():
        stop(process, signal.SIGKILL)


@when(parsers.parse("callers that route by themselves send {kinds}"))
def _start_direct_callers(site, kinds):
    methods_and_paths = tuple(tuple(kind.split(" ")) for kind in kinds.split(" and "))
    nodes = tuple(host.calls for host in site.running.hosts)
    site.traffic = callers.start_traffic(
        nodes, methods_and_paths, CALL_PERIOD_S, direct=True
    )


def fire_everywhere(site, key, at_once):
    """Send one cue with an idempotency key through every running host.

    Args:
        site: The scenario's deployment.
        key: The idempotency key that all calls share.
        at_once: Whether the calls are sent concurrently.

    Returns:
        The outcome that each host returned.
    """
    nodes = [host for host in site.running.hosts if host.node.poll() is None]

    async def fire(host):
        async with Caller((host.calls,)) as caller:
            return await caller.call_with_key(*FIRE_REQUEST, b"", key, site.request_id)

    async def fire_all():
        if at_once:
            return await asyncio.gather(*map(fire, nodes))
        return [await fire(host) for host in nodes]

    return asyncio.run(fire_all())


@when("a cue is fired under one key through every host at once")
def _fire_everywhere(site):
    async def mint_key():
        async with Caller((site.running.hosts[0].calls,)) as caller:
            return (await caller.mint_keys(*FIRE_REQUEST))[0]

    site.request_id = str(uuid.uuid4())
    site.key = asyncio.run(mint_key())
    home_address = parse_key(site.key).host
    site.home = next(host for host in site.running.hosts if host.peers == home_address)
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


def count_cue_runs(site):
    return callers.count_runs(site.running)[site.request_id]


@then("every caller got the same answer, and the cue ran once")
def _check_same_answer(site):
    assert all(isinstance(outcome, Answered) for outcome in site.outcomes)
    assert len({outcome.body for outcome in site.outcomes}) == 1
    assert count_cue_runs(site) == 1


@then("every caller was told unknown, and the cue ran once")
def _check_unknown(site):
    assert site.outcomes
    assert all(isinstance(outcome, Unknown) for outcome in site.outcomes)
    assert count_cue_runs(site) == 1


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
def _check_live_calls_first(site):
    answered_ratios = {
        path: sum(isinstance(outcome, Answered) for outcome, _ in calls) / len(calls)
        for path, calls in site.told.items()
    }
    assert answered_ratios[LIVE_PATH] >= 0.9, answered_ratios
    assert answered_ratios[ARCHIVE_PATH] <= 0.5, answered_ratios


@then("refusals came early and said not run")
def _check_early_refusals(site):
    calls = site.told[LIVE_PATH] + site.told[ARCHIVE_PATH]
    refusal_times_s = [
        elapsed_s for outcome, elapsed_s in calls if isinstance(outcome, NotRun)
    ]
    assert refusal_times_s
    assert not [outcome for outcome, _ in calls if isinstance(outcome, Unknown)]
    assert sorted(refusal_times_s)[len(refusal_times_s) // 2] < MAX_MEDIAN_REFUSAL_S
