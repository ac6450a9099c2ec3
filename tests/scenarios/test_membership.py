"""Hosts and upstreams that join, leave, die, pause, come back, or are cut off."""

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
from tests.scenarios.conftest import Site, numbers, run_times, upstream_of

DOUBTS = ("suspect", "dead")

scenarios("membership.feature")


def view(host):
    """Return what a host's node believes: its members by address, without ports."""
    found = fetch(f"http://{host.operators}/v1/members", timeout_s=2.0)
    members = found["members"] if found else ()
    return {item["host"].partition(":")[0]: item for item in members}


@given(
    parsers.parse(
        "the availability zones {names} with {count:d} hosts each and no seeds"
    ),
    target_fixture="site",
)
def _without_seeds(names, count):
    zones = dict.fromkeys(names.split(", "), count)
    with deployment(zones, faulty=True, seeds=False, probe_period_s=0.3) as running:
        yield Site(running)


@when(
    parsers.parse(
        "the node of host {number:d} is started with its clock {behind:d} seconds behind"
    )
)
def _start_behind(site, number, behind):
    command = site.running.node_command
    site.running.node_command = (*command, "--clock-behind-s", str(behind))
    start_node(site.running, site.host(number))
    site.running.node_command = command


@then(
    parsers.re(
        r"all other hosts take host (?P<number>\d+) for (?P<state>\w+) within (?P<bound>\d+) seconds"
    )
)
def _others_take(site, number, state, bound):
    def agreed():
        others = [host for host in site.running.hosts if host is not site.host(number)]
        ip = site.host(number).ip
        return all(view(host).get(ip, {}).get("state") == state for host in others)

    wait_until(agreed, f"host {number} is {state} everywhere", float(bound))


@then(
    parsers.re(
        r"hosts (?P<first>\d+) to (?P<last>\d+) take host (?P<number>\d+) for (?P<state>\w+) within (?P<bound>\d+) seconds"
    )
)
def _some_take(site, first, last, number, state, bound):
    hosts = site.running.hosts[int(first) - 1 : int(last)]
    ip = site.host(number).ip

    def agreed():
        return all(view(host).get(ip, {}).get("state") == state for host in hosts)

    wait_until(agreed, f"host {number} is {state} on some", float(bound))


@then(
    parsers.parse("all hosts take host {number:d} for alive within {bound:g} seconds")
)
def _all_take(site, number, bound):
    ip = site.host(number).ip

    def agreed():
        entries = [view(host).get(ip, {}) for host in site.running.hosts]
        pairs = {(item.get("incarnation"), item.get("sequence")) for item in entries}
        return len(pairs) == 1 and all(item.get("state") == "alive" for item in entries)

    wait_until(agreed, f"host {number} is alive everywhere", bound)


@then(
    parsers.parse(
        "host {number:d} joined above its predecessor and had nothing to refute"
    )
)
def _joined_above(site, number):
    host = site.host(number)
    before, after = (item["incarnation"] for item in events(site, host, "node_joined"))
    assert after > before
    assert events(site, host, "member_refuted") == []


