"""The node process: creates its tasks, runs them, and stops gracefully."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from agaterelay.adapters.clock import SystemClock
from agaterelay.adapters.http import IDLE_CONNECTION_TIMEOUT_S, open_session
from agaterelay.adapters.log import (
    configure_log,
    make_recorder,
    record_library_warnings,
)
from agaterelay.adapters.metrics import Metrics
from agaterelay.adapters.peers import PeerClient, PeerHandlers, start_peer_server
from agaterelay.adapters.platform import PlatformClient
from agaterelay.adapters.settings import Settings, load_settings
from agaterelay.adapters.tls import load_credentials
from agaterelay.core.health import remove_unknown_upstreams
from agaterelay.core.keys import KeyWindow
from agaterelay.core.membership import Member
from agaterelay.core.messages import Notify
from agaterelay.core.timeline import Timeline, tick
from agaterelay.events import EventKind
from agaterelay.ports import Clock, Objects, Peers, Table
from agaterelay.tasks.board import Board, NodeContext, RevisionNotification
from agaterelay.tasks.brakes import (
    BrakeMonitor,
    apply_brakes,
    run_brake_broadcast,
    run_brakes,
    run_inquiries,
)
from agaterelay.tasks.calls import start_calls_server
from agaterelay.tasks.committer import Committer
from agaterelay.tasks.evidence_collector import (
    EvidenceCollector,
    collect_evidence,
    handle_evidence,
)
from agaterelay.tasks.fetcher import handle_fetch
from agaterelay.tasks.gossip import (
    Gossip,
    handle_exchange,
    set_upstreams,
)
from agaterelay.tasks.inbound import Inbound
from agaterelay.tasks.keeper import (
    Keeper,
    handle_notification,
    handle_witness,
    run_activation,
    run_keeper,
)
from agaterelay.tasks.mover import Mover, run_mover
from agaterelay.tasks.observe import collect_readings, make_observer
from agaterelay.tasks.operators import (
    Operators,
    own_events,
    own_status,
    start_operators_server,
)
from agaterelay.tasks.outbound import Outbound
from agaterelay.tasks.probe import (
    Prober,
    handle_probe_for,
    leave,
    probe_once,
    run_probes,
    run_update_broadcast,
)
from agaterelay.tasks.reader import Reader, run_reader
from agaterelay.tasks.registry import Registry, run_registry
from agaterelay.tasks.tallies import Tallies
from agaterelay.tasks.upstreams import Upstreams, run_upstreams

PEER_TIMEOUT_S = 1.0
RESTART_DELAY_S = 0.5
IN_FLIGHT_POLL_S = 0.02
LEAVE_GRACE_S = 0.5
HEALTH_EXPIRY_PERIOD_S = 10.0
LISTENER_LINGER_S = IDLE_CONNECTION_TIMEOUT_S + 0.5
EXIT_SETTINGS_INVALID = 2


@attrs.frozen
class Ports:
    """The connections of a node to the platform, its peers, and HTTP servers."""

    table: Table
    objects: Objects
    peers: Peers
    session: aiohttp.ClientSession
    clock: Clock = attrs.field(factory=SystemClock)


@attrs.frozen
class Node:
    """The components of a node."""

    node_context: NodeContext
    board: Board
    keeper: Keeper
    reader: Reader
    gossip: Gossip
    prober: Prober
    upstreams: Upstreams
    inbound: Inbound
    outbound: Outbound
    mover: Mover
    operators: Operators


def build_node(settings: Settings, ports: Ports) -> Node:
    """Create the components of a node without starting them."""
    clock = ports.clock
    timeline = Timeline(settings.peers_address, clock.now)
    context = NodeContext(
        settings=settings,
        clock=clock,
        table=ports.table,
        objects=ports.objects,
        peers=ports.peers,
        timeline=timeline,
        record=make_recorder(timeline),
    )
    board = Board(
        Member(
            host=settings.peers_address,
            zone=settings.zone,
            incarnation=0,
            sequence=0,
            region=settings.region,
            calls_address=settings.calls_address,
            operators_address=settings.operators_address,
        )
    )
    keeper = Keeper(context, board)
    committer = Committer(context, board, keeper)
    window = KeyWindow(0)
    tallies = Tallies()
    brake_monitor = BrakeMonitor(context, board, tallies)
    gossip = Gossip(
        context,
        board,
        keeper,
        on_brakes=lambda brakes: apply_brakes(brake_monitor, brakes),
        on_incarnation=lambda number: setattr(window, "incarnation", number),
    )
    upstreams = Upstreams(context, lambda infos: set_upstreams(gossip, infos))
    inbound = Inbound(
        context, board, window, ports.session, upstreams.slots, tallies=tallies
    )
    mover = Mover(
        context,
        board,
        EvidenceCollector(context, board, tallies),
        brake_monitor,
        committer,
    )
    metrics = Metrics(lambda: collect_readings(board, inbound))
    return Node(
        node_context=context,
        board=board,
        keeper=keeper,
        reader=Reader(context, board, keeper, clock.monotonic_s()),
        gossip=gossip,
        prober=Prober(gossip),
        upstreams=upstreams,
        inbound=inbound,
        outbound=Outbound(
            context.clock,
            board,
            inbound,
            ports.session,
            on_brakes=lambda brakes: apply_brakes(brake_monitor, brakes),
        ),
        mover=mover,
        operators=Operators(context, board, upstreams, committer, metrics, mover),
    )


def make_peer_handlers(node: Node) -> PeerHandlers:
    """Return the node's handlers for the requests of peers."""

    def handle_notify(notify: Notify) -> int:
        tick(node.node_context.timeline, notify.stamp)
        handle_notification(
            node.keeper,
            RevisionNotification(notify.revision, notify.sender, notify.origin),
        )
        return node.keeper.line.held_revision

    return PeerHandlers(
        exchange=lambda exchange: handle_exchange(node.gossip, exchange),
        probe_for=lambda host: handle_probe_for(node.gossip, host),
        notify=handle_notify,
        fetch=lambda digests: handle_fetch(
            node.keeper.bodies, digests, node.node_context.clock.monotonic_s()
        ),
        witness=lambda host, revision: handle_witness(node.keeper, host, revision),
        evidence=lambda trial: handle_evidence(node.mover.evidence_collector, trial),
        events=lambda query: own_events(node.node_context, query),
        status=lambda: own_status(node.board),
    )


