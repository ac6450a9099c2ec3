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


async def read_in_parts(part_count):
    """Read a table whose answer arrives in parts and ends after some of them."""
    address = free_address()
    host, port = address.split(":")
    body = json.dumps({"rows": [], "ver": 7}).encode().ljust(PART_COUNT)

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        size = len(body) // PART_COUNT + 1
        for number in range(part_count):
            writer.write(body[number * size : (number + 1) * size])
            await asyncio.sleep(PART_INTERVAL_S)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, host, int(port))
    client = StoreClient(address)
    await client.open()
    received = []
    client.on_receiving = received.append
    try:
        return (await client.read_table("op")).version, received
    finally:
        await client.close()
        server.close()


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
