"""When calls leave their availability zone, in a simulation and by single decisions."""

import random

import attrs
import pytest

from agaterelay.core import placing
from agaterelay.core.placing import LoadReport, TargetLoad, record_load_report
from agaterelay.core.zone_spill import (
    MAX_REPORT_AGE_S,
    ZoneSpill,
    limit_probes,
    record_gain,
    select_by_zone,
)
from bench.placing import (
    DESK_SCENARIO,
    UNEVEN_SCENARIO,
    choose_cheapest,
    make_choice_before,
    simulate,
)

# The comparison of single upstreams, without a decision on spillover.
choose_without_spill = make_choice_before(placing)
# By chance alone the ratio earned differs by 0.004 (one standard deviation at 1.5 times
# the load; 0.001 below full load) between runs of one policy on the same arrivals.
NOISE_RATIO = 0.006
SEEDS = (1, 2)


def compare(scene):
    """Return ratio earned and bytes between zones, with and without the decision."""
    figures = []
    for choose in (choose_cheapest, choose_without_spill):
        results = [simulate(scene, choose, seed) for seed in SEEDS]
        figures.append(
            (
                sum(result.earned_ratio for result in results) / len(SEEDS),
                sum(result.cross_zone_bytes for result in results),
            )
        )
    return figures


def swing(now_s):
    """Return weights with a crowd that changes its zone each second."""
    return ((0.6, 0.2, 0.2), (0.2, 0.6, 0.2))[int(now_s) % 2]


SCENES = {
    "low load": attrs.evolve(UNEVEN_SCENARIO, load=0.7),
    "crowd in one zone": attrs.evolve(
        UNEVEN_SCENARIO, load=0.7, zone_weights=lambda now_s: (0.6, 0.2, 0.2)
    ),
    "crowd in all zones": attrs.evolve(UNEVEN_SCENARIO, load=1.5),
    "oscillating": attrs.evolve(UNEVEN_SCENARIO, load=0.8, zone_weights=swing),
    "one or two upstreams in a zone": attrs.evolve(DESK_SCENARIO, length_s=8.0),
    "slow upstreams in a zone": attrs.evolve(DESK_SCENARIO, length_s=8.0, load=0.8),
    "no upstream in a zone": attrs.evolve(
        UNEVEN_SCENARIO, load=0.7, zones=(1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2)
    ),
}


@pytest.mark.parametrize("name", SCENES)
def test_callers_are_served_as_well_for_no_more_bytes(name):
    """Guards against a zone that keeps calls it can't serve, or sends what it could."""
    (earned, sent_bytes), (earned_before, bytes_before) = compare(SCENES[name])
    assert earned >= earned_before - NOISE_RATIO
    assert sent_bytes <= bytes_before


def test_a_zone_with_free_slots_keeps_its_calls():
    """Guards against calls that leave for a single wrong estimate."""
    scene = attrs.evolve(UNEVEN_SCENARIO, load=0.4)
    result = simulate(scene)
    assert len(result.crossings) < 0.01 * len(result.answer_times_s)


def test_a_partition_in_the_meantime_falls_back_and_recovers():
    """Guards against calls that wait for a zone that can't be reached."""
    cut_s = (4.0, 6.0)

    def is_cut(own, other, now_s):
        return own != other and cut_s[0] <= now_s < cut_s[1]

    scene = attrs.evolve(SCENES["crowd in one zone"], is_cut=is_cut)
    result = simulate(scene)
    in_cut = [at_s for at_s, _ in result.crossings if cut_s[0] + 0.1 < at_s < cut_s[1]]
    assert not [at_s for at_s in in_cut if at_s > cut_s[0] + 0.8]
    assert sum(zone == 0 and at_s > cut_s[1] for at_s, zone in result.crossings) > 100
    before = simulate(scene, choose_without_spill)
    assert result.earned_ratio >= before.earned_ratio - NOISE_RATIO


def test_a_lost_zones_callers_are_served_as_before():
    """Guards against callers who are kept in a zone whose upstreams are gone."""

    def is_cut(own, other, now_s):
        return other == 0 and now_s >= 3.0

    (earned, _), (earned_before, _) = compare(
        attrs.evolve(UNEVEN_SCENARIO, load=0.6, is_cut=is_cut)
    )
    assert earned >= earned_before - NOISE_RATIO


def test_the_decision_changes_only_after_gain_or_loss_has_lasted():
    """Guards against zones that swap their calls with each estimate."""
    spill = ZoneSpill()
    record_gain(spill, 150.0, 10.0)
    spill.gain_ms = -100.0
    record_gain(spill, 150.0, 10.05)
    assert not spill.spilling
    for step in range(20):
        record_gain(spill, 150.0, 10.1 + step / 10)
    assert spill.spilling
    record_gain(spill, -150.0, 12.05)
    assert spill.spilling
    for step in range(20):
        record_gain(spill, -150.0, 12.1 + step / 10)
    assert not spill.spilling


def test_a_zone_without_fresh_reports_gets_one_call_at_a_time():
    """Guards against all nodes filling a zone that looks empty to each of them."""
    loads = {"known": TargetLoad(), "stale": TargetLoad(), "new": TargetLoad()}
    record_load_report(loads["stale"], LoadReport(), 0.0)
    now_s = MAX_REPORT_AGE_S + 1
    record_load_report(loads["known"], LoadReport(), now_s)
    assert set(limit_probes(list(loads), loads.get, now_s)) == set(loads)
    loads["new"].own = 1
    assert limit_probes(list(loads), loads.get, now_s) == ["known"]


def test_a_call_that_its_zone_refused_leaves_at_once():
    """Guards against refusals while another zone has room."""

    def select(own_zone, refused, useful=True):
        return select_by_zone(
            ZoneSpill(updated_s=0.0),
            own_zone,
            ["far"],
            {"near": 300.0, "far": 60.0}.get,
            lambda target: TargetLoad(),
            lambda target: useful,
            refused,
            0.0,
            random.Random(1),
        )

    assert select(["near"], False) == "near"
    assert select(["near"], True) == "far"
    assert select(["near"], False, useful=False) == "far"
    assert select([], False) == "far"
