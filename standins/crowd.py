"""Callers that don't behave: many connections that send one shape of input.

Each caller opens its connection again after it was closed, until the time is over.
``ready`` is printed once all callers have begun to send, and the answers that came, by
status, at the end of the standard input or of the time.

    python -m standins.crowd --address 127.0.0.1:7000 --shape tiny_chunks --callers 250
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import random
import sys
import threading
from collections import Counter
from collections.abc import Callable, Iterator

import attrs

PIECE_BYTES = 64 << 10
RECONNECT_DELAY_S = 0.1
HEADERS = "Host: app.example\r\nX-Request-Deadline: 8000\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
# Without an end of the head.
SHORT_HEADER_LINE = b"a:b\r\n"


@attrs.frozen
class Plan:
    """What the callers of a crowd send.

    Attributes:
        path: The path of their requests.
        body_bytes: The size of a body.
        header_bytes: The size of the headers of a request with many of them.
    """

    path: str = "/read/x"
    body_bytes: int = 1 << 20
    header_bytes: int = 14 << 10


Shape = Callable[[Plan], Iterator[bytes]]


def _head(plan: Plan, more: str, method: str = "POST") -> bytes:
    call_id = f"{random.getrandbits(64):016x}"
    line = f"{method} {plan.path} HTTP/1.1\r\nX-Attempt-Id: {call_id}\r\n"
    return f"{line}{HEADERS}{more}".encode()


def _bytes_in_pieces(size_bytes: int) -> Iterator[bytes]:
    whole, rest = divmod(size_bytes, PIECE_BYTES)
    yield from itertools.repeat(b"a" * PIECE_BYTES, whole)
    yield b"a" * rest


def unfinished_length(plan: Plan) -> Iterator[bytes]:
    """Send a body of a declared length, and stop one byte short of it."""
    yield _head(plan, f"Content-Length: {plan.body_bytes}\r\n\r\n")
    yield from _bytes_in_pieces(plan.body_bytes - 1)


def finished_length(plan: Plan) -> Iterator[bytes]:
    """Send a whole body of a declared length."""
    yield _head(plan, f"Content-Length: {plan.body_bytes}\r\n\r\n")
    yield from _bytes_in_pieces(plan.body_bytes)


def unfinished_large_chunks(plan: Plan) -> Iterator[bytes]:
    """Send a body in large chunks without its last chunk."""
    yield _head(plan, f"{CHUNKED}\r\n")
    for piece in _bytes_in_pieces(plan.body_bytes - 1):
        yield b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b""


def unfinished_tiny_chunks(plan: Plan) -> Iterator[bytes]:
    """Send a body in chunks of one byte without its last chunk."""
    yield _head(plan, f"{CHUNKED}\r\n")
    chunk = b"1\r\na\r\n"
    count = PIECE_BYTES // len(chunk)
    for begin in range(0, plan.body_bytes - 1, count):
        yield chunk * min(count, plan.body_bytes - 1 - begin)


def announced_over(plan: Plan) -> Iterator[bytes]:
    """Announce a body of a thousand times the size, and send it."""
    yield _head(plan, f"Content-Length: {1000 * plan.body_bytes}\r\n\r\n")
    yield from _bytes_in_pieces(1000 * plan.body_bytes)


def sent_over(plan: Plan) -> Iterator[bytes]:
    """Send a thousand times the size in chunks, without an announcement."""
    yield _head(plan, f"{CHUNKED}\r\n")
    for piece in _bytes_in_pieces(1000 * plan.body_bytes):
        yield b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b""


def endless_trailer(plan: Plan) -> Iterator[bytes]:
    """Send a trailer without end after a short body in chunks."""
    yield _head(plan, f"{CHUNKED}\r\n") + b"1\r\na\r\n0\r\nX-Trailer: "
    yield from _bytes_in_pieces(1000 * plan.body_bytes)


def endless_chunk_extension(plan: Plan) -> Iterator[bytes]:
    """Send a chunk extension without end."""
    yield _head(plan, f"{CHUNKED}\r\n") + b"1;x="
    yield from _bytes_in_pieces(1000 * plan.body_bytes)


def many_headers(plan: Plan) -> Iterator[bytes]:
    """Send a head of many short lines without its end."""
    yield _head(plan, "", "GET") + (
        SHORT_HEADER_LINE * (plan.header_bytes // len(SHORT_HEADER_LINE))
    )


def requests_ahead(plan: Plan) -> Iterator[bytes]:
    """Send short requests without an end, and without a wait for their answers."""
    while True:
        yield b"".join(_head(plan, "\r\n", "GET") for _ in range(400))


def silent(plan: Plan) -> Iterator[bytes]:
    """Send nothing."""
    yield b""


SHAPES: dict[str, Shape] = {
    shape.__name__: shape
    for shape in (
        unfinished_length,
        finished_length,
        unfinished_large_chunks,
        unfinished_tiny_chunks,
        announced_over,
        sent_over,
        endless_trailer,
        endless_chunk_extension,
        many_headers,
        requests_ahead,
        silent,
    )
}


@attrs.define
class Crowd:
    """A crowd in progress.

    Attributes:
        begun: The callers that have sent their first piece, or were refused.
        answers: The answers by status, and the connections that ended without one.
        has_ended: Whether no caller comes again.
    """

    address: str
    shape: Shape
    plan: Plan
    begun: set[int] = attrs.field(factory=set)
    answers: Counter[str] = attrs.field(factory=Counter)
    has_ended: bool = False


async def _read_statuses(crowd: Crowd, reader: asyncio.StreamReader) -> None:
    """Count the answers on a connection until its end."""
    counted = False
    try:
        while line := await reader.readline():
            if line.startswith(b"HTTP/1.1 "):
                crowd.answers[line.split(b" ")[1].decode()] += 1
                counted = True
    except (OSError, ValueError):
        crowd.answers["reset after an answer" if counted else "reset"] += 1


async def _send(crowd: Crowd, number: int, writer: asyncio.StreamWriter) -> None:
    for piece in crowd.shape(crowd.plan):
        writer.write(piece)
        crowd.begun.add(number)
        await writer.drain()


async def _play_caller(crowd: Crowd, number: int) -> None:
    host, port = crowd.address.rsplit(":", 1)
    # A cancellation may come while that of the sender is awaited, and end only that.
    while not crowd.has_ended:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            crowd.answers["no connection"] += 1
        else:
            sending = asyncio.create_task(_send(crowd, number, writer))
            try:
                await _read_statuses(crowd, reader)
            finally:
                sending.cancel()
                with contextlib.suppress(OSError, asyncio.CancelledError):
                    await sending
                writer.transport.abort()
        crowd.begun.add(number)
        await asyncio.sleep(RECONNECT_DELAY_S)


async def play(crowd: Crowd, callers: int, limit_s: float) -> None:
    """Play a crowd until the end of the standard input, or of the time."""
    tasks = [asyncio.create_task(_play_caller(crowd, n)) for n in range(callers)]
    end = asyncio.Event()
    loop = asyncio.get_running_loop()

    def await_input_end() -> None:
        sys.stdin.read()
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(end.set)

    # A daemon, so that the program ends with the time also while its input is open.
    threading.Thread(target=await_input_end, daemon=True).start()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while len(crowd.begun) < callers:
                await asyncio.sleep(0.05)
            print("ready", flush=True)
            await end.wait()
    crowd.has_ended = True
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    print(json.dumps(crowd.answers), flush=True)


def main() -> None:
    """Read the arguments and play a crowd."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--shape", required=True, choices=sorted(SHAPES))
    parser.add_argument("--callers", type=int, default=100)
    parser.add_argument("--limit-s", type=float, default=60.0)
    parser.add_argument("--body-bytes", type=int, default=1 << 20)
    parser.add_argument("--path", default="/read/x")
    arguments = parser.parse_args()
    plan = Plan(arguments.path, arguments.body_bytes)
    crowd = Crowd(arguments.address, SHAPES[arguments.shape], plan)
    asyncio.run(play(crowd, arguments.callers, arguments.limit_s))


if __name__ == "__main__":
    main()
