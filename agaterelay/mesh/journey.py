"""The state of an entry, and of one request on its way."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from agaterelay.core.call import RawHeaders
from agaterelay.core.model import Route, RouteTable
from agaterelay.core.outcome import Outcome
from agaterelay.core.placing import RouteCosts
from agaterelay.core.retry_budget import RetryBudget
from agaterelay.core.weighted import WeightedRoundRobin
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import MeshState, NodeContext


@attrs.frozen
class Request:
    """What a caller asked for; ``wait_ms`` is how long it waits, if it says."""

    call_id: str
    method: str
    host: str
    path: str
    headers: RawHeaders
    body: bytes = attrs.field(repr=False)
    wait_ms: int | None = None


@attrs.define
class TrialView:
    """What this entry's own calls showed of a version on trial."""

    credit: float
    calls: int = 0
    failures: int = 0


@attrs.define
class Entry:
    """The entry's state."""

    context: NodeContext
    state: MeshState
    links: Links
    budget: RetryBudget
    draw: random.Random = attrs.field(factory=random.Random)
    splits: dict[str, WeightedRoundRobin] = attrs.field(factory=dict)
    trials: dict[tuple[str, int], TrialView] = attrs.field(factory=dict)
    routes: dict[str, tuple[Route, ...]] = attrs.field(factory=dict)
    routes_of: RouteTable | None = None
    in_flight: int = 0
    route_costs: dict[str, RouteCosts] = attrs.field(factory=dict)
    full_wait_ms: dict[str, int] = attrs.field(factory=dict)
    ending: bool = False
    limits: set[asyncio.Timeout] = attrs.field(factory=set)
    good: int = 0
    count_end: Callable[[str, str, float], None] = lambda route, outcome, elapsed_s: (
        None
    )


@attrs.define
class Journey:
    """One request on its way; times are on the steady clock."""

    request: Request
    route: Route
    service: str
    started_s: float
    deadline_s: float
    tried: set[str] = attrs.field(factory=set)
    arrivals: int = 0
    placements: int = 0
    target_s: float = 0.0
    last: Outcome | None = None
    retry_after_s: float | None = None
