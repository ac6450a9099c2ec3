"""Distribution: every host serves whole revisions and never goes back to an older one."""

import hashlib
import json
import signal
import time
import urllib.request
from datetime import UTC, datetime

from pytest_bdd import parsers, scenarios, then, when

from agaterelay.core.manifest import digest_of, encode_head, encode_manifest
from agaterelay.core.model import Head, Manifest, SectionRef
from standins.deployment import (
    cut,
    fetch,
    start_node,
    stop,
    wait_until,
)
from tests.scenarios.conftest import ACTIVATION_TIMEOUT_S

READS_PER_ZONE_PER_S = 3
MAX_STORE_RATES_PER_S = {"reads": 2000, "writes": 400}

scenarios("distribution.feature")


def fetch_head_revision(site):
    return fetch(f"http://{site.running.platform_address}/table/head")["revision"]


def set_faults(site, **stores):
    fetch(f"http://{site.running.platform_address}/faults", "PUT", stores)


def fetch_counts(site):
    return fetch(f"http://{site.running.platform_address}/counts")


def serves(host, revision):
    node = fetch(f"http://{host.operators}/v1/node")
    return bool(node) and node["active_revision"] == revision


def put_object(site, name, body, version=None):
    url = f"http://{site.running.platform_address}/{name}"
    request = urllib.request.Request(url, body, method="PUT")
    if version is not None:
        request.add_header("If-Row-Version", str(version))
    urllib.request.urlopen(request).close()


@when(
    parsers.parse("every host but host {number:d} serves the newest revision"),
    target_fixture="newest",
)
def _wait_for_other_hosts(site, number):
    newest = fetch_head_revision(site)
    for host in site.running.hosts:
        if host is not site.host(number):
            wait_until(
                lambda host=host: serves(host, newest),
                "the newest revision on the other hosts",
            )
    assert not is_reachable(site.host(number))
    return newest


def is_reachable(host):
    return fetch(f"http://{host.operators}/v1/node", timeout_s=0.3)


@when("the whole platform is down")
def _stop_platform(site):
    set_faults(site, table={"down": True}, objects={"down": True})


@then("every host serves that revision within the bound")
def _check_revision_served(site, newest):
    for host in site.running.hosts:
        wait_until(
            lambda host=host: serves(host, newest), host.ip, ACTIVATION_TIMEOUT_S
        )


@when(parsers.parse("availability zone {zone} is cut off from the platform"))
def _cut_zone_from_platform(site, zone):
    for host in site.running.hosts:
        if host.zone == zone:
            cut(host, [site.running.platform_address])


@when(parsers.parse("all hosts but host {number:d} are cut off from the object store"))
def _cut_hosts_from_objects(site, number):
    # Both stores listen on one address, so these hosts lose the table service too.
    for host in site.running.hosts:
        if host is not site.host(number):
            cut(host, [site.running.platform_address])


@when("all hosts are killed and started at once", target_fixture="herd")
def _restart_all(site):
    reads = fetch_counts(site)["table"]["reads_by_name"].get("head", 0)
    for host in site.running.hosts:
        host.node.send_signal(signal.SIGKILL)
    for host in site.running.hosts:
        stop(host.node)
        start_node(site.running, host)
    return (time.monotonic(), reads)


@then(
    parsers.parse(
        "the head row was read at most {most:d} times a second "
        "in each availability zone"
    )
)
def _check_head_reads(site, herd, most):
    started_s, reads_before = herd
    time.sleep(max(0.0, 6.0 - (time.monotonic() - started_s)))
    reads = fetch_counts(site)["table"]["reads_by_name"]["head"] - reads_before
    elapsed_s = time.monotonic() - started_s
    assert 0 < reads <= most * len(site.running.zones) * elapsed_s


@then("no limit of the platform was passed")
def _check_platform_limits(site):
    for store in fetch_counts(site).values():
        assert store["refused"] == 0
        for kind, limit in MAX_STORE_RATES_PER_S.items():
            assert store["peak"][kind] <= limit


@when(
    "the platform loses the answer of the next write to the table",
    target_fixture="before",
)
def _lose_answer(site):
    set_faults(site, table={"lose_answers": 1})
    return fetch_head_revision(site)


@then(parsers.parse("exactly {count:d} revision came of it"))
def _check_revision_count(site, before, count):
    assert fetch_head_revision(site) == before + count


@when(
    "a revision with one changed section and one route into nowhere is forced in",
    target_fixture="before",
)
def _force_bad_revision(site):
    node = site.running.hosts[0].operators
    document = fetch(f"http://{node}/v1/document")
    texts = {item["name"]: item["text"] for item in document["sections"]}
    owners = {item["name"]: item["owner"] for item in document["sections"]}
    texts["cue-desk"] = texts["cue-desk"].replace("1000", "1600")
    texts["panel-feed"] = texts["panel-feed"].replace(
        "service: panel-feed", "service: nowhere"
    )
    for text in texts.values():
        body = text.encode()
        put_object(site, f"objects/bodies/{hashlib.sha256(body).hexdigest()}", body)
    references = tuple(
        SectionRef(name, owners[name], digest_of(text.encode()))
        for name, text in texts.items()
    )
    revision = document["revision"] + 1
    manifest = encode_manifest(Manifest(revision, datetime.now(UTC), references))
    put_object(site, f"objects/bodies/{digest_of(manifest)}", manifest)
    put_object(site, "table/head", encode_head(Head(revision, digest_of(manifest))))
    return document


@then("every host serves the revision before it, whole")
def _check_previous_revision(site, before):
    for host in site.running.hosts:
        document = fetch(f"http://{host.operators}/v1/document")
        assert document["revision"] == before["revision"]
        assert document["sections"] == before["sections"]


@then("every host reports the finding with its place")
def _check_findings_reported(site):
    node = site.running.hosts[0].operators

    def all_reported():
        events = fetch(f"http://{node}/v1/timeline")["events"]
        findings = {
            event["host"]: json.dumps(event["fields"])
            for event in events
            if event["number"] == 203
        }
        with_place = [text for text in findings.values() if "panel-feed:" in text]
        return len(with_place) == len(site.running.hosts)

    wait_until(
        all_reported,
        "the finding on the timeline from every host",
        ACTIVATION_TIMEOUT_S,
    )
