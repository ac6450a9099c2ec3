"""Follow the platform's store: the operator's rows, the fleet's rows, and this host's.

A watching node waits for changes of two tables. In a small availability zone every node
watches; in a large one a few do and tell the others, which watch themselves whenever none
of the few says that the store answers it. What a node misses in the store it hears on its
links, so an outage, or one that strikes this host alone, only delays news.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs
import msgpack

from agaterelay.core.membership import Member
from agaterelay.core.model import Finding, RouteTable
from agaterelay.core.neighbours import READERS, readers_of
from agaterelay.core.rendezvous import rank
from agaterelay.core.trial import Order
from agaterelay.events import EventKind
from agaterelay.mesh.link import Links
from agaterelay.mesh.links import follow_members
from agaterelay.mesh.news import log_move, log_order, tell_all, tell_zone
from agaterelay.mesh.state import (
    Context,
    MeshState,
    all_members,
    drop_member,
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
# How much later than asked the answer to a waiting call may come.
ANSWER_MARGIN_S = 1.5
# How long a reader's word that it watches holds; it gives it once a second.
COVERED_S = 2.5
STANDBY_PERIOD_S = 0.2
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
    answered_s: dict[str, float] = attrs.field(factory=dict)


def tell_standbys(
    watch: Watch,
    members: Iterable[Member],
    removed: Iterable[tuple[str, int, int]],
) -> None:
    """Tell the zone what was read in the store, unless all of it watches itself."""
    if len(watch.state.readers) <= READERS:
        tell_zone(watch.links, members, removed)


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
    if source == "store":
        tell_standbys(watch, [], [])


def _take_operator_row(watch: Watch, row: StoredRow) -> None:
    if row.key == watch.formats.config_key:
        if not row.deleted:
            take_config(watch, row.value, "store")
        return
    order = watch.formats.decode_order(row)
    if order is not None and take_order(watch.state, order):
        log_order(watch.context, order, "store")
        tell_standbys(watch, [], [])


def _take_fleet_row(watch: Watch, row: StoredRow) -> None:
    now_s = watch.context.clock.monotonic_s()
    if row.key.startswith(MOVE_PREFIX) and not row.deleted:
        record = move_from_wire(msgpack.unpackb(row.value))
        if take_move(watch.state, record, now_s, stored=True):
            log_move(watch.context, record, "store")
            tell_standbys(watch, [], [])
    if not row.key.startswith(MEMBER_PREFIX):
        return
    host = row.key.removeprefix(MEMBER_PREFIX)
    if host == watch.state.own.host:
        _take_own_row(watch, row)
        return
    if row.deleted:
        watch.member_versions.pop(host, None)
        held = watch.state.members.get(host)
        if held is None:
            return
        # The host itself is told as well, while there is still a link to it.
        tell_standbys(watch, [], [(host, *held.pair)])
        drop_member(watch.state, host, held.pair)
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
        tell_standbys(watch, [member], [])


def _take_own_row(watch: Watch, row: StoredRow) -> None:
    """Learn the version of this host's row, and of an incarnation before this one."""
    watch.row_version = 0 if row.deleted else row.version
    if row.deleted:
        _begin_again(watch)
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
        if not must_watch(watch):
            await clock.sleep(STANDBY_PERIOD_S)
            continue
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
        watch.answered_s[table] = clock.monotonic_s()
        retry_s = FIRST_RETRY_S
        version = max(changes.version, version or 0)
        _take_rows(watch, changes, take)
        watch.state.fleet_known |= table == FLEET_TABLE
        if changes.rows:
            await clock.sleep(settle_s)


def follow_readers(watch: Watch) -> None:
    """Note which hosts watch the store for this zone, and whether this one does."""
    state, links = watch.state, watch.links.links
    hosts = [
        member.host
        for member in all_members(state)
        if member.zone == state.own.zone
        and member.usable
        and (member.host not in links or links[member.host].usable)
    ]
    readers = readers_of(hosts)
    if readers != state.readers:
        state.readers = readers
        follow_members(watch.links)
    now_s = watch.context.clock.monotonic_s()
    answered_s = min(
        (watch.answered_s.get(table, -1e9) for table in _tables(watch)),
        default=-1e9,
    )
    recent = now_s - answered_s < FEED_WAIT_S + ANSWER_MARGIN_S
    state.watching = must_watch(watch) and recent and not watch.lost


def _tables(watch: Watch) -> tuple[str, str]:
    return (watch.formats.table, FLEET_TABLE)


def must_watch(watch: Watch) -> bool:
    """Return whether this node waits for the store's changes itself."""
    state = watch.state
    if not state.readers or state.own.host in state.readers or state.table is None:
        return True
    now_s = watch.context.clock.monotonic_s()
    links = watch.links.links
    return not any(
        host in links and now_s - links[host].watching_s < COVERED_S
        for host in state.readers
    )


def _drop_missing(watch: Watch, changes: Changes) -> None:
    """Forget hosts whose rows were removed while nothing could be read."""
    present = {row.key for row in changes.rows}
    for host in tuple(watch.member_versions):
        if MEMBER_PREFIX + host not in present:
            row = StoredRow(FLEET_TABLE, MEMBER_PREFIX + host, b"", deleted=True)
            _take_fleet_row(watch, row)
    if MEMBER_PREFIX + watch.state.own.host not in present:
        _begin_again(watch)
        watch.state.news.set()


def _begin_again(watch: Watch) -> None:
    """Write this host's row once more, as news: others have buried the entry it had."""
    if watch.row_value is not None:
        own = watch.state.own
        watch.state.own = attrs.evolve(own, sequence=own.sequence + 1)
        tell_all(watch.links)
    watch.row_version = 0
    watch.row_value = None


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
        if watch.state.own_row_lost:
            watch.state.own_row_lost = False
            _begin_again(watch)
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
