"""Decoding of workspaces, and the headers that say whose a request is."""

import json

import attrs
import pytest
from hypothesis import given, strategies as st

from agaterelay.core.call import Call
from agaterelay.core.delta import diff, patch
from agaterelay.core.workspaces import NO_CREDENTIAL, Credential, digest_key
from agaterelay.platform import config as config_format
from agaterelay.platform.config import KnownRoutes, decode_config
from agaterelay.platform.headers import (
    KEY_CHALLENGE,
    MAX_KEY_BYTES,
    parse_credential,
    upstream_headers,
    without_identity,
)
from tests.mesh.fleet import config, route

CALL = Call(
    "c1", "GET", "/", (), b"", "r", "desk", "v1", "i-1", "desk", True, 1, 5.0, 5.0
)
COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst"]


def document(version, rows, columns=COLUMNS):
    """Return a configuration with a table of workspaces, None for none."""
    tree = json.loads(config(version, [route()]))
    if rows is not None:
        tree["tenants"] = {"columns": columns, "rows": rows}
    return json.dumps(tree, separators=(",", ":")).encode()


def test_workspaces_are_decoded_with_what_is_omitted():
    table, findings = decode_config(
        document(1, [["acme", ["k1", "k2", "k1"], 0, 50.5, 50], ["idle"] + [None] * 4])
    )
    assert not findings
    acme, idle = table.workspaces
    assert acme.key_digests == (digest_key(b"k1"), digest_key(b"k2"))
    assert (acme.rank, acme.rate_per_s, acme.burst) == (0, 50.5, 50)
    assert attrs.astuple(idle) == ("idle", (), None, 0, 0)


def test_a_document_without_the_table_needs_no_keys_and_an_empty_one_admits_nobody():
    """Guards against an empty table that opens all routes."""
    assert decode_config(document(1, None))[0].workspaces is None
    assert decode_config(document(1, []))[0].workspaces == ()


@pytest.mark.parametrize("flag", [True, False, None])
def test_routes_may_be_public(flag):
    tree = json.loads(config(1, [[*route(), flag]]))
    tree["routes"]["columns"].append("public")
    table, _ = decode_config(json.dumps(tree).encode())
    assert table.routes[0].public is (flag is True)


def test_a_number_is_no_flag_even_after_an_equal_row_was_decoded():
    """Guards against documents that only nodes with a cache accept: 1 equals true."""
    known = KnownRoutes()
    results = []
    for flag in (True, 1):
        tree = json.loads(config(1, [[*route(), flag]]))
        tree["routes"]["columns"].append("public")
        results.append(decode_config(json.dumps(tree).encode(), known=known)[0])
    assert results[0] is not None
    assert results[1] is None


GOOD = ["acme", ["SECRET-1"], 1, 5, 5]


@pytest.mark.parametrize(
    ("row", "place"),
    [
        (["other", ["SECRET-1"], 1, 5, 5], 2),
        (["acme", ["SECRET-2"], 1, 5, 5], 2),
        (["a\r\nX-Tenant: b", ["SECRET-2"], 1, 5, 5], 2),
        (["mieter-\u00e4", ["SECRET-2"], 1, 5, 5], 2),
        (["", ["SECRET-2"], 1, 5, 5], 2),
        ([None, ["SECRET-2"], 1, 5, 5], 2),
        (["zen", "SECRET-2", 1, 5, 5], 2),
        (["zen", ["SECRET-2", 7], 1, 5, 5], 2),
        (["zen", ["SECRET-2"], -1, 5, 5], 2),
        (["zen", ["SECRET-2"], True, 5, 5], 2),
        (["zen", ["SECRET-2"], 1, -5, 5], 2),
        (["zen", ["SECRET-2"], 1, "SECRET-3", 5], 2),
        (["zen", ["SECRET-2"], 1, False, 5], 2),
        (["zen", ["SECRET-2"], 1, 5, -0.5], 2),
        (["zen", ["SECRET-2"], 1, 5], 2),
        ("SECRET-2", 2),
        (None, 2),
    ],
)
def test_a_row_that_cannot_be_used_refuses_the_document(row, place):
    """Guards against keys in findings, and against findings that depend on a cache."""
    known = KnownRoutes()
    assert decode_config(document(1, [GOOD]), known=known)[0]
    for cache in (None, known):
        table, findings = decode_config(document(2, [GOOD, row]), known=cache)
        assert table is None
        assert [item.section for item in findings] == [f"tenants, row {place}"]
        assert not any("SECRET" in str(item) for item in findings)
    assert decode_config(document(3, [GOOD]), known=known)[0]


