"""Follow the platform's store: the operator's rows, the fleet's rows, and this host's.

Each node waits for changes of two tables. What it misses there it hears on its links,
so an outage of the store, or one that strikes this host alone, only delays news.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import msgpack

from agaterelay.core.model import Finding, RouteTable
from agaterelay.core.rendezvous import rank
from agaterelay.core.trial import Order
from agaterelay.events import EventKind
from agaterelay.mesh.links import (
    Links,
    follow_members,
    log_move,
    tell_all,
)
from agaterelay.mesh.state import (
    Context,
    MeshState,
    forget_derived,
    revision_of,
    take_member,
    take_move,
    take_order,
)
from agaterelay.mesh.wire import (
    member_from_wire,
    member_to_wire,
    move_from_wire,
)
from agaterelay.ports import Changes, HistoryLostError, PlatformError, StoredRow

FLEET_TABLE = "agaterelay"
MEMBER_PREFIX = "member/"
MOVE_PREFIX = "move/"
# Long enough that an idle fleet asks little, short enough that a feed that has fallen
# silent is noticed while links still bring the news.
FEED_WAIT_S = 8.0
# Changes that come soon after one another are read together: a quarter of a second of
# the two that a configuration may take. Links tell of hosts and moves without the feed.
OPERATOR_SETTLE_S = 0.25
FLEET_SETTLE_S = 1.0
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# A host that no link reaches for this long is taken for gone.
GONE_S = 20.0
PRUNE_PERIOD_S = 5.0


@attrs.frozen
class OperatorFormat:
    """How the operator's rows look; the platform's adapter knows."""

    table: str
    config_key: str
    decode_config: Callable[[bytes], RouteTable | Finding]
    decode_order: Callable[[StoredRow], Order | None]


@attrs.define
class Watch:
    """What the watching tasks hold.

    ``row_version`` is the version of this host's row as last read or written.
    """

    context: Context
    state: MeshState
    links: Links
    formats: OperatorFormat
    row_version: int = 0
    row_value: bytes | None = None
    member_versions: dict[str, int] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)


def take_config(watch: Watch, value: bytes, source: str) -> None:
    """Put a configuration in force if it is newer than the present one."""
    table = watch.formats.decode_config(value)
    if isinstance(table, Finding):
        watch.context.record(
            EventKind.REVISION_REFUSED, reason=str(table), source=source
        )
        return
    held = revision_of(watch.state)
    if table.revision <= held:
        return
    watch.state.table = table
    watch.context.record(
        EventKind.REVISION_ACTIVATED,
        revision=table.revision,
        before=held,
        routes=len(table.routes),
        source=source,
    )


def _take_operator_row(watch: Watch, row: StoredRow) -> None:
    if row.key == watch.formats.config_key:
        if not row.deleted:
            take_config(watch, row.value, "store")
        return
    order = watch.formats.decode_order(row)
    if order is not None and take_order(watch.state, order):
        watch.context.record(
            EventKind.MOVE_ORDERED,
            service=order.service,
            version=order.to_version,
            duration_s=order.duration_s,
            order=order.number,
        )


def _take_fleet_row(watch: Watch, row: StoredRow) -> None:
    now_s = watch.context.clock.monotonic_s()
    if row.key.startswith(MOVE_PREFIX) and not row.deleted:
        record = move_from_wire(msgpack.unpackb(row.value))
        if take_move(watch.state, record, now_s, stored=True):
            log_move(watch.context, record, "store")
    if not row.key.startswith(MEMBER_PREFIX):
        return
    host = row.key.removeprefix(MEMBER_PREFIX)
    if host == watch.state.own.host:
        _take_own_row(watch, row)
        return
    if row.deleted:
        watch.member_versions.pop(host, None)
        if watch.state.members.pop(host, None) is not None:
            forget_derived(watch.state)
            follow_members(watch.links)
        return
    watch.member_versions[host] = row.version
    member = member_from_wire(msgpack.unpackb(row.value))
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
        follow_members(watch.links)


def _take_own_row(watch: Watch, row: StoredRow) -> None:
    """Learn the version of this host's row, and of an incarnation before this one."""
    watch.row_version = 0 if row.deleted else row.version
    if row.deleted:
        watch.row_value = None
    elif row.value != watch.row_value:
        before = member_from_wire(msgpack.unpackb(row.value))
        own = watch.state.own
        if before.pair > own.pair:
            watch.state.own = attrs.evolve(own, incarnation=before.incarnation + 1)
        watch.row_value = None
    if watch.row_value is None:
        watch.state.news.set()


