"""The counters and histograms of a deployed node.

They are plain numbers, which prometheus_client turns into text when they are first asked
for: importing it at the start would delay the first served request of every host.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6)
# Bounds the size of a scrape for any configuration; further routes share one label.
MAX_ROUTES = 60
OTHER_ROUTE = "other"
# Bounds the size of a scrape where hosts name many zones.
MAX_ZONES = 16
OTHER_ZONE = "other"
GAUGE_TEXTS = {
    "revision": "The configuration in force.",
    "slots_in_use": "Calls that this host's upstream runs.",
    "slots_lowered": "Slots that are not used, because calls hang at the upstream.",
    "calls_waiting": "Calls that wait for a slot.",
    "upstream_rate_limited": "Whether this host's upstream names a rate limit.",
    "upstream_rate_limit_per_second": "The rate limit, 0 if it names none.",
    "upstream_cold": "Whether this host's upstream is cold and has a limit for that.",
    "zones_evacuated": "Availability zones that the operator has evacuated.",
    "links_up": "Links to other nodes that can be used.",
    "body_bytes": "What the bodies of requests take in this process.",
    "response_bytes": "What responses that are not sent yet take in this process.",
    "requests_held": "Requests held back because upstreams end when they run them.",
    "requests_suspected": "Requests that upstreams had in hand when they ended.",
    "store_up": "Whether the store answered last.",
    "log_lines_dropped": "Log lines left out lately.",
}


@attrs.define
class Durations:
    """A histogram of durations; the last count is of those above all buckets."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    sum_s: float = 0.0

    def observe(self, duration_s: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s

    def cumulative(self) -> list[tuple[str, int]]:
        """Return the number of durations up to each bucket's upper bound."""
        bounds = [*(str(float(bound)) for bound in LATENCY_BUCKETS_S), "+Inf"]
        total = 0
        buckets = []
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


@attrs.define(eq=False)
class Meters:
    """The metrics of one node.

    Attributes:
        requests: Callers' requests by route and outcome.
        request_durations: The time from a request to its answer, by outcome.
        unidentified: Requests refused for want of a valid key, by cause.
        store_calls: Calls to the store by path and result.
        closed_for_room: Connections and results closed to make room, by cause.
        allotments: Grants, refusals, questions and loans of limited workspaces, by cause.
        placements: Attempts by the availability zone in which they were placed.
        gauges: The present values, by name; set before each scrape.
        loop_lag: How late timers fired.
    """

    requests: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    request_durations: dict[str, Durations] = attrs.field(factory=dict)
    unidentified: Counter[str] = attrs.field(factory=Counter)
    store_calls: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    closed_for_room: Counter[str] = attrs.field(factory=Counter)
    allotments: Counter[str] = attrs.field(factory=Counter)
    placements: Counter[str] = attrs.field(factory=Counter)
    gauges: dict[str, float] = attrs.field(
        factory=lambda: dict.fromkeys(GAUGE_TEXTS, 0.0)
    )
    loop_lag: Durations = attrs.field(factory=Durations)

    def count_request(self, route: str, outcome: str, elapsed_s: float) -> None:
        """Count one request of a caller."""
        key = (route, outcome)
        if key not in self.requests and len(self.requests) >= MAX_ROUTES:
            key = (OTHER_ROUTE, outcome)
        self.requests[key] += 1
        self.request_durations.setdefault(outcome, Durations()).observe(elapsed_s)

    def count_unidentified(self, cause: str) -> None:
        """Count one request that was refused for want of a valid key."""
        self.unidentified[cause] += 1

    def count_store_call(self, call: str, result: str) -> None:
        """Count one call to the store."""
        self.store_calls[call, result] += 1

    def count_placement(self, zone: str) -> None:
        """Count one attempt that is placed in an availability zone."""
        if zone not in self.placements and len(self.placements) >= MAX_ZONES:
            zone = OTHER_ZONE
        self.placements[zone] += 1

    def collect(self) -> Iterator[Any]:
        """Return the metric families, as prometheus_client's collectors do."""
        from prometheus_client import core

        requests = core.CounterMetricFamily(
            "agaterelay_requests",
            "Callers' requests by route and how they ended.",
            labels=["route", "outcome"],
        )
        for labels, count in self.requests.items():
            requests.add_metric(labels, count)
        yield requests
        durations = core.HistogramMetricFamily(
            "agaterelay_request_duration_seconds",
            "Time from a caller's request to its answer.",
            labels=["outcome"],
        )
        for outcome, observed in self.request_durations.items():
            durations.add_metric([outcome], observed.cumulative(), observed.sum_s)
        yield durations
        unidentified = core.CounterMetricFamily(
            "agaterelay_requests_unidentified",
            "Callers' requests refused for want of a valid key, by cause.",
            labels=["cause"],
        )
        for cause, count in self.unidentified.items():
            unidentified.add_metric([cause], count)
        yield unidentified
        store_calls = core.CounterMetricFamily(
            "agaterelay_store_calls",
            "Calls to the platform's store by kind and result.",
            labels=["call", "result"],
        )
        for labels, count in self.store_calls.items():
            store_calls.add_metric(labels, count)
        yield store_calls
        closed = core.CounterMetricFamily(
            "agaterelay_closed_for_room",
            "Connections and results closed to make room, by cause.",
            labels=["cause"],
        )
        for cause, count in self.closed_for_room.items():
            closed.add_metric([cause], count)
        yield closed
        allotments = core.CounterMetricFamily(
            "agaterelay_allotments",
            "Grants, refusals, questions and loans for limited workspaces.",
            labels=["cause"],
        )
        for cause, count in self.allotments.items():
            allotments.add_metric([cause], count)
        yield allotments
        placements = core.CounterMetricFamily(
            "agaterelay_placements",
            "Attempts by the availability zone in which they were placed.",
            labels=["zone"],
        )
        for zone, count in self.placements.items():
            placements.add_metric([zone], count)
        yield placements
        for name, value in self.gauges.items():
            yield core.GaugeMetricFamily(f"agaterelay_{name}", GAUGE_TEXTS[name], value)
        yield core.HistogramMetricFamily(
            "agaterelay_loop_lag_seconds",
            "How late timers fired.",
            buckets=self.loop_lag.cumulative(),
            sum_value=self.loop_lag.sum_s,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
