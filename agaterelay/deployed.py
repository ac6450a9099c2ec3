"""The node program for the users' platform: connects the adapter and the node.

It is started by ``python3 -m agaterelay.start``. An environment variable of the platform
gives the path of the settings. The exit status is 2 if the settings are invalid.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from functools import partial
from urllib.parse import unquote

import attrs

from agaterelay.adapters.clock import SystemClock
from agaterelay.adapters.http_messages import (
    HttpRequest,
    HttpResponse,
    Refusal,
    find_header,
)
from agaterelay.adapters.http_pool import HttpPool
from agaterelay.adapters.http_server import RECEIVE_BUFFER_BYTES, HttpServer
from agaterelay.adapters.log import (
    LineSink,
    configure_log,
    make_recorder,
    record_library_warnings,
)
from agaterelay.adapters.server_connection import MIN_READ_BYTES
from agaterelay.core.checked import DecodeError, check_name
from agaterelay.core.cold_limit import assume_cold, is_limited
from agaterelay.core.deployment import Deployment
from agaterelay.core.evacuation import is_evacuated
from agaterelay.core.hang_limit import lowered_by
from agaterelay.core.memory_account import (
    MemoryAccount,
    plan_connections,
    plan_limit_bytes,
    plan_platform_connections,
    plan_unread_connections,
    plan_upstream_bytes,
)
from agaterelay.core.model import CallerLimits
from agaterelay.core.timeline import Timeline
from agaterelay.events import EventKind
from agaterelay.mesh.allotments import Allotments, handle_question, wanted_links
from agaterelay.mesh.announcements import (
    apply_leaving,
    handle_announcement,
    handle_withdrawal,
)
from agaterelay.mesh.callers import limits_in_force, make_request_room
from agaterelay.mesh.crashes import Crashes, list_suspects, release_request
from agaterelay.mesh.feeds import apply_config
from agaterelay.mesh.inbound import Inbound, WireFormat, treat_as_cold
from agaterelay.mesh.link import Links
from agaterelay.mesh.meters import Meters
from agaterelay.mesh.mover import Mover, VerdictRowFormat
from agaterelay.mesh.node import (
    Node,
    handle_caller_request,
    is_ready,
    new_retry_budget,
    own_member,
    record_refused,
    run_node,
)
from agaterelay.mesh.notifications import broadcast_frame
from agaterelay.mesh.request_state import Outbound, Request
from agaterelay.mesh.response_room import (
    ResponseRoom,
    hold_response,
    record_crowded,
)
from agaterelay.mesh.restored_store import admit_era
from agaterelay.mesh.state import MeshState, NodeContext, cold_limit_of, revision_of
from agaterelay.mesh.store_watch import (
    OperatorRowFormat,
    StoreWatch,
    record_receiving,
)
from agaterelay.mesh.upstream_probe import check_for_end
from agaterelay.platform import announcements, config, headers, orders, settings
from agaterelay.platform.store import StoreClient
from agaterelay.ports import Clock, Store

EXIT_SETTINGS_INVALID = 2
# For operators, beside the metrics.
SUSPECTS_PATH = "/suspects"
# The platform keeps its connections for readiness and metrics open between requests.
PLATFORM_LIMITS = partial(
    CallerLimits, max_body_bytes=announcements.MAX_BODY_BYTES, idle_timeout_s=3600.0
)

WIRE = WireFormat(
    headers=headers.upstream_headers,
    outcome=headers.decode_upstream_outcome,
    signals=headers.decode_upstream_signals,
    cold_left_s=headers.decode_cold_left_s,
    id_header=headers.ATTEMPT_ID_KEY,
    instance_header=headers.INSTANCE_ID_KEY,
)
VERDICTS = VerdictRowFormat(
    table=orders.STATUS_TABLE, key=orders.status_key, encode=orders.encode_status
)


def make_operator_format() -> OperatorRowFormat:
    """Return the format of the operator's rows, with a cache of decoded routes."""
    return OperatorRowFormat(
        table=orders.OPERATOR_TABLE,
        config_key=config.CONFIG_KEY,
        decode_config=partial(config.decode_config, known=config.KnownRoutes()),
        decode_order=orders.decode_order,
        decode_evacuation=orders.decode_evacuation,
    )


