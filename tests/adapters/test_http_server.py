"""The HTTP server: order of answers, limits, closes, and the end of the process."""

import asyncio
import contextlib
import functools
import gc
import socket
import tracemalloc
import weakref

import pytest

from agaterelay.adapters.http_messages import HttpResponse, RequestRoom
from agaterelay.adapters.http_server import HttpServer
from agaterelay.adapters.server_connection import LINGERING_READ_S
from agaterelay.core.memory_account import (
    MemoryAccount,
    finish_receiving,
    note_received,
    release,
    reserve,
)
from agaterelay.core.model import CallerLimits

TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def serving(handler, account=None, **limits):
    """Serve on a free port; yield the server and a function that connects to it."""
    refusals = []
    server = HttpServer(handler, lambda: CallerLimits(**limits), refusals.append)
    if account is not None:
        server.room = RequestRoom(
            functools.partial(reserve, account),
            functools.partial(release, account),
            lambda holder, size_bytes: note_received(account, holder, size_bytes, 0.0),
            functools.partial(finish_receiving, account),
        )
    server.refusals = refusals
    await server.listen("127.0.0.1:0")
    port = server._server.sockets[0].getsockname()[1]
    writers = []

    async def connect():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writers.append(writer)
        return reader, writer

    try:
        yield server, connect
    finally:
        server.abort()
        for writer in writers:
            writer.close()


async def echo(request):
    return HttpResponse(200, (("X-Target", request.target),), request.body)


