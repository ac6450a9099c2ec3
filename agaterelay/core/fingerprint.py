"""Anti-entropy fingerprints: compare two views by one number for each bucket."""

from __future__ import annotations

import hashlib
from functools import lru_cache

from agaterelay.core.membership import Member, Members

BUCKET_COUNT = 32


@lru_cache(maxsize=4096)
def bucket_of(host: str) -> int:
    """Return the bucket that a host's member record belongs to."""
    return hashlib.blake2b(host.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


@lru_cache(maxsize=4096)
def _hash_member(host: str, incarnation: int, sequence: int) -> int:
    text = f"{host} {incarnation} {sequence}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest())


def fingerprint(members: Members) -> tuple[int, ...]:
    """Return one number for the usable members of each bucket.

    Dead and left members are excluded: hosts remove them at different times.
    """
    buckets = [0] * BUCKET_COUNT
    for member in members.values():
        if member.usable:
            member_hash = _hash_member(member.host, member.incarnation, member.sequence)
            buckets[bucket_of(member.host)] ^= member_hash
    return tuple(buckets)


def find_differing_members(
    members: Members, other: tuple[int, ...], first: int, max_count: int
) -> list[Member]:
    """Return the members in the buckets in which another view differs.

    Args:
        members: The view of this host.
        other: The fingerprint of the other view.
        first: The bucket to begin with, which should vary between calls.
        max_count: The number of members after which no further bucket is added; the
            bucket that exceeds it is returned whole.
    """
    if len(other) != BUCKET_COUNT:
        return []
    own = fingerprint(members)
    by_bucket: dict[int, list[Member]] = {}
    for member in members.values():
        by_bucket.setdefault(bucket_of(member.host), []).append(member)
    found: list[Member] = []
    for step in range(BUCKET_COUNT):
        index = (first + step) % BUCKET_COUNT
        if own[index] != other[index] and len(found) < max_count:
            found.extend(by_bucket.get(index, ()))
    return found
