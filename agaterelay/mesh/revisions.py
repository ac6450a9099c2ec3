"""Hear of newer configurations on links, ask for them, and hand them out.

Every ping and answer carries a revision. Whom a node that is behind asks, and when, is
decided in ``core/catch_up.py``; it is told what differs from the document that it holds.
"""

from __future__ import annotations

import zlib
from typing import Any

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.catch_up import forget_source, hear, next_to_ask
from agaterelay.core.delta import DeltaError, diff, patch
from agaterelay.core.model import RouteTable
from agaterelay.events import EventKind
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import in_own_zone, revision_of

COMPRESSION_LEVEL = 3
# Nodes that are behind by more revisions than this are told the whole document.
KEPT_DOCUMENTS = 6
NO_REVISION = 0


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
        chosen.send([Frame.WANT_TABLE, revision_of(links.state)])


def keep_document(links: Links, table: RouteTable) -> None:
    """Keep the document that is in force now, to hand it on."""
    documents = links.documents
    documents.prepared.clear()
    documents.sources[table.revision] = table.source
    while len(documents.sources) > KEPT_DOCUMENTS:
        del documents.sources[next(iter(documents.sources))]


def take_table_frame(
    links: Links, connection: FrameConnection, frame: list[Any]
) -> None:
    """Hand out the configuration in force, or take in another node's."""
    if frame[0] == Frame.WANT_TABLE:
        if links.state.table is not None:
            connection.send(_table_frame(links, links.state.table, frame[1]))
    elif frame[0] == Frame.TABLE:
        links.apply_document(zlib.decompress(frame[1]))
    elif frame[0] == Frame.TABLE_DELTA:
        _, base_revision, steps, checksum = frame
        base = links.documents.sources.get(base_revision, b"")
        try:
            document = patch(base, steps, checksum)
        except DeltaError:
            connection.send([Frame.WANT_TABLE, NO_REVISION])
        else:
            links.apply_document(document)


def _table_frame(links: Links, table: RouteTable, base_revision: int) -> list[Any]:
    """Return the frame that tells a node the document in force.

    Args:
        links: The links.
        table: The configuration in force.
        base_revision: The revision that the node holds, 0 for none.
    """
    documents = links.documents
    base = documents.sources.get(base_revision)
    key = NO_REVISION if base is None else base_revision
    if key not in documents.prepared:
        if base is None:
            packed = zlib.compress(table.source, COMPRESSION_LEVEL)
            documents.prepared[key] = [Frame.TABLE, packed]
        else:
            steps, checksum = diff(base, table.source)
            documents.prepared[key] = [Frame.TABLE_DELTA, key, steps, checksum]
    return documents.prepared[key]
