"""Notice that this host's upstream has ended, and tell all nodes what it had in hand.

An upstream has ended if it breaks connections with calls on them and then refuses a new
one. A reset, a dropped idle connection or a cut does not look so. The results of the
calls in hand wait for that check, so that no node tries them again before the crash is
known. Reports pass from node to node over the links, each once.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.adapters.http_pool import HttpPool, NotSentError
from agaterelay.core.checked import check_list, check_text, check_whole
from agaterelay.core.crash_suspects import (
    KEY_BYTES,
    SUSPICION_S,
    CrashReport,
    CrashSuspects,
    Key,
    apply_report,
    clear,
    crash_count,
    is_held,
    known_reports,
    record_proof,
    select_suspects,
)
from agaterelay.events import EventKind
from agaterelay.mesh.state import NodeContext

# The connections of a process that ends break within some milliseconds.
GATHER_S = 0.01
MAX_ENTRIES_PER_FRAME = 512


@attrs.define
class Crashes:
    """The crashes that a node has noticed or heard of.

    Attributes:
        on_unreachable: Called when the upstream refused a connection.
        tell: Sends a frame to all linked nodes but the one that it came from.
        lost: The requests whose connection broke since the last check.
        check: The check in progress.
        numbers: Numbers the crashes of this host's upstream.
        held_count: The number of requests that were held back.
    """

    context: NodeContext
    pool: HttpPool
    suspects: CrashSuspects = attrs.field(factory=CrashSuspects)
    on_unreachable: Callable[[], None] = lambda: None
    tell: Callable[[list[Any], FrameConnection | None], None] = lambda frame, skip: None
    lost: list[Key] = attrs.field(factory=list)
    check: asyncio.Task[None] | None = None
    numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    held_count: int = 0


async def confirm_crash(crashes: Crashes, key: Key, instance: str) -> int:
    """Wait until it is known whether the upstream has ended with a call in hand.

    Args:
        crashes: The crashes known.
        key: The request of the call whose connection broke.
        instance: The instance that it was sent to.

    Returns:
        How many upstreams have ended lately with this request in hand.
    """
    crashes.lost.append(key)
    if crashes.check is None:
        crashes.check = asyncio.create_task(_check_upstream(crashes, instance))
    await asyncio.shield(crashes.check)
    return crash_count(crashes.suspects, key, crashes.context.clock.monotonic_s())


async def _check_upstream(crashes: Crashes, instance: str) -> None:
    clock = crashes.context.clock
    await clock.sleep(GATHER_S)
    lost, crashes.lost = crashes.lost, []
    crashes.check = None
    try:
        connection = await crashes.pool.acquire(clock.monotonic_s())
    except NotSentError as error:
        crashes.on_unreachable()
        if isinstance(error.__cause__, ConnectionError):
            _report_crash(crashes, lost, instance)
    else:
        crashes.pool.release(connection, clock.monotonic_s())


def _report_crash(crashes: Crashes, lost: list[Key], instance: str) -> None:
    now_s = crashes.context.clock.monotonic_s()
    suspected = select_suspects(crashes.suspects, lost, now_s)
    host = crashes.context.deployment.name
    report_id = f"{host}/{instance}/{next(crashes.numbers)}"
    crashes.context.record(
        EventKind.UPSTREAM_CRASHED,
        crash=report_id,
        instance=instance,
        calls_in_hand=len(lost),
        suspected=[key.hex() for key in suspected],
    )
    report = CrashReport(report_id, suspected, now_s)
    _apply(crashes, report)
    _tell(crashes, [report], [])


def _apply(crashes: Crashes, report: CrashReport) -> bool:
    """Apply a report, and log what is held back from now on; return whether it is new."""
    held = apply_report(crashes.suspects, report)
    if held is None:
        return False
    for key in held:
        crashes.context.record(
            EventKind.REQUEST_HELD,
            key=key.hex(),
            crashes=sorted(crashes.suspects.crashes[key]),
            hold_s=SUSPICION_S,
        )
    return True


def record_answered_request(crashes: Crashes, key: Key) -> None:
    """Record that an upstream has answered a request, and tell if that clears it."""
    now_s = crashes.context.clock.monotonic_s()
    if record_proof(crashes.suspects, key, now_s):
        _tell(crashes, [], [key])


def list_suspects(crashes: Crashes) -> list[dict[str, Any]]:
    """Return the suspected requests, those suspected last at the end."""
    now_s = crashes.context.clock.monotonic_s()
    return [
        {
            "key": key.hex(),
            "held": is_held(crashes.suspects, key, now_s),
            "crashes": [
                {"crash": report_id, "age_s": round(now_s - at_s, 1)}
                for report_id, at_s in found.items()
            ],
        }
        for key, found in crashes.suspects.crashes.items()
    ]


def release_request(crashes: Crashes, key: Key) -> bool:
    """Hold a request back no longer, on all nodes; return whether it was suspected."""
    if not clear(crashes.suspects, key):
        return False
    crashes.context.record(EventKind.REQUEST_RELEASED, key=key.hex())
    _tell(crashes, [], [key])
    return True


def _tell(
    crashes: Crashes,
    reports: list[CrashReport],
    cleared: list[Key],
    skip: FrameConnection | None = None,
) -> None:
    if reports or cleared:
        crashes.tell(_build_frame(crashes, reports, cleared), skip)


def _build_frame(
    crashes: Crashes, reports: list[CrashReport], cleared: list[Key]
) -> list[Any]:
    now_s = crashes.context.clock.monotonic_s()
    encoded = [
        [report.report_id, max(round((now_s - report.at_s) * 1000), 0), report.keys]
        for report in reports
    ]
    return [Frame.CRASHES, encoded, cleared]


def send_known_crashes(crashes: Crashes, connection: FrameConnection) -> None:
    """Send a node that has just been linked what is suspected."""
    reports = known_reports(crashes.suspects, crashes.context.clock.monotonic_s())
    if reports:
        connection.send(_build_frame(crashes, reports, []))


def handle_crashes(
    crashes: Crashes, connection: FrameConnection, frame: list[Any]
) -> None:
    """Apply what another node tells of crashes, and pass on what is new.

    Raises:
        DecodeError: The frame is not what it should be.
    """
    now_s = crashes.context.clock.monotonic_s()
    reports = [
        CrashReport(
            check_text(report_id),
            tuple(_check_key(key) for key in check_list(keys, MAX_ENTRIES_PER_FRAME)),
            now_s - check_whole(age_ms) / 1000,
        )
        for report_id, age_ms, keys in check_list(frame[1], MAX_ENTRIES_PER_FRAME)
    ]
    cleared = [_check_key(key) for key in check_list(frame[2], MAX_ENTRIES_PER_FRAME)]
    new_reports = [report for report in reports if _apply(crashes, report)]
    newly_cleared = [key for key in cleared if clear(crashes.suspects, key)]
    _tell(crashes, new_reports, newly_cleared, connection)


def _check_key(value: Any) -> Key:
    if not isinstance(value, bytes) or len(value) != KEY_BYTES:
        raise ValueError("not the key of a request")
    return value
