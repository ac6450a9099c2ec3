"""Moves under failure: bad versions are stopped, good ones finish, verdicts are final."""

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
# The latest time after the fault at which the version may still run a call.
MAX_BRAKE_DELAY_S = 5.0
QUIET_PERIOD_S = 2.0
FAULTS = {
    "fail": {"fail_permille": 1000},
    "cut answers": {"cut_permille": 1000},
    "answer slowly": {"slow_ms": 150},
}


@attrs.define
class MoveObservations:
    """The faults that a scenario caused and the verdicts that it observed."""

    suspended: HostProcesses | None = None
    failing_since_s: float = 0.0
    states: dict[str, str] = attrs.field(factory=dict)


@pytest.fixture
def observed():
    return MoveObservations()


def find_upstream_addresses(site, service, version, zone=None):
    """Return the addresses of a version's upstreams in one zone, or in all zones."""
    return [
        address
        for host in site.running.hosts
        if zone in (None, host.zone)
        for address, process in host.upstreams.items()
        if service in process.args and version in process.args
    ]


def read_runs(site, service, version, zone):
    """Return the calls that the upstreams of a version recorded."""
    return [
        json.loads(line)
        for address in find_upstream_addresses(site, service, version, zone)
        for path in site.running.folder.glob(f"{address}{RECORDS_SUFFIX}")
        for line in path.read_text().splitlines()
    ]


@when(parsers.parse("the move {name} has a share of {share:d} permille"))
def _wait_for_share(site, observed, name, share):
    def has_share():
        move = find_move(site, name, observed.suspended)
        return move is not None and move["share_permille"] >= share

    wait_until(has_share, f"{name} at {share} permille", 40)


@when(parsers.parse("{service} {version} begins to {fault}"))
def _inject_fault(site, observed, service, version, fault):
    fault, _, zone = fault.partition(" in ")
    fault, _, path = fault.partition(" on ")
    behaviour = FAULTS[fault] | ({"fail_path": path} if path else {})
    for address in find_upstream_addresses(site, service, version, zone or None):
        fetch(f"http://{address}/-/behaviour", "PUT", behaviour)
    observed.failing_since_s = time.time()


@then(parsers.parse("{version} ran at most {part:d} in 100 calls of {service}"))
def _check_call_ratio(site, version, part, service):
    """Check the new version's ratio of all calls since its first one."""
    new_times = [run["at"] for run in read_runs(site, service, version, None)]
    old_times = [run["at"] for run in read_runs(site, service, "v1", None)]
    times = [at for at in (*new_times, *old_times) if at >= min(new_times, default=0)]
    assert 100 * len(new_times) <= part * len(times)


@then(parsers.parse("{version} of {service} gets no call soon after in {zone}"))
def _check_no_calls(site, observed, version, service, zone):
    """Check that calls ran after the fault, but none later than the allowed delay."""
    remaining_s = (
        observed.failing_since_s + MAX_BRAKE_DELAY_S + QUIET_PERIOD_S - time.time()
    )
    time.sleep(max(remaining_s, 0))
    ages_s = [
        run["at"] - observed.failing_since_s
        for run in read_runs(site, service, version, zone)
    ]
    assert any(age_s > 0 for age_s in ages_s)
    assert [age_s for age_s in ages_s if age_s > MAX_BRAKE_DELAY_S] == []


@then(parsers.parse("the move {name} ends {state} in time"))
def _check_verdict_in_time(site, observed, name, state):
    move = wait_for_verdict(site, observed, name)
    assert move["state"] == state, move
    assert move["finished_at"] <= move["finish_by"], move


def wait_for_verdict(site, observed, name):
    def has_ended():
        move = find_move(site, name, observed.suspended)
        return move is not None and move["state"] in ("done", "reverted")

    wait_until(
        has_ended, f"the verdict on {name}", site.finish_within_s + FINISH_SLACK_S
    )
    move = find_move(site, name, observed.suspended)
    observed.states[name] = move["state"]
    return move


@then(
    parsers.parse(
        "the verdict on {name} names {route}, when it was first seen, and the harm"
    )
)
def _check_verdict_details(site, observed, name, route):
    move = find_move(site, name, observed.suspended)
    assert f"route {route}:" in move["reason"]
    assert move["calls_harmed"] > 0
    assert move["started_at"] < move["first_failure_at"] < move["finished_at"]


def find_stepper(site, observed, name):
    hosts = {
        host.peers: host
        for host in site.running.hosts
        if host.node.poll() is None and host is not observed.suspended
    }
    return hosts[rank(hosts, f"move {name}")[0]]


@when(parsers.parse("the stepper of {name} is frozen"))
def _suspend_stepper(site, observed, name):
    observed.suspended = find_stepper(site, observed, name)
    observed.suspended.node.send_signal(signal.SIGSTOP)


@when(parsers.parse("the stepper of {name} is killed"))
def _kill_stepper(site, observed, name):
    stop(find_stepper(site, observed, name).node, signal.SIGKILL)


@when("the frozen stepper goes on")
def _resume_stepper(site, observed):
    observed.suspended.node.send_signal(signal.SIGCONT)
    observed.suspended = None


@then("no move ever left its end")
def _check_verdicts_final(site, observed):
    time.sleep(QUIET_PERIOD_S)
    for name, state in observed.states.items():
        assert find_move(site, name, observed.suspended)["state"] == state