def build_node(deployment: Deployment, clock: Clock, store: Store) -> Node:
    """Create the parts of a node and connect them, without starting anything."""
    record = make_recorder(Timeline(deployment.name, clock.now))
    context = NodeContext(deployment, clock, store, record)
    incarnation = int(clock.now().timestamp() * 1000)
    state = MeshState(own=own_member(deployment, incarnation))
    account = MemoryAccount(plan_limit_bytes(deployment.memory_mb << 20))
    pool = HttpPool(
        deployment.upstream_address,
        WIRE.id_header,
        max_buffered_bytes=plan_upstream_bytes(account.limit_bytes),
    )
    crashes = Crashes(context, pool)
    inbound = Inbound(context, WIRE, pool, crashes, account)
    inbound.line.unconfirmed = not deployment.first_start
    assume_cold(inbound.queue.cold, clock.monotonic_s())
    inbound.is_evacuated = partial(is_evacuated, state.evacuations, deployment.zone)
    inbound.cold_limit = partial(cold_limit_of, state, deployment.service)
    pool.on_idle_lost = partial(check_for_end, inbound)
    crashes.on_unreachable = partial(treat_as_cold, inbound, "no connection")
    watch: StoreWatch | None = None

    def apply_document(value: bytes) -> None:
        if watch is not None:
            apply_config(watch, value, "link")

    links = Links(
        context, state, inbound, apply_document, ResponseRoom(context, account)
    )
    crashes.tell = partial(broadcast_frame, links)
    watch = StoreWatch(context, state, links, make_operator_format())
    if store is not None:
        store.admit_era = partial(admit_era, watch)
    inbound.on_leaving = partial(apply_leaving, watch, inbound)
    meters = Meters()
    allotments = Allotments(context, links, counts=meters.allotments)
    links.handle_question = partial(handle_question, allotments)
    links.wanted_links = partial(wanted_links, allotments)
    outbound = Outbound(
        context, state, links, new_retry_budget(deployment.bounds), allotments
    )
    outbound.observe_outcome = meters.count_request
    outbound.observe_unidentified = meters.count_unidentified
    outbound.key_challenge = headers.KEY_CHALLENGE
    outbound.without_identity = headers.without_identity
    outbound.observe_placement = meters.count_placement
    return Node(
        context=context,
        state=state,
        inbound=inbound,
        links=links,
        watch=watch,
        outbound=outbound,
        mover=Mover(context, state, links, VERDICTS),
        meters=meters,
    )


def make_request(request: HttpRequest) -> Request:
    """Convert an HTTP request of a caller to a ``Request``."""
    host = request.header(b"host") or ""
    return Request(
        call_id=request.header(headers.ATTEMPT_ID_KEY) or "",
        method=request.method,
        host=host.rpartition(":")[0] or host,
        path=request.target,
        headers=headers.forwarded_headers(request.headers),
        body=request.body,
        wait_ms=headers.parse_deadline_ms(request.header(headers.DEADLINE_KEY)),
        # Read from all headers: Connection may list it, and it is still the node's.
        credential=headers.parse_credential(request.headers),
        holder=request.holder,
    )


def _json_response(status: int, value: object) -> HttpResponse:
    body = json.dumps(value).encode()
    return HttpResponse(status, (("Content-Type", "application/json"),), body)


async def handle_platform_request(
    node: Node, sink: LineSink, request: HttpRequest
) -> HttpResponse:
    """Handle a request of the platform or of this host's upstream.

    The platform asks for readiness and metrics, the upstream announces and withdraws
    itself.
    """
    # Escapes that are not UTF-8 become characters that no name may have.
    path = unquote(request.target.partition("?")[0], errors="surrogateescape")
    if path == announcements.READY_PATH:
        return HttpResponse(200 if is_ready(node) else 503)
    if path == "/metrics":
        return _render_metrics(node, sink)
    if path == SUSPECTS_PATH or path.startswith(f"{SUSPECTS_PATH}/"):
        key = path.removeprefix(SUSPECTS_PATH).removeprefix("/")
        return _handle_suspects(node.inbound.crashes, request.method, key)
    if not path.startswith(announcements.PATH_PREFIX):
        return _json_response(404, {"error": "no such resource"})
    instance = path.removeprefix(announcements.PATH_PREFIX)
    if request.method == "DELETE":
        try:
            check_name(instance)
        except DecodeError as error:
            return _json_response(400, {"error": f"instance id {error}"})
        born_ms = announcements.decode_born_ms(request.body)
        await handle_withdrawal(node.watch, node.inbound, instance, born_ms)
        return _json_response(200, {})
    announcement = announcements.decode_announcement(instance, request.body)
    if isinstance(announcement, str):
        return _json_response(400, {"error": announcement})
    if announcement.service != node.context.deployment.service:
        return _json_response(400, {"error": "another service"})
    await handle_announcement(node.watch, node.inbound, announcement)
    return _json_response(200, {})


def _handle_suspects(crashes: Crashes, method: str, key: str) -> HttpResponse:
    """List the requests that are suspected of crashes, or release one by its key."""
    if method == "GET" and not key:
        return _json_response(200, {"suspects": list_suspects(crashes)})
    if method != "DELETE":
        return _json_response(405, {"error": "only GET and DELETE"})
    try:
        released = release_request(crashes, bytes.fromhex(key))
    except ValueError:
        released = False
    return _json_response(200 if released else 404, {"released": released})


