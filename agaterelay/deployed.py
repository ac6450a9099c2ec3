"""The program of a node on the users' platform: wires the adapter to the node.

Started by ``python3 -m agaterelay.start``; the settings are found by the platform's
variable. Exits with 2 where they have findings.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from functools import partial

import attrs
from aiohttp import web

from agaterelay.adapters.clock import SystemClock
from agaterelay.adapters.log import (
    LineSink,
    configure_log,
    make_recorder,
    record_library_warnings,
)
from agaterelay.adapters.upstream_client import UpstreamPool
from agaterelay.core.deployment import Deployment
from agaterelay.core.timeline import Timeline
from agaterelay.events import EventKind
from agaterelay.mesh.announcements import handle_announcement, handle_withdrawal
from agaterelay.mesh.callers import CallersServer
from agaterelay.mesh.feeds import apply_config
from agaterelay.mesh.gate import Gate, WireFormat
from agaterelay.mesh.journey import Entry, Request
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
from agaterelay.mesh.state import MeshState, NodeContext, revision_of
from agaterelay.mesh.watch import OperatorRowFormat, StoreWatch
from agaterelay.platform import announcements, config, headers, orders, settings
from agaterelay.platform.store import StoreClient
from agaterelay.ports import Clock, Store

EXIT_SETTINGS_INVALID = 2

WIRE = WireFormat(
    headers=headers.upstream_headers,
    outcome=headers.decode_upstream_outcome,
    id_header=headers.ATTEMPT_ID_KEY,
    instance_header=headers.INSTANCE_ID_KEY,
)
VERDICTS = VerdictRowFormat(
    table=orders.STATUS_TABLE, key=orders.status_key, encode=orders.encode_status
)


def operator_format() -> OperatorRowFormat:
    """Return how the operator's rows look, with a memory of the routes decoded last."""
    return OperatorRowFormat(
        table=orders.OPERATOR_TABLE,
        config_key=config.CONFIG_KEY,
        decode_config=partial(config.decode_config, known=config.KnownRoutes()),
        decode_order=orders.decode_order,
    )


def build(deployment: Deployment, clock: Clock, store: Store) -> Node:
    """Wire the parts of a node together; nothing runs yet."""
    record = make_recorder(Timeline(deployment.name, clock.now))
    context = NodeContext(deployment, clock, store, record)
    incarnation = int(clock.now().timestamp() * 1000)
    state = MeshState(own=own_member(deployment, incarnation))
    pool = UpstreamPool(deployment.upstream_address, WIRE.id_header)
    gate = Gate(context, WIRE, pool)
    gate.line.unconfirmed = not deployment.first_start
    watch: StoreWatch | None = None

    def take_table(value: bytes) -> None:
        if watch is not None:
            apply_config(watch, value, "link")

    links = Links(context, state, gate, take_table)
    watch = StoreWatch(context, state, links, operator_format())
    entry = Entry(context, state, links, new_retry_budget(deployment.bounds))
    meters = Meters()
    entry.count_end = meters.count_request
    return Node(
        context=context,
        state=state,
        gate=gate,
        links=links,
        watch=watch,
        entry=entry,
        mover=Mover(context, state, links, VERDICTS),
        meters=meters,
    )


def make_request(method, path, raw_headers, named_headers, body) -> Request:
    """Return a caller's request as the product knows it."""
    return Request(
        call_id=named_headers.get(headers.ATTEMPT_ID, ""),
        method=method,
        host=named_headers.get("Host", "").rpartition(":")[0]
        or named_headers.get("Host", ""),
        path=path,
        headers=headers.forwarded_headers(raw_headers),
        body=body,
        wait_ms=headers.parse_deadline_ms(named_headers.get(headers.DEADLINE)),
    )


