"""A fleet of real nodes in simulated time, with links and a store in memory.

Nothing waits for the processor or the network, so a run only depends on its seed.
"""

import asyncio
import contextlib
import contextvars
import random
import selectors
from datetime import UTC, datetime
from functools import partial

import attrs

from agaterelay.core.deployment import Bounds, Deployment, StoreSettings
from agaterelay.core.membership import UpstreamInfo
from agaterelay.deployed import build_node
from agaterelay.mesh.announcements import publish_stopping
from agaterelay.mesh.links import start_links, update_links
from agaterelay.mesh.member_rows import publish_own_member
from agaterelay.mesh.node import start_tasks
from agaterelay.mesh.state import revision_of
from agaterelay.mesh.store_watch import record_receiving
from agaterelay.ports import (
    Changes,
    EraPassedError,
    HistoryLostError,
    PlatformError,
    StoredRow,
)
from tests.mesh.fleet import config, route

LINK_LATENCY_S = 0.0015
STOP_DURATION_S = 3.5
# A host that has just started need not serve what was written before.
SETTLED_S = 3.0
SEGMENT_BYTES = 16_384
CALL_TIMEOUT_S = 1.5
FEED_MARGIN_S = 1.2


class JumpingSelector(selectors.DefaultSelector):
    """Advances the time to the next timer instead of waiting for it."""

    now_s = 1000.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return super().select(0)


@attrs.define
class Line:
    """A host's network link; each direction carries one thing after another."""

    mbps: float = 1000.0
    sending_until_s: float = 0.0
    receiving_until_s: float = 0.0

    def finish_sending_s(self, size_bytes, now_s):
        duration_s = size_bytes * 8e-6 / self.mbps
        self.sending_until_s = max(self.sending_until_s + 1e-7, now_s) + duration_s
        return self.sending_until_s

    def finish_receiving_s(self, size_bytes, now_s):
        duration_s = size_bytes * 8e-6 / self.mbps
        self.receiving_until_s = max(self.receiving_until_s + 1e-7, now_s) + duration_s
        return self.receiving_until_s


# The link of the host whose code runs.
line_in_use = contextvars.ContextVar("line_in_use")


