"""Requests that a node takes while it stops."""

from agaterelay.core.stopping import schedule_stop, takes_request


def test_early_requests_are_taken_and_late_ones_only_if_they_end_in_time():
    schedule = schedule_stop(began_s=100.0, grace_s=6.0)
    assert takes_request(schedule, 102.4, 110.0)
    assert takes_request(schedule, 103.1, 105.5)
    assert not takes_request(schedule, 102.6, 105.6)


def test_no_request_is_taken_that_the_users_count_as_late():
    for grace_s in (2.0, 6.0, 10.0, 30.0):
        schedule = schedule_stop(0.0, grace_s)
        assert not takes_request(schedule, 3.0, grace_s)
