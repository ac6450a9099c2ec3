"""In a large zone a few readers watch the store and notify the other nodes."""

import asyncio
from functools import partial

import pytest

from agaterelay.mesh.readers import must_watch
from agaterelay.ports import PlatformError
from standins.instance import announce
from standins.store import put_row
from tests.mesh.fleet import (
    ROUTES,
    add_host,
    admin_address,
    config,
    is_converged,
    kill_node,
    restart_node,
    route,
    running_fleet,
    send_request,
    wait_until,
)


@pytest.fixture(autouse=True)
def one_reader(monkeypatch):
    monkeypatch.setattr("agaterelay.core.neighbours.MAX_SMALL_ZONE_HOSTS", 1)
    monkeypatch.setattr("agaterelay.core.neighbours.READER_COUNT", 1)
    monkeypatch.setattr("agaterelay.mesh.readers.READER_COUNT", 1)


def watching_hosts(fleet):
    return [host for host in fleet.hosts if host.node and host.node.state.watching]


async def settle(fleet):
    """Wait until exactly one node watches and the other nodes' polls have ended."""
    await wait_until(lambda: len(watching_hosts(fleet)) == 1)
    await asyncio.sleep(0.8)
    assert len(watching_hosts(fleet)) == 1


def test_one_node_polls_the_store_and_all_are_up_to_date():
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            fleet.store.calls.clear()
            await put_row(
                fleet.store, "op", "config", config(2, [*ROUTES, route("/n/")])
            )
            nodes = [host.node for host in fleet.hosts]
            await wait_until(
                lambda: all(n.state.table.revision == 2 for n in nodes), 1.0
            )
            order = b'{"service":"desk","to":"v2","duration":"12s"}'
            await put_row(fleet.store, "op", "rollout/desk", order)
            await wait_until(lambda: all("desk" in n.state.orders for n in nodes), 1.0)
            feeds = [call for call in fleet.store.calls if call == "/v1/rows-feed"]
            assert len(feeds) <= 10

    asyncio.run(scenario())


def test_when_the_reader_is_killed_another_takes_over():
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            await kill_node(watching_hosts(fleet)[0])
            await put_row(fleet.store, "op", "config", config(2, ROUTES))
            nodes = [host.node for host in fleet.hosts if host.node]
            await wait_until(
                lambda: all(n.state.table.revision == 2 for n in nodes), 2.0
            )

    asyncio.run(scenario())


def test_when_the_store_refuses_the_reader_the_others_ask_themselves():
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            reader = watching_hosts(fleet)[0]
            reader.store._base = "http://127.0.0.1:1"
            await put_row(fleet.store, "op", "config", config(2, ROUTES))
            others = [host.node for host in fleet.hosts if host is not reader]
            await wait_until(
                lambda: all(n.state.table.revision == 2 for n in others), 2.0
            )
            await wait_until(lambda: reader.node.state.table.revision == 2, 2.0)

    asyncio.run(scenario())


def is_unusable(link):
    return not link.usable


def fall_silent(link):
    """Act as if nothing had arrived since a ping, also where a pong is under way."""
    if link.usable:
        link.last_received_s = link.pinged_s = link.last_received_s - 60
    return is_unusable(link)


@pytest.mark.parametrize("loss", ["killed", "silent"])
def test_a_reader_that_is_lost_is_not_relied_on_any_longer(loss):
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            reader = watching_hosts(fleet)[0]
            standbys = [host.node for host in fleet.hosts if host is not reader]
            assert not any(must_watch(node.watch) for node in standbys)
            if loss == "killed":
                await kill_node(reader)
            for node in standbys:
                link = node.links.links[reader.deployment.link_address]
                is_lost = fall_silent if loss == "silent" else is_unusable
                await wait_until(partial(is_lost, link), 1.0)
                assert must_watch(node.watch)

    asyncio.run(scenario())


async def no_answer(method, path, timeout_s, **options):
    """Act as a store that accepts a call and never answers it."""
    await asyncio.sleep(timeout_s)
    raise PlatformError(f"{path}: TimeoutError")


def test_when_the_store_falls_silent_for_the_reader_the_zone_is_not_late():
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            reader = watching_hosts(fleet)[0]
            bound_s = reader.deployment.bounds.config_apply_s
            reader.store._call = no_answer
            # Ends the open long poll; the next one is not answered.
            await put_row(fleet.store, "op", "wake", b"")
            await asyncio.sleep(0.4)
            await put_row(fleet.store, "op", "config", config(2, ROUTES))
            nodes = [host.node for host in fleet.hosts]
            await wait_until(
                lambda: all(n.state.table.revision == 2 for n in nodes), bound_s
            )

    asyncio.run(scenario())


