"""Channels to peers are bounded, and a host that is back is reached without backoff."""

import asyncio
import socket

import pytest

from agaterelay.adapters.peers import PeerClient, PeerHandlers, start_peer_server
from agaterelay.core.messages import Exchange
from agaterelay.core.model import Head
from agaterelay.core.timeline import Stamp
from agaterelay.ports import PeerError

TEST_TIMEOUT_S = 20.0
PROBE = Exchange(Stamp(1, 0), "127.0.0.1:1", (1, 1), Head(1, "d"))


@pytest.fixture(scope="module")
def run():
    """Run all tests in one event loop.

    gRPC's thread stays bound to the first event loop of a process.
    """
    with asyncio.Runner() as runner:
        yield lambda scenario: runner.run(asyncio.wait_for(scenario, TEST_TIMEOUT_S))


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def serve(address, exchange=lambda received: PROBE):
    handlers = dict.fromkeys(PeerHandlers.__annotations__)
    return await start_peer_server(
        address, PeerHandlers(**{**handlers, "exchange": exchange})
    )


def test_a_host_that_is_back_is_reached_at_once(run):
    async def scenario():
        address = free_address()
        client = PeerClient(1.0)
        # Enough failures for gRPC's own backoff to reach its maximum.
        for _ in range(12):
            with pytest.raises(PeerError) as raised:
                await client.exchange(address, PROBE)
            assert not raised.value.reached
            await asyncio.sleep(0.05)
        server = await serve(address)
        answer = await client.exchange(address, PROBE)
        await client.close()
        await server.stop(None)
        return answer

    assert run(scenario()) == PROBE


def test_channels_are_bounded_and_the_longest_idle_is_closed(run):
    async def scenario():
        addresses = [free_address() for _ in range(4)]
        servers = [await serve(address) for address in addresses]
        client = PeerClient(1.0, max_channels=2)
        open_hosts = []
        for address in (*addresses, addresses[2]):
            await client.exchange(address, PROBE)
            open_hosts.append(client.hosts)
        await client.close()
        for server in servers:
            await server.stop(None)
        return addresses, open_hosts

    addresses, open_hosts = run(scenario())
    assert all(len(hosts) <= 2 for hosts in open_hosts)
    assert open_hosts[-1] == (addresses[3], addresses[2])


def test_a_peer_that_refuses_is_alive(run):
    def refuse(received):
        raise ZeroDivisionError

    async def scenario():
        address = free_address()
        server = await serve(address, refuse)
        client = PeerClient(1.0)
        with pytest.raises(PeerError) as raised:
            await client.exchange(address, PROBE)
        await client.close()
        await server.stop(None)
        return raised.value

    assert run(scenario()).reached
