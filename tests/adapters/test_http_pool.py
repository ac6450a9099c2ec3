"""Endless data from an upstream fails the call and closes the connection.

Otherwise a faulty upstream could use up the node's memory until the call's deadline.
"""

import asyncio
import contextlib
import itertools
import tracemalloc

import pytest

from agaterelay.adapters.http_pool import (
    SENT_PART_BYTES,
    AnswerLostError,
    HttpPool,
    PooledConnection,
    ResponseMemory,
    render_head,
)
from tests.mesh.fleet import free_address

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: one\r\n"
PART = b"a" * 4096
OTHER_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4096\r\n\r\n" + PART
)
ENDLESS_RESPONSES = {
    "not a head": (b"", PART),
    "a status line": (b"HTTP/1.1 200 ", PART),
    "a header's name": (HEAD, PART),
    "a header's value": (HEAD + b"X-Long: ", PART),
    "header lines": (HEAD, b"X-More: again\r\n" * 256),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 128),
    "answers to others": (b"", OTHER_RESPONSE),
    "a body without a length": (HEAD + b"\r\n", PART),
    "a body in chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + PART + b"\r\n",
    ),
    "a chunk's extension": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1000;x=",
        PART,
    ),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: again\r\n" * 256,
    ),
    "a body that is longer than it can be": (
        HEAD + b"Content-Length: 1000000000000\r\n\r\n",
        PART,
    ),
}
# The upstream stops here; a client that reads this much has not enforced its limits.
MAX_SENT_BYTES = 512 << 20
MAX_BUFFERED_BYTES = 8 << 20


class FakeTransport:
    """Accepts what is written."""

    closed = False

    def write(self, data):
        pass

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return 0


@contextlib.asynccontextmanager
async def upstream(first, rest):
    """Serve a first part and then repeat another until the client closes."""
    sent = {"bytes": 0, "closed": asyncio.Event()}

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            for _ in itertools.count():
                writer.write(rest)
                sent["bytes"] += len(rest)
                await writer.drain()
                if sent["bytes"] > MAX_SENT_BYTES:
                    break
        except ConnectionError:
            pass
        finally:
            sent["closed"].set()
            writer.close()

    address = free_address()
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(serve, host, int(port))
    try:
        yield address, sent
    finally:
        server.close()


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_bytes_without_end_are_given_up_and_the_connection_is_closed(kind):
    async def scenario():
        async with upstream(*ENDLESS_RESPONSES[kind]) as (address, sent):
            pool = HttpPool(address, b"x-id", MAX_BUFFERED_BYTES)
            connection = await pool.acquire(0.0)
            head = render_head("GET", "/x", ((b"Host", b"a"),), b"")
            async with asyncio.timeout(5):
                with pytest.raises(AnswerLostError):
                    await connection.send(head, b"", b"one", False)
                await sent["closed"].wait()
            assert sent["bytes"] < 3 * MAX_BUFFERED_BYTES
            assert not connection.open

    asyncio.run(scenario())


def test_a_small_answer_is_whole_beside_one_without_end():
    async def scenario():
        body = b"b" * 20_000
        small = HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        async with upstream(*ENDLESS_RESPONSES["a body in chunks"]) as (address, _):
            pool = HttpPool(address, b"x-id", MAX_BUFFERED_BYTES)
            endless = await pool.acquire(0.0)
            head = render_head("GET", "/x", ((b"Host", b"a"),), b"")
            lost = endless.send(head, b"", b"one", False)
            other = await pool.acquire(0.0)
            waiting = other.send(head, b"", b"one", False)
            other.data_received(small)
            answer = await waiting
            assert answer.body == body
            async with asyncio.timeout(5):
                with pytest.raises(AnswerLostError):
                    await lost

    asyncio.run(scenario())


WHOLE_RESPONSES = (
    HEAD + b"Content-Length: 4\r\n\r\nbody",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    HEAD + b"X-Seal: s\r\n\r\nbody",
)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize("whole", WHOLE_RESPONSES)
def test_an_answer_that_ends_within_its_head_is_lost(whole, interim):
    async def scenario():
        for length in range(whole.index(b"\r\n\r\n") + 4):
            connection = PooledConnection(
                b"x-id", lambda lost: None, ResponseMemory(MAX_BUFFERED_BYTES), 1000
            )
            connection._transport = FakeTransport()
            waiting = connection.send(b"GET /x HTTP/1.1\r\n\r\n", b"", b"one", False)
            connection.data_received(interim + whole[:length])
            connection.eof_received()
            connection.connection_lost(None)
            with pytest.raises(AnswerLostError):
                await waiting

    asyncio.run(scenario())


def test_only_a_body_that_ends_with_its_connection_may_end_there():
    async def scenario():
        for whole, is_lost in zip(WHOLE_RESPONSES, (True, True, False), strict=True):
            connection = PooledConnection(
                b"x-id", lambda lost: None, ResponseMemory(MAX_BUFFERED_BYTES), 1000
            )
            connection._transport = FakeTransport()
            waiting = connection.send(b"GET /x HTTP/1.1\r\n\r\n", b"", b"one", False)
            connection.data_received(whole[:-1])
            connection.eof_received()
            connection.connection_lost(None)
            if is_lost:
                with pytest.raises(AnswerLostError):
                    await waiting
            else:
                assert (await waiting).body == b"bod"

    asyncio.run(scenario())


