"""Hosts and upstreams that join, leave, crash, hang, recover or are cut off."""

import json
import signal
import time
import urllib.request

from pytest_bdd import given, parsers, scenarios, then, when

from standins import traffic as callers
from standins.deployment import (
    cut,
    deployment,
    fetch,
    start_node,
    stop,
    wait_until,
    zone_prefix,
)
from tests.scenarios.conftest import (
    Site,
    find_upstream,
    parse_host_numbers,
    read_run_times,
)

FAILURE_STATES = ("suspect", "dead")

scenarios("membership.feature")


def fetch_members(host):
    """Return the member records that a host's node holds, by IP address."""
    found = fetch(f"http://{host.operators}/v1/members", timeout_s=2.0)
    members = found["members"] if found else ()
    return {item["host"].partition(":")[0]: item for item in members}


@given(
    parsers.parse(
        "the availability zones {names} with {count:d} hosts each and no seeds"
    ),
    target_fixture="site",
)
def _deploy_without_seeds(names, count):
    zones = dict.fromkeys(names.split(", "), count)
    with deployment(zones, faulty=True, seeds=False, probe_period_s=0.3) as running:
        yield Site(running)


@when(
    parsers.parse(
        "the node of host {number:d} is started with its clock {behind:d} seconds behind"
    )
)
def _start_with_clock_behind(site, number, behind):
    command = site.running.node_command
    site.running.node_command = (*command, "--clock-behind-s", str(behind))
    start_node(site.running, site.host(number))
    site.running.node_command = command


@then(
    parsers.re(
        r"all other hosts take host (?P<number>\d+) for (?P<state>\w+) within (?P<bound>\d+) seconds"
    )
)
def _check_state_on_others(site, number, state, bound):
    def agreed():
        others = [host for host in site.running.hosts if host is not site.host(number)]
        ip = site.host(number).ip
        return all(
            fetch_members(host).get(ip, {}).get("state") == state for host in others
        )

    wait_until(agreed, f"host {number} is {state} everywhere", float(bound))


@then(
    parsers.re(
        r"hosts (?P<first>\d+) to (?P<last>\d+) take host (?P<number>\d+) for (?P<state>\w+) within (?P<bound>\d+) seconds"
    )
)
def _check_state_on_some(site, first, last, number, state, bound):
    hosts = site.running.hosts[int(first) - 1 : int(last)]
    ip = site.host(number).ip

    def agreed():
        return all(
            fetch_members(host).get(ip, {}).get("state") == state for host in hosts
        )

    wait_until(agreed, f"host {number} is {state} on the given hosts", float(bound))


@then(
    parsers.parse("all hosts take host {number:d} for alive within {bound:g} seconds")
)
def _check_alive_on_all(site, number, bound):
    ip = site.host(number).ip

    def agreed():
        records = [fetch_members(host).get(ip, {}) for host in site.running.hosts]
        versions = {
            (record.get("incarnation"), record.get("sequence")) for record in records
        }
        return len(versions) == 1 and all(
            record.get("state") == "alive" for record in records
        )

    wait_until(agreed, f"host {number} is alive everywhere", bound)


@then(
    parsers.parse(
        "host {number:d} joined above its predecessor and had nothing to refute"
    )
)
def _check_incarnation_rose(site, number):
    host = site.host(number)
    before, after = (
        item["incarnation"] for item in read_events(site, host, "node_joined")
    )
    assert after > before
    assert read_events(site, host, "member_refuted") == []


