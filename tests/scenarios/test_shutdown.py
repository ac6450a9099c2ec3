"""Graceful shutdown of nodes and upstreams under load."""

import http.client
import signal
from concurrent.futures import ThreadPoolExecutor

from pytest_bdd import parsers, scenarios, then, when

from standins.deployment import (
    fetch,
    start_node,
    start_upstream,
    stop,
    wait_until,
)

scenarios("shutdown.feature")


def stop_upstreams(host):
    """Stop a host's upstreams and return their exit statuses."""
    statuses = [stop(process) for process in host.upstreams.values()]
    host.upstreams.clear()
    return statuses


@when(parsers.parse("the upstream of host {number:d} is stopped gracefully"))
def _stop_upstream(site, number):
    assert stop_upstreams(site.host(number)) == [0]


@when(
    parsers.parse("a caller keeps a connection to host {number:d}"),
    target_fixture="caller",
)
def _keep_connection(site, number):
    caller = http.client.HTTPConnection(site.host(number).calls, timeout=5)
    assert send_request(caller).status == 200
    yield caller
    caller.close()


def send_request(caller):
    caller.request("GET", "/cue-desk/script")
    response = caller.getresponse()
    response.read()
    return response


@when(parsers.parse("the node of host {number:d} begins to stop"))
def _request_stop(site, number):
    site.host(number).node.send_signal(signal.SIGTERM)


@then("the caller's next request there is refused as not run, with Connection: close")
def _check_refused_and_closed(caller):
    connection = caller.sock
    response = send_request(caller)
    assert connection is not None
    assert response.status == 503
    assert response.headers["Agaterelay-Outcome"] == "not-run"
    assert response.headers["Connection"] == "close"


@when("all hosts are restarted, one zone at a time")
def _restart_by_zone(site):
    for zone in site.running.zones:
        hosts = [host for host in site.running.hosts if host.zone == zone]
        with ThreadPoolExecutor(len(hosts)) as pool:
            assert list(pool.map(stop_host, hosts)) == [0] * len(hosts)
        for host in hosts:
            start_node(site.running, host)
            start_upstream(site.running, host, "counter", "v1")
        wait_until(
            lambda: serves_everywhere(site),
            f"every node serves after the restart of {zone}",
        )


def stop_host(host):
    """Stop a host's upstreams, then its node, and return the node's exit status."""
    assert stop_upstreams(host) == [0]
    return stop(host.node)


def serves_everywhere(site):
    """Return whether every node serves a revision and knows all upstreams."""
    for host in site.running.hosts:
        node = fetch(f"http://{host.operators}/v1/node")
        found = fetch(f"http://{host.operators}/v1/members")
        if not node or not node["active_revision"] or not found:
            return False
        live = [item for item in found["members"] if item["state"] == "alive"]
        if sum(len(item["upstreams"]) for item in live) != len(site.running.hosts):
            return False
    return True
