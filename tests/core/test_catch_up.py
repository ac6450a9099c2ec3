"""Tests of the source that a node asks for a newer configuration, and when."""

from agaterelay.core.catch_up import (
    NEXT_REQUEST_DELAY_S,
    OTHER_ZONE_DELAY_S,
    CatchUp,
    choose_source,
    observe_revision,
    record_held_revision,
    remove_source,
)


def is_near(source):
    return source.startswith("near")


def choose(catch_up, now_s, has_none=False):
    return choose_source(catch_up, is_near, has_none, now_s)


def test_the_own_zone_is_asked_at_once_and_another_after_a_delay():
    catch_up = CatchUp()
    assert observe_revision(catch_up, "far", 7, 3, 10.0)
    assert choose(catch_up, 10.0) is None
    observe_revision(catch_up, "near", 7, 3, 10.1)
    assert choose(catch_up, 10.1) == "near"
    catch_up = CatchUp()
    observe_revision(catch_up, "far", 7, 3, 10.0)
    assert choose(catch_up, 10.0 + OTHER_ZONE_DELAY_S) == "far"


def test_a_node_without_configuration_asks_the_first_source_of_any_zone():
    catch_up = CatchUp()
    observe_revision(catch_up, "far", 7, 0, 10.0)
    assert choose(catch_up, 10.0, has_none=True) == "far"


def test_a_source_that_sends_nothing_is_skipped_for_another():
    catch_up = CatchUp()
    for source in ("near 1", "near 2"):
        observe_revision(catch_up, source, 7, 3, 10.0)
    first = choose(catch_up, 10.0)
    assert choose(catch_up, 10.0 + NEXT_REQUEST_DELAY_S / 2) is None
    assert choose(catch_up, 10.0 + NEXT_REQUEST_DELAY_S) not in (None, first)


def test_a_source_that_is_no_longer_ahead_or_reachable_is_not_asked():
    catch_up = CatchUp()
    observe_revision(catch_up, "near", 7, 3, 10.0)
    remove_source(catch_up, "near")
    assert choose(catch_up, 11.0) is None
    observe_revision(catch_up, "near", 7, 3, 11.0)
    record_held_revision(catch_up, 7, 11.1)
    assert choose(catch_up, 12.0) is None
    assert catch_up.behind_s is None


def test_progress_restarts_the_delay_for_other_zones():
    catch_up = CatchUp()
    observe_revision(catch_up, "far", 5, 3, 10.0)
    observe_revision(catch_up, "far", 6, 3, 10.1)
    record_held_revision(catch_up, 5, 10.3)
    assert choose(catch_up, 10.2 + OTHER_ZONE_DELAY_S) is None
    assert choose(catch_up, 10.3 + OTHER_ZONE_DELAY_S) == "far"


def test_sources_that_stay_silent_do_not_keep_the_others_from_being_asked():
    catch_up = CatchUp()
    sources = ["near-1", "near-2", "near-3", "far"]
    for source in sources:
        observe_revision(catch_up, source, 7, 3, 10.0)
    asked = [
        choose(catch_up, 10.5 + number * (NEXT_REQUEST_DELAY_S + 0.01))
        for number in range(5)
    ]
    assert asked[:4] == sources
    assert asked[4] in sources