def read_events(site, host, name):
    """Return the events of one name from a node's log, which its restarts share."""
    lines = (site.running.folder / f"{host.ip}.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if line.startswith("{")]
    return [item for item in found if item.get("event") == name]


@then(parsers.parse("host {number:d} refuted what was said of it"))
def _check_refuted(site, number):
    assert read_events(site, site.host(number), "member_refuted")


@when(parsers.parse("host {number:d} cannot reach host {other:d}"))
def _cut_one_way(site, number, other):
    cut(site.host(number), [site.host(other).ip + ":"])


@then(parsers.parse("no host ever doubted host {number:d}"))
def _check_never_suspected(site, number):
    address = site.host(number).peers
    for host in site.running.hosts:
        changes = read_events(site, host, "member_changed")
        states = [item["state"] for item in changes if item["member"] == address]
        assert not set(states) & set(FAILURE_STATES), host.ip


@when(parsers.parse("host {number:d} is cut off from all others"))
def _isolate(site, number):
    isolated = site.host(number)
    for host in site.running.hosts:
        others = [item.ip + ":" for item in site.running.hosts if item is not isolated]
        cut(host, others if host is isolated else [isolated.ip + ":"])


@then(
    parsers.parse(
        "host {number:d} still knows {count:d} upstreams and takes nobody for dead"
    )
)
def _check_known_upstreams(site, number, count):
    members = fetch_members(site.host(number)).values()
    assert "dead" not in {item["state"] for item in members}
    assert sum(len(item["upstreams"]) for item in members) == count


@then("nobody takes anybody for dead")
def _check_none_dead(site):
    for host in site.running.hosts:
        assert "dead" not in {item["state"] for item in fetch_members(host).values()}


@then(parsers.parse("host {number:d} has no contact with {first} and {second}"))
def _check_zones_out_of_reach(site, number, first, second):
    def is_detected():
        url = f"http://{site.host(number).operators}/v1/members"
        return fetch(url)["out_of_reach"] == [first, second]

    wait_until(is_detected, "the zones that are out of reach", 10.0)


@then(parsers.parse("all hosts are in contact with all zones within {bound:g} seconds"))
def _check_zones_in_reach(site, bound):
    def are_in_reach():
        urls = [f"http://{host.operators}/v1/members" for host in site.running.hosts]
        return all(fetch(url)["out_of_reach"] == [] for url in urls)

    wait_until(are_in_reach, "all zones are in reach", bound)


@then(parsers.parse("all hosts know {count:d} live hosts within {bound:g} seconds"))
def _check_live_count(site, count, bound):
    def all_known():
        views = [fetch_members(host).values() for host in site.running.hosts]
        live = [
            [item for item in members if item["state"] == "alive"] for members in views
        ]
        return all(len(members) == count for members in live)

    wait_until(all_known, f"every host knows {count} live hosts", bound)


def registry_url(site, zone):
    return f"http://{site.running.platform_address}/table/registry/{zone}"


@then(parsers.parse("the registry lists the hosts of {zone}"))
def _check_registry(site, zone):
    prefix = zone_prefix(site.running, zone)
    expected = {host.peers for host in site.running.hosts if host.ip.startswith(prefix)}

    def is_listed():
        row = fetch(registry_url(site, zone))
        hosts = {host for host, _ in row["hosts"]} if row else set()
        return bool(hosts) and hosts <= expected

    wait_until(is_listed, f"the registry row of {zone} lists only its hosts", 20.0)


@when(parsers.parse("the registry of {zone} lists only hosts that are gone"))
def _write_stale_registry(site, zone):
    prefix = zone_prefix(site.running, zone)
    row = {
        "zone": zone,
        "written_ms": int(time.time() * 1000) - 3_600_000,
        "hosts": [[f"{prefix}{number}:7001", 1] for number in range(200, 216)],
    }
    data = json.dumps(row).encode()
    request = urllib.request.Request(registry_url(site, zone), data, method="PUT")
    urllib.request.urlopen(request).close()


@when(parsers.parse("the upstream of host {number:d} says that it leaves"))
def _announce_leave(site, number):
    address, _ = find_upstream(site, number)
    fetch(f"http://{address}/-/leave", "PUT")
    site.leave_requested_at_s = time.time()


@then(
    parsers.parse(
        "the upstream of host {number:d} ran nothing from {bound:g} seconds after that on"
    )
)
def _check_no_runs_after_leave(site, number, bound):
    callers.stop_traffic(site.traffic)
    times = read_run_times(site, number)
    assert any(at < site.leave_requested_at_s for at in times)
    assert [at for at in times if at > site.leave_requested_at_s + bound] == []


@when(parsers.parse("the upstream of host {number:d} is frozen"))
def _suspend_upstream(site, number):
    find_upstream(site, number)[1].send_signal(signal.SIGSTOP)


@when(parsers.parse("the upstream of host {number:d} goes on"))
def _resume_upstream(site, number):
    find_upstream(site, number)[1].send_signal(signal.SIGCONT)


@when(parsers.parse("the upstream of host {number:d} is killed"))
def _kill_upstream(site, number):
    stop(find_upstream(site, number)[1], signal.SIGKILL)


@then(
    parsers.re(
        r"only the upstreams of hosts (?P<some>[\d, ]+) are announced within (?P<bound>\d+) seconds"
    )
)
def _check_announced(site, some, bound):
    expected = {find_upstream(site, number)[0] for number in parse_host_numbers(some)}

    def agreed():
        for host in site.running.hosts:
            if host.node.poll() is not None:
                continue
            live = [
                item
                for item in fetch_members(host).values()
                if item["state"] in ("alive", "suspect")
            ]
            known = {
                upstream["address"] for item in live for upstream in item["upstreams"]
            }
            if known != expected:
                return False
        return True

    wait_until(agreed, f"only the upstreams of hosts {some}", float(bound))
