"""Ask other hosts to remember what this one serves, and what it served before."""

from __future__ import annotations

import asyncio

from agaterelay.core.floors import FloorAnswer
from agaterelay.core.membership import zone_hosts
from agaterelay.core.rendezvous import rank
from agaterelay.tasks.board import Board, World

SECOND_ROUND = 8
FAR_WITNESSES = 2
SLOW_WITNESS_S = 0.05


def zone_peers(world: World, board: Board) -> list[str]:
    """Return the other hosts of the zone, this host's first choice first."""
    own = board.own.host
    hosts = zone_hosts(board.members, world.settings.zone)
    return rank((host for host in hosts if host != own), own)


def far_peers(world: World, board: Board) -> list[str]:
    """Return the hosts of other zones, this host's first choice first."""
    zone = world.settings.zone
    hosts = [
        member.host
        for member in board.members.values()
        if member.usable and member.zone != zone
    ]
    return rank(hosts, board.own.host)


async def ask_floors(
    world: World, board: Board, hosts: list[str], revision: int
) -> list[FloorAnswer]:
    """Tell hosts which revision this one is about to serve.

    Returns:
        The answers of those that answered.
    """
    own = board.own.host
    answers = await asyncio.gather(
        *(world.peers.witness(host, own, revision) for host in hosts),
        return_exceptions=True,
    )
    return [answer for answer in answers if isinstance(answer, FloorAnswer)]


async def ask_until_answered(
    world: World, board: Board, hosts: list[str], revision: int
) -> list[FloorAnswer]:
    """Ask hosts as ``ask_floors`` does, without waiting for the slowest.

    Returns:
        What was answered shortly after the first answer; empty where nobody answers.
    """
    own = board.own.host
    waiting = {
        asyncio.ensure_future(world.peers.witness(host, own, revision))
        for host in hosts
    }
    answers: list[FloorAnswer] = []
    while waiting:
        timeout_s = SLOW_WITNESS_S if answers else None
        done, waiting = await asyncio.wait(
            waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        answers += [task.result() for task in done if task.exception() is None]
        if not done:
            break
    for task in waiting:
        task.cancel()
    return answers


async def find_witness(world: World, board: Board, revision: int) -> int:
    """Let at least one other host remember the revision, where any can be reached.

    One host of the zone and one of another zone are asked first, so that neither the
    loss of one host nor of the zone loses the memory. Where neither answers, more and
    more are asked.

    Returns:
        The highest revision that a witness knows this host to have served.
    """
    near, far = zone_peers(world, board), far_peers(world, board)
    first = [*near[:1], *far[:1]]
    rest = [*near[1:], *far[1:]]
    for hosts in (first, rest[:SECOND_ROUND], rest[SECOND_ROUND:]):
        answers = await ask_until_answered(world, board, hosts, revision)
        if answers:
            return max(answer.witnessed for answer in answers)
    return 0


async def ask_all(world: World, board: Board) -> list[FloorAnswer]:
    """Ask every host of the zone, and this host's witnesses in other zones."""
    hosts = [*zone_peers(world, board), *far_peers(world, board)[:FAR_WITNESSES]]
    return await ask_floors(world, board, hosts, 0)
