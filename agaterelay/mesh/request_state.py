"""The state of the outbound proxy, and of one request in progress."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from agaterelay.core.call import RawHeaders
from agaterelay.core.model import Route, RouteTable, Workspace
from agaterelay.core.outcome import Outcome
from agaterelay.core.placing import RouteCosts
from agaterelay.core.retry_budget import RetryBudget
from agaterelay.core.stopping import StopSchedule
from agaterelay.core.weighted_round_robin import WeightedRoundRobin
from agaterelay.core.workspaces import NO_CREDENTIAL, Credential
from agaterelay.core.zone_spill import ZoneSpill
from agaterelay.mesh.allotments import Allotments
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import MeshState, NodeContext


@attrs.frozen
class Request:
    """A caller's request.

    Attributes:
        wait_ms: How long the caller waits for the answer, None if it does not say.
        workspace: The name of the caller's workspace, empty without one.
        credential: What the request carries to tell its workspace.
        holder: Identifies the request where room for its response is taken.
    """

    call_id: str
    method: str
    host: str
    path: str
    headers: RawHeaders = attrs.field(repr=False)
    body: bytes | bytearray = attrs.field(repr=False)
    wait_ms: int | None = None
    workspace: str = ""
    credential: Credential = NO_CREDENTIAL
    holder: object = attrs.field(default=None, eq=False, repr=False)


@attrs.define
class TrialCounts:
    """The calls of this outbound proxy to a version on trial.

    Attributes:
        credit: Grows by the version's share with each request; a request is sent to the
            version when the credit reaches 1.
        calls: The number of calls that reached the version's upstreams.
        failures: How many of them failed.
    """

    credit: float
    calls: int = 0
    failures: int = 0


@attrs.define
class Outbound:
    """The state of an outbound proxy.

    Attributes:
        budget: The node's part of the retry budget.
        allotments: The tokens of limited workspaces.
        splits: The division of calls between services, by route.
        trials: Counts of the versions on trial, by service and order number.
        routes: The routes of each host, longest path prefix first.
        indexed_table: The route table from which ``routes`` was built.
        keys: The workspace of each key digest.
        indexed_workspaces: The workspaces from which ``keys`` was built.
        route_costs: Mean service time and answer size, by route.
        spills: Whether calls may leave their availability zone, by service and
            version.
        longest_wait_ms: The longest time that a caller has waited for, by route.
        stop: The schedule of the node's graceful stop, None while it serves.
        shutting_down: Whether attempts end because the process ends.
        attempt_timeouts: The timeouts of the attempts in flight.
        answered_count: The number of answered requests; selects those that are logged.
        observe_outcome: Called with route, outcome and elapsed seconds of each request.
        observe_unidentified: Called with the cause of each refusal for want of a valid
            key.
        key_challenge: The headers of such a refusal.
        without_identity: Returns a request's headers without those that say whose it is.
        observe_placement: Called with the zone in which each attempt is placed.
    """

    context: NodeContext
    state: MeshState
    links: Links
    budget: RetryBudget
    allotments: Allotments
    rng: random.Random = attrs.field(factory=random.Random)
    splits: dict[str, WeightedRoundRobin] = attrs.field(factory=dict)
    trials: dict[tuple[str, int], TrialCounts] = attrs.field(factory=dict)
    routes: dict[str, tuple[Route, ...]] = attrs.field(factory=dict)
    indexed_table: RouteTable | None = None
    keys: dict[bytes, Workspace] = attrs.field(factory=dict, repr=False)
    indexed_workspaces: tuple[Workspace, ...] | None = None
    in_flight: int = 0
    route_costs: dict[str, RouteCosts] = attrs.field(factory=dict)
    spills: dict[str, dict[str, ZoneSpill]] = attrs.field(factory=dict)
    longest_wait_ms: dict[str, int] = attrs.field(factory=dict)
    stop: StopSchedule | None = None
    shutting_down: bool = False
    attempt_timeouts: set[asyncio.Timeout] = attrs.field(factory=set)
    answered_count: int = 0
    observe_outcome: Callable[[str, str, float], None] = (
        lambda route, outcome, elapsed_s: None
    )
    observe_unidentified: Callable[[str], None] = lambda cause: None
    key_challenge: tuple[tuple[str, str], ...] = ()
    without_identity: Callable[[RawHeaders], RawHeaders] = lambda headers: ()
    observe_placement: Callable[[str], None] = lambda zone: None


@attrs.define
class RequestState:
    """One request in progress; times are on the monotonic clock.

    Attributes:
        tried_hosts: The hosts on which it was placed.
        arrivals: The number of attempts that may have reached an upstream.
        placements: How often it was placed on an upstream.
        started_s: When it was received; it may have waited for its turn since.
        waited_s: How long it waited behind other requests on its connection.
        rank: Orders its calls at a full upstream; 0 goes first.
        target_s: When the answer is of full use to the caller at the latest.
        last_outcome: The outcome of the last attempt that reached an upstream, None if
            no attempt has.
        retry_after_s: The shortest time after which an inbound proxy expects a free slot.
        nested: Whether this host's upstream makes it for a request that it is running.
    """

    request: Request
    route: Route
    service: str
    started_s: float
    deadline_s: float
    tried_hosts: set[str] = attrs.field(factory=set)
    arrivals: int = 0
    placements: int = 0
    target_s: float = 0.0
    waited_s: float = 0.0
    rank: int = 1
    last_outcome: Outcome | None = None
    retry_after_s: float | None = None
    nested: bool = False
