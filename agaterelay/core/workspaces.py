"""Decide which workspace a caller belongs to, by the key that its request carries.

Keys are held and looked up by their SHA-256 digest. The time of a look-up therefore does
not depend on how much of a wrong key matches a right one, and no key is kept in memory.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping, Sequence

import attrs

from agaterelay.core.model import Workspace

UNKNOWN_KEY = "the key is unknown"

KeyIndex = Mapping[bytes, Workspace]


@attrs.frozen
class Credential:
    """What a request carries to tell its workspace.

    Attributes:
        key_digest: The digest of its key, empty if it has no usable key.
        fault: Why it has no usable key, empty if it has one. It is one of a few texts,
            and contains nothing that the caller sent.
    """

    key_digest: bytes = attrs.field(default=b"", repr=False)
    fault: str = ""


NO_CREDENTIAL = Credential(fault="there is no key")


@attrs.frozen
class Caller:
    """Who a caller is: its workspace if it has one, or why its request is refused."""

    workspace: Workspace | None = None
    refusal: str = ""


ANYONE = Caller()


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is held and looked up."""
    return hashlib.sha256(key).digest()


def index_keys(workspaces: Iterable[Workspace]) -> dict[bytes, Workspace]:
    """Return the workspace of each key digest."""
    index: dict[bytes, Workspace] = {}
    update_index(index, (), workspaces)
    return index


def update_index(
    index: dict[bytes, Workspace],
    before: Iterable[Workspace],
    after: Iterable[Workspace],
) -> None:
    """Change an index of some workspaces to that of others.

    Workspaces that were reused from the earlier configuration cost nothing.

    Args:
        index: The workspace of each key digest; changed in place.
        before: The workspaces that it holds.
        after: Those that it shall hold.
    """
    earlier = {id(workspace): workspace for workspace in before}
    added = [item for item in after if earlier.pop(id(item), None) is None]
    for workspace in earlier.values():
        for digest in workspace.key_digests:
            index.pop(digest, None)
    for workspace in added:
        index.update(dict.fromkeys(workspace.key_digests, workspace))


def identify_caller(keys: KeyIndex, credential: Credential, is_public: bool) -> Caller:
    """Return who a caller is.

    Args:
        keys: The workspace of each key digest.
        credential: What the request carries.
        is_public: Whether the route also serves callers without a workspace.
    """
    workspace = None if credential.fault else keys.get(credential.key_digest)
    if workspace is not None:
        return Caller(workspace)
    if is_public:
        return ANYONE
    return Caller(refusal=credential.fault or UNKNOWN_KEY)


def find_conflicts(workspaces: Sequence[Workspace]) -> list[tuple[int, str]]:
    """Return why workspaces cannot be told apart, by the position of the later one.

    Args:
        workspaces: All workspaces; the digests of one workspace do not repeat.

    Returns:
        Pairs of a position, which counts from 0, and a message, in order of position.
    """
    names = {workspace.name for workspace in workspaces}
    digests: set[bytes] = set().union(*(item.key_digests for item in workspaces))
    key_count = sum(len(workspace.key_digests) for workspace in workspaces)
    if len(names) == len(workspaces) and len(digests) == key_count:
        return []
    conflicts = []
    first_names: dict[str, int] = {}
    holders: dict[bytes, int] = {}
    for position, workspace in enumerate(workspaces):
        first = first_names.setdefault(workspace.name, position)
        if first != position:
            message = f"row {first + 1} has the name {workspace.name!r} too"
            conflicts.append((position, message))
        earlier = {
            holders.setdefault(digest, position) for digest in workspace.key_digests
        } - {position}
        conflicts.extend(
            (position, f"a key is held by row {first + 1} too")
            for first in sorted(earlier)
        )
    return conflicts
