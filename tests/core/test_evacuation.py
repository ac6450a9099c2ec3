"""The states of evacuated zones, from the store and from other nodes in any order."""

from itertools import permutations

from agaterelay.core.evacuation import (
    MAX_ZONES,
    Evacuation,
    apply_evacuation,
    find_missed_ends,
    is_evacuated,
)


# Guards against an evacuation that begins again since a late message tells of it.
def test_the_newest_state_wins_in_any_order():
    states = [
        Evacuation("b", 3, True),
        Evacuation("b", 5, False),
        Evacuation("b", 9, True),
        Evacuation("b", 12, False),
    ]
    for order in permutations(states[:3]):
        held = {}
        for state in order:
            apply_evacuation(held, state)
        assert is_evacuated(held, "b")
        apply_evacuation(held, states[3])
        assert not any(apply_evacuation(held, state) for state in order)
        assert not is_evacuated(held, "b")


# Guards against a full read from before an order that ends it.
def test_a_full_read_ends_only_what_it_must_have_shown():
    held = {}
    apply_evacuation(held, Evacuation("a", 4, True))
    apply_evacuation(held, Evacuation("b", 8, True))
    assert find_missed_ends(held, [], 7) == [Evacuation("a", 7, False)]
    assert find_missed_ends(held, ["a"], 9) == [Evacuation("b", 9, False)]


# Guards against memory that grows with the rows of odd writers.
def test_the_number_of_zones_is_bounded_and_ended_ones_make_room():
    held = {}
    for number in range(2 * MAX_ZONES):
        apply_evacuation(held, Evacuation(f"z{number}", number, True))
    assert len(held) == MAX_ZONES
    apply_evacuation(held, Evacuation("z0", 500, False))
    assert apply_evacuation(held, Evacuation("new", 501, True))
    assert len(held) == MAX_ZONES
