"""The decision whose a request is."""

import pytest
from hypothesis import given, strategies as st

from agaterelay.core.model import Workspace
from agaterelay.core.workspaces import (
    ANYONE,
    NO_CREDENTIAL,
    UNKNOWN_KEY,
    Caller,
    Credential,
    digest_key,
    find_conflicts,
    identify_caller,
    index_keys,
    update_index,
)

ACME = Workspace("acme", (digest_key(b"k1"), digest_key(b"k2")))
ZEN = Workspace("zen", (digest_key(b"k3"),))
KEYS = index_keys((ACME, ZEN, Workspace("keyless")))


@pytest.mark.parametrize(
    ("credential", "is_public", "caller"),
    [
        (Credential(digest_key(b"k2")), False, Caller(ACME)),
        (Credential(digest_key(b"k3")), True, Caller(ZEN)),
        (Credential(digest_key(b"k")), False, Caller(refusal=UNKNOWN_KEY)),
        (Credential(digest_key(b"k")), True, ANYONE),
        (NO_CREDENTIAL, False, Caller(refusal=NO_CREDENTIAL.fault)),
        (NO_CREDENTIAL, True, ANYONE),
    ],
)
def test_a_caller_is_known_by_its_key_and_anyone_is_served_on_public_routes(
    credential, is_public, caller
):
    """Guards against serving without a key, and against refusing on public routes."""
    assert identify_caller(KEYS, credential, is_public) == caller


def test_workspaces_that_cannot_be_told_apart_are_found():
    """Guards against a key that is charged to whichever workspace comes last."""
    assert find_conflicts([ACME, ZEN]) == []
    twin = Workspace("acme", (digest_key(b"k4"),))
    thief = Workspace("thief", (digest_key(b"k3"), digest_key(b"k1")))
    assert find_conflicts([ACME, ZEN, twin, thief]) == [
        (2, "row 1 has the name 'acme' too"),
        (3, "a key is held by row 1 too"),
        (3, "a key is held by row 2 too"),
    ]


WORKSPACES = [
    Workspace(f"w{number}", tuple(bytes([key]) for key in keys))
    for number, keys in enumerate([(1, 2), (2, 3), (3,), (), (4, 5), (5, 1)])
]
TABLES = st.lists(st.sampled_from(WORKSPACES), unique=True).filter(
    lambda table: not find_conflicts(table)
)


@given(TABLES, TABLES)
def test_an_updated_index_is_that_of_the_new_workspaces(before, after):
    """Guards against keys that were taken away, or moved to another workspace."""
    index = index_keys(before)
    update_index(index, before, after)
    assert index == index_keys(after)
