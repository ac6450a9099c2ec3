"""State and formats shared by the tasks that follow the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from agaterelay.core.evacuation import Evacuation
from agaterelay.core.feed_pacing import AnswerTime, record_answer
from agaterelay.core.model import Finding, RouteTable
from agaterelay.core.trial import Order
from agaterelay.events import EventKind
from agaterelay.mesh.link import NEVER_S, Links
from agaterelay.mesh.state import MeshState, NodeContext
from agaterelay.ports import StoredRow

FLEET_TABLE = "agaterelay"
MEMBER_PREFIX = "member/"
MOVE_PREFIX = "move/"
# Delays between attempts after a refused or unanswered call: the delay doubles from the
# first value up to the second.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8


@attrs.frozen
class OperatorRowFormat:
    """The format of the operator's rows, defined by the platform's adapter."""

    table: str
    config_key: str
    decode_config: Callable[[bytes], tuple[RouteTable | None, tuple[Finding, ...]]]
    decode_order: Callable[[StoredRow], Order | None]
    decode_evacuation: Callable[[StoredRow], Evacuation | None]


@attrs.define
class StoreWatch:
    """The state of the tasks that follow the store.

    ``own_row_version`` is the version of this host's row as last read, and
    ``own_row_value`` its content as last written. ``member_versions`` are the versions of
    the other hosts' rows. ``lost`` names the tables and tasks whose last call the store
    did not answer, and ``followed`` the tables whose feeds this node follows now. For
    each table, ``answered_s`` is when the store last answered, ``answer_due_s`` when its
    answer to the open call is due, and ``current_s`` of when the state is that was read,
    all on the steady clock. ``open_polls`` are the time-outs of the open long polls, by which
    a poll is begun anew before its answer. ``call_s`` is how long the call took that was answered last,
    and ``answer_time`` what these calls say of the store.
    ``unread_tables`` are those that have not been read since the store was restored, and
    ``missing_rows`` the known hosts whose rows were not there then, and ``revived_rows``
    the removed hosts whose rows were there again.
    ``read_s`` is when both tables had been read for the first time. ``leading`` is whether
    this node is the lead of a small zone, as logged last.
    """

    context: NodeContext
    state: MeshState
    links: Links
    formats: OperatorRowFormat
    own_row_version: int = 0
    own_row_value: bytes | None = None
    member_versions: dict[str, int] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    followed: set[str] = attrs.field(factory=set)
    answered_s: dict[str, float] = attrs.field(factory=dict)
    answer_due_s: dict[str, float] = attrs.field(factory=dict)
    current_s: dict[str, float] = attrs.field(factory=dict)
    open_polls: dict[str, asyncio.Timeout] = attrs.field(factory=dict)
    call_s: dict[str, float] = attrs.field(factory=dict)
    answer_time: AnswerTime = attrs.field(factory=AnswerTime)
    unread_tables: set[str] = attrs.field(factory=set)
    missing_rows: set[str] = attrs.field(factory=set)
    revived_rows: set[str] = attrs.field(factory=set)
    read_s: float = NEVER_S
    leading: bool = False


def record_store_lost(watch: StoreWatch, table: str, reason: str) -> None:
    """Record that the store did not answer; log it if it answered before."""
    watch.followed.discard(table)
    if table not in watch.lost:
        watch.lost.add(table)
        watch.context.record(EventKind.PLATFORM_LOST, table=table, reason=reason)
    watch.state.store_up = False


def record_store_recovered(watch: StoreWatch, table: str) -> bool:
    """Record that the store answers; log and return whether it did not answer before."""
    was_lost = table in watch.lost
    if was_lost:
        watch.lost.discard(table)
        watch.context.record(EventKind.PLATFORM_BACK, table=table)
    watch.state.store_up = not watch.lost
    return was_lost


def renew_poll(watch: StoreWatch, table: str) -> None:
    """Begin a table's open long poll anew, as the store may never answer it."""
    poll = watch.open_polls.pop(table, None)
    if poll is not None and not poll.expired():
        poll.reschedule(asyncio.get_running_loop().time())


def record_answer_time(watch: StoreWatch, began_s: float, wait_s: float) -> None:
    """Record how long the store took for a call that no change has ended early.

    Args:
        watch: The state of the tasks that follow the store.
        began_s: When the call was sent, on the steady clock.
        wait_s: How long the store was asked to wait for changes, and its answer was on
            the host's link, in seconds.
    """
    now_s = watch.context.clock.monotonic_s()
    if record_answer(watch.answer_time, began_s, wait_s, now_s):
        watch.context.record(
            EventKind.STORE_ANSWER_TIME,
            answer_ms=round(watch.answer_time.answer_s * 1000),
            slow=watch.answer_time.is_slow,
        )


def record_receiving(watch: StoreWatch, table: str) -> None:
    """Record that a part of the answer to a table's open call has arrived."""
    if table in watch.answer_due_s:
        watch.answer_due_s[table] = watch.context.clock.monotonic_s()
