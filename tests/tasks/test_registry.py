"""A joiner reads few rows, learns of its predecessor, and only then counts."""

import asyncio

import attrs
from hypothesis import given, settings, strategies as st

from agaterelay.core.membership import Member, MemberState
from agaterelay.core.messages import Exchange
from agaterelay.core.model import Head
from agaterelay.core.registry import RegisteredHost, RegistryRow, encode_row, row_name
from agaterelay.core.timeline import Stamp
from agaterelay.ports import Row
from agaterelay.tasks.board import Board
from agaterelay.tasks.gossip import Gossip
from agaterelay.tasks.keeper import Keeper
from agaterelay.tasks.registry import (
    JOIN_GIVE_UP_S,
    OTHER_ROWS,
    Registry,
    check_rows,
    join,
)
from tests.tasks.fakes import START, FakePlatform
from tests.tasks.probes import ProbedPeers, world_of

OWN = "127.0.1.1:7001"
OLD = Member(OWN, "bangkok-1", 1 << 60, 7)


def registry_of(table, peers):
    world = world_of(OWN, table, peers)
    board = Board(Member(OWN, "bangkok-1", 0, 0))
    gossip = Gossip(
        world,
        board,
        Keeper(world, board),
        on_brakes=lambda brakes: None,
        on_incarnation=lambda number: None,
    )
    gossip.draw.seed(1)
    return Registry(gossip)


def row_of(zone, hosts, incarnation=1):
    row = RegistryRow(
        zone, START, tuple(RegisteredHost(host, incarnation) for host in hosts)
    )
    return Row(encode_row(row), 3)


def answer_with(host, updates=(), pair=(1, 1)):
    return lambda _: Exchange(Stamp(1, 0), host, pair, Head(0, ""), updates)


@settings(derandomize=True, max_examples=40)
@given(
    st.integers(0, 300),
    st.lists(st.sampled_from(["bangkok-1", "bangkok-2", "bangkok-3"]), unique=True),
)
def test_a_join_reads_few_rows_however_many_hosts_there_are(count, zones):
    hosts = [f"127.0.2.{number}:7001" for number in range(count)]
    table = FakePlatform({row_name(zone): row_of(zone, hosts) for zone in zones})
    registry = registry_of(table, ProbedPeers())
    asyncio.run(join(registry))
    assert table.table_reads <= 1 + OTHER_ROWS
    assert registry.gossip.board.own.incarnation > 0


def test_a_joiner_takes_a_higher_incarnation_than_any_peer_knows():
    peer = "127.0.1.2:7001"
    dead = attrs.evolve(OLD, state=MemberState.DEAD)
    table = FakePlatform({row_name("bangkok-1"): row_of("bangkok-1", [peer])})
    peers = ProbedPeers({peer: answer_with(peer, (dead,))})
    registry = registry_of(table, peers)
    asyncio.run(join(registry))
    board = registry.gossip.board
    assert board.own.incarnation > OLD.incarnation
    assert board.members[OWN] == board.own


def test_a_joiner_learns_of_its_predecessor_from_the_row_alone():
    row = row_of("bangkok-1", [OWN], OLD.incarnation)
    registry = registry_of(FakePlatform({row_name("bangkok-1"): row}), ProbedPeers())
    asyncio.run(join(registry))
    assert registry.gossip.board.own.incarnation > OLD.incarnation


def test_a_stale_row_and_a_platform_outage_only_cost_time():
    for table in (
        FakePlatform({row_name("bangkok-1"): row_of("bangkok-1", ["127.0.1.9:7001"])}),
        FakePlatform(table_up=False),
    ):
        registry = registry_of(table, ProbedPeers())
        asyncio.run(join(registry))
        assert registry.gossip.board.own.incarnation > 0
        assert registry.gossip.world.clock.passed_s < 2 * JOIN_GIVE_UP_S


def test_an_empty_registry_means_the_first_host_and_no_wait():
    registry = registry_of(FakePlatform(), ProbedPeers())
    asyncio.run(join(registry))
    assert registry.gossip.world.clock.passed_s == 0


def test_the_loser_of_a_race_for_the_row_meets_the_winner():
    winner = "127.0.1.2:7001"
    table = FakePlatform()
    peers = ProbedPeers({winner: answer_with(winner)})
    registry = registry_of(table, peers)
    asyncio.run(join(registry))
    read = table.read

    async def read_then_lose(name):
        row = await read(name)
        if name == row_name("bangkok-1") and row is None:
            table.rows[name] = row_of("bangkok-1", [winner])
        return row

    registry.gossip.world = attrs.evolve(
        registry.gossip.world, table=Losing(table, read_then_lose)
    )
    asyncio.run(check_rows(registry))
    assert winner in peers.asked


@attrs.define
class Losing:
    table: FakePlatform
    read: object

    async def write(self, *arguments):
        return await self.table.write(*arguments)
