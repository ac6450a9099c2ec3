"""Record at other hosts, the witnesses, which revisions this host serves.

A witness also returns the highest revision that it knows this host to have served.
"""

from __future__ import annotations

import asyncio

from agaterelay.core.floors import FloorAnswer
from agaterelay.core.membership import zone_hosts
from agaterelay.core.rendezvous import rank
from agaterelay.tasks.board import Board, NodeContext

SECOND_ROUND_HOST_COUNT = 8
OTHER_ZONE_WITNESS_COUNT = 2
LATE_ANSWER_WAIT_S = 0.05


def zone_peers(context: NodeContext, board: Board) -> list[str]:
    """Return the other hosts of the zone, in this host's order of preference."""
    own = board.own.host
    hosts = zone_hosts(board.members, context.settings.zone)
    return rank((host for host in hosts if host != own), own)


def other_zone_peers(context: NodeContext, board: Board) -> list[str]:
    """Return the hosts of other zones, in this host's order of preference."""
    zone = context.settings.zone
    hosts = [
        member.host
        for member in board.members.values()
        if member.usable and member.zone != zone
    ]
    return rank(hosts, board.own.host)


async def request_floors(
    context: NodeContext, board: Board, hosts: list[str], revision: int
) -> list[FloorAnswer]:
    """Request floors from hosts, which record the revision this host is about to serve.

    Returns:
        The floors from the hosts that answered.
    """
    own = board.own.host
    answers = await asyncio.gather(
        *(context.peers.witness(host, own, revision) for host in hosts),
        return_exceptions=True,
    )
    return [answer for answer in answers if isinstance(answer, FloorAnswer)]


async def request_first_floors(
    context: NodeContext, board: Board, hosts: list[str], revision: int
) -> list[FloorAnswer]:
    """Request floors like ``request_floors``, without waiting for the slowest hosts.

    Returns:
        The first floor and those that arrive shortly after it; empty if no host
        answers.
    """
    own = board.own.host
    waiting = {
        asyncio.ensure_future(context.peers.witness(host, own, revision))
        for host in hosts
    }
    answers: list[FloorAnswer] = []
    while waiting:
        timeout_s = LATE_ANSWER_WAIT_S if answers else None
        done, waiting = await asyncio.wait(
            waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        answers += [task.result() for task in done if task.exception() is None]
        if not done:
            break
    for task in waiting:
        task.cancel()
    return answers


async def find_witness(context: NodeContext, board: Board, revision: int) -> int:
    """Have at least one other host record the revision, if any can be reached.

    One host of the zone and one of another zone are asked first, so that the record
    survives the loss of one host or of the zone. If neither answers, further hosts are
    asked in two rounds.

    Returns:
        The highest revision that a witness knows this host to have served, or 0.
    """
    own_zone, other = zone_peers(context, board), other_zone_peers(context, board)
    first = [*own_zone[:1], *other[:1]]
    rest = [*own_zone[1:], *other[1:]]
    for hosts in (
        first,
        rest[:SECOND_ROUND_HOST_COUNT],
        rest[SECOND_ROUND_HOST_COUNT:],
    ):
        answers = await request_first_floors(context, board, hosts, revision)
        if answers:
            return max(answer.witnessed for answer in answers)
    return 0


async def request_all_floors(context: NodeContext, board: Board) -> list[FloorAnswer]:
    """Request floors from the hosts of the zone, and the witnesses in other zones."""
    hosts = [
        *zone_peers(context, board),
        *other_zone_peers(context, board)[:OTHER_ZONE_WITNESS_COUNT],
    ]
    return await request_floors(context, board, hosts, 0)
