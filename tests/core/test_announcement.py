"""Announcements of an upstream take effect in the order in which it made them."""

import attrs
from hypothesis import given, strategies as st

from agaterelay.core.announcement import (
    CONFIRMING_S,
    Announcement,
    UpstreamRecord,
    UpstreamState,
    apply_announcement,
    apply_confirmation,
    apply_withdrawal,
)

ANNOUNCEMENT = Announcement(
    instance="i-1",
    born_ms=1000,
    sequence=1,
    service="desk",
    version="v1",
    address="10.0.0.1:80",
    zone="a",
    slots=4,
)


def announcement(**changes):
    return attrs.evolve(ANNOUNCEMENT, **changes)


def test_a_delayed_announcement_from_before_a_leave_changes_nothing():
    record = UpstreamRecord()
    assert apply_announcement(record, announcement(sequence=4), 0.0)
    assert apply_announcement(record, announcement(sequence=5, draining=True), 0.0)
    assert not apply_announcement(record, announcement(sequence=3), 1.0)
    assert not apply_announcement(record, announcement(sequence=6), 1.0)
    assert record.state is UpstreamState.DRAINING


def test_a_withdrawal_of_an_earlier_start_leaves_the_present_one():
    record = UpstreamRecord()
    apply_announcement(record, announcement(born_ms=2000), 0.0)
    assert not apply_withdrawal(record, "i-1", 1000)
    assert record.state is UpstreamState.READY
    assert apply_withdrawal(record, "i-1", 2000)
    assert not apply_announcement(record, announcement(born_ms=2000, sequence=9), 0.0)
    assert record.state is UpstreamState.GONE


def test_the_same_name_started_again_begins_anew():
    record = UpstreamRecord()
    apply_announcement(record, announcement(sequence=40), 0.0)
    apply_withdrawal(record, "i-1", 1000)
    assert apply_announcement(record, announcement(born_ms=1001, sequence=1), 0.0)
    assert record.state is UpstreamState.READY


def test_another_instance_takes_over_only_if_it_started_later():
    record = UpstreamRecord()
    apply_announcement(record, announcement(born_ms=2000), 0.0)
    assert not apply_announcement(
        record, announcement(instance="i-0", born_ms=1500, sequence=9), 0.0
    )
    assert apply_announcement(record, announcement(instance="i-2", born_ms=2500), 0.0)
    assert record.current.instance == "i-2"


def test_after_a_restart_announcements_confirm_themselves_only_if_they_go_on():
    record = UpstreamRecord(unconfirmed=True)
    for number in range(4):
        now_s = 1.5 * number
        assert not apply_announcement(record, announcement(sequence=number), now_s)
        assert record.state is UpstreamState.UNKNOWN
    assert apply_announcement(record, announcement(sequence=4), CONFIRMING_S)
    assert record.state is UpstreamState.READY


def test_after_a_restart_a_later_start_has_to_go_on_itself():
    record = UpstreamRecord(unconfirmed=True)
    apply_announcement(record, announcement(sequence=3), 0.0)
    later = announcement(born_ms=9000, sequence=1)
    assert not apply_announcement(record, later, CONFIRMING_S)
    assert record.state is UpstreamState.UNKNOWN


def test_after_a_restart_the_upstream_itself_may_confirm_a_first_announcement():
    record = UpstreamRecord(unconfirmed=True)
    apply_announcement(record, announcement(sequence=3), 0.0)
    assert apply_confirmation(record)
    assert record.state is UpstreamState.READY
    leaving = UpstreamRecord(unconfirmed=True)
    apply_announcement(leaving, announcement(sequence=3, draining=True), 0.0)
    assert not apply_confirmation(leaving)


@given(st.permutations(range(8)))
def test_in_any_order_a_start_that_left_takes_no_calls(order):
    announcements = [
        announcement(sequence=number, draining=number >= 4) for number in range(8)
    ]
    record = UpstreamRecord()
    left = False
    for index in order:
        apply_announcement(record, announcements[index], 0.0)
        left = left or announcements[index].draining
        assert not (left and record.state is UpstreamState.READY)
