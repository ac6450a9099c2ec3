"""No host serves an older revision than before.

The property holds when updates arrive out of order, and across network cuts, platform
outages and restarts.
"""

import asyncio
import random

from hypothesis import given, settings
from hypothesis.strategies import integers

from agaterelay.core.manifest import encode_head
from agaterelay.core.model import Head
from agaterelay.tasks.committed import put_committed
from agaterelay.tasks.keeper import activate_staged, apply_snapshot
from agaterelay.tasks.reader import (
    HEAD_ROW,
    choose_zone_readers,
    determine_floor,
    poll_head,
)
from tests.tasks.fakes import Fleet, empty_revision

ZONES = {"a": "z1", "b": "z1", "c": "z1", "d": "z1", "e": "z1", "f": "z2"}
AGES = (0, 1, 2)
OUTAGES = ((False, False), (False, True), (True, False), (True, True))
STEPS = 25


class Model:
    """The hosts, and the highest revision that each has served across its restarts."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.fleet = Fleet(ZONES)
        self.committed = 0
        self.recorded = 0
        self.served = dict.fromkeys(ZONES, 0)
        self.reached = {name: set() for name in ZONES}
        self.polled_s = dict.fromkeys(ZONES, -1.0)

    def run(self, work):
        async def run_and_yield():
            await work
            await asyncio.sleep(0)

        self.loop.run_until_complete(run_and_yield())

    def close(self):
        self.loop.run_until_complete(asyncio.sleep(0.001))
        self.loop.close()

    def is_covered(self, host):
        """Whether the host can learn the revision it served from a source it asks.

        docs/PROOFS.md lists the other cases as not proved.
        """
        fleet, served = self.fleet, self.served[host]
        if served == 0:
            return True
        platform = fleet.platform
        reader = host in choose_zone_readers(fleet.hosts[host].board, ZONES[host])
        if reader and platform.table_up:
            return True
        if reader and platform.objects_up and self.recorded >= served:
            return True
        started_s = fleet.hosts[host].reader.started_s
        chosen = choose_zone_readers(fleet.hosts[host].board, ZONES[host])
        if any(
            self.polled_s[item] > started_s and (host, item) not in fleet.cuts
            for item in chosen
            if item != host
        ):
            return True
        if self.reached[host] and self.reached[host] <= self.reachable(host):
            return True
        if self.has_no_source(host):
            return True
        return any(
            (host, served, name, generation) in fleet.acknowledged
            for name, generation in self.reachable(host)
        )

    def reachable(self, host):
        """The processes that a host can reach."""
        return {
            (name, other.generation)
            for name, other in self.fleet.hosts.items()
            if name != host and (host, name) not in self.fleet.cuts
        }

    def has_no_source(self, host):
        """Whether no reachable source knows a floor, so that the host has to wait."""
        platform = self.fleet.platform
        if platform.table_up or platform.objects_up:
            return False
        return all(
            self.fleet.hosts[name].keeper.line.floor is None
            for name, _ in self.reachable(host)
        )

    def all_serve_the_first_revision(self):
        self.change(set(ZONES), (True, True))
        assert all(host.board.active for host in self.fleet.hosts.values())

    def change(self, hosts, afterwards):
        """Commits a change that reaches some hosts before an outage."""
        self.fleet.platform.table_up = True
        self.commit()
        for host in sorted(hosts):
            self.update(host, 0)
        self.platform(afterwards)

    def restart(self, hosts, seconds, age):
        """Restarts some hosts, which then receive an older or the newest revision."""
        for host in sorted(hosts):
            self.fleet.start(host)
            self.polled_s[host] = -1.0
        self.fleet.clock.elapsed_s += seconds
        for host in sorted(hosts):
            self.update(host, age)

    def change_on_one_host(self, host, outage, age):
        """Commits a change that reaches one host, which restarts during an outage."""
        self.change({host}, outage)
        self.restart({host}, 3, age)

    def update(self, host, age):
        self.find_floor(host)
        self.deliver_revision(host, age)
        self.activate(host)
        self.check_never_older()

    def commit(self):
        self.committed += 1
        head = Head(self.committed, f"digest-{self.committed}")
        platform = self.fleet.platform
        version = platform.rows[HEAD_ROW].version if platform.rows else 0
        assert platform.swap(HEAD_ROW, encode_head(head), version)
        if platform.objects_up:
            self.run(put_committed(platform, head))
            self.recorded = self.committed

    def deliver_revision(self, host, age):
        """Delivers any committed revision, so that updates arrive out of order."""

        async def arrive():
            revision = max(1, self.committed - age)
            apply_snapshot(self.fleet.hosts[host].keeper, empty_revision(revision), "")

        self.run(arrive())

    def activate(self, host):
        keeper = self.fleet.hosts[host].keeper
        self.run(activate_staged(keeper))

    def read(self, host):
        began_s = self.fleet.clock.monotonic_s()
        reader = self.fleet.hosts[host].reader
        if reader.keeper.line.floor is None:
            return
        self.run(poll_head(reader))
        if self.fleet.platform.table_up:
            self.polled_s[host] = began_s

    def find_floor(self, host):
        reader = self.fleet.hosts[host].reader
        if reader.keeper.line.floor is not None or not self.is_covered(host):
            return
        began_s = self.fleet.clock.monotonic_s()
        self.run(determine_floor(reader))
        if reader.board.head_read_s is not None:
            self.polled_s[host] = began_s

    def advance_time(self, seconds):
        self.fleet.clock.elapsed_s += seconds

    def cut(self, host, others, asymmetric):
        self.fleet.cuts = {(host, other) for other in others}
        if not asymmetric:
            self.fleet.cuts |= {(other, host) for other in others}

    def platform(self, state):
        platform = self.fleet.platform
        platform.table_up, platform.objects_up = state

    def check_never_older(self):
        for name, host in self.fleet.hosts.items():
            active = host.board.active
            if active is None:
                continue
            assert active.revision >= self.served[name]
            if active.revision > self.served[name]:
                self.reached[name] = self.reachable(name)
            self.served[name] = active.revision


def step(model, rng):
    """Perform one random action."""
    host = rng.choice(sorted(ZONES))
    some = set(rng.sample(sorted(ZONES), rng.randint(1, 3)))
    age = rng.choice(AGES)
    actions = (
        lambda: model.change(some, rng.choice(OUTAGES)),
        lambda: model.restart(some, rng.choice((0, 3)), age),
        lambda: model.change_on_one_host(host, rng.choice(OUTAGES), age),
        lambda: model.restart(set(ZONES), 3, age),
        lambda: model.update(host, age),
        lambda: model.deliver_revision(host, age),
        lambda: model.activate(host),
        lambda: model.read(host),
        lambda: model.find_floor(host),
        lambda: model.advance_time(rng.randint(1, 4)),
        lambda: model.cut(host, some - {host}, rng.random() < 0.5),
        lambda: model.cut(host, set(), False),
        lambda: model.platform(rng.choice(OUTAGES)),
    )
    rng.choice(actions)()
    model.check_never_older()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(seed=integers(0, 2**32))
def test_no_host_serves_an_older_revision(seed):
    model = Model()
    rng = random.Random(seed)
    try:
        model.all_serve_the_first_revision()
        for _ in range(STEPS):
            step(model, rng)
    finally:
        model.close()
