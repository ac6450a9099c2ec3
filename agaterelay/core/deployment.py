"""What a node learns from the platform that it is deployed on."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoreSettings:
    """Where the platform's store is and what one row may hold."""

    address: str
    max_row_bytes: int = 65_536


@attrs.frozen
class Bounds:
    """The promises that the users hold the system to."""

    drain_s: float = 2.0
    grace_s: float = 6.0
    config_apply_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 62.0
    expose_share: float = 0.1


@attrs.frozen
class Deployment:
    """The checked settings of a deployed node.

    ``link_address`` is where other nodes reach this one, ``calls_address`` where the
    callers and the upstream of this host send their calls, ``upstream_address`` where
    the upstream listens. ``first_start`` is set only when the whole system starts for
    the first time, so that nothing can have been confirmed before. ``link_mbps`` is
    what the host's network link carries, 0 where the platform does not say.
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
