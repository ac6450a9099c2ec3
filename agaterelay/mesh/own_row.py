"""This host's row in the store, and the rows of hosts that are gone."""

from __future__ import annotations

import random

import attrs
import msgpack

from agaterelay.core.rendezvous import rank
from agaterelay.events import EventKind
from agaterelay.mesh.news import tell_all
from agaterelay.mesh.state import forget_derived
from agaterelay.mesh.watch import (
    FIRST_RETRY_S,
    FLEET_TABLE,
    MAX_RETRY_S,
    MEMBER_PREFIX,
    Watch,
    note_back,
    note_lost,
)
from agaterelay.mesh.wire import decode_member, encode_member
from agaterelay.ports import PlatformError, StoredRow

# A host that no link reaches for this long is taken for gone.
GONE_S = 20.0
PRUNE_PERIOD_S = 5.0


def take_own_row(watch: Watch, row: StoredRow) -> None:
    """Learn the version of this host's row, and of an incarnation before this one."""
    watch.row_version = 0 if row.deleted else row.version
    if row.deleted:
        begin_again(watch)
    elif row.value != watch.row_value:
        before = decode_member(msgpack.unpackb(row.value))
        own = watch.state.own
        if before.pair > own.pair:
            watch.state.own = attrs.evolve(own, incarnation=before.incarnation + 1)
        watch.row_value = None
    if watch.row_value is None:
        watch.state.news.set()


def begin_again(watch: Watch) -> None:
    """Write this host's row once more, as news: others have buried the entry it had."""
    if watch.row_value is not None:
        own = watch.state.own
        watch.state.own = attrs.evolve(own, sequence=own.sequence + 1)
        tell_all(watch.links)
    watch.row_version = 0
    watch.row_value = None


def tell_own(watch: Watch) -> None:
    """Tell links and store that this host's entry has changed."""
    forget_derived(watch.state)
    tell_all(watch.links)
    watch.state.news.set()


async def write_own_row(watch: Watch) -> None:
    """Keep this host's row as this host is, until cancelled."""
    clock = watch.context.clock
    retry_s = FIRST_RETRY_S
    while True:
        await watch.state.news.wait()
        watch.state.news.clear()
        if watch.state.own_row_lost:
            watch.state.own_row_lost = False
            begin_again(watch)
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
    value = msgpack.packb(encode_member(watch.state.own))
    if value == watch.row_value:
        return True
    row = StoredRow(FLEET_TABLE, key, value, watch.row_version)
    try:
        conflict = await watch.context.store.write([row])
    except PlatformError as error:
        note_lost(watch, "own row", str(error))
        return False
    note_back(watch, "own row")
    if conflict is None:
        # The feed tells the new version.
        watch.row_value = value
        return value == msgpack.packb(encode_member(watch.state.own))
    standing = next((item for item in conflict.rows if item.key == key), None)
    watch.row_version = standing.version if standing is not None else 0
    if standing is not None and standing.value == value:
        watch.row_value = value
        return True
    if standing is not None and standing.value:
        take_own_row(watch, standing)
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
        note_lost(watch, "own row", str(error))
        return
    watch.context.record(EventKind.MEMBER_REMOVED, peer=host)
