"""Decide what can still be compared after the store was restored to an older state.

A store that keeps eras numbers them in its responses, and begins a new one each time that
it comes back from an older copy. Versions are given out again then, so two versions say
which is newer only within one era. An order's number therefore holds the era and the
version of its row. Without eras it is the version alone.
"""

from __future__ import annotations

import enum

# Versions are below ``checked.MAX_WHOLE``, which is under 2**50. The era has the rest of
# a signed 64-bit integer.
VERSION_BITS = 50
MAX_ERA = (1 << 13) - 1
MAX_ORDER_NUMBER = (1 << 63) - 1


class EraChange(enum.Enum):
    """What the era of a response means for the node that receives it."""

    SAME = "same"
    FIRST = "first"
    RESTORED = "restored"
    PASSED = "passed"


class OrderMatch(enum.Enum):
    """How a number of an order relates to the one held for the same target version."""

    OLDER = "older"
    SAME = "same"
    COPIED = "copied"
    LATER_ERA = "later era"
    NEWER = "newer"


def compare_era(held: int | None, received: int | None) -> EraChange:
    """Return what the era of a response means.

    Args:
        held: The highest era received so far, None if the store never named one.
        received: The era of the response, None without the header; one that no store
            reaches is ignored.
    """
    if received is None or received == held or received > MAX_ERA:
        return EraChange.SAME
    if held is None:
        return EraChange.FIRST
    return EraChange.RESTORED if received > held else EraChange.PASSED


def order_number(era: int | None, version: int) -> int:
    """Return the number of an order whose row was read in an era."""
    return ((era or 0) << VERSION_BITS) | version


def era_of(number: int) -> int:
    """Return the era of an order's number, 0 without eras."""
    return number >> VERSION_BITS


def version_of(number: int) -> int:
    """Return the version of an order's row."""
    return number & ((1 << VERSION_BITS) - 1)


def match_orders(held: int, received: int) -> OrderMatch:
    """Compare the numbers of two orders of one service to the same target version.

    Equal row versions in two eras are one row that the copy has kept: the order isn't
    new. Another version in a later era may be the same order, written again.
    """
    if held == received:
        return OrderMatch.SAME
    if era_of(held) == era_of(received):
        return OrderMatch.NEWER if received > held else OrderMatch.OLDER
    if version_of(held) == version_of(received):
        return OrderMatch.COPIED
    return OrderMatch.LATER_ERA if received > held else OrderMatch.OLDER
