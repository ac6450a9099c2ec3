"""The reader polls the head row, on the few hosts of a zone whose turn it is.

It also finds the floor of a node that has just started: from the platform, else from
what the peers saw the predecessor on this host serve.
"""

from __future__ import annotations

import random

from agaterelay.core.manifest import decode_head
from agaterelay.core.membership import zone_hosts
from agaterelay.core.model import Head
from agaterelay.core.rendezvous import rank
from agaterelay.events import EventKind
from agaterelay.ports import PeerError, PlatformError
from agaterelay.tasks.board import Board, Seen, World
from agaterelay.tasks.keeper import Keeper, post, set_floor

READERS_PER_ZONE = 2
HEAD_ROW = "head"


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


def is_reader(board: Board, zone: str) -> bool:
    """Return whether it is this host's turn to read for its zone."""
    hosts = {*zone_hosts(board.members, zone), board.own.host}
    return board.own.host in rank(hosts, f"reader {zone}")[:READERS_PER_ZONE]


async def run_reader(world: World, board: Board, keeper: Keeper) -> None:
    """Poll the head row until cancelled."""
    while True:
        if keeper.line.floor is None or is_reader(board, world.settings.zone):
            await _poll(world, board, keeper)
        await world.clock.sleep(world.settings.head_poll_s * random.uniform(0.8, 1.2))


async def _poll(world: World, board: Board, keeper: Keeper) -> None:
    try:
        head, _ = await read_head(world)
    except PlatformError as error:
        if board.platform_up:
            world.record(EventKind.PLATFORM_LOST, reason=str(error))
        board.platform_up = False
        if keeper.line.floor is None:
            await find_floor_from_peers(world, board, keeper)
        return
    if not board.platform_up:
        world.record(EventKind.PLATFORM_BACK)
    board.platform_up = True
    if keeper.line.floor is None:
        set_floor(keeper, head.revision)
    post(keeper, Seen(head))


async def find_floor_from_peers(world: World, board: Board, keeper: Keeper) -> None:
    """Ask all hosts of the zone for the floor; set it if at least one answers."""
    own = board.own.host
    floors = []
    for host in zone_hosts(board.members, world.settings.zone):
        if host == own:
            continue
        try:
            floors.append(await world.peers.witness(host, own, 0))
        except PeerError:
            continue
    if floors:
        set_floor(keeper, max(floors))
