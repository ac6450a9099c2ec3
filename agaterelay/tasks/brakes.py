"""The brakes of a node: it stops a bad version alone, and tells its peers.

A brake asks nobody and needs no platform. It travels on gossip, on the answers that
a braking node gives to others, and at once to a few random hosts, which pass it on.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

import attrs

from agaterelay.core.brake import (
    find_brake,
    find_combined_brake,
    is_suspect,
    merge_brakes,
    open_moves,
    select_open_brakes,
)
from agaterelay.core.messages import Brake
from agaterelay.core.model import MoveProgress
from agaterelay.core.steps import MoveView
from agaterelay.events import EventKind
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.tallies import (
    Tallies,
    first_failure_ms,
    follow_moves,
    freeze_trial,
    own_windows,
)

BRAKE_PERIOD_S = 0.1
# How often the latencies are looked at; failures are looked at as they come.
FULL_LOOK_S = 1.0
INQUIRY_PERIOD_S = 0.25
SPREAD_HOSTS = 3


@attrs.define
class Braker:
    """The brake tasks' state.

    ``told`` wakes the one that passes brakes on; ``suspects`` are moves of which the
    other owners are to be asked, by trial.
    """

    node_context: NodeContext
    board: Board
    tallies: Tallies
    told: asyncio.Event = attrs.field(factory=asyncio.Event)
    full_look_s: float = 0.0
    suspects: dict[str, MoveProgress] = attrs.field(factory=dict)


def take_brakes(braker: Braker, brakes: Iterable[Brake]) -> None:
    """Take in brakes, this node's own or those of peers; they only lower the share."""
    board = braker.board
    merged, added = merge_brakes(board.brakes, brakes, board.active)
    if not added:
        return
    board.brakes = dict(merged)
    now_s = braker.node_context.clock.monotonic_s()
    for brake in added:
        freeze_trial(braker.tallies, brake.trial, now_s)
        braker.node_context.record(
            EventKind.MOVE_BRAKED,
            move=brake.move,
            trial=brake.trial,
            reason=brake.reason,
        )
    braker.told.set()


def look(braker: Braker) -> list[MoveProgress]:
    """Brake where this node's own evidence calls for it; drop what is closed.

    Returns:
        The moves whose new versions are suspect, but not to be braked on that alone.
    """
    board = braker.board
    clock = braker.node_context.clock
    now_s = clock.monotonic_s()
    now_ms = int(clock.now().timestamp() * 1000)
    follow_moves(braker.tallies, board.active, now_s)
    kept = select_open_brakes(board.brakes, board.active)
    if len(kept) != len(board.brakes):
        board.brakes = dict(kept)
    found, suspect = [], []
    for progress in _due_moves(braker, now_s):
        windows = own_windows(braker.tallies, progress.trial, now_s)
        first_ms = first_failure_ms(braker.tallies, progress.trial)
        brake = find_brake(progress, windows, first_ms, now_ms)
        if brake is not None:
            found.append(brake)
        elif is_suspect(progress, windows):
            suspect.append(progress)
    take_brakes(braker, found)
    return suspect


def _due_moves(braker: Braker, now_s: float) -> list[MoveProgress]:
    """Return the moves to look at: those that failed, and all from time to time."""
    due = now_s - braker.full_look_s >= FULL_LOOK_S
    if due:
        braker.full_look_s = now_s
    failing = set(braker.tallies.failing)
    braker.tallies.failing.clear()
    return [
        progress
        for progress in open_moves(braker.board.active)
        if progress.trial not in braker.board.brakes
        and (due or progress.trial in failing)
    ]


async def run_brakes(braker: Braker) -> None:
    """Watch this node's own evidence until cancelled."""
    while True:
        await braker.node_context.clock.sleep(BRAKE_PERIOD_S)
        for progress in look(braker):
            braker.suspects[progress.trial] = progress


async def run_inquiries(
    braker: Braker, gather: Callable[[MoveProgress], Awaitable[MoveView]]
) -> None:
    """Ask all owners in reach about suspect versions, until cancelled.

    So a few failures on each of several nodes suffice, without waiting for the
    stepping node's turn.

    Args:
        braker: The brake task's state.
        gather: Asks all owners that can be reached what they saw of a move.
    """
    while True:
        await braker.node_context.clock.sleep(INQUIRY_PERIOD_S)
        suspects, braker.suspects = braker.suspects, {}
        for progress in suspects.values():
            now_ms = int(braker.node_context.clock.now().timestamp() * 1000)
            view = await gather(progress)
            brake = find_combined_brake(progress, view.reports, now_ms)
            take_brakes(braker, (*view.brakes, *([brake] if brake else ())))


async def run_spread(braker: Braker, tell: Callable[[str], Awaitable[object]]) -> None:
    """Pass new brakes on to a few random hosts until cancelled.

    Args:
        braker: The brake task's state.
        tell: Exchanges views with a host, brakes among them.
    """
    while True:
        await braker.told.wait()
        braker.told.clear()
        board = braker.board
        hosts = [
            member.host
            for member in board.members.values()
            if member.usable and member.host != board.own.host
        ]
        chosen = random.sample(hosts, min(SPREAD_HOSTS, len(hosts)))
        await asyncio.gather(*(tell(host) for host in chosen))
