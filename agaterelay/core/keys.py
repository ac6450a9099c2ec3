"""Idempotency keys that are bound to one home, and what the home remembers.

A key names the incarnation of the one node that may run it, so two nodes can never
both believe they should. The home keeps a window of keys with what became of them.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from datetime import UTC, datetime, timedelta
from uuid import UUID

import attrs
import uuid_utils

from agaterelay.core.outcome import NotRun, Outcome, Unknown

WINDOW = timedelta(minutes=10)
CLOCK_SKEW = timedelta(minutes=1)
MAX_KEYS = 20_000

_KEY_PATTERN = re.compile(
    r"([0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12})"
    r"@([0-9.:]{3,64})#([0-9]{1,19})"
)


@attrs.frozen
class Key:
    """An idempotency key: a UUID of version 7, and its home's host and incarnation."""

    uuid: str
    host: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.uuid}@{self.host}#{self.incarnation}"

    @property
    def born_at(self) -> datetime:
        """When the key was minted."""
        milliseconds = UUID(self.uuid).int >> 80
        return datetime.fromtimestamp(milliseconds / 1000, UTC)


def mint_key(host: str, incarnation: int, now: datetime) -> Key:
    """Return a new key whose home is the given incarnation of a host."""
    nanoseconds = int(now.timestamp() * 1000) * 1_000_000
    uuid = uuid_utils.uuid7(nanoseconds=nanoseconds)
    return Key(str(uuid), host, incarnation)


def parse_key(text: str) -> Key | None:
    """Return the key that a text spells, None where it spells none."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    return Key(match[1], match[2], int(match[3]))


@attrs.define
class KeyWindow:
    """What one home remembers of its keys, the oldest first.

    A value of None means that the call is in progress.
    """

    incarnation: int
    entries: OrderedDict[str, Outcome | None] = attrs.field(factory=OrderedDict)


def claim(window: KeyWindow, key: Key, now: datetime) -> Outcome | None:
    """Claim a key for its only run.

    Returns:
        None where the claim is won and the call may run, otherwise what to tell
        the caller, who must not run it.
    """
    if key.incarnation != window.incarnation:
        return Unknown("the node that knew this key was replaced")
    if key.uuid in window.entries:
        outcome = window.entries[key.uuid]
        return outcome or Unknown("the call is in progress")
    if key.born_at > now + CLOCK_SKEW:
        return NotRun("the key is from the future")
    if key.born_at < now - WINDOW:
        return Unknown("the key is older than what is remembered")
    forget_old(window, now)
    if len(window.entries) >= MAX_KEYS:
        return NotRun("too many keys", retry_after_s=1.0)
    window.entries[key.uuid] = None
    return None


def settle(window: KeyWindow, key: Key, outcome: Outcome) -> None:
    """Record how a claimed call ended."""
    window.entries[key.uuid] = outcome


def forget_old(window: KeyWindow, now: datetime) -> None:
    """Drop keys that are refused by their age alone."""
    horizon = now - WINDOW - CLOCK_SKEW
    while window.entries:
        uuid, outcome = next(iter(window.entries.items()))
        if outcome is None or Key(uuid, "", 0).born_at >= horizon:
            return
        del window.entries[uuid]
