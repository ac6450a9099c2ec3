"""Registry rows are bounded, written by few hosts, and harmless if stale or invalid."""

import random
from datetime import UTC, datetime, timedelta

from hypothesis import given, settings, strategies as st

from agaterelay.core.membership import Member, MemberState
from agaterelay.core.registry import (
    MAX_HOSTS_PER_ROW,
    MAX_ROW_AGE,
    MAX_ROW_BYTES,
    WRITERS_PER_ZONE,
    decode_row,
    encode_row,
    find_unusable_hosts,
    is_writer,
    make_row,
    needs_write,
    predecessor_incarnation,
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
    row = make_row(view, ZONE, NOW, random.Random(1))
    assert len(row.hosts) == min(count, MAX_HOSTS_PER_ROW)
    assert len(encode_row(row)) < MAX_ROW_BYTES
    assert decode_row(encode_row(row), "registry/x", EPOCH) == (row, ())
    writers = [host for host in view if is_writer(view, ZONE, host)]
    assert len(writers) == min(count, WRITERS_PER_ZONE)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200) | st.text(max_size=100).map(str.encode))
def test_an_invalid_row_is_a_finding(value):
    row, findings = decode_row(value, "registry/x", EPOCH)
    assert (row is None) == bool(findings)


def test_a_row_is_written_when_missing_old_from_the_future_or_dead():
    view = view_of(4)
    row = make_row(view, ZONE, NOW, random.Random(1))
    assert needs_write(None, view, NOW)
    assert not needs_write(row, view, NOW + timedelta(seconds=1))
    assert needs_write(row, view, NOW + MAX_ROW_AGE)
    assert needs_write(row, view, NOW - MAX_ROW_AGE)
    gone = {host: Member(host, ZONE, 5, 1, MemberState.DEAD) for host in list(view)[:3]}
    assert needs_write(row, {**view, **gone}, NOW)


def test_a_row_gives_a_joiner_unusable_hosts_and_its_predecessor():
    view = view_of(3)
    row = make_row(view, ZONE, NOW, random.Random(1))
    own = next(iter(view))
    assert predecessor_incarnation(row, own) == 5
    assert predecessor_incarnation(row, "127.9.9.9:7001") == 0
    assert own not in find_unusable_hosts(row, {}, own)
    assert len(find_unusable_hosts(row, {}, own)) == 2
    assert find_unusable_hosts(row, view, own) == []
