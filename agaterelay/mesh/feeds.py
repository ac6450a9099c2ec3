"""Follow the platform's store: the operator's rows, the fleet's rows, and this host's.

A watching node long-polls two tables for changes. In a small availability zone every node
watches. In a large one a few readers watch and notify the other nodes, which watch the
store themselves whenever no reader reports that the store answers it. Nodes also receive
changes over their links, so an outage of the store, or of this host's access to it, only
delays them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from agaterelay.core.catch_up import record_held_revision
from agaterelay.core.checked import DecodeError
from agaterelay.core.evacuation import find_missed_ends
from agaterelay.core.feed_pacing import must_read_anew, transfer_s
from agaterelay.core.store_era import order_number
from agaterelay.events import EventKind
from agaterelay.mesh.link import NEVER_S
from agaterelay.mesh.links import refresh_links
from agaterelay.mesh.member_rows import apply_own_row, republish_own_row
from agaterelay.mesh.notifications import change_evacuation, log_move, log_order
from agaterelay.mesh.readers import (
    broadcast_revision,
    has_read_all,
    is_relied_on,
    long_poll_s,
    must_watch,
    notify_standbys,
    reads_for_standbys,
    retry_delay_s,
    stand_in_wait_s,
    update_readers,
)
from agaterelay.mesh.restored_store import check_stored_move, request_missing_rows
from agaterelay.mesh.revisions import cache_document
from agaterelay.mesh.state import (
    apply_member,
    apply_move,
    apply_order,
    remove_member,
    revision_of,
)
from agaterelay.mesh.store_watch import (
    FLEET_TABLE,
    MEMBER_PREFIX,
    MOVE_PREFIX,
    StoreWatch,
    record_answer_time,
    record_store_lost,
    record_store_recovered,
    renew_poll,
)
from agaterelay.mesh.wire import decode_member, decode_move, load_row
from agaterelay.ports import Changes, HistoryLostError, PlatformError, StoredRow

STANDBY_CHECK_PERIOD_S = 0.2
# Limits the length of a log line.
MAX_REPORTED_FINDINGS = 5
# Pauses between polls, so that changes in quick succession are read together. The first
# uses 0.25 s of the 2 s in which a configuration must be in force everywhere; the second
# may be longer, because hosts and moves are also announced over the links.
OPERATOR_BATCH_DELAY_S = 0.25
FLEET_BATCH_DELAY_S = 1.0


def apply_config(watch: StoreWatch, value: bytes, source: str) -> None:
    """Decode a configuration and activate it if it is newer than the active one."""
    table, findings = watch.formats.decode_config(value)
    if table is None:
        watch.context.record(
            EventKind.REVISION_REFUSED,
            reason="; ".join(map(str, findings[:MAX_REPORTED_FINDINGS])),
            findings=len(findings),
            source=source,
        )
        return
    held = revision_of(watch.state)
    if table.revision <= held:
        return
    workspaces_before = watch.state.table.workspaces if watch.state.table else None
    watch.state.table = table
    catch_up = watch.links.catch_up
    now_s = watch.context.clock.monotonic_s()
    record_held_revision(catch_up, table.revision, now_s)
    cache_document(watch.links, table)
    known = catch_up.seen >= table.revision
    watch.context.record(
        EventKind.REVISION_ACTIVATED,
        revision=table.revision,
        before=held,
        routes=len(table.routes),
        source=source,
        known_ms=round((now_s - catch_up.seen_s) * 1000) if known else 0,
        **_describe_call(watch, source),
    )
    if table.workspaces != workspaces_before:
        workspaces = table.workspaces or ()
        watch.context.record(
            EventKind.WORKSPACES_CHANGED,
            revision=table.revision,
            keys_needed=table.workspaces is not None,
            workspaces=len(workspaces),
            keys=sum(len(workspace.key_digests) for workspace in workspaces),
        )
    if source == "store" or reads_for_standbys(watch):
        broadcast_revision(watch)


def _describe_call(watch: StoreWatch, source: str) -> dict[str, int]:
    """Return how long the call to the store took that brought a configuration."""
    if source != "store":
        return {}
    return {"call_ms": round(watch.call_s.get(watch.formats.table, 0.0) * 1000)}


def _apply_operator_row(watch: StoreWatch, row: StoredRow) -> None:
    if row.key == watch.formats.config_key:
        if not row.deleted:
            apply_config(watch, row.value, "store")
        return
    evacuation = watch.formats.decode_evacuation(row)
    if evacuation is not None:
        number = order_number(watch.state.store_era, evacuation.number)
        evacuation = attrs.evolve(evacuation, number=number)
        if change_evacuation(watch.links, evacuation, "store"):
            broadcast_revision(watch)
        return
    order = watch.formats.decode_order(row)
    if order is not None:
        number = order_number(watch.state.store_era, order.number)
        order = attrs.evolve(order, number=number)
    if order is not None and apply_order(watch.state, order):
        log_order(watch.context, order, "store")
        broadcast_revision(watch)


def _apply_fleet_row(watch: StoreWatch, row: StoredRow) -> None:
    now_s = watch.context.clock.monotonic_s()
    if row.key.startswith(MOVE_PREFIX) and not row.deleted:
        record = decode_move(load_row(row.value))
        if apply_move(watch.state, record, now_s, stored=True):
            log_move(watch.context, record, "store")
            broadcast_revision(watch)
        check_stored_move(watch.state, record, now_s)
    if not row.key.startswith(MEMBER_PREFIX):
        return
    host = row.key.removeprefix(MEMBER_PREFIX)
    if host == watch.state.own.host:
        apply_own_row(watch, row)
        return
    if row.deleted:
        watch.member_versions.pop(host, None)
        held = watch.state.members.get(host)
        if held is None:
            return
        # Sent before the member is removed, so that its host is notified too.
        notify_standbys(watch, [], [(host, *held.pair)])
        remove_member(watch.state, host, held.pair)
        refresh_links(watch.links)
        return
    watch.member_versions[host] = row.version
    watch.missing_rows.discard(host)
    member = decode_member(load_row(row.value))
    if member.host != host:
        raise DecodeError(f"names the host {member.host}")
    if apply_member(watch.state, member):
        watch.context.record(
            EventKind.MEMBER_CHANGED,
            peer=member.host,
            zone=member.zone,
            upstreams=[
                f"{item.service}/{item.version}/{item.instance}"
                + (" draining" if item.draining else "")
                for item in member.upstreams
            ],
            source="store",
        )
        refresh_links(watch.links)
        notify_standbys(watch, [member], [])


def _apply_rows(
    watch: StoreWatch,
    changes: Changes,
    apply_row: Callable[[StoreWatch, StoredRow], None],
) -> None:
    # Only the last change of each row in a batch matters.
    for row in {row.key: row for row in changes.rows}.values():
        try:
            apply_row(watch, row)
        except Exception as error:
            watch.context.record(
                EventKind.REVISION_REFUSED,
                reason=f"row {row.table}/{row.key}: {type(error).__name__}: {error}",
                source="store",
            )


async def watch_table(
    watch: StoreWatch,
    table: str,
    apply_row: Callable[[StoreWatch, StoredRow], None],
    batch_delay_s: float,
) -> None:
    """Read a table and follow its changes until cancelled.

    Args:
        watch: The state of the tasks that follow the store.
        table: The table's name.
        apply_row: Applies one changed row.
        batch_delay_s: The pause after a batch of changes, in seconds.
    """
    clock = watch.context.clock
    version: int | None = None
    restores = watch.state.store_restores
    retry_s = 0.0
    needed_since_s: float | None = None
    while True:
        if not must_watch(watch):
            needed_since_s = None
            watch.followed.discard(table)
            await clock.sleep(STANDBY_CHECK_PERIOD_S)
            continue
        if needed_since_s is None:
            needed_since_s = clock.monotonic_s()
        if (
            table not in watch.followed
            and clock.monotonic_s() - needed_since_s < stand_in_wait_s(watch)
        ):
            await clock.sleep(STANDBY_CHECK_PERIOD_S / 2)
            continue
        if watch.state.store_restores != restores:
            # The position belongs to another line of versions.
            version = None
        if version is not None and _is_left_behind(watch, table):
            version = None
        wait_s = long_poll_s(watch, table)
        if version is None or (table in watch.lost and is_relied_on(watch, table)):
            # Answered at once if the store answers.
            wait_s = 0.0
        began_s = clock.monotonic_s()
        # What is read across a restore of the store is read again.
        restores = watch.state.store_restores
        watch.answer_due_s[table] = began_s + wait_s + watch.answer_time.answer_s
        try:
            if version is None:
                changes = await watch.context.store.read_table(table)
            else:
                changes = await _poll(watch, table, version, wait_s)
        except HistoryLostError:
            version = None
            continue
        except TimeoutError:
            # The poll is begun anew.
            continue
        except PlatformError as error:
            record_store_lost(watch, table, str(error))
            waited_s = clock.monotonic_s() - began_s
            retry_s = retry_delay_s(watch, table, retry_s, waited_s)
            await clock.sleep(retry_s * (0.5 + random.random()))
            continue
        finally:
            del watch.answer_due_s[table]
        if watch.state.store_restores != restores:
            version = None
            continue
        is_restored = version is None and table in watch.unread_tables
        watch.unread_tables.discard(table)
        if version is None and table == FLEET_TABLE:
            if is_restored:
                request_missing_rows(watch, changes)
            else:
                _remove_missing_members(watch, changes)
        elif version is None and not is_restored:
            # A restored store may lack a row that the operator will write again.
            _end_missing_evacuations(watch, changes)
        if record_store_recovered(watch, table) and is_relied_on(watch, table):
            renew_poll(watch, FLEET_TABLE)
        watch.followed.add(table)
        now_s = watch.answered_s[table] = clock.monotonic_s()
        watch.call_s[table] = now_s - began_s
        duration_s = _answer_transfer_s(watch, changes)
        watch.current_s[table] = now_s - duration_s
        if version is None or not changes.rows:
            record_answer_time(watch, began_s, wait_s + duration_s)
        retry_s = 0.0
        version = max(changes.version, version or 0)
        _apply_rows(watch, changes, apply_row)
        watch.state.fleet_known |= table == FLEET_TABLE
        if watch.read_s == NEVER_S and has_read_all(watch):
            watch.read_s = clock.monotonic_s()
            update_readers(watch)
        if changes.rows:
            await clock.sleep(batch_delay_s)


async def _poll(watch: StoreWatch, table: str, version: int, wait_s: float) -> Changes:
    """Wait for a table's changes after a version.

    Raises:
        TimeoutError: The poll has to be begun anew.
        HistoryLostError: The store no longer has the changes.
        PlatformError: The store did not answer.
    """
    async with asyncio.timeout(None) as timeout:
        watch.open_polls[table] = timeout
        try:
            return await watch.context.store.wait_for_changes(table, version, wait_s)
        finally:
            watch.open_polls.pop(table, None)


def _is_left_behind(watch: StoreWatch, table: str) -> bool:
    """Return whether a feed would now bring many documents that are superseded."""
    held = watch.state.table
    if table != watch.formats.table or held is None:
        return False
    age_s = watch.context.clock.monotonic_s() - watch.current_s[table]
    link_mbps = watch.context.deployment.link_mbps
    return must_read_anew(age_s, transfer_s(len(held.source), link_mbps))


def _answer_transfer_s(watch: StoreWatch, changes: Changes) -> float:
    """Return how long the rows of an answer take on this host's link, in seconds."""
    size_bytes = sum(len(row.value) for row in changes.rows)
    return transfer_s(size_bytes, watch.context.deployment.link_mbps)


