"""Tests of deltas between documents."""

import json

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.delta import DeltaError, diff, patch

DOCUMENT = st.lists(st.sampled_from([b"a", b"b", b"],", b"]", b",", b"cd"])).map(
    b"".join
)


@given(DOCUMENT, DOCUMENT)
def test_a_patched_document_is_the_one_that_was_told(base, target):
    assert patch(base, *diff(base, target)) == target


@given(DOCUMENT, DOCUMENT, DOCUMENT)
def test_a_delta_for_another_document_is_refused_or_gives_the_target(
    base, other, target
):
    steps, checksum = diff(base, target)
    try:
        assert patch(other, steps, checksum) == target
    except DeltaError:
        pass


def routes(count, changed=()):
    rows = [[f"r{n}", "app.example", f"/{n}/", "idempotent"] for n in range(count)]
    for number in changed:
        rows[number][3] = "non_idempotent"
    return json.dumps({"version": f"{len(changed):08x}", "routes": rows}).encode()


def test_a_change_of_one_route_among_many_takes_few_bytes():
    base, target = routes(2000), routes(2000, changed=[700])
    steps, _ = diff(base, target)
    sent_bytes = sum(len(step) if isinstance(step, bytes) else 8 for step in steps)
    assert sent_bytes < 300 < len(target) / 100


def test_added_and_dropped_routes_do_not_make_the_rest_differ():
    base = routes(2000)
    target = base.replace(b'["r5", ', b'["new", "x"], ["r5", ').replace(
        b'["r9", ', b"["
    )
    steps, checksum = diff(base, target)
    assert patch(base, steps, checksum) == target
    assert sum(len(step) for step in steps if isinstance(step, bytes)) < 400


def test_a_delta_that_refers_to_missing_pieces_is_refused():
    with pytest.raises(DeltaError):
        patch(b"a],b", [(5, 2)], 1)


KEYS = st.lists(st.sampled_from([b"key-1,", b"key-2,", b"k", b"],"]), max_size=9)


@given(KEYS, KEYS, KEYS, KEYS)
def test_a_long_piece_is_spliced_to_what_was_told(head, middle, other, tail):
    """Guards against splices whose head and tail overlap."""
    long_head, long_tail = b"a" * 700 + b"".join(head), b"".join(tail) + b"z" * 700
    base = long_head + b"".join(middle) + long_tail
    target = long_head + b"".join(other) + long_tail
    assert patch(base, *diff(base, target)) == target


def test_a_changed_key_among_many_of_one_workspace_takes_few_bytes():
    """Guards against sending all keys of a workspace again when one changes."""

    def tenants(keys):
        rows = [["small", ["s"], 1, 5, 5], ["large", keys, 1, 5, 5], ["z", [], 1, 5, 5]]
        return json.dumps({"tenants": rows}, separators=(",", ":")).encode()

    keys = [f"{number:040}" for number in range(2000)]
    base = tenants(keys)
    for changed in (keys[:999] + keys[1000:], [*keys[:999], "new", *keys[1000:]]):
        steps, checksum = diff(base, tenants(changed))
        assert patch(base, steps, checksum) == tenants(changed)
        assert sum(len(step) for step in steps if isinstance(step, bytes)) == 0
        assert sum(len(step[3]) for step in steps if len(step) == 4) < 100
        assert len(steps) < 5


def test_a_splice_of_another_base_is_refused():
    for step in ((5, 1, 1, b""), (0, 1, 1, b"x")):
        with pytest.raises(DeltaError):
            patch(b"a],b", [step], 1)
