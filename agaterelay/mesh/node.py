"""A deployed node: builds its tasks, runs them, and stops gracefully."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs

from agaterelay.adapters.http_messages import HttpRequest, HttpResponse
from agaterelay.adapters.http_server import HttpServer
from agaterelay.core.announcement import UpstreamState
from agaterelay.core.deployment import Bounds, Deployment
from agaterelay.core.membership import Member
from agaterelay.core.outcome import Answered, NotRun, Outcome
from agaterelay.core.retry_budget import RetryBudget, make_retry_budget
from agaterelay.core.stopping import STOP_MARGIN_S, schedule_stop
from agaterelay.events import EventKind
from agaterelay.mesh.allotments import keep_allotments
from agaterelay.mesh.announcements import expire_silent_upstream, publish_stopping
from agaterelay.mesh.callers import has_disconnected
from agaterelay.mesh.feeds import watch_fleet, watch_operator
from agaterelay.mesh.inbound import Inbound, apply_upstream_state
from agaterelay.mesh.link import Links
from agaterelay.mesh.links import monitor_links, start_links, update_links
from agaterelay.mesh.member_rows import prune_members, write_own_row
from agaterelay.mesh.meters import Meters
from agaterelay.mesh.mover import Mover, run_mover
from agaterelay.mesh.outbound import (
    STOPPING_RETRY_S,
    end_requests_in_flight,
    handle_request,
    update_budget_slack,
)
from agaterelay.mesh.readers import update_readers
from agaterelay.mesh.request_state import Outbound, Request
from agaterelay.mesh.servers import (
    Listening,
    listen,
    response_of,
    stop_listening,
)
from agaterelay.mesh.state import MeshState, NodeContext
from agaterelay.mesh.store_watch import StoreWatch
from agaterelay.mesh.supervision import await_step, run_step, supervise

# A host's callers keep some tens of connections open; a process may have at most 3,900.
# Above the first value a connection is closed after a refusal, above the second after any
# response.
CLOSE_ON_REFUSAL_CONNECTION_COUNT = 200
MAX_CONNECTIONS = 2000
# Requests that arrive later than this after the signal are refused in any case.
MIN_STOP_S = 3.2
# Lets the responses to requests that were given up be sent before the process ends.
FINAL_RESPONSES_DELAY_S = 0.15
STOP_POLL_S = 0.05
UPKEEP_PERIOD_S = 0.25
# A lag of this length is noticeable in the callers' response times.
MIN_LOGGED_LAG_S = 0.1


@attrs.define
class Node:
    """All parts of a deployed node."""

    context: NodeContext
    state: MeshState
    inbound: Inbound
    links: Links
    watch: StoreWatch
    outbound: Outbound
    mover: Mover
    meters: Meters
    closing: bool = False
    callers: HttpServer | None = None


def own_member(deployment: Deployment, incarnation: int) -> Member:
    """Return the member record of a host that has just started."""
    return Member(
        host=deployment.link_address,
        zone=deployment.zone,
        incarnation=incarnation,
        sequence=0,
        link_mbps=deployment.link_mbps,
    )


def new_retry_budget(bounds: Bounds) -> RetryBudget:
    """Return this node's part of the retry budget."""
    return make_retry_budget(bounds.retry_ratio)


def is_ready(node: Node) -> bool:
    """Return whether callers should send their requests here."""
    if node.state.stopping or node.state.table is None:
        return False
    if node.inbound.line.state is UpstreamState.READY:
        return True
    return any(link.usable for link in node.links.links.values())


async def handle_caller_request(
    node: Node, request: HttpRequest, make_request: Callable[[HttpRequest], Request]
) -> HttpResponse:
    """Serve one request of a caller.

    The time that it waited behind earlier requests on its connection counts as part of
    the caller's time.
    """
    wanted = make_request(request)
    if node.closing:
        return _refuse(node, wanted.call_id, "the node is stopping")
    if has_disconnected(request):
        return _refuse(node, wanted.call_id, "the caller has left")
    waited_s = asyncio.get_running_loop().time() - request.received_s
    ahead_s = max(request.connection.turn_began_s - request.received_s, 0.0)
    outcome = await handle_request(node.outbound, wanted, waited_s, ahead_s)
    return response_of(outcome, node.state.stopping or _should_close(node, outcome))


def _refuse(node: Node, call_id: str, reason: str) -> HttpResponse:
    """Refuse a request before its route is looked up, and close its connection."""
    response = response_of(NotRun(reason, STOPPING_RETRY_S), closes=True)
    record_refused(node, reason, response.status, call_id)
    return response


def record_refused(node: Node, reason: str, status: int, call_id: str = "") -> None:
    """Log that a request was refused before it was placed anywhere."""
    node.context.record(
        EventKind.REQUEST_REFUSED, request_id=call_id, reason=reason, status=status
    )


def _should_close(node: Node, outcome: Outcome) -> bool:
    """Return whether a caller's connection is closed after this response.

    Callers open new connections after a refusal, so the old ones accumulate.
    """
    connection_count = len(node.callers.connections) if node.callers else 0
    if connection_count > MAX_CONNECTIONS:
        return True
    return connection_count > CLOSE_ON_REFUSAL_CONNECTION_COUNT and not isinstance(
        outcome, Answered
    )


