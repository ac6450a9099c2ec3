"""The value that callers get under load, in a simulation of the node's own decisions."""

import attrs
import pytest

from bench.placing import (
    DESK,
    capacity_of,
    choose_cheapest,
    choose_least_outstanding,
    make_round_robin,
    play,
)


def best_worth(scene):
    """Return the ratio that an ideal order earns: the most valuable work first, in time."""
    remaining_s = scene.slots * sum(scene.speeds)
    earned = total = 0.0
    for kind in sorted(scene.kinds, key=lambda item: -item.worth / item.service_time_s):
        demand_s = kind.per_s * scene.load * kind.service_time_s
        done = min(remaining_s / demand_s, 1.0)
        remaining_s -= done * demand_s
        earned += done * kind.worth * kind.per_s
        total += kind.worth * kind.per_s
    return earned / total


@pytest.mark.parametrize("load", [0.8, 1.0, 1.25, 1.6, 2.2])
def test_callers_get_nine_tenths_of_what_the_slots_can_do(load):
    scene = attrs.evolve(DESK, load=load)
    result = play(scene)
    assert result.earned >= 0.9 * best_worth(scene), result


@pytest.mark.parametrize("load", [0.8, 1.0, 1.25, 1.6])
def test_no_baseline_serves_callers_better(load):
    scene = attrs.evolve(DESK, load=load)
    chosen = play(scene, choose_cheapest).earned
    for baseline in (choose_least_outstanding, make_round_robin()):
        assert chosen >= play(scene, baseline).earned - 0.005


def test_under_overload_the_answers_that_come_are_in_time():
    scene = attrs.evolve(DESK, load=1.6)
    assert capacity_of(scene) < 0.85
    ends = play(scene).ends
    assert ends["read", "in time"] > 4 * ends["read", "late"]
    fired = sum(count for (kind, _), count in ends.items() if kind == "fire")
    assert ends["fire", "in time"] > 0.95 * fired
