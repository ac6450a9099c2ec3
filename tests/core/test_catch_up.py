"""Whom a node that is behind asks for the configuration, and when."""

from agaterelay.core.catch_up import (
    ASK_AGAIN_S,
    OTHER_ZONE_DELAY_S,
    CatchUp,
    forget_source,
    hear,
    next_to_ask,
    note_held,
)


def is_near(source):
    return source.startswith("near")


def asked(catch_up, now_s, has_none=False):
    return next_to_ask(catch_up, is_near, has_none, now_s)


def test_the_own_zone_is_asked_at_once_and_another_after_a_delay():
    catch_up = CatchUp()
    assert hear(catch_up, "far", 7, 3, 10.0)
    assert asked(catch_up, 10.0) is None
    hear(catch_up, "near", 7, 3, 10.1)
    assert asked(catch_up, 10.1) == "near"
    catch_up = CatchUp()
    hear(catch_up, "far", 7, 3, 10.0)
    assert asked(catch_up, 10.0 + OTHER_ZONE_DELAY_S) == "far"


def test_a_node_that_holds_nothing_asks_whoever_it_hears_first():
    catch_up = CatchUp()
    hear(catch_up, "far", 7, 0, 10.0)
    assert asked(catch_up, 10.0, has_none=True) == "far"


def test_a_source_that_sends_nothing_is_passed_over_for_another():
    catch_up = CatchUp()
    for source in ("near 1", "near 2"):
        hear(catch_up, source, 7, 3, 10.0)
    first = asked(catch_up, 10.0)
    assert asked(catch_up, 10.0 + ASK_AGAIN_S / 2) is None
    assert asked(catch_up, 10.0 + ASK_AGAIN_S) not in (None, first)


def test_a_source_that_is_no_longer_ahead_or_reachable_is_not_asked():
    catch_up = CatchUp()
    hear(catch_up, "near", 7, 3, 10.0)
    forget_source(catch_up, "near")
    assert asked(catch_up, 11.0) is None
    hear(catch_up, "near", 7, 3, 11.0)
    note_held(catch_up, 7, 11.1)
    assert asked(catch_up, 12.0) is None
    assert catch_up.behind_s is None


def test_a_zone_that_makes_progress_is_given_its_time_again():
    catch_up = CatchUp()
    hear(catch_up, "far", 5, 3, 10.0)
    hear(catch_up, "far", 6, 3, 10.1)
    note_held(catch_up, 5, 10.3)
    assert asked(catch_up, 10.2 + OTHER_ZONE_DELAY_S) is None
    assert asked(catch_up, 10.3 + OTHER_ZONE_DELAY_S) == "far"
