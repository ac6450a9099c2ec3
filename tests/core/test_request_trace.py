"""Tests of request traces built from the output of several hosts."""

import json

from agaterelay.core.request_trace import (
    find_crashes,
    find_host_context,
    find_request_trace,
    format_line,
    parse_lines,
)


def line(host, event, **fields):
    return json.dumps({"host": host, "event": event, "number": 1, **fields})


OUTPUT = [
    line("a", "revision_activated", revision=3),
    line("a", "revision_activated", revision=4),
    line("b", "upstream_announced", instance="i-b"),
    "not a line",
    line("a", "call_repeated", request_id="other", reason="status 500"),
    line("a", "call_try_ended", request_id="r", instance="i-b", reason="lost"),
    line("a", "call_unknown", request_id="r", reason="lost"),
    # The inbound proxy's clock is behind and its output is read last.
    line("b", "call_failed", request_id="r", instance="i-b", outcome="lost"),
    line("b", "upstream_draining", instance="i-b"),
]


def test_the_inbound_line_comes_before_the_end_of_that_attempt():
    trace = find_request_trace(parse_lines(OUTPUT), "r")
    assert [item.event for item in trace] == [
        "call_failed",
        "call_try_ended",
        "call_unknown",
    ]


def test_the_last_state_line_of_each_kind_before_the_request_is_shown():
    lines = parse_lines(OUTPUT)
    host_lines = find_host_context(lines, find_request_trace(lines, "r"))
    shown = [(item.host, item.event) for item in host_lines]
    assert shown == [("b", "upstream_announced"), ("a", "revision_activated")]
    assert host_lines[-1].fields["revision"] == 4


def test_a_line_is_formatted_for_people():
    trace = find_request_trace(parse_lines(OUTPUT), "r")
    assert format_line(trace[0]) == (
        "b: the upstream ran it, and it failed (instance i-b, outcome lost)"
    )
    assert find_request_trace(parse_lines(OUTPUT), "unheard-of") == []


def test_a_request_refused_before_it_was_placed_has_a_trace_too():
    output = [line("a", "request_refused", request_id="r", reason="status 404")]
    (only_line,) = find_request_trace(parse_lines(output), "r")
    assert format_line(only_line) == (
        "a: it was refused before it was placed anywhere (reason status 404)"
    )


def test_a_held_request_leads_to_the_crashes_that_it_is_held_for():
    output = [
        line("b", "upstream_crashed", crash="b/i/0", suspected=["aa", "bb"]),
        line("c", "upstream_crashed", crash="c/i/0", suspected=["aa"]),
        line("d", "upstream_crashed", crash="d/i/0", suspected=["cc"]),
        line("a", "request_held", key="cc", crashes=["d/i/0"]),
        line("a", "request_held", key="aa", crashes=["b/i/0", "c/i/0"]),
        line("a", "request_refused", request_id="r", reason="it is held back: aa"),
        line("a", "request_refused", request_id="other", reason="status 404"),
    ]
    lines = parse_lines(output)
    found = find_crashes(lines, find_request_trace(lines, "r"))
    assert [(item.host, item.event) for item in found] == [
        ("b", "upstream_crashed"),
        ("c", "upstream_crashed"),
        ("a", "request_held"),
    ]
    assert find_crashes(lines, find_request_trace(lines, "other")) == []
