"""Decide which requests are held back because upstreams end when they run them.

The load that this answers: one request in some tens or thousands ends every upstream that
runs it, callers and nodes try it again, and soon all upstreams of a service are down. A
request is identified by its service, method, path with query, and body, since its id is
new each time. When an upstream ends, all calls in its hand are suspected, but those that
have lately been answered elsewhere. A suspect that is answered is cleared. One that was
in hand at two ends of an upstream, and was never answered, is held back: no upstream of
the fleet is sent it, until it is released or the suspicion runs out.

A caller that changes a byte each time makes another request each time, which nothing
here recognizes.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import attrs

# One crash leaves too many innocent calls in hand to hold them all back.
HELD_CRASH_COUNT = 2
SUSPICION_S = 600.0
PROVEN_S = 60.0
MAX_SUSPECTS = 512
MAX_PROVEN = 4096
MAX_REPORTS = 1024
# Identifies a large body together with its size.
MAX_HASHED_BODY_BYTES = 1 << 16
KEY_BYTES = 8

Key = bytes


@attrs.frozen
class CrashReport:
    """One end of an upstream, and the suspected requests that it had in hand."""

    report_id: str
    keys: tuple[Key, ...]
    at_s: float


@attrs.define
class CrashSuspects:
    """What a node knows of the fleet's crashes; times are on its monotonic clock.

    ``crashes`` has for each suspected request when each crash was reported, the request
    suspected last at the end. ``proven_s`` is when a request was last answered here, and
    ``reports`` are the reports already applied, both the newest last.
    """

    crashes: dict[Key, dict[str, float]] = attrs.field(factory=dict)
    proven_s: dict[Key, float] = attrs.field(factory=dict)
    reports: dict[str, None] = attrs.field(factory=dict)


def request_key(service: str, method: str, path: str, body: bytes | bytearray) -> Key:
    """Return what identifies a request when it is tried again."""
    head = f"{service}\n{method}\n{path}\n{len(body)}\n".encode()
    hashed = blake2b(head, digest_size=KEY_BYTES)
    hashed.update(body[:MAX_HASHED_BODY_BYTES])
    return hashed.digest()


def record_proof(suspects: CrashSuspects, key: Key, now_s: float) -> bool:
    """Record that an upstream has answered a request; return whether that clears it."""
    proven_s = suspects.proven_s
    proven_s.pop(key, None)
    proven_s[key] = now_s
    if len(proven_s) > MAX_PROVEN:
        del proven_s[next(iter(proven_s))]
    return clear(suspects, key)


def clear(suspects: CrashSuspects, key: Key) -> bool:
    """Drop the suspicion of a request; return whether there was one."""
    return suspects.crashes.pop(key, None) is not None


def select_suspects(
    suspects: CrashSuspects, keys: Iterable[Key], now_s: float
) -> tuple[Key, ...]:
    """Return the requests of a crashed upstream that were not answered lately."""
    return tuple(
        key
        for key in dict.fromkeys(keys)
        if now_s - suspects.proven_s.get(key, float("-inf")) > PROVEN_S
    )


def apply_report(
    suspects: CrashSuspects, report: CrashReport
) -> tuple[Key, ...] | None:
    """Apply the report of a crash.

    Returns:
        The requests that are held back from now on; None if the report is known.
    """
    if report.report_id in suspects.reports:
        return None
    suspects.reports[report.report_id] = None
    if len(suspects.reports) > MAX_REPORTS:
        del suspects.reports[next(iter(suspects.reports))]
    held = []
    for key in report.keys:
        crashes = suspects.crashes.pop(key, {})
        crashes = {
            report_id: at_s
            for report_id, at_s in crashes.items()
            if report.at_s - at_s < SUSPICION_S
        }
        crashes[report.report_id] = report.at_s
        suspects.crashes[key] = crashes
        if len(crashes) == HELD_CRASH_COUNT:
            held.append(key)
    while len(suspects.crashes) > MAX_SUSPECTS:
        del suspects.crashes[_least_suspected(suspects)]
    return tuple(held)


def _least_suspected(suspects: CrashSuspects) -> Key:
    """Return the request suspected longest ago among those of the fewest crashes."""
    return min(suspects.crashes, key=lambda key: len(suspects.crashes[key]))


def crash_count(suspects: CrashSuspects, key: Key, now_s: float) -> int:
    """Return how many upstreams ended lately with a request in hand."""
    crashes = suspects.crashes.get(key)
    if crashes is None:
        return 0
    return sum(now_s - at_s < SUSPICION_S for at_s in crashes.values())


def is_held(suspects: CrashSuspects, key: Key, now_s: float) -> bool:
    """Return whether a request is sent to no upstream."""
    return crash_count(suspects, key, now_s) >= HELD_CRASH_COUNT


def known_reports(suspects: CrashSuspects, now_s: float) -> list[CrashReport]:
    """Return the reports of which a suspicion is left, for a node that knows none."""
    keys: dict[str, list[Key]] = {}
    times_s: dict[str, float] = {}
    for key, crashes in suspects.crashes.items():
        for report_id, at_s in crashes.items():
            if now_s - at_s < SUSPICION_S:
                keys.setdefault(report_id, []).append(key)
                times_s[report_id] = at_s
    return [
        CrashReport(report_id, tuple(found), times_s[report_id])
        for report_id, found in keys.items()
    ]