def test_a_zone_whose_store_is_silent_hears_from_readers_of_another_without_pings(
    monkeypatch,
):
    monkeypatch.setattr("agaterelay.mesh.links.IDLE_PING_INTERVAL_S", 60.0)
    monkeypatch.setattr("agaterelay.mesh.readers.READER_CLAIM_VALID_S", 60.0)

    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            for service in ("desk", "desk", "desk"):
                await add_host(fleet, service, zone="b")
            nodes = [host.node for host in fleet.hosts]
            await wait_until(lambda: all(len(n.state.members) == 4 for n in nodes))
            await wait_until(lambda: sum(n.state.watching for n in nodes) == 2)
            await wait_until(lambda: all(n.state.other_zone_readers for n in nodes))
            await asyncio.sleep(0.5)
            for host in fleet.hosts:
                if host.deployment.zone == "b":
                    host.store._call = no_answer
            await put_row(fleet.store, "op", "wake", b"")
            await asyncio.sleep(0.4)
            await put_row(fleet.store, "op", "config", config(2, ROUTES))
            await wait_until(
                lambda: all(n.state.table.revision == 2 for n in nodes), 1.5
            )

    asyncio.run(scenario())


def test_a_host_that_joins_becomes_known_to_all_hosts():
    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            await settle(fleet)
            joined = await add_host(fleet, "panel")
            await announce(joined.instance, admin_address(joined))
            address = joined.deployment.link_address
            first = fleet.hosts[:2]
            await wait_until(
                lambda: all(
                    address in host.node.state.members
                    and host.node.state.members[address].upstreams
                    for host in first
                )
            )
            assert (await send_request(fleet, first[0]))[0] == 200

    asyncio.run(scenario())


def test_a_row_that_was_removed_by_mistake_is_written_again():
    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            await settle(fleet)
            standby = next(host for host in fleet.hosts if not host.node.state.watching)
            key = ("agaterelay", "", f"member/{standby.deployment.link_address}")
            del fleet.store.rows[key]
            gone = {"table": key[0], "part": "", "key": key[2], "deleted": True}
            fleet.store.version += 1
            fleet.store.log.append({**gone, "ver": fleet.store.version})
            await put_row(fleet.store, "other", "wake", b"")
            await wait_until(lambda: key in fleet.store.rows)
            reader = watching_hosts(fleet)[0].node.state
            host = standby.deployment.link_address
            await wait_until(lambda: host in reader.members)
            assert reader.members[host].upstreams == standby.node.state.own.upstreams

    asyncio.run(scenario())


async def restart_and_count_calls(fleet, host):
    """Restart a host whose upstream announces itself soon; return its store calls."""
    calls = []
    await restart_node(host)
    host.store.count = lambda call, result: calls.append(call)
    await asyncio.sleep(0.2)
    await announce(host.instance, admin_address(host))
    await wait_until(lambda: is_converged(fleet, host))
    await asyncio.sleep(1.5)
    return calls


def test_a_host_that_starts_beside_a_reader_reads_each_table_and_writes_its_row_once():
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            host = next(item for item in fleet.hosts if not item.node.state.watching)
            calls = await restart_and_count_calls(fleet, host)
            assert sorted(calls) == ["/v1/rows-get", "/v1/rows-get", "/v1/rows-tx"]

    asyncio.run(scenario())


def test_a_host_that_starts_where_no_reader_watches_learns_of_changes_all_the_same():
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            (reader,) = watching_hosts(fleet)
            host = next(item for item in fleet.hosts if item is not reader)
            await kill_node(reader)
            await restart_node(host)
            await wait_until(lambda: host.node.state.table is not None)
            await put_row(fleet.store, "op", "config", config(2, ROUTES))
            await wait_until(lambda: host.node.state.table.revision == 2, 2.0)

    asyncio.run(scenario())


def test_a_host_that_is_no_reader_asks_a_failing_store_ever_less_often():
    async def scenario():
        async with running_fleet(("desk", "desk", "panel")) as fleet:
            await settle(fleet)
            host = next(item for item in fleet.hosts if not item.node.state.watching)
            # An instance that falls silent would have its host write its row meanwhile.
            for item in fleet.hosts:
                await announce(item.instance, admin_address(item))
            calls = []
            host.store.count = lambda call, result: calls.append(call)
            fleet.store.faults.down = True
            await asyncio.sleep(5.5)
            assert 2 <= len(calls) <= 12
            fleet.store.faults.down = False
            await put_row(fleet.store, "op", "config", config(2, ROUTES))
            await wait_until(lambda: host.node.state.table.revision == 2, 2.0)

    asyncio.run(scenario())