@attrs.define(eq=False)
class Pipe(asyncio.Transport):
    """One end of a connection in memory; its protocol runs in ``context``."""

    loop: object
    protocol: object
    context: contextvars.Context
    peer: object = None
    closing: bool = False

    def __attrs_pre_init__(self):
        super().__init__()

    def get_extra_info(self, name, default=None):
        return self

    def setsockopt(self, *options):
        pass

    def _schedule(self, size_bytes, handle, *values):
        line = self.context[line_in_use]
        sent_s = line.finish_sending_s(size_bytes, self.loop.time()) + LINK_LATENCY_S
        peer_line = self.peer.context[line_in_use]
        received_s = peer_line.finish_receiving_s(size_bytes, sent_s)
        self.loop.call_at(received_s, handle, *values, context=self.peer.context)

    def write(self, data):
        if not self.closing:
            self._schedule(len(data), self.peer.receive, bytes(data))

    def receive(self, data):
        if not self.closing:
            self.protocol.data_received(data)

    def is_closing(self):
        return self.closing

    def close(self):
        if not self.closing:
            self.closing = True
            self.loop.call_soon(
                self.protocol.connection_lost, None, context=self.context
            )
            self._schedule(0, self.peer.close)

    abort = close


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time whose TCP connections are kept in memory."""

    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)
        self.listeners = {}

    def time(self):
        return self._jumping.now_s

    async def create_server(self, factory, host, port, **options):
        self.listeners[host, port] = factory, contextvars.copy_context()
        return Listener(self, (host, port))

    async def create_connection(self, factory, host, port, **options):
        await asyncio.sleep(2 * LINK_LATENCY_S)
        if (host, port) not in self.listeners:
            raise ConnectionRefusedError(host)
        accept, context = self.listeners[host, port]
        here = Pipe(self, factory(), contextvars.copy_context())
        there = Pipe(self, accept(), context)
        here.peer, there.peer = there, here
        context.run(there.protocol.connection_made, there)
        here.protocol.connection_made(here)
        return here, here.protocol


@attrs.define
class Listener:
    """A listening address."""

    loop: SimulatedLoop
    address: tuple

    def close(self):
        self.loop.listeners.pop(self.address, None)


@attrs.define
class LoopClock:
    """The time of the running loop."""

    def monotonic_s(self):
        return asyncio.get_running_loop().time()

    def now(self):
        return datetime.fromtimestamp(self.monotonic_s(), UTC)

    async def sleep(self, delay_s):
        await asyncio.sleep(delay_s)


@attrs.define
class Rows:
    """The store's rows; every call takes its time before and after its effect.

    Feeds that begin more than ``history_s`` ago are refused. ``calls`` has the kind of
    each call and the host that made it. A call is never answered that begins while the
    store is silent, or whose answer is due then; ``cuts`` counts how often the calls that
    were open have been lost besides.
    """

    before_s: float = 0.002
    after_s: float = 0.002
    history_s: float = 20.0
    version: int = 0
    log: list = attrs.field(factory=list)
    held: dict = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    calls: list = attrs.field(factory=list)
    is_silent: bool = False
    cuts: int = 0
    era: int | None = None

    def copy(self):
        return self.version, list(self.log), dict(self.held)

    def restore(self, copy):
        """Go back to a copy and begin a new era."""
        self.version, self.log, self.held = copy[0], list(copy[1]), dict(copy[2])
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def apply(self, row):
        self.version += 1
        row = attrs.evolve(row, version=self.version)
        self.log.append((asyncio.get_running_loop().time(), row))
        self.held[row.table, row.key] = row
        self.changed.set()
        self.changed = asyncio.Event()
        return row


@attrs.define
class SimulatedStore:
    """One host's access to the rows."""

    rows: Rows
    host: str
    line: Line
    silent: bool = False
    on_receiving: object = lambda table: None
    admit_era: object = lambda era: True

    async def _begin(self, kind):
        self.rows.calls.append((kind, self.host))
        if self.silent or self.rows.is_silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.rows.before_s * random.uniform(0.97, 1.03))

    async def _end(self, table, found, timeout, cuts_before):
        """Send the answer in segments; values are a third larger as text."""
        if self.rows.is_silent or self.rows.cuts != cuts_before:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.rows.after_s * random.uniform(0.97, 1.03))
        if not self.admit_era(self.rows.era):
            raise EraPassedError(table)
        left_bytes = sum(len(row.value) * 4 // 3 for row in found)
        while left_bytes > 0:
            segment_bytes = min(left_bytes, SEGMENT_BYTES)
            done_s = self.line.finish_receiving_s(segment_bytes, now_s())
            await asyncio.sleep(done_s - now_s())
            left_bytes -= segment_bytes
            timeout.reschedule(max(timeout.when(), now_s() + CALL_TIMEOUT_S))
            self.on_receiving(table)

    async def _limited(self, call, limit_s):
        """Give up a call whose answer does not begin in time or ceases to arrive."""
        try:
            async with asyncio.timeout(limit_s) as timeout:
                return await call(timeout)
        except TimeoutError as error:
            raise PlatformError("TimeoutError") from error

    async def read_table(self, table, first="", end=""):
        return await self._limited(partial(self._read_table, table), CALL_TIMEOUT_S)

    async def wait_for_changes(self, table, after_version, wait_s):
        call = partial(self._wait_for_changes, table, after_version, wait_s)
        return await self._limited(call, wait_s + FEED_MARGIN_S)

    async def _read_table(self, table, timeout):
        cuts = self.rows.cuts
        await self._begin("read")
        found = [row for row in self.rows.held.values() if row.table == table]
        found = [row for row in found if not row.deleted]
        version = self.rows.version
        await self._end(table, found, timeout, cuts)
        return Changes(tuple(found), version)

    async def _wait_for_changes(self, table, after_version, wait_s, timeout):
        """Return every change since a version, also several of one row."""
        rows = self.rows
        cuts = rows.cuts
        await self._begin("feed")
        loop = asyncio.get_running_loop()
        oldest_s = loop.time() - rows.history_s
        lost = [row.version for at_s, row in rows.log if at_s < oldest_s]
        is_unknown = rows.era is not None and after_version > rows.version
        if is_unknown or (lost and after_version < lost[-1]):
            await self._end(table, (), timeout, cuts)
            raise HistoryLostError("the history is gone")
        deadline_s = loop.time() + wait_s
        while True:
            found = [
                row
                for _, row in rows.log
                if row.table == table and row.version > after_version
            ]
            if found or loop.time() >= deadline_s:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline_s - loop.time()):
                    await rows.changed.wait()
        version = rows.version
        await self._end(table, found, timeout, cuts)
        return Changes(tuple(found), version)

    async def write(self, writes, removes=()):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._begin("write")
        except TimeoutError as error:
            raise PlatformError("TimeoutError") from error
        for row in (
            *writes,
            *(attrs.evolve(item, deleted=True) for item in removes),
        ):
            self.rows.apply(row)
        era = self.rows.era
        await asyncio.sleep(self.rows.after_s)
        if not self.admit_era(era):
            raise EraPassedError("write")


@attrs.define
class SimulatedHost:
    """A host with its running node; ``node`` is None once its process has ended."""

    deployment: Deployment
    store: SimulatedStore
    node: object = None
    tasks: list = attrs.field(factory=list)
    line: Line = attrs.field(factory=Line)
    started_s: float = 0.0


