"""Hear of newer configurations on links, ask for them, and hand them out.

Every ping and answer carries a revision. Whom a node that is behind asks, and when, is
decided in ``core/catch_up.py``.
"""

from __future__ import annotations

import zlib
from typing import Any

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.catch_up import forget_source, hear, next_to_ask
from agaterelay.events import EventKind
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import in_own_zone, revision_of

COMPRESSION_LEVEL = 3


def note_revision(links: Links, connection: FrameConnection, revision: int) -> None:
    """Note which revision another node holds, and ask for it where that is due."""
    catch_up = links.catch_up
    held = revision_of(links.state)
    now_s = links.context.clock.monotonic_s()
    if hear(catch_up, connection, revision, held, now_s):
        links.context.record(
            EventKind.REVISION_SEEN,
            revision=revision,
            before=held,
            peer=connection.host,
            own_zone=in_own_zone(links.state, connection.host),
        )
    ask_for_table(links)


def ask_for_table(links: Links) -> None:
    """Ask a node that is ahead for the configuration, where that is due."""
    catch_up = links.catch_up
    if catch_up.behind_s is None:
        return
    for connection in tuple(catch_up.ahead):
        if not connection.open:
            forget_source(catch_up, connection)
    chosen = next_to_ask(
        catch_up,
        lambda connection: in_own_zone(links.state, connection.host),
        links.state.table is None,
        links.context.clock.monotonic_s(),
    )
    if chosen is not None:
        chosen.send([Frame.WANT_TABLE])


def take_table_frame(
    links: Links, connection: FrameConnection, frame: list[Any]
) -> None:
    """Hand out the configuration in force, or take in another node's."""
    table = links.state.table
    if frame[0] == Frame.WANT_TABLE and table is not None:
        if links.packed_table[0] != table.revision:
            packed = zlib.compress(table.source, COMPRESSION_LEVEL)
            links.packed_table = (table.revision, packed)
        connection.send([Frame.TABLE, links.packed_table[1]])
    elif frame[0] == Frame.TABLE:
        links.take_table(zlib.decompress(frame[1]))
