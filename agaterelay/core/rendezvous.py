"""Rendezvous hashing: all nodes that know the same hosts rank them equally."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# A node ranks the hosts of its fleet for a few keys again and again.
MAX_CACHED_SCORES = 8192


@lru_cache(maxsize=MAX_CACHED_SCORES)
def score(name: str, key: str) -> bytes:
    """Return the weight of a name for a key; the highest weight ranks first."""
    return hashlib.blake2b(f"{name}\0{key}".encode(), digest_size=8).digest()


def rank(names: Iterable[str], key: str) -> list[str]:
    """Return the names by descending weight for the key."""
    return sorted(names, key=lambda name: (score(name, key), name), reverse=True)