async def run_health_expiry(node: Node) -> None:
    """Remove the health records of unknown upstreams until cancelled."""
    while True:
        await node.node_context.clock.sleep(HEALTH_EXPIRY_PERIOD_S)
        members = node.board.members.values()
        known = [item.address for member in members for item in member.upstreams]
        remove_unknown_upstreams(node.outbound.health, known)


async def supervise(node: Node, name: str, start: Any) -> None:
    """Run a task, and restart it after a delay if it fails or returns.

    Failures are logged.
    """
    while True:
        try:
            await start()
        except Exception as error:
            node.node_context.record(
                EventKind.TASK_FAILED,
                task=name,
                error=f"{type(error).__name__}: {error}",
            )
        await node.node_context.clock.sleep(RESTART_DELAY_S)


async def run_node(
    settings: Settings, wrap: Callable[[Ports], Ports] = lambda ports: ports
) -> None:
    """Run a node until it receives SIGTERM or SIGINT.

    Args:
        settings: The validated settings of the node.
        wrap: Returns the ports to use in place of the real ones; tests use it to
            inject faults.

    Raises:
        OSError: An address cannot be bound.
    """
    platform = PlatformClient(
        settings.table_url, settings.objects_url, settings.platform_timeout_s
    )
    await platform.open()
    session = open_session()
    tls = load_credentials(settings.tls) if settings.tls else None
    peers = PeerClient(PEER_TIMEOUT_S, tls.channel if tls else None)
    node = build_node(settings, wrap(Ports(platform, platform, peers, session)))
    stopping = _stop_signal()
    record_library_warnings(node.node_context.record)
    peer_server = await start_peer_server(
        settings.peers_address, make_peer_handlers(node), tls.server if tls else None
    )
    operators = await start_operators_server(node.operators, settings.operators_address)
    peers.count = node.operators.metrics.count_peer_message
    observe = make_observer(node.node_context, node.board, node.operators.metrics)
    calls = await start_calls_server(node.outbound, settings.calls_address, observe)
    node.node_context.record(EventKind.NODE_STARTED, zone=settings.zone)
    tasks = _start_tasks(node)
    await stopping.wait()
    await stop_gracefully(node)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await calls.cleanup()
    await operators.cleanup()
    await peer_server.stop(0.2)
    await session.close()
    await platform.close()
    await peers.close()
    node.node_context.record(EventKind.NODE_STOPPED)


def _stop_signal() -> asyncio.Event:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def _start_tasks(node: Node) -> list[asyncio.Task[None]]:
    starts: dict[str, Any] = {
        "keeper": lambda: run_keeper(node.keeper),
        "activation": lambda: run_activation(node.keeper),
        "reader": lambda: run_reader(node.reader),
        "registry": lambda: run_registry(Registry(node.gossip)),
        "probes": lambda: run_probes(node.prober),
        "news": lambda: run_update_broadcast(node.prober),
        "upstreams": lambda: run_upstreams(node.upstreams),
        "health": lambda: run_health_expiry(node),
        "brakes": lambda: run_brakes(node.mover.brake_monitor),
        "inquiries": lambda: run_inquiries(
            node.mover.brake_monitor,
            lambda progress: collect_evidence(node.mover.evidence_collector, progress),
        ),
        "spread": lambda: run_brake_broadcast(
            node.mover.brake_monitor, lambda host: probe_once(node.gossip, host)
        ),
        "mover": lambda: run_mover(node.mover),
    }
    return [
        asyncio.create_task(supervise(node, name, start), name=name)
        for name, start in starts.items()
    ]


async def stop_gracefully(node: Node) -> None:
    """Leave the fleet, refuse new calls, and finish those in flight.

    For ``LEAVE_GRACE_S`` seconds the node still accepts calls from peers that do not yet
    know that it left. After that the listener stays open for as long as callers keep
    idle connections, so that callers get a NotRun response instead of a connection reset.
    """
    clock = node.node_context.clock
    node.node_context.record(EventKind.NODE_STOPPING)
    await leave(node.prober)
    await clock.sleep(LEAVE_GRACE_S)
    node.board.stopping = True
    linger_until_s = clock.monotonic_s() + LISTENER_LINGER_S
    deadline_s = clock.monotonic_s() + node.node_context.settings.drain_s
    while clock.monotonic_s() < linger_until_s or (
        node.inbound.in_flight and clock.monotonic_s() < deadline_s
    ):
        await clock.sleep(IN_FLIGHT_POLL_S)


def run(settings_path: Path) -> int:
    """Validate the settings and run a node; return the exit status of the process."""
    settings, findings = load_settings(settings_path)
    if settings is None:
        for finding in findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    configure_log()
    main: Coroutine[Any, Any, None] = run_node(settings)
    try:
        asyncio.run(main)
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    return 0
