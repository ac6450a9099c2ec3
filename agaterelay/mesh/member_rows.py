"""Write this host's row in the store, and remove the rows of unreachable hosts."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

import attrs
import msgpack

from agaterelay.core.checked import DecodeError
from agaterelay.core.rendezvous import rank
from agaterelay.events import EventKind
from agaterelay.mesh.links import refresh_links
from agaterelay.mesh.notifications import broadcast_own_member, broadcast_to_zone
from agaterelay.mesh.state import clear_derived_caches, remove_member
from agaterelay.mesh.store_watch import (
    FLEET_TABLE,
    INITIAL_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    MEMBER_PREFIX,
    StoreWatch,
    record_store_lost,
    record_store_recovered,
)
from agaterelay.mesh.wire import decode_member, encode_member, load_row
from agaterelay.ports import PlatformError, StoredRow

# A host that its link has not reached for this long is considered gone.
UNREACHABLE_MEMBER_TIMEOUT_S = 20.0
PRUNE_PERIOD_S = 5.0
# How long a starting host waits for its upstream's first announcement, so that one write
# publishes both. Hosts that know of it already hear of its start over their links.
FIRST_ROW_WAIT_S = 1.0


def apply_own_row(watch: StoreWatch, row: StoredRow) -> None:
    """Apply the version of this host's row as read, and supersede earlier incarnations.

    An incarnation or sequence in the row that is higher than the own one comes from an
    earlier start of this host.
    """
    watch.own_row_version = 0 if row.deleted else row.version
    if row.deleted:
        republish_own_row(watch)
    elif row.value != watch.own_row_value:
        watch.own_row_value = None
        try:
            previous = decode_member(load_row(row.value))
        except DecodeError:
            # Another writer's; this host's record replaces it.
            watch.state.news.set()
            raise
        own = watch.state.own
        if previous.pair > own.pair:
            watch.state.own = attrs.evolve(own, incarnation=previous.incarnation + 1)
    if watch.own_row_value is None:
        watch.state.news.set()


def republish_own_row(watch: StoreWatch) -> None:
    """Cause this host's row to be written again with a higher sequence.

    Other nodes hold a tombstone for the record that this host published before.
    """
    if watch.own_row_value is not None:
        own = watch.state.own
        watch.state.own = attrs.evolve(own, sequence=own.sequence + 1)
        broadcast_own_member(watch.links)
    watch.own_row_version = 0
    watch.own_row_value = None


def publish_own_member(watch: StoreWatch) -> None:
    """Publish this host's changed member record to the linked nodes and the store."""
    clear_derived_caches(watch.state)
    broadcast_own_member(watch.links)
    watch.state.news.set()


async def write_own_row(watch: StoreWatch) -> None:
    """Keep this host's row in the store up to date, until cancelled."""
    clock = watch.context.clock
    retry_s = INITIAL_RETRY_DELAY_S
    await _await_first_announcement(watch)
    while True:
        await watch.state.news.wait()
        watch.state.news.clear()
        if watch.state.own_row_lost:
            watch.state.own_row_lost = False
            republish_own_row(watch)
        while not await try_write_own_row(watch):
            await clock.sleep(retry_s * (0.5 + random.random()))
            retry_s = min(retry_s * 2, MAX_RETRY_DELAY_S)
        retry_s = INITIAL_RETRY_DELAY_S


async def _await_first_announcement(watch: StoreWatch) -> None:
    """Wait until this host has an upstream to publish, for a limited time."""
    news = watch.state.news
    is_due = False
    with suppress(TimeoutError):
        async with asyncio.timeout(FIRST_ROW_WAIT_S):
            while not watch.state.own.upstreams:
                await news.wait()
                news.clear()
                is_due = True
    if is_due:
        news.set()


async def try_write_own_row(watch: StoreWatch) -> bool:
    """Write this host's row once; return whether the store now holds it.

    The write is conditional on the row's version, so one that the store performs late,
    after a newer one, has no effect.
    """
    key = MEMBER_PREFIX + watch.state.own.host
    value = msgpack.packb(encode_member(watch.state.own))
    if value == watch.own_row_value:
        return True
    row = StoredRow(FLEET_TABLE, key, value, watch.own_row_version)
    restores = watch.state.store_restores
    try:
        conflict = await watch.context.store.write([row])
    except PlatformError as error:
        record_store_lost(watch, "own row", str(error))
        return False
    record_store_recovered(watch, "own row")
    if watch.state.store_restores != restores:
        # It is unknown whether the write took effect before the store was restored.
        return False
    if conflict is None:
        # The feed delivers the new version.
        watch.own_row_value = value
        return value == msgpack.packb(encode_member(watch.state.own))
    stored = next((item for item in conflict.rows if item.key == key), None)
    watch.own_row_version = stored.version if stored is not None else 0
    if stored is not None and stored.value == value:
        watch.own_row_value = value
        return True
    if stored is not None and stored.value:
        with suppress(DecodeError):
            apply_own_row(watch, stored)
    return False


async def prune_members(watch: StoreWatch) -> None:
    """Remove the rows of hosts that are gone, until cancelled.

    A host that runs but could not be reached writes its row again when it reads that the
    row was removed.
    """
    clock = watch.context.clock
    while True:
        await clock.sleep(PRUNE_PERIOD_S)
        now_s = clock.monotonic_s()
        links = watch.links.links
        reachable = [host for host, link in links.items() if link.usable]
        own_host = watch.state.own.host
        if watch.state.store_up and not watch.state.stopping:
            await _remove_revived_rows(watch, [own_host, *reachable])
        for host, link in tuple(links.items()):
            gone = (
                link.connection is None
                and now_s - link.lost_s > UNREACHABLE_MEMBER_TIMEOUT_S
            )
            if not gone or not watch.state.store_up or watch.state.stopping:
                continue
            if host in watch.missing_rows:
                _remove_unwritten_member(watch, host)
            elif rank([own_host, *reachable], f"prune {host}")[0] == own_host:
                await _remove_member_row(watch, host)


async def _remove_revived_rows(watch: StoreWatch, hosts: list[str]) -> None:
    """Remove the rows of removed hosts that a restored store has again."""
    for host in tuple(watch.revived_rows):
        if host in watch.state.members or host not in watch.member_versions:
            watch.revived_rows.discard(host)
        elif rank(hosts, f"prune {host}")[0] == watch.state.own.host:
            await _remove_member_row(watch, host)


def _remove_unwritten_member(watch: StoreWatch, host: str) -> None:
    """Remove a host that is gone, and whose row a restored store never had again."""
    watch.missing_rows.discard(host)
    held = watch.state.members.get(host)
    if held is None:
        return
    broadcast_to_zone(watch.links, [], [(host, *held.pair)])
    remove_member(watch.state, host, held.pair)
    refresh_links(watch.links)
    watch.context.record(EventKind.MEMBER_REMOVED, peer=host)


async def _remove_member_row(watch: StoreWatch, host: str) -> None:
    version = watch.member_versions.get(host)
    if not version:
        return
    row = StoredRow(FLEET_TABLE, MEMBER_PREFIX + host, b"", version)
    try:
        await watch.context.store.write([], [row])
    except PlatformError as error:
        record_store_lost(watch, "own row", str(error))
        return
    watch.context.record(EventKind.MEMBER_REMOVED, peer=host)
