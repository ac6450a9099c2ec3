"""Compare two views by a few numbers, so that equal views cost next to nothing."""

from __future__ import annotations

import hashlib
from functools import lru_cache

from agaterelay.core.membership import Member, Members

BUCKETS = 32


@lru_cache(maxsize=4096)
def bucket_of(host: str) -> int:
    """Return the bucket that a host's entry belongs to."""
    return hashlib.blake2b(host.encode(), digest_size=1).digest()[0] % BUCKETS


@lru_cache(maxsize=4096)
def _mark(host: str, incarnation: int, sequence: int) -> int:
    text = f"{host} {incarnation} {sequence}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest())


def fingerprint(members: Members) -> tuple[int, ...]:
    """Return one number for the usable entries of each bucket.

    Tombstones are left out: hosts drop them at different times.
    """
    buckets = [0] * BUCKETS
    for member in members.values():
        if member.usable:
            mark = _mark(member.host, member.incarnation, member.sequence)
            buckets[bucket_of(member.host)] ^= mark
    return tuple(buckets)


def differing(
    members: Members, other: tuple[int, ...], first: int, most: int
) -> list[Member]:
    """Return entries of the buckets in which another view differs.

    Args:
        members: The view of this host.
        other: The fingerprint of the other view.
        first: The bucket to begin with, another one each time.
        most: How many entries to go up to; the bucket that passes it is still whole.
    """
    if len(other) != BUCKETS:
        return []
    own = fingerprint(members)
    by_bucket: dict[int, list[Member]] = {}
    for member in members.values():
        by_bucket.setdefault(bucket_of(member.host), []).append(member)
    found: list[Member] = []
    for step in range(BUCKETS):
        index = (first + step) % BUCKETS
        if own[index] != other[index] and len(found) < most:
            found.extend(by_bucket.get(index, ()))
    return found
