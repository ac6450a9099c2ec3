"""Request newer configurations from other nodes, and send them to nodes that are behind.

Every ping and its answer carry a revision. ``core/catch_up.py`` decides which node is
asked, and when. The answer is a delta to the document that the asking node holds, where
the sender still holds that one too.
"""

from __future__ import annotations

import zlib
from typing import Any

from agaterelay.adapters.frames import MAX_FRAME_BYTES, Frame, FrameConnection
from agaterelay.core.catch_up import choose_source, observe_revision, remove_source
from agaterelay.core.checked import MALFORMED
from agaterelay.core.delta import DeltaError, diff, patch
from agaterelay.core.model import RouteTable
from agaterelay.events import EventKind
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import in_own_zone, revision_of

COMPRESSION_LEVEL = 3
# A node whose revision is no longer among these is sent the whole document.
MAX_CACHED_DOCUMENTS = 6
NO_REVISION = 0


def handle_revision(links: Links, connection: FrameConnection, revision: int) -> None:
    """Record which revision another node holds, and request it when that is due."""
    catch_up = links.catch_up
    held = revision_of(links.state)
    now_s = links.context.clock.monotonic_s()
    if observe_revision(catch_up, connection, revision, held, now_s):
        links.context.record(
            EventKind.REVISION_SEEN,
            revision=revision,
            before=held,
            peer=connection.host,
            own_zone=in_own_zone(links.state, connection.host),
        )
    request_table(links)


def request_table(links: Links) -> None:
    """Request the configuration from a node that is ahead, when that is due."""
    catch_up = links.catch_up
    if catch_up.behind_s is None:
        return
    for connection in tuple(catch_up.newer_revisions):
        if not connection.open:
            remove_source(catch_up, connection)
    chosen = choose_source(
        catch_up,
        lambda connection: in_own_zone(links.state, connection.host),
        links.state.table is None,
        links.context.clock.monotonic_s(),
    )
    if chosen is not None:
        chosen.send([Frame.WANT_TABLE, revision_of(links.state)])
        links.context.record(
            EventKind.REVISION_REQUESTED,
            revision=catch_up.newer_revisions[chosen],
            before=revision_of(links.state),
            peer=chosen.host,
        )


def cache_document(links: Links, table: RouteTable) -> None:
    """Cache the active document, to send it to other nodes and compute deltas from it."""
    documents = links.documents
    documents.prepared.clear()
    documents.sources[table.revision] = table.source
    while len(documents.sources) > MAX_CACHED_DOCUMENTS:
        del documents.sources[next(iter(documents.sources))]


def handle_table_frame(
    links: Links, connection: FrameConnection, frame: list[Any]
) -> None:
    """Send the active configuration on request, or apply one that another node sent.

    A delta that cannot be applied is answered by a request for the whole document.
    """
    if frame[0] == Frame.WANT_TABLE:
        if links.state.table is not None:
            connection.send(_table_frame(links, links.state.table, frame[1]))
    elif frame[0] == Frame.TABLE:
        unpacker = zlib.decompressobj()
        links.apply_document(unpacker.decompress(frame[1], MAX_FRAME_BYTES))
    elif frame[0] == Frame.TABLE_DELTA:
        try:
            _, base_revision, steps, checksum = frame
            base = links.documents.sources.get(base_revision, b"")
            document = patch(base, steps, checksum)
        except (DeltaError, *MALFORMED):
            connection.send([Frame.WANT_TABLE, NO_REVISION])
        else:
            links.apply_document(document)


def _table_frame(links: Links, table: RouteTable, base_revision: int) -> list[Any]:
    """Return the frame that carries the active document, whole or as a delta.

    Args:
        links: The links of this node.
        table: The active configuration.
        base_revision: The revision that the receiver holds, 0 for none.
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
