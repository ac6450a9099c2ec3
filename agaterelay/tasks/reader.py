"""The reader polls the head row, on the few hosts of a zone whose turn it is.

It also settles a node that has just started: finds the lowest revision that the node
may serve. While the table does not answer, the newest revision that was committed is
found in the object store.
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
from agaterelay.tasks.board import Board, Seen, World
from agaterelay.tasks.committed import find_committed, record_committed
from agaterelay.tasks.keeper import Keeper, post, set_floor
from agaterelay.tasks.witnesses import ask_all, ask_floors

READERS_PER_ZONE = 2
HEAD_ROW = "head"
JOIN_WAIT_S = 3.0
JOIN_POLL_S = 0.02
VIEW_WAIT_S = 0.5
SETTLE_RETRY_S = 0.4
ASK_ALL_AFTER_S = 2.0


@attrs.define
class Reader:
    """The reader's state; times are in seconds on the clock that never jumps.

    ``recorded_revision`` is the newest one known to be recorded in the object store.
    """

    world: World
    board: Board
    keeper: Keeper
    started_s: float
    recorded_revision: int = 0


async def read_head(world: World) -> tuple[Head, int]:
    """Return the newest committed head and its row's version.

    Raises:
        PlatformError: The table did not answer, or not with a head.
    """
    row = await world.table.read(HEAD_ROW)
    if row is None:
        return Head(0, ""), 0
    head, findings = decode_head(row.value)
    if head is None:
        raise PlatformError(str(findings[0]))
    return head, row.version


def readers(board: Board, zone: str) -> list[str]:
    """Return the hosts whose turn it is to read for a zone, as this host sees it."""
    hosts = {*zone_hosts(board.members, zone), board.own.host}
    return rank(hosts, f"reader {zone}")[:READERS_PER_ZONE]


def is_reader(board: Board, zone: str) -> bool:
    """Return whether it is this host's turn to read for its zone."""
    return board.own.host in readers(board, zone)


async def run_reader(reader: Reader) -> None:
    """Settle the node, then poll the head row where it is its turn."""
    world = reader.world
    await wait_for_peers(reader)
    while reader.keeper.line.floor is None:
        await settle(reader)
        delay_s = SETTLE_RETRY_S
        if is_reader(reader.board, world.settings.zone):
            delay_s = max(delay_s, world.settings.head_poll_s)
        await world.clock.sleep(delay_s * random.uniform(0.5, 1.5))
    while True:
        if is_reader(reader.board, world.settings.zone):
            await poll(reader)
        else:
            # Only this host's own reads tell that the table answers.
            reader.board.platform_up = True
        await world.clock.sleep(world.settings.head_poll_s * random.uniform(0.8, 1.2))


async def wait_for_peers(reader: Reader) -> None:
    """Wait until this host has joined, so that few nodes take themselves for readers.

    In a herd every host takes itself for a reader until it has heard of the others, so
    one that does waits a little longer. A node that knows of none after a while goes
    on alone.
    """
    clock = reader.world.clock
    while not _knows_its_turn(reader, clock.monotonic_s() - reader.started_s):
        await clock.sleep(JOIN_POLL_S * random.uniform(0.5, 1.5))


def _knows_its_turn(reader: Reader, age_s: float) -> bool:
    if not reader.board.own.incarnation or len(reader.board.members) < 2:
        return age_s >= JOIN_WAIT_S
    takes_itself = is_reader(reader.board, reader.world.settings.zone)
    return not takes_itself or age_s >= VIEW_WAIT_S


async def settle(reader: Reader) -> None:
    """Try once to find the floor: from the platform, from its readers, from peers."""
    world, board, keeper = reader.world, reader.board, reader.keeper
    chosen = readers(board, world.settings.zone)
    if board.own.host in chosen:
        await poll(reader)
    age_s = world.clock.monotonic_s() - reader.started_s
    if keeper.line.floor is None:
        others = [host for host in chosen if host != board.own.host]
        answers = await ask_floors(world, board, others, 0)
        _settle_at(keeper, floor_from_head(answers, age_s))
    if keeper.line.floor is None and age_s >= ASK_ALL_AFTER_S:
        _settle_at(keeper, floor_from_peers(await ask_all(world, board)))


def _settle_at(keeper: Keeper, floor: int | None) -> None:
    if floor is not None:
        set_floor(keeper, floor)


async def poll(reader: Reader) -> None:
    """Read the head row, or the object store while the table does not answer."""
    world, board = reader.world, reader.board
    began_s = world.clock.monotonic_s()
    try:
        head, _ = await read_head(world)
    except PlatformError as error:
        if board.platform_up:
            world.record(EventKind.PLATFORM_LOST, reason=str(error))
        board.platform_up = False
        await _poll_objects(reader)
        return
    if not board.platform_up:
        world.record(EventKind.PLATFORM_BACK)
    board.platform_up = True
    board.head_read_s = began_s
    board.head_revision = head.revision
    if reader.keeper.line.floor is None:
        set_floor(reader.keeper, head.revision)
    post(reader.keeper, Seen(head))
    await _record(reader, head)


async def _record(reader: Reader, head: Head) -> None:
    """Record a committed head in the object store, where that is not known yet."""
    if head.revision <= reader.recorded_revision:
        return
    try:
        await record_committed(reader.world.objects, head)
    except PlatformError:
        return
    reader.recorded_revision = head.revision


async def _poll_objects(reader: Reader) -> None:
    """Find the newest committed revision in the object store, and what peers know."""
    world, keeper = reader.world, reader.keeper
    try:
        head = await find_committed(world.objects, keeper.line.held_revision)
    except PlatformError:
        return
    if head is None:
        return
    if keeper.line.floor is None:
        answers = await ask_all(world, reader.board)
        known = [max(answer.witnessed, answer.own) for answer in answers]
        set_floor(keeper, max([head.revision, *known]))
    post(keeper, Seen(head))
