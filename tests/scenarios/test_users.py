"""Scenarios of the users' working days, which combine several faults."""

import signal
from concurrent.futures import ThreadPoolExecutor

from pytest_bdd import parsers, scenarios, then, when

from agaterelay.cli.api import send_request
from standins.deployment import fetch, spawn, start_node, stop, wait_until
from tests.scenarios.conftest import SECTION_KEYS, find_move

scenarios("opening_night.feature", "guild_morning.feature")

FINISH_SLACK_S = 10


@when(parsers.parse("host {number:d} is replaced"))
def _replace_host(site, number):
    host = site.host(number)
    for process in (host.node, *host.upstreams.values()):
        stop(process, signal.SIGKILL)
    start_node(site.running, host)
    for address, process in list(host.upstreams.items()):
        arguments = process.args[2:]
        host.upstreams[address] = spawn(site.running, f"upstream-{address}", arguments)


@when("every node is killed and started at once")
def _restart_all(site):
    for host in site.running.hosts:
        stop(host.node, signal.SIGKILL)
    for host in site.running.hosts:
        start_node(site.running, host)


@when(parsers.parse("two operators change {section} in {name} at once"))
def _change_concurrently(site, section, name):
    nodes = [host.operators for host in site.running.hosts[:2]]
    document = send_request(nodes[0], "GET", "/v1/document").body
    current = next(item for item in document["sections"] if item["name"] == section)

    def submit_change(number):
        text = current["text"].replace(
            "timeout_ms: 1000", f"timeout_ms: {900 + number}"
        )
        body = {
            "change_id": f"race-{section}-{number}",
            "text": text,
            "base_digest": current["digest"],
        }
        response = send_request(
            nodes[number], "POST", "/v1/changes", body, SECTION_KEYS[section]
        )
        return response.status, response.body

    with ThreadPoolExecutor() as pool:
        site.change_responses = list(pool.map(submit_change, range(2)))


@then("one of them is told of the lost race")
def _check_lost_race(site):
    (won, record), (lost, refusal) = sorted(
        site.change_responses, key=lambda response: response[0]
    )
    assert (won, lost) == (200, 409), site.change_responses
    assert refusal["other"]["change_id"] == record["change_id"]


@then(parsers.parse("the move {name} ends {state} in time"))
def _check_verdict_in_time(site, name, state):
    def has_ended():
        move = find_move(site, name)
        return move is not None and move["state"] in ("done", "reverted")

    wait_until(
        has_ended, f"the verdict on {name}", site.finish_within_s + FINISH_SLACK_S
    )
    move = find_move(site, name)
    assert move["state"] == state, move
    assert move["finished_at"] <= move["finish_by"]


@then(parsers.parse("the time line tells of the move {name} in causal order"))
def _check_move_timeline(site, name):
    events = fetch(f"http://{site.running.hosts[0].operators}/v1/timeline")["events"]
    stamps = [(e["stamp"]["wall_us"], e["stamp"]["counter"]) for e in events]
    assert stamps == sorted(stamps)
    move_events = [event for event in events if event["fields"].get("move") == name]
    assert move_events
    assert move_events[-1]["fields"].get("state") == "done"
