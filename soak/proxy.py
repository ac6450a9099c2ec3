"""A loopback proxy that delays, holds, cuts one way or resets what passes through it."""

from __future__ import annotations

import asyncio

import attrs

CHUNK_BYTES = 1 << 16
HOLD_POLL_S = 0.02


@attrs.define(eq=False)
class Route:
    """One way through the proxy, and what is wrong with it now.

    ``hold_out`` keeps back what goes towards the target, ``hold_back`` what comes from
    it; both together are a connection that has gone silent.
    """

    listen: str
    target: str
    delay_s: float = 0.0
    hold_out: bool = False
    hold_back: bool = False
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    server: asyncio.Server | None = None


async def open_route(listen: str, target: str) -> Route:
    """Listen on an address and pass everything on to another.

    Raises:
        OSError: The address cannot be bound.
    """
    route = Route(listen, target)
    host, port = listen.rsplit(":", 1)
    route.server = await asyncio.start_server(
        lambda reader, writer: _join(route, reader, writer), host, int(port)
    )
    return route


def heal(route: Route) -> None:
    """Let everything pass again, what was held included."""
    route.delay_s = 0.0
    route.hold_out = route.hold_back = False


def reset(route: Route) -> None:
    """Reset all connections that pass here."""
    for writer in tuple(route.writers):
        writer.transport.abort()


def close_route(route: Route) -> None:
    """Pass nothing on any more."""
    if route.server is not None:
        route.server.close()
    reset(route)


async def _join(
    route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    host, port = route.target.rsplit(":", 1)
    route.writers.add(writer)
    far_writer = None
    try:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        route.writers.add(far_writer)
        await asyncio.wait(
            {
                asyncio.create_task(_pump(route, reader, far_writer, outwards=True)),
                asyncio.create_task(_pump(route, far_reader, writer, outwards=False)),
            }
        )
    except OSError:
        # The target is not there: the caller sees its connection end.
        writer.transport.abort()
    finally:
        for item in (writer, far_writer):
            if item is not None:
                route.writers.discard(item)
                item.close()


async def _pump(
    route: Route,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    outwards: bool,
) -> None:
    try:
        while data := await reader.read(CHUNK_BYTES):
            if route.delay_s:
                await asyncio.sleep(route.delay_s)
            while route.hold_out if outwards else route.hold_back:
                await asyncio.sleep(HOLD_POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except (OSError, RuntimeError):
        # One side is gone; the other one hears of it.
        writer.transport.abort()