@pytest.mark.parametrize("tenants", [[], {}, 7, "x", {"columns": ["name"]}])
def test_a_table_that_cannot_be_read_refuses_the_document(tenants):
    """Guards against a malformed table that is taken for none."""
    tree = json.loads(config(1, [route()]))
    table, findings = decode_config(json.dumps({**tree, "tenants": tenants}).encode())
    assert table is None
    assert len(findings) == 1


ROW = st.builds(
    lambda name, keys, rate: [name, keys, 1, rate, 5],
    st.sampled_from(["a", "b", "c"]),
    st.lists(st.sampled_from(["k1", "k2", "k3", "k4"]), max_size=2),
    st.sampled_from([5, 5.0, True, 1, -1, None]),
)


@given(st.lists(st.none() | st.lists(ROW, max_size=3), max_size=5))
def test_what_was_decoded_before_changes_nothing_in_what_is_decoded_now(documents):
    """Guards against stale workspaces from the cache."""
    known = KnownRoutes()
    for number, rows in enumerate(documents, 1):
        value = document(number, rows)
        table, findings = decode_config(value, known=known)
        plain, plain_findings = decode_config(value)
        assert table == plain
        assert list(map(str, findings)) == list(map(str, plain_findings))


def many_workspaces(changed=False):
    """Return 1,000 rows; in one of them a key is changed."""
    rows = [
        [f"w{number}", [f"key-{number}-{item}" for item in range(5)], 1, 2.5, 2.5]
        for number in range(1000)
    ]
    if changed:
        rows[500][1][2] = "another-key"
    return rows


def test_a_changed_key_costs_one_row_and_a_small_delta(monkeypatch):
    """Guards against decoding or sending all workspaces when one key changes."""
    known = KnownRoutes()
    first, second = document(1, many_workspaces()), document(2, many_workspaces(True))
    decode_config(first, known=known)
    decoded = []
    decode_row = config_format._decode_workspace
    monkeypatch.setattr(
        config_format,
        "_decode_workspace",
        lambda fields: decoded.append(fields["name"]) or decode_row(fields),
    )
    table, _ = decode_config(second, known=known)
    assert decoded == ["w500"]
    assert decode_config(second, known=known)[0].workspaces is table.workspaces
    steps, checksum = diff(first, second)
    assert patch(first, steps, checksum) == second
    assert sum(len(step) for step in steps if isinstance(step, bytes)) < 250
    assert len(steps) < 12


@pytest.mark.parametrize(
    ("values", "credential"),
    [
        ([], NO_CREDENTIAL),
        ([b"Token k1"], Credential(digest_key(b"k1"))),
        ([b" token   k1 \t"], Credential(digest_key(b"k1"))),
        ([b"Token " + b"k" * MAX_KEY_BYTES], Credential(digest_key(b"k" * 1024))),
    ],
)
def test_a_key_is_read(values, credential):
    headers = tuple((b"AUTHORIZATION", value) for value in values)
    assert parse_credential(((b"Host", b"x"), *headers)) == credential


@pytest.mark.parametrize(
    "values",
    [
        [b"Token k1", b"Token k1"],
        [b"Token k1", b""],
        [b""],
        [b"k1"],
        [b"Tokenk1"],
        [b"Token\tk1"],
        [b"Basic k1"],
        [b"Bearer k1"],
        [b"Token"],
        [b"Token  "],
        [b"Token " + b"k" * (MAX_KEY_BYTES + 1)],
        [b"Token k\x011"],
        [b"Token k\t1"],
        [b"Token k1\x7f"],
    ],
)
def test_what_is_no_key_is_a_fault_that_repeats_nothing_of_it(values):
    """Guards against guessing a key from a malformed header, and against logging it."""
    credential = parse_credential(tuple((b"Authorization", item) for item in values))
    assert credential.fault
    assert not credential.key_digest
    assert "k1" not in repr(credential)


def test_the_upstream_is_told_the_workspace_and_no_key():
    """Guards against a caller that names its own workspace."""
    headers = ((b"X-Tenant", b"forged"), (b"authorization", b"Token k"), (b"A", b"b"))
    assert without_identity(headers) == ((b"A", b"b"),)
    call = attrs.evolve(CALL, headers=((b"A", b"b"),), workspace="acme")
    assert (b"X-Tenant", b"acme") in upstream_headers(call, 5)
    call = attrs.evolve(call, workspace="")
    assert b"X-Tenant" not in dict(upstream_headers(call, 5))
    assert KEY_CHALLENGE == (("WWW-Authenticate", "Token"),)