def events(site, host, name):
    """Return a node's events of one name from its log, over all its processes."""
    lines = (site.running.folder / f"{host.ip}.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if line.startswith("{")]
    return [item for item in found if item.get("event") == name]


@then(parsers.parse("host {number:d} refuted what was said of it"))
def _refuted(site, number):
    assert events(site, site.host(number), "member_refuted")


@when(parsers.parse("host {number:d} cannot reach host {other:d}"))
def _one_way(site, number, other):
    cut(site.host(number), [site.host(other).ip + ":"])


@then(parsers.parse("no host ever doubted host {number:d}"))
def _never_doubted(site, number):
    name = site.host(number).peers
    for host in site.running.hosts:
        changes = events(site, host, "member_changed")
        about = [item["state"] for item in changes if item["member"] == name]
        assert not set(about) & set(DOUBTS), host.ip


@when(parsers.parse("host {number:d} is cut off from all others"))
def _cut_off(site, number):
    alone = site.host(number)
    for host in site.running.hosts:
        others = [item.ip + ":" for item in site.running.hosts if item is not alone]
        cut(host, others if host is alone else [alone.ip + ":"])


@then(
    parsers.parse(
        "host {number:d} still knows {count:d} upstreams and takes nobody for dead"
    )
)
def _still_knows(site, number, count):
    members = view(site.host(number)).values()
    assert "dead" not in {item["state"] for item in members}
    assert sum(len(item["upstreams"]) for item in members) == count


@then("nobody takes anybody for dead")
def _nobody_dead(site):
    for host in site.running.hosts:
        assert "dead" not in {item["state"] for item in view(host).values()}


@then(parsers.parse("host {number:d} has no contact with {first} and {second}"))
def _no_contact(site, number, first, second):
    def noticed():
        url = f"http://{site.host(number).operators}/v1/members"
        return fetch(url)["out_of_reach"] == [first, second]

    wait_until(noticed, "the zones out of reach are noticed", 10.0)


@then(parsers.parse("all hosts are in contact with all zones within {bound:g} seconds"))
def _in_contact(site, bound):
    def healed():
        urls = [f"http://{host.operators}/v1/members" for host in site.running.hosts]
        return all(fetch(url)["out_of_reach"] == [] for url in urls)

    wait_until(healed, "all zones are in reach", bound)


@then(parsers.parse("all hosts know {count:d} live hosts within {bound:g} seconds"))
def _know(site, count, bound):
    def known():
        views = [view(host).values() for host in site.running.hosts]
        live = [[item for item in each if item["state"] == "alive"] for each in views]
        return all(len(each) == count for each in live)

    wait_until(known, f"{count} live hosts are known", bound)


def registry_url(site, zone):
    return f"http://{site.running.platform_address}/table/registry/{zone}"


@then(parsers.parse("the registry lists the hosts of {zone}"))
def _registry_lists(site, zone):
    prefix = zone_prefix(site.running, zone)
    expected = {host.peers for host in site.running.hosts if host.ip.startswith(prefix)}

    def listed():
        row = fetch(registry_url(site, zone))
        hosts = {host for host, _ in row["hosts"]} if row else set()
        return bool(hosts) and hosts <= expected

    wait_until(listed, f"the registry of {zone}", 20.0)


@when(parsers.parse("the registry of {zone} lists only hosts that are gone"))
def _stale_registry(site, zone):
    gone = zone_prefix(site.running, zone)
    row = {
        "zone": zone,
        "written_ms": int(time.time() * 1000) - 3_600_000,
        "hosts": [[f"{gone}{number}:7001", 1] for number in range(200, 216)],
    }
    data = json.dumps(row).encode()
    request = urllib.request.Request(registry_url(site, zone), data, method="PUT")
    urllib.request.urlopen(request).close()


@when(parsers.parse("the upstream of host {number:d} says that it leaves"))
def _leaves(site, number):
    address, _ = upstream_of(site, number)
    fetch(f"http://{address}/-/leave", "PUT")
    site.left_at_s = time.time()


@then(
    parsers.parse(
        "the upstream of host {number:d} ran nothing from {bound:g} seconds after that on"
    )
)
def _ran_nothing(site, number, bound):
    callers.stop_traffic(site.traffic)
    times = run_times(site, number)
    assert any(at < site.left_at_s for at in times)
    assert [at for at in times if at > site.left_at_s + bound] == []


@when(parsers.parse("the upstream of host {number:d} is frozen"))
def _freeze_upstream(site, number):
    upstream_of(site, number)[1].send_signal(signal.SIGSTOP)


@when(parsers.parse("the upstream of host {number:d} goes on"))
def _thaw_upstream(site, number):
    upstream_of(site, number)[1].send_signal(signal.SIGCONT)


@when(parsers.parse("the upstream of host {number:d} is killed"))
def _kill_upstream(site, number):
    stop(upstream_of(site, number)[1], signal.SIGKILL)


@then(
    parsers.re(
        r"only the upstreams of hosts (?P<some>[\d, ]+) are announced within (?P<bound>\d+) seconds"
    )
)
def _announced(site, some, bound):
    expected = {upstream_of(site, number)[0] for number in numbers(some)}

    def agreed():
        for host in site.running.hosts:
            if host.node.poll() is not None:
                continue
            live = [
                item
                for item in view(host).values()
                if item["state"] in ("alive", "suspect")
            ]
            known = {
                upstream["address"] for item in live for upstream in item["upstreams"]
            }
            if known != expected:
                return False
        return True

    wait_until(agreed, f"only the upstreams of hosts {some}", float(bound))
