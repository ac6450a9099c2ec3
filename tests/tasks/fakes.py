"""Fakes of the ports that the tasks use: clock, platform and peers."""

from datetime import UTC, datetime, timedelta

import attrs

from agaterelay.adapters.settings import Settings
from agaterelay.core.membership import Member
from agaterelay.core.messages import Fetched
from agaterelay.core.model import Manifest, Snapshot
from agaterelay.core.timeline import Timeline
from agaterelay.ports import PeerError, PlatformError, Row
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.keeper import Keeper, handle_witness
from agaterelay.tasks.reader import Reader

START = datetime(2030, 1, 1, tzinfo=UTC)


class ManualClock:
    """A clock that advances only when a task sleeps."""

    def __init__(self):
        self.elapsed_s = 0.0

    def now(self):
        return START + timedelta(seconds=self.elapsed_s)

    def monotonic_s(self):
        return self.elapsed_s

    async def sleep(self, delay_s):
        self.elapsed_s += delay_s


@attrs.define
class FakePlatform:
    """The table and the object store in memory; each can be made unavailable."""

    rows: dict = attrs.field(factory=dict)
    bodies: dict = attrs.field(factory=dict)
    table_up: bool = True
    objects_up: bool = True
    table_reads: int = 0

    async def read(self, name):
        self.table_reads += 1
        if not self.table_up:
            raise PlatformError("table down")
        return self.rows.get(name)

    async def write(self, name, value, expected_version):
        if not self.table_up:
            raise PlatformError("table down")
        return self.swap(name, value, expected_version)

    def swap(self, name, value, expected_version):
        version = self.rows[name].version if name in self.rows else 0
        if version != expected_version:
            return False
        self.rows[name] = Row(value, version + 1)
        return True

    async def get(self, name):
        if not self.objects_up:
            raise PlatformError("objects down")
        return self.bodies.get(name)

    async def put(self, name, body):
        if not self.objects_up:
            raise PlatformError("objects down")
        self.bodies[name] = body


@attrs.define
class Host:
    """One host of a fake fleet: the state of its tasks.

    ``generation`` counts the restarts of its process.
    """

    name: str
    zone: str
    board: Board
    keeper: Keeper
    reader: Reader
    generation: int = 0


class Fleet:
    """Hosts that reach each other by function calls.

    ``cuts`` are pairs of hosts of which the first cannot reach the second.
    """

    def __init__(self, zones):
        self.clock = ManualClock()
        self.platform = FakePlatform()
        self.cuts = set()
        self.acknowledged = set()
        self.events = []
        self.zones = zones
        self.hosts = {}
        for name in zones:
            self.start(name)

    def start(self, name):
        """Start a host's process, or replace the running one by a new one."""
        self.clock.elapsed_s += 0.001
        generation = self.hosts[name].generation + 1 if name in self.hosts else 0
        members = {host: Member(host, zone, 1, 1) for host, zone in self.zones.items()}
        board = Board(members[name], members)
        timeline = Timeline(name, self.clock.now)
        context = NodeContext(
            settings=make_settings(name, self.zones[name]),
            clock=self.clock,
            table=self.platform,
            objects=self.platform,
            peers=FakePeers(self, name),
            timeline=timeline,
            record=lambda kind, **fields: self.events.append((name, kind, fields)),
        )
        keeper = Keeper(context, board)
        reader = Reader(context, board, keeper, self.clock.monotonic_s())
        self.hosts[name] = Host(
            name, self.zones[name], board, keeper, reader, generation
        )


class FakePeers:
    """The peers port of one host."""

    def __init__(self, fleet, own):
        self.fleet = fleet
        self.own = own

    def _reach(self, host):
        if (self.own, host) in self.fleet.cuts:
            raise PeerError("cut")
        return self.fleet.hosts[host]

    async def witness(self, host, own_host, revision):
        target = self._reach(host)
        answer = handle_witness(target.keeper, own_host, revision)
        self.fleet.acknowledged.add((own_host, revision, host, target.generation))
        return answer

    async def notify(self, host, notify):
        return self._reach(host).keeper.line.held_revision

    async def fetch(self, host, digests):
        bodies = self._reach(host).keeper.bodies.by_digest
        return Fetched({name: bodies[name] for name in digests if name in bodies})


def make_settings(name, zone):
    return Settings(
        zone=zone,
        region="region-1",
        peers_address=name,
        calls_address=f"{name}-calls",
        operators_address=f"{name}-operators",
        table_url="http://127.0.0.1:1/table",
        objects_url="http://127.0.0.1:1/objects",
        admin_key_sha256="0" * 64,
    )


def empty_revision(revision):
    return Snapshot(Manifest(revision, START), f"digest-{revision}")