async def read_answer(reader):
    """Return the status, the headers by lower-case name, and the body."""
    async with asyncio.timeout(TIMEOUT_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(first.split()[1]), headers, body


async def read_to_end(reader):
    async with asyncio.timeout(TIMEOUT_S):
        return await reader.read()


def get(target, more=""):
    return f"GET {target} HTTP/1.1\r\nHost: a\r\n{more}\r\n".encode()


def run(scenario):
    asyncio.run(scenario())


def test_bodies_with_a_length_and_in_chunks_are_read_whole():
    async def scenario():
        async with serving(echo) as (_, connect):
            reader, writer = await connect()
            writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
            await asyncio.sleep(0.05)
            writer.write(b"cde")
            assert (await read_answer(reader))[2] == b"abcde"
            writer.write(
                b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nab\r\n3\r\ncde\r\n0\r\nX-Trailer: dropped\r\n\r\n"
            )
            assert (await read_answer(reader))[2] == b"abcde"

    run(scenario)


def test_a_request_is_answered_although_the_next_one_cannot_be_read():
    async def scenario():
        async with serving(echo) as (server, connect):
            reader, writer = await connect()
            writer.write(get("/good") + b"NONSENSE\r\n\r\n")
            assert (await read_answer(reader))[1]["x-target"] == "/good"
            status, headers, _ = await read_answer(reader)
            assert (status, headers["connection"]) == (400, "close")
            assert await read_to_end(reader) == b""
            assert [item.status for item in server.refusals] == [400]

    run(scenario)


def test_what_follows_a_request_that_closes_the_connection_is_not_read():
    seen = []

    async def note(request):
        seen.append(request.target)
        return HttpResponse(200)

    async def scenario():
        async with serving(note) as (_, connect):
            reader, writer = await connect()
            writer.write(get("/last", "Connection: close\r\n") + get("/unread"))
            assert (await read_answer(reader))[0] == 200
            assert await read_to_end(reader) == b""
            assert seen == ["/last"]

    run(scenario)


def test_what_follows_an_answer_that_closes_the_connection_never_reaches_the_handler():
    seen = []

    async def close(request):
        seen.append(request.target)
        return HttpResponse(503, closes=True)

    async def scenario():
        async with serving(close) as (_, connect):
            reader, writer = await connect()
            writer.write(get("/refused") + get("/unread"))
            assert (await read_answer(reader))[0] == 503
            # More bytes while the connection is closing don't reset it.
            writer.write(get("/late"))
            assert await read_to_end(reader) == b""
            assert seen == ["/refused"]

    run(scenario)


def test_many_requests_in_one_segment_are_answered_in_order():
    async def scenario():
        async with serving(echo) as (_, connect):
            reader, writer = await connect()
            targets = [f"/{number}" for number in range(300)]
            writer.write(b"".join(map(get, targets)))
            answers = [await read_answer(reader) for _ in targets]
            assert [headers["x-target"] for _, headers, _ in answers] == targets

    run(scenario)


def test_a_caller_that_sends_without_end_is_not_read_further():
    held = asyncio.Event

    async def scenario():
        waiting = held()

        async def hold(request):
            await waiting.wait()
            return HttpResponse(200)

        async with serving(hold) as (server, connect):
            _, writer = await connect()
            writer.write(b"".join(get(f"/{number}") for number in range(100)))
            await asyncio.sleep(0.1)
            (connection,) = server.connections
            assert not connection.transport.is_reading()

    run(scenario)


def test_a_caller_that_does_not_read_gets_no_more_answers_computed():
    answered = []

    async def large(request):
        answered.append(request.target)
        return HttpResponse(200, body=b"x" * (4 << 20))

    async def scenario():
        async with serving(large) as (_, connect):
            _, writer = await connect()
            writer.transport.pause_reading()
            writer.write(b"".join(get(f"/{number}") for number in range(20)))
            await asyncio.sleep(0.3)
            assert len(answered) < 10

    run(scenario)


def test_a_handler_that_fails_is_answered_and_closes_the_connection():
    async def fail(request):
        raise ValueError("broken")

    async def scenario():
        async with serving(fail) as (_, connect):
            reader, writer = await connect()
            writer.write(get("/a"))
            status, headers, _ = await read_answer(reader)
            assert (status, headers["connection"]) == (500, "close")
            assert await read_to_end(reader) == b""

    run(scenario)


def test_a_head_request_gets_the_length_without_the_body():
    async def body(request):
        return HttpResponse(200, body=b"abc")

    async def scenario():
        async with serving(body) as (_, connect):
            reader, writer = await connect()
            writer.write(b"HEAD /a HTTP/1.1\r\n\r\n" + get("/b"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Content-Length: 3" in head
            assert (await read_answer(reader))[2] == b"abc"

    run(scenario)


def test_a_caller_that_waits_for_a_sign_to_send_its_body_gets_one():
    async def scenario():
        async with serving(echo) as (_, connect):
            reader, writer = await connect()
            writer.write(
                b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
            )
            assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
            writer.write(b"abc")
            assert (await read_answer(reader))[2] == b"abc"

    run(scenario)


def test_an_older_client_that_asks_to_keep_its_connection_may():
    async def scenario():
        async with serving(echo) as (_, connect):
            reader, writer = await connect()
            writer.write(b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
            assert (await read_answer(reader))[1]["connection"] == "keep-alive"
            writer.write(b"GET /b HTTP/1.0\r\n\r\n")
            assert (await read_answer(reader))[1]["connection"] == "close"
            assert await read_to_end(reader) == b""

    run(scenario)


def test_a_request_for_another_protocol_is_answered_as_plain_http_and_closed():
    async def scenario():
        async with serving(echo) as (_, connect):
            reader, writer = await connect()
            writer.write(get("/a", "Connection: Upgrade\r\nUpgrade: websocket\r\n"))
            assert (await read_answer(reader))[0] == 200
            assert await read_to_end(reader) == b""

    run(scenario)


@pytest.mark.parametrize("size_bytes", [3000, 200_000])
def test_a_head_without_end_is_refused_before_it_fills_the_memory(size_bytes):
    async def scenario():
        async with serving(echo, max_header_bytes=1000) as (_, connect):
            reader, writer = await connect()
            writer.write(b"GET /a HTTP/1.1\r\nX-Long: ")
            await asyncio.sleep(0.02)
            writer.write(b"a" * size_bytes)
            assert (await read_answer(reader))[0] == 431

    run(scenario)


def test_a_planned_stop_answers_every_request_whose_handler_began():
    began = []

    async def slow(request):
        began.append(request.target)
        await asyncio.sleep(0.1)
        return HttpResponse(200, (("X-Target", request.target),))

    async def scenario():
        answered = []

        async def call_on(connection, number):
            reader, writer = connection
            for turn in range(50):
                writer.write(get(f"/{number}/{turn}"))
                try:
                    answered.append((await read_answer(reader))[1]["x-target"])
                except (asyncio.IncompleteReadError, ConnectionError):
                    return

        async with serving(slow) as (server, connect):
            connections = [await connect() for _ in range(30)]
            callers = [
                asyncio.create_task(call_on(connection, number))
                for number, connection in enumerate(connections)
            ]
            await asyncio.sleep(0.25)
            await server.stop(1.0)
            await asyncio.gather(*callers)
            assert len(began) >= 60
            assert sorted(answered) == sorted(began)

    run(scenario)


def test_a_caller_that_leaves_cancels_its_handler():
    ended = []

    async def wait(request):
        try:
            await asyncio.sleep(TIMEOUT_S)
        finally:
            ended.append(request.target)
        return HttpResponse(200)

    async def scenario():
        async with serving(wait) as (_, connect):
            _, writer = await connect()
            writer.write(get("/first") + get("/behind"))
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            assert ended == ["/first"]

    run(scenario)


def test_an_answer_that_cannot_be_written_is_replaced_by_a_failure():
    async def answer_oddly(request):
        return HttpResponse(200, (("X-Odd", "\u2028"),), b"body")

    async def scenario():
        async with serving(answer_oddly) as (_, connect):
            reader, writer = await connect()
            writer.write(get("/a"))
            status, headers, _ = await read_answer(reader)
            assert (status, headers["connection"]) == (500, "close")

    run(scenario)


# Guards against pieces whose objects take many times the memory of their bytes.
def test_a_body_in_small_pieces_takes_little_more_memory_than_its_bytes():
    longest_bytes = 1 << 20

    async def scenario():
        async with serving(echo, max_body_bytes=longest_bytes) as (server, connect):
            _, writer = await connect()
            writer.write(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                while not any(item._in_body for item in server.connections):
                    await asyncio.sleep(0.01)
            (connection,) = server.connections
            piece = b"2\r\nab\r\n" * 512
            tracemalloc.start()
            try:
                for _ in range(longest_bytes // 1024 - 1):
                    connection.data_received(piece)
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert not connection._reading_ended
            assert peak_bytes < 4 * longest_bytes

    run(scenario)


def test_an_answer_that_is_still_being_read_is_not_cut_by_the_end_of_its_connection():
    body = b"b" * (12 << 20)

    async def answer_largely(request):
        return HttpResponse(200, (), body, closes=True)

    async def scenario():
        async with serving(answer_largely) as (server, _):
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            connection.connect(server._server.sockets[0].getsockname())
            reader, writer = await asyncio.open_connection(sock=connection, limit=4096)
            # The second request leaves bytes unread when the first answer closes.
            writer.write(get("/a") + get("/b"))
            await reader.readuntil(b"\r\n\r\n")
            for part in range(14):
                await asyncio.sleep(LINGERING_READ_S / 10)
                assert await reader.readexactly(1 << 18), part
            assert len(await read_to_end(reader)) == len(body) - 14 * (1 << 18)
            writer.close()

    run(scenario)


# Guards against a close that resets the connection of a caller that sends its whole body
# before it reads the answer.
@pytest.mark.parametrize(
    "framing", ["Content-Length: 1000000", "Transfer-Encoding: chunked"]
)
def test_a_caller_that_sends_on_after_a_refusal_can_read_it(framing):
    async def scenario():
        async with serving(echo, max_body_bytes=500_000) as (_, connect):
            reader, writer = await connect()
            writer.write(f"POST /a HTTP/1.1\r\n{framing}\r\n\r\n".encode())
            for _ in range(6):
                writer.write(b"186a0\r\n" + b"a" * 100_000 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(LINGERING_READ_S / 3)
            assert (await read_answer(reader))[0] == 413
            assert await read_to_end(reader) == b""

    run(scenario)


CHUNKED_HEAD = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


# Guards against framing that the parser keeps, or that keeps it busy, without an end.
@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"1\r\na\r\n0\r\nX-Trailer: ", b"a" * 1000),
        (b"1\r\na\r\n0\r\n", b"a:b\r\n" * 200),
        (b"1;x=", b"a" * 1000),
        (b"", b"1;x=" + b"a" * 500 + b"\r\na\r\n"),
    ],
)
def test_framing_of_a_body_without_an_end_is_refused(first, piece):
    async def scenario():
        async with serving(echo, max_header_bytes=4000) as (_, connect):
            reader, writer = await connect()
            writer.write(CHUNKED_HEAD)
            await asyncio.sleep(0.05)
            writer.write(first)
            for _ in range(40):
                writer.write(piece)
                await asyncio.sleep(0)
            assert (await read_answer(reader))[0] == 431

    run(scenario)


def test_a_body_in_chunks_of_one_byte_with_a_trailer_is_inside_the_limit():
    async def scenario():
        async with serving(echo, max_header_bytes=1000) as (_, connect):
            reader, writer = await connect()
            writer.write(CHUNKED_HEAD)
            await asyncio.sleep(0.05)
            writer.write(b"01\r\na\r\n" * 20_000)
            writer.write(b"0\r\nX-Trailer: " + b"a" * 800 + b"\r\n\r\n")
            assert (await read_answer(reader))[2] == b"a" * 20_000

    run(scenario)


# Guards against heads that take much more memory than their bytes.
def test_a_head_of_many_lines_takes_room_until_its_answer():
    held = []

    async def note(request):
        held.append(account.used_bytes)
        return HttpResponse(200)

    account = MemoryAccount(10 << 20)

    async def scenario():
        async with serving(note, account) as (_, connect):
            reader, writer = await connect()
            writer.write(b"GET /a HTTP/1.1\r\n" + b"a:b\r\n" * 2000 + b"\r\n")
            assert (await read_answer(reader))[0] == 200
            assert held[0] > 2000 * 200
            assert account.used_bytes == 0
            account.limit_bytes = 100_000
            writer.write(b"GET /a HTTP/1.1\r\n" + b"a:b\r\n" * 2000)
            status, headers, _ = await read_answer(reader)
            assert (status, headers["retry-after"]) == (503, "1.000")
            assert account.used_bytes == 0
            assert not account.receiving_small
            assert not account.receiving_large

    run(scenario)


def test_requests_ahead_of_their_answers_take_room_and_the_first_one_is_answered():
    async def wait(request):
        began.set()
        await ended.wait()
        return HttpResponse(200)

    account = MemoryAccount(100_000)
    began, ended = asyncio.Event(), asyncio.Event()

    async def scenario():
        async with serving(wait, account) as (server, connect):
            reader, writer = await connect()
            writer.write(get("/first"))
            await began.wait()
            writer.write(b"".join(get(f"/{number}") for number in range(30)))
            async with asyncio.timeout(TIMEOUT_S):
                while not any(item._reading_ended for item in server.connections):
                    await asyncio.sleep(0.01)
            assert account.used_bytes > 0
            ended.set()
            statuses = [(await read_answer(reader))[0] for _ in range(2)]
            while statuses[-1] == 200:
                statuses.append((await read_answer(reader))[0])
            assert statuses[-1] == 503
            assert await read_to_end(reader) == b""
            assert account.used_bytes == 0

    run(scenario)


# Guards against one caller that takes each place that comes free before others ask again.
def test_requests_ahead_wait_after_a_refusal_while_other_callers_are_handled():
    seen = []

    async def refuse(request):
        seen.append(request.target)
        return HttpResponse(503, pause_s=0.05)

    async def scenario():
        async with serving(refuse) as (_, connect):
            reader, writer = await connect()
            other_reader, other_writer = await connect()
            writer.write(b"".join(get(f"/ahead/{number}") for number in range(20)))
            await read_answer(reader)
            for number in range(3):
                other_writer.write(get(f"/other/{number}"))
                await read_answer(other_reader)
            assert sum("ahead" in target for target in seen) < 20
            for _ in range(19):
                await read_answer(reader)
            ahead = [target for target in seen if "ahead" in target]
            assert ahead == [f"/ahead/{number}" for number in range(20)]

    run(scenario)


# Guards against connections in use that are closed for others that send nothing.
def test_where_too_many_connections_are_open_a_silent_one_is_closed_first():
    async def scenario():
        async with serving(echo) as (server, connect):
            server.max_connections = 3
            causes = []
            server.on_crowded = causes.append
            used_reader, used_writer = await connect()
            used_writer.write(get("/a"))
            assert (await read_answer(used_reader))[0] == 200
            silent_readers = [(await connect())[0] for _ in range(3)]
            assert await read_to_end(silent_readers[0]) == b""
            assert causes == ["silent"]
            used_writer.write(get("/b"))
            assert (await read_answer(used_reader))[0] == 200

    run(scenario)


# Guards against requests that are held although their room is released.
def test_a_request_is_not_held_while_its_caller_reads_the_answer_or_is_idle():
    requests = []

    async def answer_largely(request):
        requests.append(weakref.ref(request))
        return HttpResponse(200, (), bytes(12 << 20))

    async def scenario():
        async with serving(answer_largely) as (server, connect):
            reader, writer = await connect()
            writer.write(get("/a"))
            async with asyncio.timeout(TIMEOUT_S):
                while not server.unsent_bytes:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            assert requests[0]() is None
            (connection,) = server.connections
            assert not connection._headers
            await read_answer(reader)

    run(scenario)


# Guards against what closed connections had received, held until a collection.
def test_the_memory_of_a_closed_connection_is_free_at_once():
    async def scenario():
        async with serving(echo) as (server, connect):
            _, writer = await connect()
            writer.write(CHUNKED_HEAD + b"1\r\na\r\n0\r\nX-Trailer: aaa")
            async with asyncio.timeout(TIMEOUT_S):
                while not any(item.has_sent for item in server.connections):
                    await asyncio.sleep(0.01)
                closed = [weakref.ref(item) for item in server.connections]
                writer.transport.abort()
                while server.connections:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            assert [item() for item in closed] == [None]

    gc.disable()
    try:
        run(scenario)
    finally:
        gc.enable()


UPGRADE = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"


# Guards against requests that run with an empty body in place of their own.
@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nabcde",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("is_split", [False, True])
def test_a_request_that_offers_another_protocol_keeps_its_body(body, is_split):
    async def scenario():
        async with serving(echo) as (_, connect):
            reader, writer = await connect()
            whole = b"POST /a HTTP/1.1\r\n" + UPGRADE.encode() + body + get("/b")
            for part in (
                [whole[i : i + 1] for i in range(len(whole))] if is_split else [whole]
            ):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            status, headers, received = await read_answer(reader)
            assert (status, headers["x-target"], received) == (200, "/a", b"abcde")
            assert (await read_answer(reader))[1]["x-target"] == "/b"

    run(scenario)


@pytest.mark.parametrize("body_bytes", [11, 1 << 20])
def test_a_body_over_the_limit_is_refused_also_with_an_offer_of_another_protocol(
    body_bytes,
):
    async def scenario():
        async with serving(echo, max_body_bytes=10) as (_, connect):
            reader, writer = await connect()
            head = f"POST /a HTTP/1.1\r\n{UPGRADE}Content-Length: {body_bytes}\r\n\r\n"
            writer.write(head.encode() + b"abc")
            assert (await read_answer(reader))[0] == 413

    run(scenario)
