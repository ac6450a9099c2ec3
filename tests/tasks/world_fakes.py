"""Small fakes at the ports: a clock that is moved by hand, a table, and peers."""

from datetime import UTC, datetime, timedelta

import attrs

from agaterelay.adapters.settings import Settings
from agaterelay.core.timeline import Timeline
from agaterelay.ports import PeerError, PlatformError, Row
from agaterelay.tasks.board import World

EPOCH = datetime(2026, 12, 4, tzinfo=UTC)


@attrs.define
class FakeClock:
    time_s: float = 0.0

    def now(self):
        return EPOCH + timedelta(seconds=self.time_s)

    def monotonic_s(self):
        return self.time_s

    async def sleep(self, delay_s):
        self.time_s += delay_s


@attrs.define
class FakeTable:
    rows: dict = attrs.field(factory=dict)
    reads: int = 0
    writes: int = 0
    down: bool = False

    async def read(self, name):
        self.reads += 1
        if self.down:
            raise PlatformError("down")
        return self.rows.get(name)

    async def write(self, name, value, expected_version):
        self.writes += 1
        version = self.rows[name].version if name in self.rows else 0
        if self.down or version != expected_version:
            return False
        self.rows[name] = Row(value, version + 1)
        return True


@attrs.define
class FakePeers:
    """Hosts that answer probes by a function; all others do not answer."""

    answers: dict = attrs.field(factory=dict)
    asked: list = attrs.field(factory=list)

    async def exchange(self, host, exchange):
        self.asked.append(host)
        if host not in self.answers:
            raise PeerError("no answer")
        return self.answers[host](exchange)


def settings_of(host, zone="bangkok-1", **changes):
    base = Settings(
        zone=zone,
        region="bangkok",
        peers_address=host,
        calls_address=host.replace("7001", "7000"),
        operators_address=host.replace("7001", "7002"),
        table_url="http://127.0.0.1:1/table",
        objects_url="http://127.0.0.1:1/objects",
        admin_key_sha256="0" * 64,
        zones=("bangkok-1", "bangkok-2", "bangkok-3", "bangkok-4"),
    )
    return attrs.evolve(base, **changes)


def world_of(settings, clock=None, table=None, peers=None):
    clock = clock or FakeClock()
    events = []
    world = World(
        settings=settings,
        clock=clock,
        table=table or FakeTable(),
        objects=None,
        peers=peers or FakePeers(),
        timeline=Timeline(settings.peers_address, clock.now),
        record=lambda kind, **fields: events.append((kind, fields)),
    )
    return world, events