MAX_PEAK_RATIO = 4
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MEGABYTE_CHUNK = b"100000\r\n" + b"a" * (1 << 20) + b"\r\n"
PIECES_WITHOUT_END = {
    "chunks of 1 byte": (CHUNKED, b"1\r\na\r\n" * 2048),
    "chunks of 2 bytes": (CHUNKED, b"2\r\nab\r\n" * 2048),
    "chunks of 15 bytes": (CHUNKED, (b"f\r\n" + b"a" * 15 + b"\r\n") * 512),
    "trailers after a body": (CHUNKED + MEGABYTE_CHUNK + b"0\r\n", b"a:\r\n" * 4096),
    "a trailer's value after a body": (
        CHUNKED + MEGABYTE_CHUNK + b"0\r\nX-Long: ",
        PART,
    ),
    "header lines after the body of another answer": (
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1048576\r\n\r\n"
        + b"a" * (1 << 20)
        + HEAD,
        b"a:\r\n" * 4096,
    ),
}


# Guards against pieces whose objects take many times the memory of their bytes.
@pytest.mark.parametrize("kind", PIECES_WITHOUT_END)
def test_pieces_without_end_take_little_more_memory_than_the_longest_answer(
    kind, monkeypatch
):
    longest_bytes = 2 << 20
    monkeypatch.setattr(
        "agaterelay.adapters.http_pool.MAX_RESPONSE_BYTES", longest_bytes
    )

    async def scenario():
        first, rest = PIECES_WITHOUT_END[kind]
        connection = PooledConnection(
            b"x-id", lambda lost: None, ResponseMemory(MAX_BUFFERED_BYTES), 1000
        )
        connection._transport = FakeTransport()
        waiting = connection.send(b"GET /x HTTP/1.1\r\n\r\n", b"", b"one", False)
        tracemalloc.start()
        try:
            connection.data_received(first)
            for _ in range(16 * longest_bytes // len(rest)):
                connection.data_received(rest)
                if not connection.open:
                    break
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        with pytest.raises(AnswerLostError):
            await waiting
        assert peak_bytes < MAX_PEAK_RATIO * longest_bytes

    asyncio.run(scenario())


NEXT_RESPONSE = HEAD + b"Content-Length: 4\r\n\r\nnext"
INVALID_STATUS_LINES = [
    *(b"HTTP/1.1 %s X" % status for status in (b"000", b"007", b"099", b"101")),
    *(b"HTTP/1.1 %s X" % status for status in (b"600", b"999")),
    *(b"HTTP/1.1 20 X", b"HTTP/1.1 2000 X", b"HTTP/1.1 -20 X", b"HTTP/1.1 abc X"),
    *(b"HTTP/7.3 200 X", b"ICY 200 X", b"HTTP/1.1 600", b"GET / HTTP/1.1"),
]


# Guards against a call that waits for its deadline, and is then given another's answer,
# after a response with a status that HTTP does not have.
@pytest.mark.parametrize("follows", [b"", b"\r\n", b"\r\nX-Id: one\r\n\r\n"])
@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_an_invalid_status_line_fails_the_call_and_ends_the_connection(line, follows):

    async def scenario():
        connection = PooledConnection(
            b"x-id", lambda lost: None, ResponseMemory(MAX_BUFFERED_BYTES), 1000
        )
        connection._transport = FakeTransport()
        waiting = connection.send(b"GET /x HTTP/1.1\r\n\r\n", b"", b"one", False)
        connection.data_received(line + (follows or b" "))
        if not follows:
            connection.data_received(b"Y\r\nX-Id: one\r\n\r\n")
        connection.data_received(NEXT_RESPONSE)
        assert waiting.done()
        with pytest.raises(AnswerLostError):
            await waiting
        assert not connection.open

    asyncio.run(scenario())


# Guards against taking an interim response that HTTP allows for an invalid one.
@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_the_answer_after_an_interim_response_is_read(status):
    async def scenario():
        connection = PooledConnection(
            b"x-id", lambda lost: None, ResponseMemory(MAX_BUFFERED_BYTES), 1000
        )
        connection._transport = FakeTransport()
        waiting = connection.send(b"GET /x HTTP/1.1\r\n\r\n", b"", b"one", False)
        connection.data_received(b"HTTP/1.1 %d X\r\n\r\n" % status + NEXT_RESPONSE)
        assert (await waiting).body == b"next"

    asyncio.run(scenario())


class SlowTransport(FakeTransport):
    """Takes parts until it is told to have enough of them."""

    def __init__(self):
        self.written = []

    def write(self, data):
        self.written.append(bytes(data))


def test_a_long_body_is_written_in_parts_as_the_upstream_reads_it():
    async def scenario():
        connection = PooledConnection(b"x-id", print, ResponseMemory(1 << 20), 1000)
        transport = SlowTransport()
        connection._transport = transport
        connection.pause_writing()
        body = bytearray(b"abcd" * (SENT_PART_BYTES // 2))
        connection.send(b"head", body, b"one", False)
        assert transport.written == [b"head"]
        connection.resume_writing()
        assert [len(part) for part in transport.written[1:]] == [SENT_PART_BYTES] * 2
        assert b"".join(transport.written) == b"head" + body

    asyncio.run(scenario())


# Guards against the rest of a body that is read as the head of the next request.
def test_a_connection_whose_answer_came_before_the_whole_body_is_not_used_again():
    async def scenario():
        connection = PooledConnection(b"x-id", print, ResponseMemory(1 << 20), 1000)
        transport = SlowTransport()
        connection._transport = transport
        connection.pause_writing()
        answer = connection.send(b"head", bytes(2 * SENT_PART_BYTES), b"one", False)
        connection.data_received(HEAD + b"Content-Length: 0\r\n\r\n")
        assert (await answer).status == 200
        assert not connection.open
        connection.resume_writing()
        assert transport.written == [b"head"]

    asyncio.run(scenario())
