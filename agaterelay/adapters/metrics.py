"""The process's Prometheus metrics."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class Metrics:
    """The metrics of one node, in a registry of their own."""

    def __init__(self, active_revision: Callable[[], float]) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "agaterelay_calls",
            "Calls served, by how they ended.",
            ["outcome"],
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "agaterelay_call_duration_seconds",
            "Time from a request's arrival to its outcome.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.revision = Gauge(
            "agaterelay_active_revision",
            "The revision that this node serves.",
            registry=self.registry,
        )
        self.revision.set_function(active_revision)

    def render(self) -> tuple[bytes, str]:
        """Return the exposition and its content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST
