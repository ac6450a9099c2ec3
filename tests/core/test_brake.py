"""Tests of brakes: which moves they apply to and which they never affect."""

from datetime import UTC, datetime, timedelta

import attrs
from hypothesis import given, strategies as st

from agaterelay.core.brake import (
    decode_brakes,
    encode_brakes,
    find_brake,
    merge_brakes,
    select_open_brakes,
)
from agaterelay.core.evidence import Tally, Window
from agaterelay.core.messages import Brake
from agaterelay.core.model import (
    Manifest,
    MoveProgress,
    MoveState,
    Place,
    Service,
    Snapshot,
)
from agaterelay.core.routing import version_shares

START = datetime(2026, 1, 1, tzinfo=UTC)
OPEN = [MoveState.STEPPING, MoveState.BAKING]


def progress(state=MoveState.STEPPING, cleared=0, started_s=0):
    return MoveProgress(
        "cue-v2", "cue-desk", "v1", "v2",
        finish_by=START + timedelta(seconds=600),
        started_at=START + timedelta(seconds=started_s),
        state=state, share_permille=400, cleared=cleared,
    )  # fmt: skip


def snapshot(*moves):
    return Snapshot(
        Manifest(1, START, moves=moves),
        "digest",
        services={"cue-desk": Service("cue-desk", "v1", Place("t"))},
        progress={item.name: item for item in moves},
    )


progresses = st.builds(
    progress, st.sampled_from(MoveState), st.integers(0, 2), st.integers(0, 2)
)
# Brakes of this move, of earlier trials and of other moves of the same name.
brakes = st.lists(progresses.map(lambda item: Brake(item.trial, "bad", 1)), max_size=6)


@given(progresses, brakes)
def test_a_brake_holds_exactly_its_own_open_trial(present, brakes):
    served = snapshot(present)
    known, added = merge_brakes({}, brakes, served)
    expected = {present.trial} if present.state in {*OPEN, MoveState.WAITING} else set()
    assert set(known) == expected & {brake.trial for brake in brakes}
    assert len(added) == len(known)
    share = version_shares(served, "cue-desk", known).get("v2", 0)
    if present.trial in known:
        assert share == 0
    elif present.state in OPEN:
        assert share == present.share_permille


def test_a_brake_affects_no_later_move_of_the_same_name_and_no_later_trial():
    old = Brake(progress().trial, "bad", 1)
    assert merge_brakes({}, [old], snapshot(progress(started_s=1)))[0] == {}
    assert merge_brakes({}, [old], snapshot(progress(cleared=1)))[0] == {}
    assert merge_brakes({}, [old], snapshot(progress()))[0] == {old.trial: old}


@given(progresses, progresses, brakes)
def test_a_brake_lasts_until_its_trial_is_over(present, following, brakes):
    known, _ = merge_brakes({}, brakes, snapshot(present))
    kept = select_open_brakes(known, snapshot(following))
    still = following.trial == present.trial and following.state not in (
        MoveState.DONE,
        MoveState.REVERTED,
    )
    assert set(kept) == (set(known) if still else set())


@given(progresses, brakes, brakes)
def test_the_order_of_brakes_does_not_matter(present, left, right):
    served = snapshot(present)
    one, _ = merge_brakes({}, left, served)
    both, _ = merge_brakes(one, right, served)
    other, _ = merge_brakes({}, right, served)
    assert set(both) == set(merge_brakes(other, left, served)[0])


@given(st.integers(0, 1000), st.integers(0, 400))
def test_a_brake_only_ever_lowers_the_share(share, cleared):
    item = attrs.evolve(progress(cleared=cleared), share_permille=share)
    served = snapshot(item)
    free = version_shares(served, "cue-desk").get("v2", 0)
    assert version_shares(served, "cue-desk", {item.trial}).get("v2", 0) <= free


def test_one_node_brakes_on_its_own_evidence():
    bad, good = Tally(8, 8), Tally(400, 0)
    windows = {window: {} for window in Window}
    windows[Window.SHORT] = {("fire", "v2"): bad, ("fire", "v1"): good}
    brake = find_brake(progress(), windows, 0, 7)
    assert brake.trial == progress().trial
    assert brake.move == "cue-v2"
    windows[Window.SHORT] = {("fire", "v2"): good, ("fire", "v1"): good}
    assert find_brake(progress(), windows, 0, 7) is None


@given(st.lists(st.builds(Brake, st.text(), st.text(), st.integers(0)), max_size=4))
def test_encoded_brakes_are_decoded_unchanged(brakes):
    text = encode_brakes(brakes)
    assert text.isascii()
    assert "\n" not in text
    assert decode_brakes(text) == tuple(brakes)


@given(st.text())
def test_a_malformed_header_gives_no_malformed_brake(text):
    for brake in decode_brakes(text):
        assert isinstance(brake, Brake)
