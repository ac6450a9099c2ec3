"""Follow the platform's store: the operator's rows, the fleet's rows, and this host's.

A watching node waits for changes of two tables. In a small availability zone every node
watches; in a large one a few do and tell the others, which watch themselves whenever none
of the few says that the store answers it. What a node misses in the store it hears on its
links, so an outage, or one that strikes this host alone, only delays news.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgpack

from agaterelay.core.catch_up import note_held
from agaterelay.events import EventKind
from agaterelay.mesh.links import update_links
from agaterelay.mesh.news import log_move, log_order
from agaterelay.mesh.own_row import begin_again, take_own_row
from agaterelay.mesh.readers import (
    covers_others,
    feed_wait_s,
    must_watch,
    tell_revision,
    tell_standbys,
)
from agaterelay.mesh.revisions import keep_document
from agaterelay.mesh.state import (
    drop_member,
    revision_of,
    take_member,
    take_move,
    take_order,
)
from agaterelay.mesh.watch import (
    FIRST_RETRY_S,
    FLEET_TABLE,
    MAX_RETRY_S,
    MEMBER_PREFIX,
    MOVE_PREFIX,
    Watch,
    note_back,
    note_lost,
)
from agaterelay.mesh.wire import decode_member, decode_move
from agaterelay.ports import Changes, HistoryLostError, PlatformError, StoredRow

STANDBY_PERIOD_S = 0.2
# A log line names so many findings at most.
MAX_REPORTED = 5
# Changes that come soon after one another are read together: a quarter of a second of
# the two that a configuration may take. Links tell of hosts and moves without the feed.
OPERATOR_SETTLE_S = 0.25
FLEET_SETTLE_S = 1.0


def take_config(watch: Watch, value: bytes, source: str) -> None:
    """Put a configuration in force if it is newer than the present one."""
    table, findings = watch.formats.decode_config(value)
    if table is None:
        watch.context.record(
            EventKind.REVISION_REFUSED,
            reason="; ".join(map(str, findings[:MAX_REPORTED])),
            findings=len(findings),
            source=source,
        )
        return
    held = revision_of(watch.state)
    if table.revision <= held:
        return
    watch.state.table = table
    catch_up = watch.links.catch_up
    now_s = watch.context.clock.monotonic_s()
    note_held(catch_up, table.revision, now_s)
    keep_document(watch.links, table)
    known = catch_up.seen >= table.revision
    watch.context.record(
        EventKind.REVISION_ACTIVATED,
        revision=table.revision,
        before=held,
        routes=len(table.routes),
        source=source,
        known_ms=round((now_s - catch_up.seen_s) * 1000) if known else 0,
    )
    if source == "store" or covers_others(watch):
        tell_revision(watch)


def _take_operator_row(watch: Watch, row: StoredRow) -> None:
    if row.key == watch.formats.config_key:
        if not row.deleted:
            take_config(watch, row.value, "store")
        return
    order = watch.formats.decode_order(row)
    if order is not None and take_order(watch.state, order):
        log_order(watch.context, order, "store")
        tell_revision(watch)


def _take_fleet_row(watch: Watch, row: StoredRow) -> None:
    now_s = watch.context.clock.monotonic_s()
    if row.key.startswith(MOVE_PREFIX) and not row.deleted:
        record = decode_move(msgpack.unpackb(row.value))
        if take_move(watch.state, record, now_s, stored=True):
            log_move(watch.context, record, "store")
            tell_revision(watch)
    if not row.key.startswith(MEMBER_PREFIX):
        return
    host = row.key.removeprefix(MEMBER_PREFIX)
    if host == watch.state.own.host:
        take_own_row(watch, row)
        return
    if row.deleted:
        watch.member_versions.pop(host, None)
        held = watch.state.members.get(host)
        if held is None:
            return
        # The host itself is told as well, while there is still a link to it.
        tell_standbys(watch, [], [(host, *held.pair)])
        drop_member(watch.state, host, held.pair)
        update_links(watch.links)
        return
    watch.member_versions[host] = row.version
    member = decode_member(msgpack.unpackb(row.value))
    if take_member(watch.state, member):
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
        update_links(watch.links)
        tell_standbys(watch, [member], [])


def _take_rows(
    watch: Watch, changes: Changes, take: Callable[[Watch, StoredRow], None]
) -> None:
    # Of changes that come together only the last of each row matters.
    for row in {row.key: row for row in changes.rows}.values():
        try:
            take(watch, row)
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            watch.context.record(
                EventKind.REVISION_REFUSED,
                reason=f"row {row.table}/{row.key}: {type(error).__name__}: {error}",
                source="store",
            )


async def watch_table(
    watch: Watch,
    table: str,
    take: Callable[[Watch, StoredRow], None],
    settle_s: float,
) -> None:
    """Read a table and follow its changes until cancelled."""
    clock = watch.context.clock
    version: int | None = None
    retry_s = FIRST_RETRY_S
    while True:
        if not must_watch(watch):
            await clock.sleep(STANDBY_PERIOD_S)
            continue
        wait_s = 0.0 if version is None else feed_wait_s(watch, table)
        watch.answer_due_s[table] = clock.monotonic_s() + wait_s
        try:
            if version is None:
                changes = await watch.context.store.read_table(table)
                if table == FLEET_TABLE:
                    _drop_missing(watch, changes)
            else:
                changes = await watch.context.store.wait_for_changes(
                    table, version, wait_s
                )
        except HistoryLostError:
            version = None
            continue
        except PlatformError as error:
            note_lost(watch, table, str(error))
            await clock.sleep(retry_s * (0.5 + random.random()))
            retry_s = min(retry_s * 2, MAX_RETRY_S)
            continue
        finally:
            del watch.answer_due_s[table]
        note_back(watch, table)
        watch.answered_s[table] = clock.monotonic_s()
        retry_s = FIRST_RETRY_S
        version = max(changes.version, version or 0)
        _take_rows(watch, changes, take)
        watch.state.fleet_known |= table == FLEET_TABLE
        if changes.rows:
            await clock.sleep(settle_s)


def _drop_missing(watch: Watch, changes: Changes) -> None:
    """Forget hosts whose rows were removed while nothing could be read."""
    present = {row.key for row in changes.rows}
    for host in tuple(watch.member_versions):
        if MEMBER_PREFIX + host not in present:
            row = StoredRow(FLEET_TABLE, MEMBER_PREFIX + host, b"", deleted=True)
            _take_fleet_row(watch, row)
    if MEMBER_PREFIX + watch.state.own.host not in present:
        begin_again(watch)
        watch.state.news.set()


async def watch_operator(watch: Watch) -> None:
    """Follow the operator's rows until cancelled."""
    await watch_table(watch, watch.formats.table, _take_operator_row, OPERATOR_SETTLE_S)


async def watch_fleet(watch: Watch) -> None:
    """Follow the fleet's rows until cancelled."""
    await watch_table(watch, FLEET_TABLE, _take_fleet_row, FLEET_SETTLE_S)