def _render_metrics(node: Node, sink: LineSink) -> HttpResponse:
    gauges = node.meters.gauges
    rate_limit = node.inbound.queue.rate_limit
    gauges["revision"] = revision_of(node.state)
    gauges["slots_in_use"] = node.inbound.queue.in_use
    gauges["calls_waiting"] = len(node.inbound.queue.waiting)
    gauges["slots_lowered"] = lowered_by(
        node.inbound.queue.hangs, node.context.clock.monotonic_s()
    )
    gauges["upstream_rate_limited"] = rate_limit.rate_per_s is not None
    gauges["upstream_rate_limit_per_second"] = rate_limit.rate_per_s or 0.0
    cold = node.inbound.queue.cold
    gauges["upstream_cold"] = is_limited(cold, node.context.clock.monotonic_s())
    gauges["zones_evacuated"] = sum(
        item.is_ordered for item in node.state.evacuations.values()
    )
    gauges["links_up"] = sum(link.usable for link in node.links.links.values())
    gauges["body_bytes"] = node.inbound.account.used_bytes
    gauges["response_bytes"] = node.inbound.account.responses.total_bytes
    node.meters.closed_for_room = node.links.room.closed
    gauges["requests_held"] = node.inbound.crashes.held_count
    gauges["requests_suspected"] = len(node.inbound.crashes.suspects.crashes)
    gauges["store_up"] = node.state.store_up
    gauges["log_lines_dropped"] = sink.dropped
    return HttpResponse(200, (("Content-Type", "text/plain"),), node.meters.render())


def make_servers(node: Node, sink: LineSink) -> list[tuple[HttpServer, str]]:
    """Return the HTTP servers of a node and their addresses."""
    deployment = node.context.deployment

    async def handle_caller(request: HttpRequest) -> HttpResponse:
        return await handle_caller_request(node, request, make_request)

    async def handle_platform(request: HttpRequest) -> HttpResponse:
        return await handle_platform_request(node, sink, request)

    def record_refusal(refusal: Refusal) -> None:
        call_id = find_header(refusal.headers, headers.ATTEMPT_ID_KEY) or ""
        record_refused(node, refusal.reason, refusal.status, call_id)

    room = make_request_room(node.links.room)
    max_unread_connections = plan_unread_connections(
        deployment.memory_mb << 20, MIN_READ_BYTES + RECEIVE_BUFFER_BYTES
    )
    node.callers = HttpServer(
        handle_caller,
        partial(limits_in_force, node.state),
        record_refusal,
        room,
        partial(hold_response, node.links.room),
        plan_connections(deployment.max_descriptors),
        partial(record_crowded, node.links.room),
        max_unread_connections,
    )
    servers = [(node.callers, deployment.calls_address)]
    for address in (
        deployment.announce_address,
        deployment.ready_address,
        deployment.metrics_address,
    ):
        server = HttpServer(
            handle_platform,
            PLATFORM_LIMITS,
            room=room,
            max_connections=plan_platform_connections(deployment.max_descriptors),
            on_crowded=partial(record_crowded, node.links.room),
            max_unread_connections=max_unread_connections,
        )
        servers.append((server, address))
    return servers


async def run(deployment: Deployment, reload_requested: Callable[[], bool]) -> None:
    """Run a node until it is asked to stop.

    Raises:
        OSError: An address cannot be bound.
    """
    sink = LineSink(sys.stdout.fileno())
    configure_log(sink)
    store = StoreClient(deployment.store.address)
    await store.open()
    node = build_node(deployment, SystemClock(), store)
    store.count = node.meters.count_store_call
    store.on_receiving = partial(record_receiving, node.watch)
    record_library_warnings(node.context.record)

    async def reload() -> None:
        await reload_settings(node)

    try:
        await run_node(node, partial(make_servers, sink=sink), reload, reload_requested)
    finally:
        await store.close()


async def reload_settings(node: Node) -> None:
    """Read the settings again, and apply those that can change at run time."""
    deployment, findings = settings.load_deployment(settings.settings_path())
    if deployment is None:
        node.context.record(
            EventKind.SETTINGS_INVALID, findings=[str(item) for item in findings]
        )
        return
    current = node.context.deployment
    applied = attrs.evolve(
        current, bounds=deployment.bounds, heartbeat_s=deployment.heartbeat_s
    )
    node.context.deployment = applied
    node.outbound.budget.ratio = new_retry_budget(applied.bounds).ratio
    node.context.record(
        EventKind.SETTINGS_RELOADED,
        taken=applied != current,
        needs_restart=attrs.evolve(deployment, first_start=current.first_start)
        != applied,
    )


def main(reload_requested: Callable[[], bool] = lambda: False) -> int:
    """Load the settings and run a node; return the exit status of the process.

    Args:
        reload_requested: Returns whether a reload of the settings was requested before
            the node handled the signal for it.
    """
    deployment, findings = settings.load_deployment(settings.settings_path())
    if deployment is None:
        for finding in findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    try:
        asyncio.run(run(deployment, reload_requested))
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    return 0
