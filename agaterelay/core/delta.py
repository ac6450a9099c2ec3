"""Encode a document as a delta to an earlier one.

Successive configurations have some hundred kilobytes each and differ in a few routes;
sending many of them whole would saturate the links of the nodes that pass them on. A
document is split where its lists end. A delta refers to runs of pieces that the earlier
document has too, and contains the other pieces.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

# Ends a record of a list in JSON. A document without it is one piece, sent whole.
SEPARATOR = b"],"

# A run of pieces of the earlier document (first, count), or joined new pieces.
DeltaStep = tuple[int, int] | bytes


class DeltaError(Exception):
    """The delta was made for another base document."""


def diff(base: bytes, target: bytes) -> tuple[list[DeltaStep], int]:
    """Return the steps from ``base`` to ``target``, and the checksum of ``target``."""
    base_pieces = base.split(SEPARATOR)
    first_at: dict[bytes, int] = {}
    for index, piece in enumerate(base_pieces):
        first_at.setdefault(piece, index)
    steps: list[DeltaStep] = []
    new_pieces: list[bytes] = []
    run_first = run_count = 0

    def end_run() -> None:
        nonlocal run_count
        if run_count:
            steps.append((run_first, run_count))
            run_count = 0

    def end_new_pieces() -> None:
        if new_pieces:
            steps.append(SEPARATOR.join(new_pieces))
            new_pieces.clear()

    for piece in target.split(SEPARATOR):
        next_index = run_first + run_count
        if (
            run_count
            and next_index < len(base_pieces)
            and base_pieces[next_index] == piece
        ):
            run_count += 1
            continue
        index = first_at.get(piece)
        end_run()
        if index is None:
            new_pieces.append(piece)
            continue
        end_new_pieces()
        run_first, run_count = index, 1
    end_run()
    end_new_pieces()
    return steps, zlib.crc32(target)


def patch(base: bytes, steps: Sequence[Sequence[int] | bytes], checksum: int) -> bytes:
    """Apply the steps of a delta to the base document.

    Raises:
        DeltaError: The checksum of the result differs: the delta was made for another
            base document.
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
        raise DeltaError("checksum of the patched document does not match the delta's")
    return target
