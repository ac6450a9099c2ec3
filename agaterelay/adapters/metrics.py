"""The process's Prometheus metrics.

Counters and the latency histogram are updated on each call; gauges are read from the node
on each scrape.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import attrs
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    PlatformCollector,
    ProcessCollector,
)
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
MAX_REASONS = 40
OTHER_REASON = "other"


@attrs.frozen
class Readings:
    """The current values of a node's gauges."""

    active_revision: int = 0
    held_revision: int = 0
    convergence_s: float = 0.0
    platform_up: bool = False
    members: Mapping[str, int] = attrs.field(factory=dict)
    calls_in_flight: int = 0
    calls_queued: int = 0
    slots: Mapping[str, int] = attrs.field(factory=dict)
    slots_in_use: Mapping[str, int] = attrs.field(factory=dict)
    move_shares: Mapping[str, float] = attrs.field(factory=dict)
    brakes: int = 0


class _ReadingsCollector:
    """Exports a node's current values as gauges."""

    def __init__(self, read: Callable[[], Readings]) -> None:
        self._read = read

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Yield the gauges."""
        readings = self._read()
        unlabelled = (
            (
                "active_revision",
                "Revision that this node serves.",
                readings.active_revision,
            ),
            ("held_revision", "Newest revision that it holds.", readings.held_revision),
            (
                "convergence_seconds",
                "Time from the active revision's commit until this node served it.",
                readings.convergence_s,
            ),
            (
                "platform_up",
                "Whether the platform answered last.",
                readings.platform_up,
            ),
            ("calls_in_flight", "Calls being served.", readings.calls_in_flight),
            ("calls_queued", "Calls that wait for a slot.", readings.calls_queued),
            ("brakes", "Moves whose new version gets no work here.", readings.brakes),
        )
        for name, description, value in unlabelled:
            yield GaugeMetricFamily(
                f"agaterelay_{name}", description, value=float(value)
            )
        labelled = (
            (
                "members",
                "Hosts by what is believed of them.",
                "state",
                readings.members,
            ),
            (
                "upstream_slots",
                "Slots of this host's upstreams.",
                "service",
                readings.slots,
            ),
            (
                "upstream_slots_in_use",
                "Slots of this host's upstreams in use.",
                "service",
                readings.slots_in_use,
            ),
            (
                "move_share_ratio",
                "Part of the calls that goes to a move's new version.",
                "move",
                readings.move_shares,
            ),
        )
        for name, description, label, values in labelled:
            family = GaugeMetricFamily(
                f"agaterelay_{name}", description, labels=[label]
            )
            for key, value in values.items():
                family.add_metric([key], float(value))
            yield family


class Metrics:
    """The metrics of one node, in a separate registry."""

    def __init__(self, read: Callable[[], Readings]) -> None:
        self.registry = CollectorRegistry()
        self._calls = Counter(
            "agaterelay_calls",
            "Calls of callers, by route and how they ended.",
            ["route", "outcome"],
            registry=self.registry,
        )
        self._refusals = Counter(
            "agaterelay_call_refusals",
            "Calls of callers that were not answered, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._call_duration = Histogram(
            "agaterelay_call_duration_seconds",
            "Time from a caller's request to its outcome.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._hops = Counter(
            "agaterelay_hops",
            "Calls that came from other nodes, by how they ended.",
            ["outcome"],
            registry=self.registry,
        )
        self._peer_messages = Counter(
            "agaterelay_peer_messages",
            "Requests sent to other nodes, by method.",
            ["method"],
            registry=self.registry,
        )
        self._peer_bytes = Counter(
            "agaterelay_peer_message_bytes",
            "Bytes of requests to other nodes and of their replies.",
            ["method", "direction"],
            registry=self.registry,
        )
        self.registry.register(_ReadingsCollector(read))
        ProcessCollector(registry=self.registry)
        PlatformCollector(registry=self.registry)
        self._children: dict[tuple[str, ...], Counter] = {}
        self._reasons: set[str] = set()

    def _child(self, counter: Counter, *labels: str) -> Counter:
        """Return a labelled counter from a cache.

        The cache is far cheaper than the library's look-up by labels.
        """
        key = (counter._name, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = counter.labels(*labels)
        return child

    def count_call(self, route: str, outcome: str, elapsed_s: float) -> None:
        """Count a caller's call.

        Args:
            route: The name of a configured route, which bounds the number of labels.
            outcome: How the call ended.
            elapsed_s: The time from the request to the outcome, in seconds.
        """
        self._child(self._calls, route, outcome).inc()
        self._call_duration.observe(elapsed_s)

    def count_refusal(self, reason: str) -> None:
        """Count a call that was not answered.

        Args:
            reason: The reason; text after a colon is ignored, and further distinct
                reasons beyond ``MAX_REASONS`` count as ``other``.
        """
        kind = reason.partition(":")[0][:80]
        if kind not in self._reasons and len(self._reasons) >= MAX_REASONS:
            kind = OTHER_REASON
        self._reasons.add(kind)
        self._child(self._refusals, kind).inc()

    def count_hop(self, outcome: str) -> None:
        """Count a call that another node forwarded."""
        self._child(self._hops, outcome).inc()

    def count_peer_message(
        self, method: str, sent_bytes: int, received_bytes: int
    ) -> None:
        """Count a request to another node and its reply."""
        self._child(self._peer_messages, method).inc()
        self._child(self._peer_bytes, method, "sent").inc(sent_bytes)
        self._child(self._peer_bytes, method, "received").inc(received_bytes)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in exposition format and the content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST
