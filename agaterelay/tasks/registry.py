"""Find peers in the registry rows of the table, join the mesh, and update the rows."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime

import attrs

from agaterelay.core.membership import INCARNATION_RANDOM_BITS, next_incarnation
from agaterelay.core.registry import (
    RegistryRow,
    decode_row,
    encode_row,
    find_unusable_hosts,
    is_writer,
    make_row,
    needs_write,
    predecessor_incarnation,
    row_name,
)
from agaterelay.events import EventKind
from agaterelay.ports import PeerError, PlatformError
from agaterelay.tasks.gossip import (
    Gossip,
    build_exchange,
    merge_exchange,
    set_own_member,
)
from agaterelay.tasks.probe import probe_once

CHECK_PERIOD_S = 30.0
FIRST_CHECK_DELAY_S = 1.0
JOIN_QUERY_COUNT = 3
OTHER_ZONE_ROW_COUNT = 2
JOIN_TIMEOUT_S = 2.0
JOIN_RETRY_S = 0.3
MAX_UNKNOWN_PROBED = 4
_EPOCH = datetime.fromtimestamp(0, UTC)


@attrs.define
class Registry:
    """The registry rows of the zones.

    ``versions`` has the version of each row at its last read, 0 if there was no row.
    """

    gossip: Gossip
    versions: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Search:
    """A joining host's search for members.

    ``listed`` is whether other hosts may exist: a row was found, or the table did not
    answer.
    """

    unread: list[str]
    hosts: set[str]
    listed: bool = False


async def read_row(registry: Registry, zone: str) -> RegistryRow | None:
    """Return a zone's row, or None if it is missing or cannot be decoded.

    Raises:
        PlatformError: The table did not answer.
    """
    row = await registry.gossip.node_context.table.read(row_name(zone))
    registry.versions[zone] = row.version if row is not None else 0
    if row is None:
        return None
    decoded, _ = decode_row(row.value, row_name(zone), _EPOCH)
    return decoded


async def join(registry: Registry) -> None:
    """Find peers, choose an incarnation above any earlier process's, and join.

    The host is no member until it has an incarnation. If no member answers within
    ``JOIN_TIMEOUT_S``, the host joins as one of the first.
    """
    gossip = registry.gossip
    clock = gossip.node_context.clock
    deadline_s = clock.monotonic_s() + JOIN_TIMEOUT_S
    search = Search(_zones_to_read(registry), set(gossip.node_context.settings.seeds))
    retry_s = JOIN_RETRY_S
    while not await _find_members(registry, search):
        remaining_s = deadline_s - clock.monotonic_s()
        if remaining_s <= 0:
            break
        await clock.sleep(min(retry_s * gossip.rng.uniform(0.5, 1.5), remaining_s))
        # Many hosts that join at once would overload the table with retries.
        retry_s *= 2
    now_ms = int(clock.now().timestamp() * 1000)
    random_bits = gossip.rng.getrandbits(INCARNATION_RANDOM_BITS)
    incarnation = next_incarnation(now_ms, gossip.predecessor, random_bits)
    own = attrs.evolve(gossip.board.own, incarnation=incarnation, sequence=1)
    set_own_member(gossip, own)
    gossip.node_context.record(
        EventKind.NODE_JOINED,
        incarnation=incarnation,
        members=len(gossip.board.members),
    )


def _zones_to_read(registry: Registry) -> list[str]:
    """Return this host's zone and a few others, which limits the load on the table."""
    settings = registry.gossip.node_context.settings
    others = [zone for zone in settings.zones if zone != settings.zone]
    chosen = registry.gossip.rng.sample(others, min(OTHER_ZONE_ROW_COUNT, len(others)))
    return [settings.zone, *chosen]


async def _find_members(registry: Registry, search: Search) -> bool:
    """Query the known hosts; while none is a member, read one row after the other.

    Returns:
        Whether a member answered, or all chosen rows were read and none was found.
    """
    while not await _query_hosts(registry.gossip, search.hosts):
        if not search.unread:
            return not search.listed
        try:
            row = await read_row(registry, search.unread[0])
        except PlatformError:
            search.listed = True
            return False
        search.unread.pop(0)
        if row is not None:
            search.listed = True
            search.hosts |= {item.host for item in row.hosts}
            _record_predecessor(registry.gossip, row)
    return True


def _record_predecessor(gossip: Gossip, row: RegistryRow) -> None:
    known = predecessor_incarnation(row, gossip.board.own.host)
    gossip.predecessor = max(gossip.predecessor, known)


async def _query_hosts(gossip: Gossip, hosts: set[str]) -> bool:
    """Query a sample of hosts for their view; return whether a member answered."""
    others = sorted(hosts - {gossip.board.own.host})
    chosen = gossip.rng.sample(others, min(JOIN_QUERY_COUNT, len(others)))
    answers = await asyncio.gather(*(_query_host(gossip, host) for host in chosen))
    return any(answers)


async def _query_host(gossip: Gossip, host: str) -> bool:
    """Query a host for its whole view; return whether it is itself a member."""
    try:
        exchange = build_exchange(gossip, host, want_all=True)
        reply = await gossip.node_context.peers.exchange(host, exchange)
    except PeerError:
        return False
    merge_exchange(gossip, reply)
    return reply.pair[0] > 0


async def run_registry(registry: Registry) -> None:
    """Join, then update this zone's row while this host is its writer."""
    gossip = registry.gossip
    if not gossip.board.own.incarnation:
        await join(registry)
    delay_s = FIRST_CHECK_DELAY_S
    while True:
        await gossip.node_context.clock.sleep(delay_s * gossip.rng.uniform(0.8, 1.2))
        delay_s = min(2 * delay_s, CHECK_PERIOD_S)
        zone = gossip.node_context.settings.zone
        if is_writer(gossip.board.members, zone, gossip.board.own.host):
            await check_rows(registry)


async def check_rows(registry: Registry) -> None:
    """Write this zone's row if it is due, and probe unknown hosts in all rows."""
    gossip = registry.gossip
    settings = gossip.node_context.settings
    others = [zone for zone in settings.zones if zone != settings.zone]
    try:
        rows = [await refresh_row(registry)]
        for zone in others:
            rows.append(await read_row(registry, zone))
    except PlatformError:
        return
    for row in rows:
        if row is not None:
            await _probe_unknown_hosts(gossip, row)


async def refresh_row(registry: Registry) -> RegistryRow | None:
    """Write this zone's row if it is due.

    Returns:
        The row as it was read. If another writer was faster, the row of that writer.

    Raises:
        PlatformError: The table did not answer.
    """
    gossip = registry.gossip
    zone = gossip.node_context.settings.zone
    row = await read_row(registry, zone)
    now = gossip.node_context.clock.now()
    if not needs_write(row, gossip.board.members, now):
        return row
    fresh = make_row(gossip.board.members, zone, now, gossip.rng)
    version = registry.versions[zone]
    if await gossip.node_context.table.write(
        row_name(zone), encode_row(fresh), version
    ):
        return row
    return await read_row(registry, zone)


async def _probe_unknown_hosts(gossip: Gossip, row: RegistryRow) -> None:
    """Probe some hosts of a row that are not usable members in the view."""
    hosts = find_unusable_hosts(row, gossip.board.members, gossip.board.own.host)
    for host in hosts[:MAX_UNKNOWN_PROBED]:
        await probe_once(gossip, host, compare=True)
