"""Idempotency keys that are bound to one home, and what the home remembers.

A key names the incarnation of the one node that may run it, so two nodes can never
both believe they should. The home keeps a window of keys with what became of them. A
refusal is kept, too: once "not run" was said of a key, no late try of it may run.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from uuid import UUID

import attrs
import uuid_utils

from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown

WINDOW = timedelta(seconds=60)
CLOCK_SKEW = timedelta(seconds=30)
MAX_KEYS = 20_000
MAX_REFUSED_KEYS = 30_000
MAX_STORED_BYTES = 8 << 20
ENTRY_OVERHEAD_BYTES = 64

_BEGINNING = datetime.fromtimestamp(0, UTC)
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
        return _BEGINNING + timedelta(milliseconds=milliseconds)


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


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is won: this try, and no other ever, may run the call."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another try of the key runs at this moment; its outcome answers this one, too."""


Claim = Claimed | InProgress | Outcome


@attrs.define
class KeyWindow:
    """What one home remembers of its keys, the oldest first.

    A value of None in ``runs`` means that the call is in progress. ``refused`` holds
    the keys of which "not run" was said. Keys born up to ``forgotten_until`` were
    dropped, or may have been, and are never claimed again, whatever the clock says.
    """

    incarnation: int
    runs: OrderedDict[str, Outcome | None] = attrs.field(factory=OrderedDict)
    refused: OrderedDict[str, NotRun] = attrs.field(factory=OrderedDict)
    stored_bytes: int = 0
    forgotten_until: datetime = _BEGINNING


def claim(window: KeyWindow, key: Key, now: datetime) -> Claim:
    """Claim a key for its only run.

    Returns:
        Claimed where the call may run, InProgress where another try of it does,
        otherwise the outcome to tell the caller, who must not run it.
    """
    if key.incarnation != window.incarnation:
        return Unknown("the node that knew this key was replaced")
    forget_old(window, now)
    if key.uuid in window.refused:
        return window.refused[key.uuid]
    if key.uuid in window.runs:
        outcome = window.runs[key.uuid]
        return InProgress() if outcome is None else outcome
    if key.born_at > now + CLOCK_SKEW:
        return Unknown("the key is from the future")
    if key.born_at < now - WINDOW or key.born_at <= window.forgotten_until:
        return Unknown("the key is older than what is remembered")
    if len(window.runs) >= MAX_KEYS:
        return refuse(window, key, NotRun("too many keys", retry_after_s=1.0))
    window.runs[key.uuid] = None
    return Claimed()


def refuse(window: KeyWindow, key: Key, refusal: NotRun) -> Outcome:
    """Remember that a key was refused and may never run.

    Returns:
        The refusal, or Unknown where it cannot be remembered.
    """
    if len(window.refused) >= MAX_REFUSED_KEYS:
        return Unknown("too many refusals to remember this one")
    window.refused[key.uuid] = refusal
    return refusal


def settle(window: KeyWindow, key: Key, outcome: Outcome) -> Outcome:
    """Record how a claimed call ended; return what to tell the callers.

    The entry of a run never leaves before its time; where the answers together grow
    too large, the oldest answers do, and their keys are then unknown.
    """
    if isinstance(outcome, NotRun):
        told = refuse(window, key, outcome)
        if told is outcome:
            del window.runs[key.uuid]
            return told
        outcome = told
    window.runs[key.uuid] = outcome
    window.stored_bytes += _size_bytes(outcome)
    _drop_answers(window)
    return outcome


def forget_old(window: KeyWindow, now: datetime) -> None:
    """Drop keys that are refused by their age alone."""
    horizon = now - WINDOW - CLOCK_SKEW
    for uuids in (window.runs, window.refused):
        while uuids:
            uuid, outcome = next(iter(uuids.items()))
            born_at = Key(uuid, "", 0).born_at
            if outcome is None or born_at >= horizon:
                break
            window.stored_bytes -= _size_bytes(outcome)
            window.forgotten_until = max(window.forgotten_until, born_at)
            del uuids[uuid]


def _size_bytes(outcome: Outcome | None) -> int:
    if not isinstance(outcome, Answered):
        return 0
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + headers + ENTRY_OVERHEAD_BYTES


def _drop_answers(window: KeyWindow) -> None:
    if window.stored_bytes <= MAX_STORED_BYTES:
        return
    for uuid, outcome in window.runs.items():
        if isinstance(outcome, Answered):
            window.runs[uuid] = Unknown("it ran, but its answer is no longer kept")
            window.stored_bytes -= _size_bytes(outcome)
            if window.stored_bytes <= MAX_STORED_BYTES // 2:
                return
