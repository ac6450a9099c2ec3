"""Rank hosts by rendezvous hashing, so that all that see the same hosts agree."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def score(name: str, key: str) -> bytes:
    """Return the weight of a name for a key; higher goes first."""
    return hashlib.blake2b(f"{name}\0{key}".encode(), digest_size=8).digest()


def rank(names: Iterable[str], key: str) -> list[str]:
    """Return the names, the first choice for the key first."""
    return sorted(names, key=lambda name: (score(name, key), name), reverse=True)
