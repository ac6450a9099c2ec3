"""The client of the store and answers that arrive slowly."""

import asyncio
import json

import pytest

from agaterelay.platform.store import StoreClient
from agaterelay.ports import PlatformError
from tests.mesh.fleet import free_address

PART_COUNT = 16
PART_INTERVAL_S = 0.05
TIMEOUT_S = 0.4


class SlowServer(asyncio.Protocol):
    """Answers a request in parts, and ends the answer after some of them."""

    def __init__(self, part_count):
        self.part_count = part_count
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        body = json.dumps({"rows": [], "ver": 7}).encode().ljust(PART_COUNT)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.transport.write(head)
        size = len(body) // PART_COUNT + 1
        for number in range(self.part_count):
            part = body[number * size : (number + 1) * size]
            delay_s = number * PART_INTERVAL_S
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.transport.write, part)


async def read_in_parts(part_count):
    """Read a table whose answer arrives in parts and ends after some of them."""
    address = free_address()
    host, port = address.split(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: SlowServer(part_count), host, int(port))
    client = StoreClient(address)
    await client.open()
    received = []
    client.on_receiving = received.append
    try:
        return (await client.read_table("op")).version, received
    finally:
        await client.close()
        server.close()
        await asyncio.sleep(PART_INTERVAL_S)


def test_a_large_answer_that_keeps_arriving_is_not_given_up(monkeypatch):
    monkeypatch.setattr("agaterelay.platform.store.REQUEST_TIMEOUT_S", TIMEOUT_S)
    assert PART_COUNT * PART_INTERVAL_S > TIMEOUT_S
    version, received = asyncio.run(read_in_parts(PART_COUNT))
    assert version == 7
    assert set(received) == {"op"}


def test_an_answer_that_ceases_to_arrive_is_given_up(monkeypatch):
    monkeypatch.setattr("agaterelay.platform.store.REQUEST_TIMEOUT_S", TIMEOUT_S)
    with pytest.raises(PlatformError):
        asyncio.run(read_in_parts(PART_COUNT // 2))
