"""The settings of a node, from the platform that it is deployed on."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoreSettings:
    """The address of the platform's store, and the size limit of a row."""

    address: str
    max_row_bytes: int = 65_536


DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_DESCRIPTORS = 4096


@attrs.frozen
class Bounds:
    """The service levels that the users require of the system."""

    drain_s: float = 2.0
    grace_s: float = 6.0
    config_apply_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 62.0
    expose_ratio: float = 0.1
    cold_ratio: float = 1.5
    cold_slack: float = 8.0
    evacuation_s: float = 5.0
    allotment_window_s: float = 5.0
    allotment_excess_ratio: float = 0.1
    allotment_slack: float = 20.0


@attrs.frozen
class Deployment:
    """The validated settings of a deployed node.

    Other nodes connect to ``link_address``, the callers and the upstream of this host send
    their calls to ``calls_address``, and the upstream listens on ``upstream_address``.
    ``first_start`` is set only if the whole system starts for the first time, so that
    nothing can have been confirmed before. ``link_mbps`` is the bandwidth of the host's
    network link, 0 if the platform does not provide it, ``memory_mb`` what the process
    may take, and ``max_descriptors`` how many files and sockets it may open. ``zones`` are
    all availability zones of the deployment.
    """

    name: str
    zone: str
    link_address: str
    calls_address: str
    announce_address: str
    ready_address: str
    metrics_address: str
    service: str
    upstream_address: str
    store: StoreSettings
    bounds: Bounds = attrs.field(factory=Bounds)
    heartbeat_s: float = 1.5
    first_start: bool = False
    link_mbps: int = 0
    memory_mb: int = DEFAULT_MEMORY_MB
    zones: tuple[str, ...] = ()
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
