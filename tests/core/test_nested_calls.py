"""Which calls count as nested: only those of a parent that runs now, and only a few."""

from agaterelay.core.nested_calls import (
    MAX_NESTED_PER_PARENT,
    RunningCalls,
    begin_nested,
    end_nested,
    record_end,
    record_start,
)


def test_only_children_of_a_running_call_are_nested():
    running = RunningCalls()
    record_start(running, "a.1")
    record_start(running, "")
    assert begin_nested(running, "a.1.2") == "a.1"
    for call_id in ("a.1", "a.2", "a.12", "a.1", ".x", "x", "", "b.a.1.2"):
        assert begin_nested(running, call_id) is None
    record_end(running, "a.1")
    assert begin_nested(running, "a.1.3") is None


def test_a_caller_cannot_mark_all_of_its_work_as_children_of_one_request():
    running = RunningCalls()
    record_start(running, "a")
    marked = [begin_nested(running, f"a.{number}") for number in range(9)]
    assert marked.count("a") == MAX_NESTED_PER_PARENT
    end_nested(running, "a")
    assert begin_nested(running, "a.10") == "a"
    assert begin_nested(running, "a.11") is None


def test_nothing_is_kept_of_calls_that_have_ended():
    running = RunningCalls()
    for _ in range(2):
        record_start(running, "a")
    assert begin_nested(running, "a.1") == "a"
    record_end(running, "a")
    assert begin_nested(running, "a.2") == "a"
    record_end(running, "a")
    end_nested(running, "a")
    end_nested(running, "a")
    assert not running.counts
    assert not running.nested
