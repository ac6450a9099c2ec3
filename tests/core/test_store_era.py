"""What is comparable after the store was restored."""

import pytest

from agaterelay.core.store_era import (
    MAX_ERA,
    EraChange,
    OrderMatch,
    compare_era,
    match_orders,
    order_number,
)


@pytest.mark.parametrize(
    ("held", "received", "change"),
    [
        (None, None, EraChange.SAME),
        (None, 3, EraChange.FIRST),
        (3, None, EraChange.SAME),
        (3, 3, EraChange.SAME),
        (3, 4, EraChange.RESTORED),
        (4, 3, EraChange.PASSED),
        (4, MAX_ERA + 1, EraChange.SAME),
    ],
)
def test_era_of_a_response(held, received, change):
    """Guards against late responses that are used, and an absurd era that sticks."""
    assert compare_era(held, received) is change


@pytest.mark.parametrize(
    ("held", "received", "match"),
    [
        ((1, 5), (1, 5), OrderMatch.SAME),
        ((1, 5), (1, 6), OrderMatch.NEWER),
        ((1, 5), (1, 4), OrderMatch.OLDER),
        ((1, 5), (2, 5), OrderMatch.COPIED),
        ((2, 5), (1, 5), OrderMatch.COPIED),
        ((1, 9), (2, 4), OrderMatch.LATER_ERA),
        ((2, 4), (1, 9), OrderMatch.OLDER),
        ((None, 9), (None, 10), OrderMatch.NEWER),
    ],
)
def test_orders_of_one_version(held, received, match):
    """Guards against a lower version of a later era that counts as older."""
    assert match_orders(order_number(*held), order_number(*received)) is match


def test_a_number_without_eras_is_the_version():
    """Guards against a change where the store names no era."""
    assert order_number(None, 77) == 77
