"""Carry out the operator's orders of moves, and write the verdicts.

The reachable host that ranks first by rendezvous hashing carries out an order. It is safe
for two hosts to do so at once, or for one to continue after another's death: every write
is conditional on the row being as it was read, and a verdict is never changed. The
verdict that the operator reads and the record that the nodes follow are written in one
transaction.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial

import attrs
import msgpack

from agaterelay.core.checked import DecodeError
from agaterelay.core.model import MoveState
from agaterelay.core.rendezvous import rank
from agaterelay.core.store_era import OrderMatch, match_orders
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
from agaterelay.mesh.notifications import broadcast_own_member, log_move
from agaterelay.mesh.state import (
    MeshState,
    NodeContext,
    all_members,
    apply_move,
    versions_of,
)
from agaterelay.mesh.store_watch import FLEET_TABLE, MOVE_PREFIX
from agaterelay.mesh.supervision import await_step
from agaterelay.mesh.wire import decode_move, encode_move, load_row
from agaterelay.ports import PlatformError, StoredRow

STEP_PERIOD_S = 0.4
# The feed brings a verdict that another host has written within a batch of changes.
REWRITE_DELAY_S = 1.2
RECENT_WINDOW_S = 3.0
LARGE_FLEET_MOVER_COUNT = 3
# A first write whose row versions are unknown conflicts and returns the versions.
MAX_WRITE_ATTEMPTS = 3
# How the number of a record may differ that belongs to the same order.
REWRITTEN = (OrderMatch.COPIED, OrderMatch.LATER_ERA)


@attrs.frozen
class VerdictRowFormat:
    """The format of the row that the operator reads, defined by the platform's adapter."""

    table: str
    key: Callable[[str], str]
    encode: Callable[[MoveState, str], bytes]


@attrs.define
class Mover:
    """The mover's state.

    ``versions`` holds the row versions as last read, since the
    store was restored ``versions_restores`` times.
    """

    context: NodeContext
    state: MeshState
    links: Links
    formats: VerdictRowFormat
    versions: dict[tuple[str, str], int] = attrs.field(factory=dict)
    versions_restores: int = 0


async def run_mover(mover: Mover) -> None:
    """Carry out the orders that are assigned to this host, until cancelled."""
    while True:
        await mover.context.clock.sleep(STEP_PERIOD_S)
        if mover.state.stopping:
            continue
        for order in tuple(mover.state.orders.values()):
            if is_turn(mover, order):
                await await_step(
                    mover.context,
                    f"move of {order.service}",
                    partial(step, mover, order),
                )
        for key in _due_rewrites(mover):
            await await_step(
                mover.context, f"move of {key[0]}", partial(rewrite, mover, key)
            )


def _due_rewrites(mover: Mover) -> list[tuple[str, str]]:
    """Return the moves that this host has to write to a restored store.

    The host that carries out the order begins, as the others may be spared the write.
    """
    state = mover.state
    if not (state.unwritten_moves and state.watching):
        return []
    now_s = mover.context.clock.monotonic_s()
    for key, noticed_s in state.unwritten_moves.items():
        state.unwritten_moves[key] = noticed_s or now_s
    return [
        key
        for key, noticed_s in state.unwritten_moves.items()
        if now_s - noticed_s >= REWRITE_DELAY_S * random.uniform(1, 2)
    ]


async def rewrite(mover: Mover, key: tuple[str, str]) -> None:
    """Write a move's record, and its status row, as the store has lost them."""
    record = mover.state.moves.get(key)
    if record is None or await commit(mover, record):
        mover.state.unwritten_moves.pop(key, None)


def is_turn(mover: Mover, order: Order) -> bool:
    """Return whether this host carries out an order.

    In a large fleet no node is linked to all hosts, so a dead one may still rank first.
    Several hosts carry out the order there, which their conditional writes make safe.
    """
    links = mover.links.links
    hosts = [
        member.host
        for member in all_members(mover.state)
        if member.host not in links or links[member.host].usable
    ]
    linked_to_all = all(host in links for host in mover.state.members)
    mover_count = 1 if linked_to_all else LARGE_FLEET_MOVER_COUNT
    return mover.state.own.host in rank(hosts, f"move {order.service}")[:mover_count]


async def step(mover: Mover, order: Order) -> None:
    """Begin a move, or judge its trial and commit the verdict."""
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
    if record.is_final:
        return
    verdict = await evaluate_trial(mover, order)
    if verdict is not None:
        # The order may have got another number meanwhile.
        held = mover.state.moves.get((order.service, order.to_version), record)
        if match_orders(record.number, held.number) in REWRITTEN:
            record = attrs.evolve(record, number=held.number)
        final = attrs.evolve(record, state=verdict.state, reason=verdict.reason)
        if verdict.state is MoveState.REVERTED:
            # Applied before the commit, so that nodes stop even if the store is down.
            _apply_record(mover, final)
        await commit(mover, final)