def _take_rows(
    watch: Watch, changes: Changes, take: Callable[[Watch, StoredRow], None]
) -> None:
    for row in changes.rows:
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
        try:
            if version is None:
                changes = await watch.context.store.read_table(table)
                if table == FLEET_TABLE:
                    _drop_missing(watch, changes)
            else:
                changes = await watch.context.store.wait_for_changes(
                    table, version, FEED_WAIT_S
                )
        except HistoryLostError:
            version = None
            continue
        except PlatformError as error:
            _note_lost(watch, table, str(error))
            await clock.sleep(retry_s * (0.5 + random.random()))
            retry_s = min(retry_s * 2, MAX_RETRY_S)
            continue
        _note_back(watch, table)
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
        watch.row_version = 0
        watch.row_value = None
        watch.state.news.set()


def _note_lost(watch: Watch, table: str, reason: str) -> None:
    if table not in watch.lost:
        watch.lost.add(table)
        watch.context.record(EventKind.PLATFORM_LOST, table=table, reason=reason)
    watch.state.store_up = False


def _note_back(watch: Watch, table: str) -> None:
    if table in watch.lost:
        watch.lost.discard(table)
        watch.context.record(EventKind.PLATFORM_BACK, table=table)
    watch.state.store_up = not watch.lost


async def watch_operator(watch: Watch) -> None:
    """Follow the operator's rows until cancelled."""
    await watch_table(watch, watch.formats.table, _take_operator_row, OPERATOR_SETTLE_S)


async def watch_fleet(watch: Watch) -> None:
    """Follow the fleet's rows until cancelled."""
    await watch_table(watch, FLEET_TABLE, _take_fleet_row, FLEET_SETTLE_S)


async def write_own_row(watch: Watch) -> None:
    """Keep this host's row as this host is, until cancelled."""
    clock = watch.context.clock
    retry_s = FIRST_RETRY_S
    while True:
        await watch.state.news.wait()
        watch.state.news.clear()
        while not await try_write_own_row(watch):
            await clock.sleep(retry_s * (0.5 + random.random()))
            retry_s = min(retry_s * 2, MAX_RETRY_S)
        retry_s = FIRST_RETRY_S


async def try_write_own_row(watch: Watch) -> bool:
    """Write this host's row once; return whether it now stands there.

    The write names the version that the row has. One that is performed late, after a
    newer one, has no effect therefore.
    """
    key = MEMBER_PREFIX + watch.state.own.host
    value = msgpack.packb(member_to_wire(watch.state.own))
    if value == watch.row_value:
        return True
    row = StoredRow(FLEET_TABLE, key, value, watch.row_version)
    try:
        conflict = await watch.context.store.write([row])
    except PlatformError as error:
        _note_lost(watch, "own row", str(error))
        return False
    _note_back(watch, "own row")
    if conflict is None:
        # The feed tells the new version.
        watch.row_value = value
        return value == msgpack.packb(member_to_wire(watch.state.own))
    standing = next((item for item in conflict.rows if item.key == key), None)
    watch.row_version = standing.version if standing is not None else 0
    if standing is not None and standing.value == value:
        watch.row_value = value
        return True
    if standing is not None and standing.value:
        _take_own_row(watch, standing)
    return False


async def prune_members(watch: Watch) -> None:
    """Remove the rows of hosts that are gone, until cancelled.

    A host that lives but was not reached writes its row again when it reads that it
    was removed.
    """
    clock = watch.context.clock
    while True:
        await clock.sleep(PRUNE_PERIOD_S)
        now_s = clock.monotonic_s()
        links = watch.links.links
        up = [host for host, link in links.items() if link.usable]
        own_host = watch.state.own.host
        for host, link in tuple(links.items()):
            gone = link.connection is None and now_s - link.lost_s > GONE_S
            if not gone or not watch.state.store_up or watch.state.stopping:
                continue
            if rank([own_host, *up], f"prune {host}")[0] == own_host:
                await _remove_member(watch, host)


async def _remove_member(watch: Watch, host: str) -> None:
    version = watch.member_versions.get(host)
    if not version:
        return
    row = StoredRow(FLEET_TABLE, MEMBER_PREFIX + host, b"", version)
    try:
        await watch.context.store.write([], [row])
    except PlatformError as error:
        _note_lost(watch, "own row", str(error))
        return
    watch.context.record(EventKind.MEMBER_REMOVED, peer=host)


def tell_own(watch: Watch) -> None:
    """Tell links and store that this host's entry has changed."""
    forget_derived(watch.state)
    tell_all(watch.links)
    watch.state.news.set()
