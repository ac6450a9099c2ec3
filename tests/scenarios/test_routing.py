"""Ejection, return, and locality, by the upstreams' own records."""

import time

from pytest_bdd import parsers, scenarios, then, when

from standins import traffic as callers
from standins.deployment import RECORDS_SUFFIX, fetch
from tests.scenarios.conftest import address_of, numbers, run_times

SETTLE_S = 30.0
MANY_PERIOD_S = 0.005

scenarios("routing.feature")


@when("many callers send GET /cue-desk/script")
def _many(site):
    nodes = tuple(host.calls for host in site.running.hosts)
    kinds = (("GET", "/cue-desk/script"),)
    site.traffic = callers.start_traffic(nodes, kinds, MANY_PERIOD_S)


def behave(site, number, **behaviour):
    """Set how the upstream of a host behaves."""
    fetch(f"http://{address_of(site, number)}/-/behaviour", "PUT", behaviour)


@when(
    parsers.parse(
        "the upstream of host {bad:d} fails every call and that of host {slow:d} is"
        " {delay:d} ms slow"
    )
)
def _break(site, bad, slow, delay):
    behave(site, bad, fail_permille=1000)
    behave(site, slow, slow_ms=delay)


@when(parsers.re(r"the upstreams of hosts (?P<some>[\d, ]+) are mended"))
def _mend(site, some):
    for number in numbers(some):
        behave(site, number)


def share(site, some, duration_s):
    """Return the share of some hosts' upstreams in the calls of a while."""
    since = time.time()
    time.sleep(duration_s)
    counts = {
        number: sum(at >= since for at in run_times(site, number))
        for number in range(1, len(site.running.hosts) + 1)
    }
    return sum(counts[number] for number in numbers(some)) / sum(counts.values())


@then(
    parsers.re(
        r"fewer than 1 in (?P<part>\d+) of the calls of (?P<seconds>\d+) seconds go to"
        r" the upstreams of hosts (?P<some>[\d, ]+) in the end"
    )
)
def _fewer(site, part, seconds, some):
    give_up_s = time.monotonic() + SETTLE_S
    while share(site, some, float(seconds)) >= 1 / int(part):
        assert time.monotonic() < give_up_s


@then(
    parsers.re(
        r"more than 1 in (?P<part>\d+) of the calls of (?P<seconds>\d+) seconds go to"
        r" the upstreams of hosts (?P<some>[\d, ]+) in the end"
    )
)
def _more(site, part, seconds, some):
    give_up_s = time.monotonic() + SETTLE_S
    while share(site, some, float(seconds)) <= 1 / int(part):
        assert time.monotonic() < give_up_s


@then(
    parsers.re(r"only the upstreams of hosts (?P<some>[\d, ]+) ran calls, both of them")
)
def _only(site, some):
    callers.stop_traffic(site.traffic)
    paths = site.running.folder.glob(f"*{RECORDS_SUFFIX}")
    ran = {path.name.removesuffix(RECORDS_SUFFIX) for path in paths if path.read_text()}
    assert ran == {address_of(site, number) for number in numbers(some)}
