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
