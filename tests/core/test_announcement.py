"""The order of what an upstream says of itself."""

import attrs
from hypothesis import given, strategies as st

from agaterelay.core.announcement import (
    Announcement,
    UpstreamLine,
    UpstreamState,
    accept,
    confirm,
    withdraw,
)

WORD = Announcement(
    instance="i-1",
    born_ms=1000,
    sequence=1,
    service="desk",
    version="v1",
    address="10.0.0.1:80",
    zone="a",
    slots=4,
)


def word(**changes):
    return attrs.evolve(WORD, **changes)


def test_a_late_word_from_before_a_leave_changes_nothing():
    line = UpstreamLine()
    assert accept(line, word(sequence=4), 0.0)
    assert accept(line, word(sequence=5, draining=True), 0.0)
    assert not accept(line, word(sequence=3), 1.0)
    assert not accept(line, word(sequence=6), 1.0)
    assert line.state is UpstreamState.DRAINING


def test_a_withdrawal_of_an_earlier_start_leaves_the_present_one():
    line = UpstreamLine()
    accept(line, word(born_ms=2000), 0.0)
    assert not withdraw(line, "i-1", 1000)
    assert line.state is UpstreamState.READY
    assert withdraw(line, "i-1", 2000)
    assert not accept(line, word(born_ms=2000, sequence=9), 0.0)
    assert line.state is UpstreamState.GONE


def test_the_same_name_started_again_begins_anew():
    line = UpstreamLine()
    accept(line, word(sequence=40), 0.0)
    withdraw(line, "i-1", 1000)
    assert accept(line, word(born_ms=1001, sequence=1), 0.0)
    assert line.state is UpstreamState.READY


def test_another_instance_takes_over_only_if_it_started_later():
    line = UpstreamLine()
    accept(line, word(born_ms=2000), 0.0)
    assert not accept(line, word(instance="i-0", born_ms=1500, sequence=9), 0.0)
    assert accept(line, word(instance="i-2", born_ms=2500), 0.0)
    assert line.current.instance == "i-2"


def test_after_a_restart_a_first_word_alone_admits_nothing():
    line = UpstreamLine(doubted=True)
    assert not accept(line, word(sequence=3), 0.0)
    assert line.state is UpstreamState.UNKNOWN
    assert accept(line, word(sequence=4), 1.5)
    assert line.state is UpstreamState.READY


def test_after_a_restart_the_upstream_itself_may_confirm_a_first_word():
    line = UpstreamLine(doubted=True)
    accept(line, word(sequence=3), 0.0)
    assert confirm(line)
    assert line.state is UpstreamState.READY
    leaving = UpstreamLine(doubted=True)
    accept(leaving, word(sequence=3, draining=True), 0.0)
    assert not confirm(leaving)


@given(st.permutations(range(8)))
def test_in_any_order_a_start_that_left_takes_no_calls(order):
    words = [word(sequence=number, draining=number >= 4) for number in range(8)]
    line = UpstreamLine()
    left = False
    for index in order:
        accept(line, words[index], 0.0)
        left = left or words[index].draining
        assert not (left and line.state is UpstreamState.READY)
