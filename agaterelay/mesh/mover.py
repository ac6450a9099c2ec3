"""Carry out the operator's orders of moves, and write the verdicts.

The host that is first by rendezvous among those in reach carries out an order. Two that
do so at once, or one after the other's death, do no harm: every step is written on the
condition that the row is as it was read, and a verdict is never changed. The verdict
that the operator reads and the record that the nodes follow are one transaction.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import msgpack

from agaterelay.core.model import MoveState
from agaterelay.core.rendezvous import rank
from agaterelay.core.trial import (
    MoveRecord,
    Order,
    RouteTallies,
    Verdict,
    judge,
    sum_tallies,
)
from agaterelay.events import EventKind
from agaterelay.mesh.link import Links
from agaterelay.mesh.links import fetch_tallies, is_usable
from agaterelay.mesh.news import log_move, tell_all
from agaterelay.mesh.state import (
    Context,
    MeshState,
    all_members,
    take_move,
    versions_of,
)
from agaterelay.mesh.watch import FLEET_TABLE, MOVE_PREFIX
from agaterelay.mesh.wire import decode_move, encode_move
from agaterelay.ports import PlatformError, StoredRow

STEP_PERIOD_S = 0.4
RECENT_S = 3.0
TURNS_IN_LARGE_FLEET = 3
# The first write learns the versions of the rows where they are not known.
WRITE_TRIES = 3


@attrs.frozen
class VerdictFormat:
    """How the row looks that the operator reads; the platform's adapter knows."""

    table: str
    key: Callable[[str], str]
    encode: Callable[[MoveState, str], bytes]


@attrs.define
class Mover:
    """The mover's state; ``versions`` are the versions of the rows as last read."""

    context: Context
    state: MeshState
    links: Links
    formats: VerdictFormat
    versions: dict[tuple[str, str], int] = attrs.field(factory=dict)


async def run_mover(mover: Mover) -> None:
    """Carry out the orders of this host's turn until cancelled."""
    while True:
        await mover.context.clock.sleep(STEP_PERIOD_S)
        if mover.state.stopping:
            continue
        for order in tuple(mover.state.orders.values()):
            if is_turn(mover, order):
                await step(mover, order)


def is_turn(mover: Mover, order: Order) -> bool:
    """Return whether this host carries out an order.

    In a large fleet nobody is linked to all hosts, so a dead one may seem to be first:
    several take the turn there, which the conditions of their writes allow.
    """
    links = mover.links.links
    hosts = [
        member.host
        for member in all_members(mover.state)
        if member.host not in links or links[member.host].usable
    ]
    linked_to_all = all(host in links for host in mover.state.members)
    turns = 1 if linked_to_all else TURNS_IN_LARGE_FLEET
    return mover.state.own.host in rank(hosts, f"move {order.service}")[:turns]


async def step(mover: Mover, order: Order) -> None:
    """Begin a move, or judge it."""
    record = mover.state.moves.get((order.service, order.to_version))
    if record is not None and record.number > order.number:
        return
    if record is None or record.number < order.number:
        serving, _ = versions_of(mover.state, order.service)
        if serving:
            running = MoveRecord(
                order.service, order.to_version, order.number, MoveState.STEPPING
            )
            await commit(mover, running)
        return
    if record.final:
        return
    verdict = await look(mover, order)
    if verdict is not None:
        final = attrs.evolve(record, state=verdict.state, reason=verdict.reason)
        if verdict.state is MoveState.REVERTED:
            # The store may be away; the nodes stop at once.
            _take(mover, final)
        await commit(mover, final)


def _take(mover: Mover, record: MoveRecord) -> None:
    if take_move(mover.state, record, mover.context.clock.monotonic_s()):
        log_move(mover.context, record, "own decision")
        tell_all(mover.links)


async def look(mover: Mover, order: Order) -> Verdict | None:
    """Sum what the gates counted and judge the new version."""
    key = (order.service, order.number)
    began_s = mover.state.trial_began_s.get(key)
    if began_s is None:
        return None
    now_s = mover.context.clock.monotonic_s()
    span_s = now_s - began_s
    serving, _ = versions_of(mover.state, order.service)
    old = await _gather(mover, order.service, serving, span_s)
    new = await _gather(mover, order.service, order.to_version, span_s)
    recent_span_s = min(RECENT_S, span_s)
    recent = (
        sum_tallies(await _gather(mover, order.service, serving, recent_span_s)),
        sum_tallies(
            await _gather(mover, order.service, order.to_version, recent_span_s)
        ),
    )
    return judge(order, sum_tallies(old), sum_tallies(new), recent, span_s)


async def _gather(
    mover: Mover, service: str, version: str, span_s: float
) -> list[RouteTallies]:
    """Return what the gates of a version that can be reached counted."""
    members = [
        member
        for member in all_members(mover.state)
        if any(
            upstream.service == service and upstream.version == version
            for upstream in member.upstreams
        )
        and (is_usable(mover.links, member) or member.host == mover.state.own.host)
    ]
    answers = await asyncio.gather(
        *(fetch_tallies(mover.links, member.host, span_s) for member in members)
    )
    return [answer for answer in answers if answer is not None]


async def commit(mover: Mover, record: MoveRecord) -> None:
    """Write how far a move has come, for the nodes and for the operator at once."""
    for _ in range(WRITE_TRIES):
        try:
            conflict = await mover.context.store.write(_rows_of(mover, record))
        except PlatformError as error:
            mover.context.record(
                EventKind.PLATFORM_LOST, table="move", reason=str(error)
            )
            return
        if conflict is None:
            _take(mover, record)
            return
        if _read_standing(mover, record, conflict.rows):
            return


def _rows_of(mover: Mover, record: MoveRecord) -> list[StoredRow]:
    """Return both rows, with the versions that they must have."""
    # One row a version: a verdict outlives the orders that follow it.
    key = f"{MOVE_PREFIX}{record.service}/{record.to_version}"
    status = mover.formats.key(record.service)
    return [
        StoredRow(
            FLEET_TABLE,
            key,
            msgpack.packb(encode_move(record)),
            mover.versions.get((FLEET_TABLE, key), 0),
        ),
        StoredRow(
            mover.formats.table,
            status,
            mover.formats.encode(record.state, record.to_version),
            mover.versions.get((mover.formats.table, status), 0),
        ),
    ]


def _read_standing(
    mover: Mover, record: MoveRecord, rows: tuple[StoredRow, ...]
) -> bool:
    """Learn what stands in the rows; return whether that decides the move."""
    mover.versions = {
        (row.table, row.key): 0 if row.deleted else row.version for row in rows
    }
    for row in rows:
        if row.table != FLEET_TABLE or row.deleted or not row.value:
            continue
        try:
            standing = decode_move(msgpack.unpackb(row.value))
        except (ValueError, msgpack.UnpackException) as error:
            mover.context.record(
                EventKind.MOVE_SUPERSEDED, service=record.service, reason=str(error)
            )
            continue
        older = standing.number < record.number
        if older or (standing.number == record.number and not standing.final):
            continue
        now_s = mover.context.clock.monotonic_s()
        take_move(mover.state, standing, now_s, stored=True)
        mover.context.record(
            EventKind.MOVE_SUPERSEDED,
            service=record.service,
            state=str(standing.state),
        )
        return True
    return False
