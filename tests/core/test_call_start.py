"""A call reported as not run must never start, in any order of events."""

from itertools import product

from agaterelay.core.call_start import CallStart, give_up_call, permit_start


def test_a_call_reported_as_not_run_is_never_permitted_later():
    for steps in product((permit_start, give_up_call), repeat=5):
        start = CallStart()
        results = [(step, step(start)) for step in steps]
        started = (permit_start, True) in results
        not_run = (give_up_call, True) in results
        assert not (started and not_run)
        assert started or not_run
