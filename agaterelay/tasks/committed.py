"""Record committed heads in the object store, and find the newest one there.

While the table does not answer, the object store is the only source of the newest
committed head. Each committed revision has its own immutable object; the object
``committed/latest`` is only a lower bound from which the search starts.
"""

from __future__ import annotations

from agaterelay.core.manifest import decode_head, encode_head
from agaterelay.core.model import Head
from agaterelay.ports import Objects

LATEST_NAME = "committed/latest"
MAX_LOOKUPS = 64


def committed_name(revision: int) -> str:
    """Return the name of the object that records a revision."""
    return f"committed/{revision}"


async def record_committed(objects: Objects, head: Head) -> None:
    """Record a head that is known to be committed, unless it is recorded already.

    Raises:
        PlatformError: It is unknown whether the head was recorded.
    """
    if not head.digest:
        return
    if await objects.get(committed_name(head.revision)) is not None:
        return
    await put_committed(objects, head)


async def put_committed(objects: Objects, head: Head) -> None:
    """Store the record of a head that is known to be committed.

    Raises:
        PlatformError: It is unknown whether the head was recorded.
    """
    body = encode_head(head)
    await objects.put(committed_name(head.revision), body)
    await objects.put(LATEST_NAME, body)


async def find_committed(objects: Objects, min_revision: int = 0) -> Head | None:
    """Return the newest committed head in the object store.

    Args:
        objects: The object store.
        min_revision: A revision that is known to be committed, or 0.

    Returns:
        The head, or None if the object store has none.

    Raises:
        PlatformError: The store did not answer.
    """
    newest = await _read(objects, LATEST_NAME)
    if newest is None or newest.revision < min_revision:
        newest = await _read(objects, committed_name(min_revision)) or newest
    if newest is None:
        return None
    for _ in range(MAX_LOOKUPS):
        following = await _read(objects, committed_name(newest.revision + 1))
        if following is None:
            break
        newest = following
    return newest


async def _read(objects: Objects, name: str) -> Head | None:
    body = await objects.get(name)
    if body is None:
        return None
    head, _ = decode_head(body)
    return head