def _remove_missing_members(watch: StoreWatch, changes: Changes) -> None:
    """Remove members whose rows were deleted while the store could not be read."""
    present = {row.key for row in changes.rows}
    for host in tuple(watch.member_versions):
        if MEMBER_PREFIX + host not in present:
            row = StoredRow(FLEET_TABLE, MEMBER_PREFIX + host, b"", deleted=True)
            _apply_fleet_row(watch, row)
    if MEMBER_PREFIX + watch.state.own.host not in present:
        republish_own_row(watch)
        watch.state.news.set()


def _end_missing_evacuations(watch: StoreWatch, changes: Changes) -> None:
    """End evacuations whose rows were deleted while the store could not be read."""
    held = watch.state.evacuations
    if not held:
        return
    read = map(watch.formats.decode_evacuation, changes.rows)
    present = [item.zone for item in read if item is not None and item.is_ordered]
    number = order_number(watch.state.store_era, changes.version)
    for evacuation in find_missed_ends(held, present, number):
        if change_evacuation(watch.links, evacuation, "store"):
            broadcast_revision(watch)


async def watch_operator(watch: StoreWatch) -> None:
    """Follow the operator's rows until cancelled."""
    await watch_table(
        watch, watch.formats.table, _apply_operator_row, OPERATOR_BATCH_DELAY_S
    )


async def watch_fleet(watch: StoreWatch) -> None:
    """Follow the fleet's rows until cancelled."""
    await watch_table(watch, FLEET_TABLE, _apply_fleet_row, FLEET_BATCH_DELAY_S)
