"""The story of a request, told from the output of several hosts."""

import json

from agaterelay.core.story import find_beliefs, find_story, parse_lines, tell


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
    # The gate's clock is behind and its output is read last.
    line("b", "call_failed", request_id="r", instance="i-b", outcome="lost"),
    line("b", "upstream_draining", instance="i-b"),
]


def test_what_a_gate_says_goes_before_the_end_of_that_try():
    story = find_story(parse_lines(OUTPUT), "r")
    assert [item.event for item in story] == [
        "call_failed",
        "call_try_ended",
        "call_unknown",
    ]


def test_the_last_belief_of_each_kind_before_the_request_is_shown():
    lines = parse_lines(OUTPUT)
    beliefs = find_beliefs(lines, find_story(lines, "r"))
    shown = [(item.host, item.event) for item in beliefs]
    assert shown == [("b", "upstream_announced"), ("a", "revision_activated")]
    assert beliefs[-1].fields["revision"] == 4


def test_a_line_is_told_in_words():
    story = find_story(parse_lines(OUTPUT), "r")
    assert tell(story[0]) == (
        "b: the upstream ran it, and it failed (instance i-b, outcome lost)"
    )
    assert find_story(parse_lines(OUTPUT), "unheard-of") == []


def test_a_request_that_was_refused_before_it_was_placed_is_told_too():
    output = [line("a", "request_refused", request_id="r", reason="status 404")]
    (story,) = find_story(parse_lines(output), "r")
    assert tell(story) == (
        "a: it was refused before it was placed anywhere (reason status 404)"
    )