@attrs.define
class Simulation:
    """A running fleet, and how long each revision took to be in force on each host."""

    rows: Rows = attrs.field(factory=Rows)
    hosts: list = attrs.field(factory=list)
    version: int = 0


def now_s():
    return asyncio.get_running_loop().time()


async def start_host(simulation, zone, number, link_mbps=10, config_apply_s=2.5):
    address = f"10.{ord(zone)}.0.{number}:1"
    deployment = Deployment(
        name=f"host-{zone}-{number}",
        zone=zone,
        link_address=address,
        calls_address="",
        announce_address="",
        ready_address="",
        metrics_address="",
        service="desk",
        upstream_address="10.0.0.99:1",
        store=StoreSettings(""),
        bounds=Bounds(config_apply_s=config_apply_s),
        first_start=True,
        link_mbps=link_mbps,
    )
    line = Line(link_mbps)
    store = SimulatedStore(simulation.rows, address, line)
    host = SimulatedHost(deployment, store, line=line)
    simulation.hosts.append(host)
    await asyncio.create_task(start_process(host))
    return host


async def start_process(host):
    line_in_use.set(host.line)
    node = host.node = build_node(host.deployment, LoopClock(), host.store)
    host.store.on_receiving = partial(record_receiving, node.watch)
    host.started_s = now_s()
    await start_links(node.links)
    host.tasks = start_tasks(node)
    update_links(node.links)
    asyncio.get_running_loop().call_later(1.0, add_upstream, host)


async def stop_process(host):
    """Stop a host's node as SIGTERM does, and start it again a little later."""
    publish_stopping(host.node.watch)
    host.node.state.stopping = True
    await asyncio.sleep(STOP_DURATION_S)
    kill_process(host)
    await asyncio.sleep(1.0)
    await start_process(host)


def kill_process(host):
    links = host.node.links
    for task in [*host.tasks, *(link.dialer for link in links.links.values())]:
        task.cancel()
    links.server.close()
    dialled = (link.connection for link in links.links.values())
    for connection in [*dialled, *links.accepted]:
        if connection is not None:
            connection.abort()
    host.node = None


async def put_config(simulation, route_count=5):
    """Write a revision, and return when the store has confirmed it."""
    simulation.version += 1
    rows = [route(f"/r{n}/") for n in range(route_count)]
    rows.append(route(f"/new{simulation.version}/"))
    await asyncio.sleep(simulation.rows.before_s)
    value = config(simulation.version, rows)
    simulation.rows.apply(StoredRow("op", "config", value))
    await asyncio.sleep(simulation.rows.after_s)
    return simulation.version, now_s()


def run_simulated(scenario, seed=1):
    """Run a scenario in simulated time, the random numbers by seed."""
    random.seed(seed)
    line_in_use.set(Line())
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(scenario())


async def leave(host):
    """Stop a host's node for good."""
    publish_stopping(host.node.watch)
    host.node.state.stopping = True
    await asyncio.sleep(STOP_DURATION_S)
    kill_process(host)


def add_upstream(host):
    """Let a host have an upstream, as most hosts have one."""
    state = host.node.state
    address = host.deployment.link_address
    upstream = UpstreamInfo("desk", "v1", address, 4, instance=f"i-{address}")
    state.own = attrs.evolve(
        state.own, upstreams=(upstream,), sequence=state.own.sequence + 1
    )
    publish_own_member(host.node.watch)


async def record_activations(simulation, activated_s):
    """Record when each process began to serve each revision, until cancelled."""
    newest = {}
    while True:
        await asyncio.sleep(0.01)
        for host in simulation.hosts:
            if host.node is None:
                continue
            process = (host.deployment.link_address, host.started_s)
            held = revision_of(host.node.state)
            for revision in range(newest.get(process, 0) + 1, held + 1):
                activated_s[process, revision] = now_s()
            newest[process] = max(held, newest.get(process, 0))


@contextlib.asynccontextmanager
async def silence(simulation, loses_open_calls):
    """Let the store give no answer, and optionally none to the calls that are open."""
    simulation.rows.is_silent = True
    simulation.rows.cuts += loses_open_calls
    try:
        yield
    finally:
        simulation.rows.is_silent = False


def find_ages(simulation, activated_s, confirmed_s):
    """Return how long each revision took on each process that ran all the while.

    Args:
        simulation: The fleet.
        activated_s: When each process began to serve each revision.
        confirmed_s: When the store confirmed each revision.
    """
    processes = [
        (host.deployment.link_address, host.started_s)
        for host in simulation.hosts
        if host.node is not None
    ]
    return {
        (process[0], revision): activated_s.get((process, revision), 1e9) - written_s
        for revision, written_s in confirmed_s.items()
        for process in processes
        if process[1] < written_s - SETTLED_S
    }