async def answer_platform(
    node: Node, sink: LineSink, request: web.BaseRequest
) -> web.StreamResponse:
    """Answer the platform and this host's upstream."""
    path = request.path
    if path == announcements.READY_PATH:
        return web.Response(status=200 if is_ready(node) else 503)
    if path == "/metrics":
        return _render_metrics(node, sink)
    if not path.startswith(announcements.PATH_PREFIX):
        return web.json_response({"error": "no such resource"}, status=404)
    instance = path.removeprefix(announcements.PATH_PREFIX)
    body = await request.content.read(announcements.MAX_BODY_BYTES)
    if request.method == "DELETE":
        born_ms = announcements.decode_born_ms(body)
        await handle_withdrawal(node.watch, node.gate, instance, born_ms)
        return web.json_response({})
    word = announcements.decode_announcement(instance, body)
    if isinstance(word, str):
        return web.json_response({"error": word}, status=400)
    if word.service != node.context.deployment.service:
        return web.json_response({"error": "another service"}, status=400)
    await handle_announcement(node.watch, node.gate, word)
    return web.json_response({})


def _render_metrics(node: Node, sink: LineSink) -> web.Response:
    gauges = node.meters.gauges
    gauges["revision"].set(revision_of(node.state))
    gauges["slots_in_use"].set(node.gate.queue.in_use)
    gauges["calls_waiting"].set(len(node.gate.queue.waiting))
    gauges["links_up"].set(sum(link.usable for link in node.links.links.values()))
    gauges["store_up"].set(node.state.store_up)
    gauges["log_lines_dropped"].set(sink.dropped)
    return web.Response(body=node.meters.render(), content_type="text/plain")


def servers_of(node: Node, sink: LineSink) -> list[tuple[web.Server, str]]:
    """Return the HTTP servers of a node and their addresses."""
    deployment = node.context.deployment

    async def callers(request: web.BaseRequest) -> web.StreamResponse:
        return await handle_caller_request(node, request, make_request)

    node.callers = CallersServer(callers, node.state, partial(record_refused, node))
    platform = partial(answer_platform, node, sink)
    return [
        (node.callers, deployment.calls_address),
        (web.Server(platform, access_log=None), deployment.announce_address),
        (web.Server(platform, access_log=None), deployment.ready_address),
        (web.Server(platform, access_log=None), deployment.metrics_address),
    ]


async def run(deployment: Deployment, reload_was_asked: Callable[[], bool]) -> None:
    """Run a node until it is told to stop."""
    sink = LineSink(sys.stdout.fileno())
    configure_log(sink)
    store = StoreClient(deployment.store.address)
    await store.open()
    node = build(deployment, SystemClock(), store)
    store.count = node.meters.count_store_call
    record_library_warnings(node.context.record)

    async def reload() -> None:
        await reload_settings(node)

    try:
        await run_node(node, partial(servers_of, sink=sink), reload, reload_was_asked)
    finally:
        await store.close()


async def reload_settings(node: Node) -> None:
    """Read the settings again, and take over what can change while running."""
    deployment, findings = settings.load_deployment(settings.settings_path())
    if deployment is None:
        node.context.record(
            EventKind.SETTINGS_INVALID, findings=[str(item) for item in findings]
        )
        return
    present = node.context.deployment
    taken = attrs.evolve(
        present, bounds=deployment.bounds, heartbeat_s=deployment.heartbeat_s
    )
    node.context.deployment = taken
    node.entry.budget.ratio = new_retry_budget(taken.bounds).ratio
    node.context.record(
        EventKind.SETTINGS_RELOADED,
        taken=taken != present,
        needs_restart=attrs.evolve(deployment, first_start=present.first_start)
        != taken,
    )


def main(reload_was_asked: Callable[[], bool] = lambda: False) -> int:
    """Check the settings and run a node; return the process's exit status.

    Args:
        reload_was_asked: Returns whether the settings were to be read again before the
            node listened for that.
    """
    deployment, findings = settings.load_deployment(settings.settings_path())
    if deployment is None:
        for finding in findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    try:
        asyncio.run(run(deployment, reload_was_asked))
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    return 0
