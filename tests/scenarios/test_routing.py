"""Ejection, recovery and locality, checked against the upstreams' own records."""

import time

from pytest_bdd import parsers, scenarios, then, when

from standins import traffic as callers
from standins.deployment import RECORDS_SUFFIX, fetch
from tests.scenarios.conftest import (
    parse_host_numbers,
    read_run_times,
    upstream_address,
)

SETTLE_TIMEOUT_S = 30.0
FAST_CALL_PERIOD_S = 0.005

scenarios("routing.feature")


@when("many callers send GET /cue-desk/script")
def _start_many_callers(site):
    nodes = tuple(host.calls for host in site.running.hosts)
    methods_and_paths = (("GET", "/cue-desk/script"),)
    site.traffic = callers.start_traffic(nodes, methods_and_paths, FAST_CALL_PERIOD_S)


def set_behaviour(site, number, **behaviour):
    """Replace the simulated faults of a host's upstream; none make it healthy."""
    fetch(f"http://{upstream_address(site, number)}/-/behaviour", "PUT", behaviour)


@when(
    parsers.parse(
        "the upstream of host {bad:d} fails every call and that of host {slow:d} is"
        " {delay:d} ms slow"
    )
)
def _degrade_upstreams(site, bad, slow, delay):
    set_behaviour(site, bad, fail_permille=1000)
    set_behaviour(site, slow, slow_ms=delay)


@when(parsers.re(r"the upstreams of hosts (?P<some>[\d, ]+) are mended"))
def _mend_upstreams(site, some):
    for number in parse_host_numbers(some):
        set_behaviour(site, number)


def measure_call_ratio(site, some, duration_s):
    """Return the ratio of calls that some hosts' upstreams run.

    Args:
        site: The scenario's deployment.
        some: The host numbers, separated by commas.
        duration_s: How long calls are counted, in seconds.

    Returns:
        The calls of these upstreams divided by the calls of all.
    """
    since = time.time()
    time.sleep(duration_s)
    counts = {
        number: sum(at >= since for at in read_run_times(site, number))
        for number in range(1, len(site.running.hosts) + 1)
    }
    return sum(counts[number] for number in parse_host_numbers(some)) / sum(
        counts.values()
    )


@then(
    parsers.re(
        r"fewer than 1 in (?P<part>\d+) of the calls of (?P<seconds>\d+) seconds go to"
        r" the upstreams of hosts (?P<some>[\d, ]+) in the end"
    )
)
def _check_fewer_calls(site, part, seconds, some):
    deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
    while measure_call_ratio(site, some, float(seconds)) >= 1 / int(part):
        assert time.monotonic() < deadline_s


@then(
    parsers.re(
        r"more than 1 in (?P<part>\d+) of the calls of (?P<seconds>\d+) seconds go to"
        r" the upstreams of hosts (?P<some>[\d, ]+) in the end"
    )
)
def _check_more_calls(site, part, seconds, some):
    deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
    while measure_call_ratio(site, some, float(seconds)) <= 1 / int(part):
        assert time.monotonic() < deadline_s


@then(
    parsers.re(r"only the upstreams of hosts (?P<some>[\d, ]+) ran calls, both of them")
)
def _check_only_upstreams(site, some):
    callers.stop_traffic(site.traffic)
    paths = site.running.folder.glob(f"*{RECORDS_SUFFIX}")
    ran = {path.name.removesuffix(RECORDS_SUFFIX) for path in paths if path.read_text()}
    assert ran == {
        upstream_address(site, number) for number in parse_host_numbers(some)
    }
