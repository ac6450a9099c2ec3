"""A loopback proxy that can delay, hold back or reset the connections through it."""

from __future__ import annotations

import asyncio

import attrs

CHUNK_BYTES = 1 << 16
HOLD_POLL_S = 0.02


@attrs.define(eq=False)
class Route:
    """A proxied address with its target and its injected faults.

    ``hold_out`` holds data towards the target, and ``hold_back`` data from it; both
    together make connections silent in both directions.
    """

    listen: str
    target: str
    delay_s: float = 0.0
    hold_out: bool = False
    hold_back: bool = False
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    server: asyncio.Server | None = None


async def open_route(listen: str, target: str) -> Route:
    """Listen on an address and forward its connections to a target.

    Raises:
        OSError: The address cannot be bound.
    """
    route = Route(listen, target)
    host, port = listen.rsplit(":", 1)
    route.server = await asyncio.start_server(
        lambda reader, writer: _forward_connection(route, reader, writer),
        host,
        int(port),
    )
    return route


def heal(route: Route) -> None:
    """End the delay and the holding; data that was held is forwarded."""
    route.delay_s = 0.0
    route.hold_out = route.hold_back = False


def reset(route: Route) -> None:
    """Abort all connections of a route."""
    for writer in tuple(route.writers):
        writer.transport.abort()


def close_route(route: Route) -> None:
    """Stop listening and abort all connections of a route."""
    if route.server is not None:
        route.server.close()
    reset(route)


async def _forward_connection(
    route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    host, port = route.target.rsplit(":", 1)
    route.writers.add(writer)
    target_writer = None
    try:
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        route.writers.add(target_writer)
        await asyncio.wait(
            {
                asyncio.create_task(
                    _copy_data(route, reader, target_writer, to_target=True)
                ),
                asyncio.create_task(
                    _copy_data(route, target_reader, writer, to_target=False)
                ),
            }
        )
    except OSError:
        # The target refuses the connection, so the caller's is ended too.
        writer.transport.abort()
    finally:
        for item in (writer, target_writer):
            if item is not None:
                route.writers.discard(item)
                item.close()


async def _copy_data(
    route: Route,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    to_target: bool,
) -> None:
    try:
        while data := await reader.read(CHUNK_BYTES):
            if route.delay_s:
                await asyncio.sleep(route.delay_s)
            while route.hold_out if to_target else route.hold_back:
                await asyncio.sleep(HOLD_POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except (OSError, RuntimeError):
        # One side was lost, so the connection of the other one is ended too.
        writer.transport.abort()
