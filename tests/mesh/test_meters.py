"""The metrics of a node, as a scrape reads them."""

import re

from agaterelay.mesh.meters import (
    MAX_ROUTES,
    MAX_ZONES,
    OTHER_ROUTE,
    OTHER_ZONE,
    Meters,
)


def values_of(meters):
    """Return the samples of a scrape by name and labels."""
    lines = meters.render().decode().splitlines()
    samples = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    return {name: float(value) for name, value in samples}


def test_a_scrape_shows_counts_gauges_and_durations():
    meters = Meters()
    meters.gauges["revision"] = 12
    meters.count_store_call("/v1/rows-get", "200")
    for elapsed_s in (0.004, 0.3, 9.0):
        meters.count_request("read", "answered", elapsed_s)
    values = values_of(meters)
    assert values["agaterelay_revision"] == 12
    assert values['agaterelay_requests_total{outcome="answered",route="read"}'] == 3
    assert values['agaterelay_store_calls_total{call="/v1/rows-get",result="200"}'] == 1
    buckets = "agaterelay_request_duration_seconds_bucket"
    assert values[buckets + '{le="0.005",outcome="answered"}'] == 1
    assert values[buckets + '{le="0.4",outcome="answered"}'] == 2
    assert values[buckets + '{le="+Inf",outcome="answered"}'] == 3
    assert values['agaterelay_request_duration_seconds_sum{outcome="answered"}'] > 9


def test_routes_beyond_the_limit_share_one_label():
    meters = Meters()
    for number in range(MAX_ROUTES + 10):
        meters.count_request(f"route-{number}", "answered", 0.1)
    text = meters.render().decode()
    assert len(re.findall("agaterelay_requests_total{", text)) == MAX_ROUTES + 1
    label = f'agaterelay_requests_total{{outcome="answered",route="{OTHER_ROUTE}"}}'
    assert values_of(meters)[label] == 10


def test_placements_are_counted_by_zone_with_bounded_labels():
    """Guards against a scrape that grows with the zones that hosts name."""
    meters = Meters()
    for number in range(MAX_ZONES + 5):
        meters.count_placement(f"zone-{number}")
    values = values_of(meters)
    assert values['agaterelay_placements_total{zone="zone-0"}'] == 1
    assert values[f'agaterelay_placements_total{{zone="{OTHER_ZONE}"}}'] == 5
