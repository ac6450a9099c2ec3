"""The reader polls the head row on the few hosts chosen as readers of their zone.

On a node that has just started it also determines the floor, the lowest revision that
the node may serve. While the table does not answer, the newest committed revision is
read from the object store.
"""

from __future__ import annotations

import random

import attrs

from agaterelay.core.floors import floor_from_head, floor_from_peers
from agaterelay.core.manifest import decode_head
from agaterelay.core.membership import zone_hosts
from agaterelay.core.model import Head
from agaterelay.core.rendezvous import rank
from agaterelay.events import EventKind
from agaterelay.ports import PlatformError
from agaterelay.tasks.board import Board, NodeContext, RevisionNotification
from agaterelay.tasks.committed import find_committed, record_committed
from agaterelay.tasks.keeper import Keeper, handle_notification, set_floor
from agaterelay.tasks.witnesses import request_all_floors, request_floors

READERS_PER_ZONE = 2
HEAD_ROW = "head"
MAX_JOIN_WAIT_S = 3.0
JOIN_POLL_S = 0.02
MIN_VIEW_WAIT_S = 0.5
FLOOR_RETRY_S = 0.4
REQUEST_ALL_AFTER_S = 2.0


@attrs.define
class Reader:
    """The reader's state; times are in seconds on the monotonic clock.

    ``recorded_revision`` is the newest revision known to be in the object store.
    """

    node_context: NodeContext
    board: Board
    keeper: Keeper
    started_s: float
    recorded_revision: int = 0


async def read_head(context: NodeContext) -> tuple[Head, int]:
    """Return the newest committed head and its row's version.

    Raises:
        PlatformError: The table did not answer, or the row is not a valid head.
    """
    row = await context.table.read(HEAD_ROW)
    if row is None:
        return Head(0, ""), 0
    head, findings = decode_head(row.value)
    if head is None:
        raise PlatformError(str(findings[0]))
    return head, row.version


def choose_zone_readers(board: Board, zone: str) -> list[str]:
    """Return the readers of a zone according to this host's view of the members."""
    hosts = {*zone_hosts(board.members, zone), board.own.host}
    return rank(hosts, f"reader {zone}")[:READERS_PER_ZONE]


def is_reader(board: Board, zone: str) -> bool:
    """Return whether this host is a reader of the zone."""
    return board.own.host in choose_zone_readers(board, zone)


async def run_reader(reader: Reader) -> None:
    """Determine the floor, then poll the head row while this host is a reader."""
    context = reader.node_context
    await wait_for_peers(reader)
    while reader.keeper.line.floor is None:
        await determine_floor(reader)
        delay_s = FLOOR_RETRY_S
        if is_reader(reader.board, context.settings.zone):
            delay_s = max(delay_s, context.settings.head_poll_s)
        await context.clock.sleep(delay_s * random.uniform(0.5, 1.5))
    while True:
        if is_reader(reader.board, context.settings.zone):
            await poll_head(reader)
        else:
            # Only a host's own reads show whether the table answers, and only
            # readers read it.
            reader.board.platform_up = True
        await context.clock.sleep(
            context.settings.head_poll_s * random.uniform(0.8, 1.2)
        )


async def wait_for_peers(reader: Reader) -> None:
    """Wait until this host has joined, so that few nodes act as readers.

    When many hosts start at once, each one considers itself a reader until it knows the
    others. A host that considers itself a reader therefore waits a little longer. A
    node that knows no other host after ``MAX_JOIN_WAIT_S`` proceeds alone.
    """
    clock = reader.node_context.clock
    while not _may_start(reader, clock.monotonic_s() - reader.started_s):
        await clock.sleep(JOIN_POLL_S * random.uniform(0.5, 1.5))


def _may_start(reader: Reader, age_s: float) -> bool:
    if not reader.board.own.incarnation or len(reader.board.members) < 2:
        return age_s >= MAX_JOIN_WAIT_S
    considers_itself_reader = is_reader(reader.board, reader.node_context.settings.zone)
    return not considers_itself_reader or age_s >= MIN_VIEW_WAIT_S


async def determine_floor(reader: Reader) -> None:
    """Try once to determine the floor from the platform, the readers, or the peers."""
    context, board, keeper = reader.node_context, reader.board, reader.keeper
    zone_readers = choose_zone_readers(board, context.settings.zone)
    if board.own.host in zone_readers:
        await poll_head(reader)
    age_s = context.clock.monotonic_s() - reader.started_s
    if keeper.line.floor is None:
        others = [host for host in zone_readers if host != board.own.host]
        answers = await request_floors(context, board, others, 0)
        _set_known_floor(keeper, floor_from_head(answers, age_s))
    if keeper.line.floor is None and age_s >= REQUEST_ALL_AFTER_S:
        _set_known_floor(
            keeper, floor_from_peers(await request_all_floors(context, board))
        )


def _set_known_floor(keeper: Keeper, floor: int | None) -> None:
    if floor is not None:
        set_floor(keeper, floor)


async def poll_head(reader: Reader) -> None:
    """Read the head row, or the object store if the table does not answer."""
    context, board = reader.node_context, reader.board
    began_s = context.clock.monotonic_s()
    try:
        head, _ = await read_head(context)
    except PlatformError as error:
        if board.platform_up:
            context.record(EventKind.PLATFORM_LOST, reason=str(error))
        board.platform_up = False
        await _poll_object_store(reader)
        return
    if not board.platform_up:
        context.record(EventKind.PLATFORM_BACK)
    board.platform_up = True
    board.head_read_s = began_s
    board.head_revision = head.revision
    if reader.keeper.line.floor is None:
        set_floor(reader.keeper, head.revision)
    handle_notification(reader.keeper, RevisionNotification(head))
    await _record_head(reader, head)


async def _record_head(reader: Reader, head: Head) -> None:
    """Record a committed head in the object store unless it is known to be there."""
    if head.revision <= reader.recorded_revision:
        return
    try:
        await record_committed(reader.node_context.objects, head)
    except PlatformError:
        return
    reader.recorded_revision = head.revision


async def _poll_object_store(reader: Reader) -> None:
    """Read the newest committed revision from the object store.

    If the floor is not known yet, it is set to the highest revision known to the object
    store or to a peer.
    """
    context, keeper = reader.node_context, reader.keeper
    try:
        head = await find_committed(context.objects, keeper.line.held_revision)
    except PlatformError:
        return
    if head is None:
        return
    if keeper.line.floor is None:
        answers = await request_all_floors(context, reader.board)
        known = [max(answer.witnessed, answer.own) for answer in answers]
        set_floor(keeper, max([head.revision, *known]))
    handle_notification(keeper, RevisionNotification(head))
