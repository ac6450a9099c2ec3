"""A joining host reads few rows and takes an incarnation above its predecessor's."""

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
    JOIN_TIMEOUT_S,
    OTHER_ZONE_ROW_COUNT,
    Registry,
    check_rows,
    join,
)
from tests.tasks.fakes import START, FakePlatform
from tests.tasks.probes import ProbedPeers, make_context

OWN = "127.0.1.1:7001"
PREDECESSOR = Member(OWN, "bangkok-1", 1 << 60, 7)


def make_registry(table, peers):
    context = make_context(OWN, table, peers)
    board = Board(Member(OWN, "bangkok-1", 0, 0))
    gossip = Gossip(
        context,
        board,
        Keeper(context, board),
        on_brakes=lambda brakes: None,
        on_incarnation=lambda number: None,
    )
    gossip.rng.seed(1)
    return Registry(gossip)


def make_stored_row(zone, hosts, incarnation=1):
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
    table = FakePlatform(
        {row_name(zone): make_stored_row(zone, hosts) for zone in zones}
    )
    registry = make_registry(table, ProbedPeers())
    asyncio.run(join(registry))
    assert table.table_reads <= 1 + OTHER_ZONE_ROW_COUNT
    assert registry.gossip.board.own.incarnation > 0


def test_a_joining_host_takes_a_higher_incarnation_than_any_peer_knows():
    peer = "127.0.1.2:7001"
    dead = attrs.evolve(PREDECESSOR, state=MemberState.DEAD)
    table = FakePlatform({row_name("bangkok-1"): make_stored_row("bangkok-1", [peer])})
    peers = ProbedPeers({peer: answer_with(peer, (dead,))})
    registry = make_registry(table, peers)
    asyncio.run(join(registry))
    board = registry.gossip.board
    assert board.own.incarnation > PREDECESSOR.incarnation
    assert board.members[OWN] == board.own


def test_a_joining_host_finds_its_predecessor_in_the_row_alone():
    row = make_stored_row("bangkok-1", [OWN], PREDECESSOR.incarnation)
    registry = make_registry(FakePlatform({row_name("bangkok-1"): row}), ProbedPeers())
    asyncio.run(join(registry))
    assert registry.gossip.board.own.incarnation > PREDECESSOR.incarnation


def test_a_stale_row_or_a_platform_outage_only_delays_the_join():
    for table in (
        FakePlatform(
            {row_name("bangkok-1"): make_stored_row("bangkok-1", ["127.0.1.9:7001"])}
        ),
        FakePlatform(table_up=False),
    ):
        registry = make_registry(table, ProbedPeers())
        asyncio.run(join(registry))
        assert registry.gossip.board.own.incarnation > 0
        assert registry.gossip.node_context.clock.elapsed_s < 2 * JOIN_TIMEOUT_S


def test_a_host_joins_at_once_if_the_registry_is_empty():
    registry = make_registry(FakePlatform(), ProbedPeers())
    asyncio.run(join(registry))
    assert registry.gossip.node_context.clock.elapsed_s == 0


def test_the_host_that_loses_a_write_race_for_the_row_probes_the_winner():
    winner = "127.0.1.2:7001"
    table = FakePlatform()
    peers = ProbedPeers({winner: answer_with(winner)})
    registry = make_registry(table, peers)
    asyncio.run(join(registry))
    read = table.read

    async def read_then_lose(name):
        row = await read(name)
        if name == row_name("bangkok-1") and row is None:
            table.rows[name] = make_stored_row("bangkok-1", [winner])
        return row

    registry.gossip.node_context = attrs.evolve(
        registry.gossip.node_context, table=RacingTable(table, read_then_lose)
    )
    asyncio.run(check_rows(registry))
    assert winner in peers.asked


@attrs.define
class RacingTable:
    table: FakePlatform
    read: object

    async def write(self, *arguments):
        return await self.table.write(*arguments)
