"""Registry rows are bounded hints, written by few, and no harm when stale or broken."""

import random
from datetime import UTC, datetime, timedelta

from hypothesis import given, settings, strategies as st

from agaterelay.core.membership import Member, MemberState
from agaterelay.core.registry import (
    FRESH,
    MAX_ROW_BYTES,
    MAX_SAMPLE,
    WRITERS_PER_ZONE,
    decode_row,
    encode_row,
    is_writer,
    needs_write,
    predecessor_incarnation,
    sample_row,
    strangers,
)

EPOCH = datetime.fromtimestamp(0, UTC)
NOW = datetime(2026, 12, 4, tzinfo=UTC)
ZONE = "northshire-1"


def view_of(count):
    hosts = [f"127.0.{number // 200}.{number % 200}:7001" for number in range(count)]
    return {host: Member(host, ZONE, 5, 1) for host in hosts}


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(1, 300))
def test_rows_and_writers_do_not_grow_with_the_zone(count):
    view = view_of(count)
    row = sample_row(view, ZONE, NOW, random.Random(1))
    assert len(row.hosts) == min(count, MAX_SAMPLE)
    assert len(encode_row(row)) < MAX_ROW_BYTES
    assert decode_row(encode_row(row), "registry/x", EPOCH) == (row, ())
    writers = [host for host in view if is_writer(view, ZONE, host)]
    assert len(writers) == min(count, WRITERS_PER_ZONE)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200) | st.text(max_size=100).map(str.encode))
def test_a_broken_row_is_a_finding(value):
    row, findings = decode_row(value, "registry/x", EPOCH)
    assert (row is None) == bool(findings)


def test_a_row_is_written_when_missing_old_from_the_future_or_dead():
    view = view_of(4)
    row = sample_row(view, ZONE, NOW, random.Random(1))
    assert needs_write(None, view, NOW)
    assert not needs_write(row, view, NOW + timedelta(seconds=1))
    assert needs_write(row, view, NOW + FRESH)
    assert needs_write(row, view, NOW - FRESH)
    gone = {host: Member(host, ZONE, 5, 1, MemberState.DEAD) for host in list(view)[:3]}
    assert needs_write(row, {**view, **gone}, NOW)


def test_a_row_tells_a_joiner_of_strangers_and_of_its_predecessor():
    view = view_of(3)
    row = sample_row(view, ZONE, NOW, random.Random(1))
    own = next(iter(view))
    assert predecessor_incarnation(row, own) == 5
    assert predecessor_incarnation(row, "127.9.9.9:7001") == 0
    assert own not in strangers(row, {}, own)
    assert len(strangers(row, {}, own)) == 2
    assert strangers(row, view, own) == []
