"""Long bodies of calls between nodes, sent in parts once there is room for them.

The node of the upstream reserves room for the whole body before it asks for the parts, and
the call begins only with the last one. Other frames of the link are sent between two parts,
so a small call waits behind one part at most.
"""

from __future__ import annotations

import asyncio

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.call_start import CallStart, permit_start
from agaterelay.mesh.link import IncomingBody, Link, Links

# Shorter bodies are sent in the frame of their call.
MAX_WHOLE_BODY_BYTES = 64 << 10
PART_BYTES = 64 << 10


async def send_body(
    connection: FrameConnection,
    number: int,
    body: bytes | bytearray,
    wanted: asyncio.Future[None],
    start: CallStart | None,
) -> None:
    """Send a body in parts, once the other node has asked for it.

    Args:
        connection: The connection to the other node.
        number: The number of the call on this connection.
        body: The body.
        wanted: Done once the other node has asked for it.
        start: Permitted before the last part is sent, None if the other node asks for
            that itself; without a permission, the last part is not sent.
    """
    await wanted
    rest = memoryview(body)
    while rest:
        await connection.drain()
        part, rest = rest[:PART_BYTES], rest[PART_BYTES:]
        if not rest and start is not None and not permit_start(start):
            return
        if not connection.send([Frame.BODY_PART, number, part]):
            return
        # Others have a turn between two parts, also on a fast link.
        await asyncio.sleep(0)


async def receive_body(
    links: Links,
    connection: FrameConnection,
    number: int,
    size_bytes: int,
    timeout_s: float,
) -> bytearray:
    """Ask for the body of a call, and return it once it is complete.

    Raises:
        TimeoutError: It was not complete in time.
    """
    key = (connection, number)
    complete: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    incoming = links.incoming_bodies[key] = IncomingBody(size_bytes, complete)
    try:
        connection.send([Frame.WANT_BODY, number])
        async with asyncio.timeout(timeout_s):
            await complete
    finally:
        del links.incoming_bodies[key]
    return incoming.received


def handle_body_part(
    links: Links, connection: FrameConnection, number: int, part: bytes
) -> None:
    """Append a part to its body; parts of calls that have ended are dropped.

    Raises:
        ValueError: It exceeds the size of the body.
    """
    incoming = links.incoming_bodies.get((connection, number))
    if incoming is None or incoming.complete.done():
        return
    if len(incoming.received) + len(part) > incoming.size_bytes:
        raise ValueError("the part exceeds its body")
    incoming.received += part
    if len(incoming.received) == incoming.size_bytes:
        incoming.complete.set_result(None)


def handle_wanted_body(link: Link, number: int) -> None:
    """Begin to send a body that the other node has asked for."""
    wanted = link.wanted_bodies.get(number)
    if wanted is not None and not wanted.done():
        wanted.set_result(None)