def _apply_record(mover: Mover, record: MoveRecord) -> None:
    if apply_move(mover.state, record, mover.context.clock.monotonic_s()):
        log_move(mover.context, record, "own decision")
        broadcast_own_member(mover.links)


async def evaluate_trial(mover: Mover, order: Order) -> Verdict | None:
    """Sum the tallies of the inbound proxies and judge the new version.

    Returns:
        The verdict, or None if the trial has not begun here or needs more time.
    """
    key = (order.service, order.number)
    began_s = mover.state.trial_began_s.get(key)
    if began_s is None:
        return None
    now_s = mover.context.clock.monotonic_s()
    span_s = now_s - began_s
    serving, _ = versions_of(mover.state, order.service)
    old = await _collect_tallies(mover, order.service, serving, span_s)
    new = await _collect_tallies(mover, order.service, order.to_version, span_s)
    recent_span_s = min(RECENT_WINDOW_S, span_s)
    recent = (
        sum_tallies(
            await _collect_tallies(mover, order.service, serving, recent_span_s)
        ),
        sum_tallies(
            await _collect_tallies(
                mover, order.service, order.to_version, recent_span_s
            )
        ),
    )
    return judge(order, sum_tallies(old), sum_tallies(new), recent, span_s)


async def _collect_tallies(
    mover: Mover, service: str, version: str, span_s: float
) -> list[RouteTallies]:
    """Return the tallies of a version's reachable inbound proxies."""
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


async def commit(mover: Mover, record: MoveRecord) -> bool:
    """Write a move's state for the nodes and for the operator in one transaction.

    Returns:
        Whether the store is known to hold this state or one that supersedes it.
    """
    state = mover.state
    key = (record.service, record.to_version)
    for _ in range(MAX_WRITE_ATTEMPTS):
        restores = state.store_restores
        if mover.versions_restores != restores:
            mover.versions.clear()
            mover.versions_restores = restores
        try:
            conflict = await mover.context.store.write(_rows_of(mover, record))
        except PlatformError as error:
            mover.context.record(
                EventKind.PLATFORM_LOST, table="move", reason=str(error)
            )
            if record.is_final and state.store_era is not None:
                now_s = mover.context.clock.monotonic_s()
                state.unwritten_moves.setdefault(key, now_s)
            return False
        if state.store_restores != restores:
            # It is unknown whether the write took effect before the store was restored.
            continue
        if conflict is None:
            _apply_record(mover, record)
            if state.unwritten_moves.pop(key, None) is not None:
                mover.context.record(
                    EventKind.ROW_REWRITTEN,
                    service=record.service,
                    version=record.to_version,
                    state=str(record.state),
                )
            return True
        if _apply_conflicting_rows(mover, record, conflict.rows):
            return True
        held = state.moves.get(key)
        if held is not None and match_orders(record.number, held.number) in REWRITTEN:
            # The order was found to have another number; its state stays the same.
            record = attrs.evolve(record, number=held.number)
    return False


def _rows_of(mover: Mover, record: MoveRecord) -> list[StoredRow]:
    """Return both rows, with the versions on which the write is conditional."""
    # There is one row for each version, so that a verdict outlives later orders.
    key = f"{MOVE_PREFIX}{record.service}/{record.to_version}"
    status = mover.formats.key(record.service)
    order = mover.state.orders.get(record.service)
    is_current = order is None or order.to_version == record.to_version
    rows = [
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
    # The operator reads one status a service, that of the newest order.
    return rows if is_current else rows[:1]


def _apply_conflicting_rows(
    mover: Mover, record: MoveRecord, rows: tuple[StoredRow, ...]
) -> bool:
    """Apply the rows that a write conflicted with; return whether they supersede it."""
    mover.versions = {
        (row.table, row.key): 0 if row.deleted else row.version for row in rows
    }
    for row in rows:
        if row.table != FLEET_TABLE or row.deleted or not row.value:
            continue
        try:
            stored_record = decode_move(load_row(row.value))
        except DecodeError as error:
            mover.context.record(
                EventKind.MOVE_SUPERSEDED, service=record.service, reason=str(error)
            )
            continue
        now_s = mover.context.clock.monotonic_s()
        match = match_orders(record.number, stored_record.number)
        if match is OrderMatch.OLDER:
            continue
        if not stored_record.is_final:
            if match in REWRITTEN:
                apply_move(mover.state, stored_record, now_s, stored=True)
            held = mover.state.moves.get((record.service, record.to_version))
            renumbered = held is not None and held.is_final and match in REWRITTEN
            if match in (OrderMatch.SAME, OrderMatch.COPIED) or renumbered:
                continue
        apply_move(mover.state, stored_record, now_s, stored=True)
        mover.context.record(
            EventKind.MOVE_SUPERSEDED,
            service=record.service,
            state=str(stored_record.state),
        )
        return True
    return False
