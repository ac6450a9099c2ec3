"""Encode a document as a delta to an earlier one.

Successive configurations have some hundred kilobytes each and differ in a few routes;
sending many of them whole would saturate the links of the nodes that pass them on. A
document is split where its lists end. A delta refers to runs of pieces that the earlier
document has too, and contains the other pieces.
"""

from __future__ import annotations

import bisect
import zlib
from collections.abc import Callable, Sequence
from typing import Any

# Ends a record of a list in JSON. A document without it is one piece, sent whole.
SEPARATOR = b"],"

# Longer pieces are spliced if most of them is in the earlier document: the keys of a
# workspace are one piece. Nodes of earlier builds cannot apply a splice, and request the
# whole document instead; the pieces of routes are far shorter.
MIN_SPLICE_BYTES = 1024

# A run of pieces of the earlier document (first, count), a splice of one of its pieces
# (index, length of its head, length of its tail, bytes between them), or joined new pieces.
DeltaStep = tuple[int, int] | tuple[int, int, int, bytes] | bytes


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
    # The index of the next piece in the base, if pieces only were replaced.
    expected = 0

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
        in_step = expected < len(base_pieces) and base_pieces[expected] == piece
        index = expected if in_step else first_at.get(piece)
        if index is None:
            end_run()
            splice = _splice(base_pieces, expected, piece)
            if splice is None:
                new_pieces.append(piece)
            else:
                end_new_pieces()
                steps.append(splice)
            expected += 1
            continue
        end_new_pieces()
        if run_count and index == run_first + run_count:
            run_count += 1
        else:
            end_run()
            run_first, run_count = index, 1
        expected = index + 1
    end_run()
    end_new_pieces()
    return steps, zlib.crc32(target)


def _splice(
    base_pieces: Sequence[bytes], index: int, piece: bytes
) -> tuple[int, int, int, bytes] | None:
    """Return how a long piece differs from one of the base, None if in most of it."""
    if len(piece) < MIN_SPLICE_BYTES or index >= len(base_pieces):
        return None
    base = base_pieces[index]
    shorter = min(len(base), len(piece))
    head = _count_true(shorter, lambda size: base.startswith(piece[:size]))
    tail = _count_true(
        shorter - head, lambda size: base.endswith(piece[len(piece) - size :])
    )
    if head + tail < len(piece) // 2:
        return None
    return index, head, tail, piece[head : len(piece) - tail]


def _count_true(most: int, holds: Callable[[int], bool]) -> int:
    """Return the greatest number up to ``most`` for which ``holds``, by bisection."""
    return bisect.bisect_left(range(1, most + 1), True, key=lambda n: not holds(n))


def patch(base: bytes, steps: Sequence[Sequence[Any] | bytes], checksum: int) -> bytes:
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
        elif len(step) == 4:
            index, head, tail, middle = step
            piece = b"".join(pieces[index : index + 1])
            parts.append(piece[:head] + middle + piece[len(piece) - tail :])
        else:
            first, count = step
            parts.append(SEPARATOR.join(pieces[first : first + count]))
    target = SEPARATOR.join(parts)
    if zlib.crc32(target) != checksum:
        raise DeltaError("checksum of the patched document does not match the delta's")
    return target
