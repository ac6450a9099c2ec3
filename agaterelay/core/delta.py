"""Describe a document by how it differs from an earlier one.

Successive configurations are some hundred kilobytes large and differ in a few routes;
many of them in a row would fill the links of the nodes that hand them on. A document is
cut where its lists end, and a delta names runs of pieces that the earlier document has
too, and holds the others.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

# Ends a record of a list in JSON; any other document is one piece and told whole.
SEPARATOR = b"],"

# A run of pieces of the earlier document (first, count), or new pieces joined.
Step = tuple[int, int] | bytes


class DeltaError(Exception):
    """The delta doesn't belong to the document."""


def diff(base: bytes, target: bytes) -> tuple[list[Step], int]:
    """Return the steps that make a document from an earlier one, and its checksum."""
    base_pieces = base.split(SEPARATOR)
    first_at: dict[bytes, int] = {}
    for index, piece in enumerate(base_pieces):
        first_at.setdefault(piece, index)
    steps: list[Step] = []
    fresh: list[bytes] = []
    run_first = run_count = 0

    def end_run() -> None:
        nonlocal run_count
        if run_count:
            steps.append((run_first, run_count))
            run_count = 0

    def end_fresh() -> None:
        if fresh:
            steps.append(SEPARATOR.join(fresh))
            fresh.clear()

    for piece in target.split(SEPARATOR):
        follows = run_first + run_count
        if run_count and follows < len(base_pieces) and base_pieces[follows] == piece:
            run_count += 1
            continue
        index = first_at.get(piece)
        end_run()
        if index is None:
            fresh.append(piece)
            continue
        end_fresh()
        run_first, run_count = index, 1
    end_run()
    end_fresh()
    return steps, zlib.crc32(target)


def patch(base: bytes, steps: Sequence[Sequence[int] | bytes], checksum: int) -> bytes:
    """Return the document that the steps make from an earlier one.

    Raises:
        DeltaError: The earlier document isn't the one that the delta was made for.
    """
    pieces = base.split(SEPARATOR)
    parts: list[bytes] = []
    for step in steps:
        if isinstance(step, bytes):
            parts.append(step)
        else:
            first, count = step
            parts.append(SEPARATOR.join(pieces[first : first + count]))
    target = SEPARATOR.join(parts)
    if zlib.crc32(target) != checksum:
        raise DeltaError("the checksum differs")
    return target
