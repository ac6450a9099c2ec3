"""The value that callers get under load, in a simulation of the node's own decisions."""

import attrs
import pytest

from bench.placing import (
    DESK_SCENARIO,
    UNEVEN_SCENARIO,
    choose_cheapest,
    choose_least_outstanding,
    compute_capacity_ratio,
    make_round_robin,
    simulate,
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
    scene = attrs.evolve(DESK_SCENARIO, load=load)
    result = simulate(scene)
    assert result.earned_ratio >= 0.9 * best_worth(scene), result


@pytest.mark.parametrize("load", [0.8, 1.0, 1.25, 1.6])
def test_no_baseline_serves_callers_better(load):
    scene = attrs.evolve(DESK_SCENARIO, load=load)
    chosen = simulate(scene, choose_cheapest).earned_ratio
    for baseline in (choose_least_outstanding, make_round_robin()):
        assert chosen >= simulate(scene, baseline).earned_ratio - 0.005


def test_under_overload_the_answers_that_come_are_in_time():
    scene = attrs.evolve(DESK_SCENARIO, load=1.6)
    assert compute_capacity_ratio(scene) < 0.85
    ends = simulate(scene).outcome_counts
    assert ends["read", "in time"] > 4 * ends["read", "late"]
    fired = sum(count for (kind, _), count in ends.items() if kind == "fire")
    assert ends["fire", "in time"] > 0.95 * fired


def halve_rates(scene, count):
    """Return the scenario with limits on the first upstreams: half of what they can do."""
    mean_s = sum(kind.per_s * kind.service_time_s for kind in scene.kinds) / sum(
        kind.per_s for kind in scene.kinds
    )
    limits = [0.5 * scene.slots * speed / mean_s for speed in scene.speeds[:count]]
    unlimited = [None] * (len(scene.speeds) - count)
    return attrs.evolve(scene, rate_limits_per_s=(*limits, *unlimited))


@pytest.mark.parametrize("load", [0.5, 0.8, 1.25])
def test_under_rate_limits_callers_get_what_is_left_and_the_limits_hold(load):
    scene = attrs.evolve(DESK_SCENARIO, load=load)
    scene = halve_rates(scene, len(scene.speeds) - 1)
    result = simulate(scene)
    for sent_s, limit in zip(result.sent_s, scene.rate_limits_per_s, strict=True):
        for began_s in sent_s if limit else ():
            count = sum(began_s <= time_s < began_s + 4 for time_s in sent_s)
            assert count <= 1.5 * 4 * limit + 5
    *limited_speeds, free_speed = scene.speeds
    rest = attrs.evolve(scene, speeds=(sum(limited_speeds) / 2, free_speed))
    assert result.earned_ratio >= 0.9 * best_worth(rest)
    for baseline in (choose_least_outstanding, make_round_robin()):
        assert result.earned_ratio >= simulate(scene, baseline).earned_ratio - 0.005


def test_uneven_upstreams_of_few_slots_earn_what_an_ideal_order_does():
    """Guards against slots that stay idle, or serve late, at 1.5 times the load."""
    scene = attrs.evolve(UNEVEN_SCENARIO, load=1.5)
    seeds = (1, 2, 3)
    earned = sum(simulate(scene, seed=seed).earned_ratio for seed in seeds)
    assert earned / len(seeds) >= 0.95 * best_worth(scene)


@pytest.mark.parametrize("load", [0.7, 1.0, 1.5, 3.0])
def test_no_kind_of_request_starves_on_uneven_upstreams(load):
    """Guards against a kind that other kinds keep from the slots."""
    scene = attrs.evolve(UNEVEN_SCENARIO, load=load)
    counts = simulate(scene).outcome_counts
    ratios = []
    for kind in scene.kinds:
        ends = {
            end: count for (name, end), count in counts.items() if name == kind.name
        }
        ratios.append(ends["in time"] / sum(ends.values()))
    assert min(ratios) >= sum(ratios) / len(ratios) / 4