def record_loop_lag(node: Node, lag_s: float) -> None:
    """Record how late a timer fired, and log it if callers may notice.

    Args:
        node: The node.
        lag_s: The lag in seconds; may be negative.
    """
    node.meters.loop_lag.observe(max(lag_s, 0.0))
    if lag_s >= MIN_LOGGED_LAG_S:
        node.context.record(
            EventKind.LOOP_LATE,
            lag_ms=round(lag_s * 1000),
            requests_in_flight=node.outbound.in_flight,
            connections=len(node.callers.connections) if node.callers else 0,
        )


async def run_upkeep(node: Node) -> None:
    """Update readers, retry budget and upstream expiry periodically, until cancelled."""
    clock = node.context.clock
    while True:
        due_s = clock.monotonic_s() + UPKEEP_PERIOD_S
        await clock.sleep(UPKEEP_PERIOD_S)
        record_loop_lag(node, clock.monotonic_s() - due_s)
        for step in (
            lambda: update_readers(node.watch),
            lambda: update_budget_slack(
                node.outbound, node.context.deployment.bounds.retry_slack
            ),
            lambda: expire_silent_upstream(node.watch, node.inbound),
            lambda: keep_allotments(node.outbound.allotments),
        ):
            run_step(node.context, "upkeep", step)


def start_tasks(node: Node) -> list[asyncio.Task[None]]:
    """Start the node's own tasks."""
    starts: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
        "operator": lambda: watch_operator(node.watch),
        "fleet": lambda: watch_fleet(node.watch),
        "own row": lambda: write_own_row(node.watch),
        "prune": lambda: prune_members(node.watch),
        "links": lambda: monitor_links(node.links),
        "mover": lambda: run_mover(node.mover),
        "upkeep": lambda: run_upkeep(node),
    }
    return [
        asyncio.create_task(supervise(node.context, name, start), name=name)
        for name, start in starts.items()
    ]


async def run_node(
    node: Node,
    servers: Callable[[Node], list[tuple[HttpServer, str]]],
    reload: Callable[[], Awaitable[None]],
    reload_was_asked: Callable[[], bool] = lambda: False,
) -> None:
    """Run a node until it receives SIGTERM or SIGINT.

    Args:
        node: The node.
        servers: Returns the HTTP servers of the node and their addresses.
        reload: Reloads the settings.
        reload_was_asked: Returns whether a reload was requested before the handler of
            SIGHUP was installed here.

    Raises:
        OSError: An address cannot be bound.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)

    def reload_safely() -> Coroutine[Any, Any, None]:
        return await_step(node.context, "reload", reload)

    loop.add_signal_handler(
        signal.SIGHUP, lambda: asyncio.ensure_future(reload_safely())
    )
    if reload_was_asked():
        await reload_safely()
    deployment = node.context.deployment
    await start_links(node.links)
    listening = Listening()
    for server, address in servers(node):
        await listen(listening, server, address)
    node.context.record(
        EventKind.NODE_STARTED,
        zone=deployment.zone,
        service=deployment.service,
        incarnation=node.state.own.incarnation,
    )
    tasks = start_tasks(node)
    update_links(node.links)
    # Objects made at the start live until the end, so the collector can skip them.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    await await_step(node.context, "stop", lambda: stop_gracefully(node))
    for task in tasks:
        task.cancel()
    await await_step(
        node.context,
        "close connections",
        lambda: stop_listening(listening, STOP_MARGIN_S / 2),
    )
    node.context.record(EventKind.NODE_STOPPED)


def _is_busy(node: Node) -> bool:
    """Return whether requests are in flight, or answers are still being read."""
    if node.outbound.in_flight or node.inbound.in_flight or node.links.offers:
        return True
    if node.callers is not None and node.callers.unsent_bytes:
        return True
    return any(connection.unsent_bytes for connection in node.links.accepted)


async def stop_gracefully(node: Node) -> None:
    """Stop accepting work, and finish what is in flight within the grace period.

    Requests are taken until callers have had time to change to other nodes, and a little
    longer if they end in time. Later ones are refused, and the process ends as soon as
    nothing is in flight and all answers have been read.
    """
    clock = node.context.clock
    began_s = clock.monotonic_s()
    stop = schedule_stop(began_s, node.context.deployment.bounds.grace_s)
    node.outbound.stop = stop
    node.state.stopping = True
    node.inbound.stopping = True
    node.context.record(
        EventKind.NODE_STOPPING,
        calls_in_flight=node.inbound.in_flight,
        requests_in_flight=node.outbound.in_flight,
    )
    run_step(node.context, "publish the stop", lambda: publish_stopping(node.watch))
    run_step(node.context, "refuse calls", lambda: apply_upstream_state(node.inbound))
    while True:
        await clock.sleep(STOP_POLL_S)
        now_s = clock.monotonic_s()
        node.closing = now_s - began_s >= MIN_STOP_S
        if now_s >= stop.give_up_s:
            break
        if node.closing and not _is_busy(node):
            break
    run_step(
        node.context, "end requests", lambda: end_requests_in_flight(node.outbound)
    )
    await clock.sleep(FINAL_RESPONSES_DELAY_S)
