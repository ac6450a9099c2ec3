"""Moves under failure: bad versions stopped, good ones finished, verdicts final."""

import json
import signal
import time

import attrs
import pytest
from pytest_bdd import parsers, scenarios, then, when

from agaterelay.core.rendezvous import rank
from standins.deployment import RECORDS_SUFFIX, HostProcesses, fetch, stop, wait_until
from tests.scenarios.conftest import find_move

scenarios("moves.feature")

FINISH_SLACK_S = 10
# "Soon after" a failure shows: the time by which no work goes to the version.
SOON_S = 5.0
QUIET_S = 2.0
FAULTS = {
    "fail": {"fail_permille": 1000},
    "cut answers": {"cut_permille": 1000},
    "answer slowly": {"slow_ms": 150},
}


@attrs.define
class Watched:
    """What a scenario did to the moves and what it saw of them."""

    frozen: HostProcesses | None = None
    failing_since: float = 0.0
    states: dict[str, str] = attrs.field(factory=dict)


@pytest.fixture
def watched():
    return Watched()


def upstreams_of(site, service, version, zone=None):
    """Return the addresses of a version's upstreams, of one zone or of all."""
    return [
        address
        for host in site.running.hosts
        if zone in (None, host.zone)
        for address, process in host.upstreams.items()
        if service in process.args and version in process.args
    ]


def runs_of(site, service, version, zone):
    """Return what the upstreams of a version ran, by their own records."""
    return [
        json.loads(line)
        for address in upstreams_of(site, service, version, zone)
        for path in site.running.folder.glob(f"{address}{RECORDS_SUFFIX}")
        for line in path.read_text().splitlines()
    ]


@when(parsers.parse("the move {name} has a share of {share:d} permille"))
def _share(site, watched, name, share):
    def reached():
        move = find_move(site, name, watched.frozen)
        return move is not None and move["share_permille"] >= share

    wait_until(reached, f"{name} at {share} permille", 40)


@when(parsers.parse("{service} {version} begins to {fault}"))
def _fault(site, watched, service, version, fault):
    fault, _, zone = fault.partition(" in ")
    fault, _, path = fault.partition(" on ")
    behaviour = FAULTS[fault] | ({"fail_path": path} if path else {})
    for address in upstreams_of(site, service, version, zone or None):
        fetch(f"http://{address}/-/behaviour", "PUT", behaviour)
    watched.failing_since = time.time()


@then(parsers.parse("{version} ran at most {part:d} in 100 calls of {service}"))
def _small_share(site, version, part, service):
    """Check the new version's part of the calls since it got its first one."""
    new = [entry["at"] for entry in runs_of(site, service, version, None)]
    old = [entry["at"] for entry in runs_of(site, service, "v1", None)]
    begun = [at for at in (*new, *old) if at >= min(new, default=0)]
    assert 100 * len(new) <= part * len(begun)


@then(parsers.parse("{version} of {service} gets no call soon after in {zone}"))
def _no_calls(site, watched, version, service, zone):
    """Check that calls came after the fault, and none after the bound."""
    pause_s = watched.failing_since + SOON_S + QUIET_S - time.time()
    time.sleep(max(pause_s, 0))
    ages_s = [
        entry["at"] - watched.failing_since
        for entry in runs_of(site, service, version, zone)
    ]
    assert any(age_s > 0 for age_s in ages_s)
    assert [age_s for age_s in ages_s if age_s > SOON_S] == []


@then(parsers.parse("the move {name} ends {state} in time"))
def _ends(site, watched, name, state):
    move = wait_for_verdict(site, watched, name)
    assert move["state"] == state, move
    assert move["finished_at"] <= move["finish_by"], move


def wait_for_verdict(site, watched, name):
    def ended():
        move = find_move(site, name, watched.frozen)
        return move is not None and move["state"] in ("done", "reverted")

    wait_until(ended, f"the verdict on {name}", site.finish_within_s + FINISH_SLACK_S)
    move = find_move(site, name, watched.frozen)
    watched.states[name] = move["state"]
    return move


@then(
    parsers.parse(
        "the verdict on {name} names {route}, when it was first seen, and the harm"
    )
)
def _verdict(site, watched, name, route):
    move = find_move(site, name, watched.frozen)
    assert f"route {route}:" in move["reason"]
    assert move["calls_harmed"] > 0
    assert move["started_at"] < move["first_failure_at"] < move["finished_at"]


def stepper_of(site, watched, name):
    hosts = {
        host.peers: host
        for host in site.running.hosts
        if host.node.poll() is None and host is not watched.frozen
    }
    return hosts[rank(hosts, f"move {name}")[0]]


@when(parsers.parse("the stepper of {name} is frozen"))
def _freeze(site, watched, name):
    watched.frozen = stepper_of(site, watched, name)
    watched.frozen.node.send_signal(signal.SIGSTOP)


@when(parsers.parse("the stepper of {name} is killed"))
def _kill(site, watched, name):
    stop(stepper_of(site, watched, name).node, signal.SIGKILL)


@when("the frozen stepper goes on")
def _thaw(site, watched):
    watched.frozen.node.send_signal(signal.SIGCONT)
    watched.frozen = None


@then("no move ever left its end")
def _final(site, watched):
    time.sleep(QUIET_S)
    for name, state in watched.states.items():
        assert find_move(site, name, watched.frozen)["state"] == state
