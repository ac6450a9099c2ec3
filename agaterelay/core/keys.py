"""Idempotency keys, each bound to one node, and that node's record of their outcomes.

A key names the incarnation of the only node that may run its call, its home, so that two
nodes can never both run it. The home keeps the outcomes of recent keys. Refusals are kept
too: once a key was answered with "not run", no delayed attempt with it may run.
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

KEY_RETENTION = timedelta(seconds=60)
MAX_CLOCK_SKEW = timedelta(seconds=30)
MAX_KEYS = 20_000
MAX_REFUSED_KEYS = 30_000
MAX_STORED_BYTES = 8 << 20
ANSWER_OVERHEAD_BYTES = 64

_EPOCH = datetime.fromtimestamp(0, UTC)
_KEY_PATTERN = re.compile(
    r"([0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12})"
    r"@([0-9.:]{3,64})#([0-9]{1,19})"
)


@attrs.frozen
class Key:
    """An idempotency key: a UUIDv7, and the host and incarnation of its home."""

    uuid: str
    host: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.uuid}@{self.host}#{self.incarnation}"

    @property
    def minted_at(self) -> datetime:
        """When the key was minted."""
        milliseconds = UUID(self.uuid).int >> 80
        return _EPOCH + timedelta(milliseconds=milliseconds)


def mint_key(host: str, incarnation: int, now: datetime) -> Key:
    """Return a new key whose home is the given incarnation of a host."""
    nanoseconds = int(now.timestamp() * 1000) * 1_000_000
    uuid = uuid_utils.uuid7(nanoseconds=nanoseconds)
    return Key(str(uuid), host, incarnation)


def parse_key(text: str) -> Key | None:
    """Return the key in a text, None if the text is not a key."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    return Key(match[1], match[2], int(match[3]))


@dataclass(frozen=True, slots=True)
class Claimed:
    """This attempt, and no other one ever, may run the call."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt with the key is running; its outcome applies to this one too."""


Claim = Claimed | InProgress | Outcome


@attrs.define
class KeyWindow:
    """The keys that their home remembers, oldest first.

    A value of None in ``runs`` means that the call is in progress. ``refused`` holds the
    keys that were answered with "not run". Keys minted up to ``expired_until`` may have
    been removed and can never be claimed again, even if the clock is set back.
    """

    incarnation: int
    runs: OrderedDict[str, Outcome | None] = attrs.field(factory=OrderedDict)
    refused: OrderedDict[str, NotRun] = attrs.field(factory=OrderedDict)
    stored_bytes: int = 0
    expired_until: datetime = _EPOCH


def claim(window: KeyWindow, key: Key, now: datetime) -> Claim:
    """Claim a key for its only run.

    Returns:
        Claimed if the call may run, InProgress if another attempt is running it, or the
        outcome to return to the caller instead of running the call.
    """
    if key.incarnation != window.incarnation:
        return Unknown("the node that knew this key was replaced")
    expire_keys(window, now)
    if key.uuid in window.refused:
        return window.refused[key.uuid]
    if key.uuid in window.runs:
        outcome = window.runs[key.uuid]
        return InProgress() if outcome is None else outcome
    if key.minted_at > now + MAX_CLOCK_SKEW:
        return Unknown("the key is from the future")
    if key.minted_at < now - KEY_RETENTION or key.minted_at <= window.expired_until:
        return Unknown("the key is older than what is remembered")
    if len(window.runs) >= MAX_KEYS:
        return record_refusal(window, key, NotRun("too many keys", retry_after_s=1.0))
    window.runs[key.uuid] = None
    return Claimed()


def record_refusal(window: KeyWindow, key: Key, refusal: NotRun) -> Outcome:
    """Record that a key was refused and may never run.

    Returns:
        The refusal, or Unknown if the limit of recorded refusals is reached.
    """
    if len(window.refused) >= MAX_REFUSED_KEYS:
        return Unknown("too many refusals to remember this one")
    window.refused[key.uuid] = refusal
    return refusal


def record_outcome(window: KeyWindow, key: Key, outcome: Outcome) -> Outcome:
    """Record the outcome of a claimed call; return the outcome to send to callers.

    The key of a run is always kept until it expires. If the stored answers grow too
    large, the oldest ones are replaced by an Unknown outcome.
    """
    if isinstance(outcome, NotRun):
        recorded = record_refusal(window, key, outcome)
        if recorded is outcome:
            del window.runs[key.uuid]
            return recorded
        outcome = recorded
    window.runs[key.uuid] = outcome
    window.stored_bytes += _size_bytes(outcome)
    _remove_old_answers(window)
    return outcome


def expire_keys(window: KeyWindow, now: datetime) -> None:
    """Remove keys that would be refused because of their age alone."""
    horizon = now - KEY_RETENTION - MAX_CLOCK_SKEW
    for uuids in (window.runs, window.refused):
        while uuids:
            uuid, outcome = next(iter(uuids.items()))
            minted_at = Key(uuid, "", 0).minted_at
            if outcome is None or minted_at >= horizon:
                break
            window.stored_bytes -= _size_bytes(outcome)
            window.expired_until = max(window.expired_until, minted_at)
            del uuids[uuid]


def _size_bytes(outcome: Outcome | None) -> int:
    if not isinstance(outcome, Answered):
        return 0
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + headers + ANSWER_OVERHEAD_BYTES


def _remove_old_answers(window: KeyWindow) -> None:
    if window.stored_bytes <= MAX_STORED_BYTES:
        return
    for uuid, outcome in window.runs.items():
        if isinstance(outcome, Answered):
            window.runs[uuid] = Unknown("it ran, but its answer is no longer kept")
            window.stored_bytes -= _size_bytes(outcome)
            if window.stored_bytes <= MAX_STORED_BYTES // 2:
                return
