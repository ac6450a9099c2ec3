"""The counters and histograms of a deployed node."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6)
# Bounds the size of a scrape for any configuration; further routes share one label.
MAX_ROUTES = 60
OTHER_ROUTE = "other"


class Meters:
    """The metrics of one node, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "agaterelay_requests",
            "Callers' requests by route and how they ended.",
            ["route", "outcome"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "agaterelay_request_duration_seconds",
            "Time from a caller's request to its answer.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.store_calls = Counter(
            "agaterelay_store_calls",
            "Calls to the platform's store by kind and result.",
            ["call", "result"],
            registry=self.registry,
        )
        self.gauges = {
            name: Gauge(f"agaterelay_{name}", text, registry=self.registry)
            for name, text in (
                ("revision", "The configuration in force."),
                ("slots_in_use", "Calls that this host's upstream runs."),
                ("calls_waiting", "Calls that wait for a slot."),
                ("links_up", "Links to other nodes that can be used."),
                ("store_up", "Whether the store answered last."),
                ("log_lines_dropped", "Log lines left out lately."),
            )
        }
        self.loop_lag = Histogram(
            "agaterelay_loop_lag_seconds",
            "How late timers fired.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._children: dict[tuple[str, str], tuple[Counter, Histogram]] = {}

    def count_request(self, route: str, outcome: str, elapsed_s: float) -> None:
        """Count one request of a caller."""
        key = (route, outcome)
        child = self._children.get(key)
        if child is None:
            if len(self._children) >= MAX_ROUTES and route != OTHER_ROUTE:
                self.count_request(OTHER_ROUTE, outcome, elapsed_s)
                return
            child = self._children[key] = (
                self.requests.labels(route, outcome),
                self.request_seconds.labels(outcome),
            )
        child[0].inc()
        child[1].observe(elapsed_s)

    def count_store_call(self, call: str, result: str) -> None:
        """Count one call to the store."""
        self.store_calls.labels(call, result).inc()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
