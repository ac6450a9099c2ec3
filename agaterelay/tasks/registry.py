"""Find peers through the table's registry rows, join the fleet, keep the rows fresh."""

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
from agaterelay.tasks.gossip import Gossip, own_exchange, set_own, take_exchange
from agaterelay.tasks.probe import probe_once

CHECK_PERIOD_S = 30.0
FIRST_CHECK_S = 1.0
JOIN_ASKS = 3
OTHER_ROWS = 2
JOIN_GIVE_UP_S = 2.0
JOIN_RETRY_S = 0.3
MAX_STRANGERS = 4
_EPOCH = datetime.fromtimestamp(0, UTC)


@attrs.define
class Registry:
    """The versions of the rows as they were read last, 0 where there was none."""

    gossip: Gossip
    versions: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Search:
    """A joining host's search: rows to read, hosts to ask, whether any were listed."""

    unread: list[str]
    hosts: set[str]
    listed: bool = False


async def read_row(registry: Registry, zone: str) -> RegistryRow | None:
    """Return a zone's row, None where there is none that can be read.

    Raises:
        PlatformError: The table did not answer.
    """
    row = await registry.gossip.world.table.read(row_name(zone))
    registry.versions[zone] = row.version if row is not None else 0
    if row is None:
        return None
    decoded, _ = decode_row(row.value, row_name(zone), _EPOCH)
    return decoded


async def join(registry: Registry) -> None:
    """Find peers, learn of an earlier process on this host, and begin to count.

    The host's entry counts nowhere until then. Where no member answers for long
    enough, the host takes itself for one of the first.
    """
    gossip = registry.gossip
    clock = gossip.world.clock
    give_up_s = clock.monotonic_s() + JOIN_GIVE_UP_S
    search = Search(_zones_to_read(registry), set(gossip.world.settings.seeds))
    retry_s = JOIN_RETRY_S
    while not await _find_members(registry, search):
        left_s = give_up_s - clock.monotonic_s()
        if left_s <= 0:
            break
        await clock.sleep(min(retry_s * gossip.draw.uniform(0.5, 1.5), left_s))
        # A whole fleet that joins at once must not flood the table with retries.
        retry_s *= 2
    now_ms = int(clock.now().timestamp() * 1000)
    random_bits = gossip.draw.getrandbits(INCARNATION_RANDOM_BITS)
    incarnation = next_incarnation(now_ms, gossip.predecessor, random_bits)
    own = attrs.evolve(gossip.board.own, incarnation=incarnation, sequence=1)
    set_own(gossip, own)
    gossip.world.record(
        EventKind.NODE_JOINED,
        incarnation=incarnation,
        members=len(gossip.board.members),
    )


def _zones_to_read(registry: Registry) -> list[str]:
    """Return this host's zone and a few others; more would burden the table."""
    settings = registry.gossip.world.settings
    others = [zone for zone in settings.zones if zone != settings.zone]
    chosen = registry.gossip.draw.sample(others, min(OTHER_ROWS, len(others)))
    return [settings.zone, *chosen]


async def _find_members(registry: Registry, search: Search) -> bool:
    """Ask the hosts known so far; read rows one by one while none is a member.

    Returns:
        Whether a member answered, or the registry has never held a host.
    """
    while not await _ask(registry.gossip, search.hosts):
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
            _note_predecessor(registry.gossip, row)
    return True


def _note_predecessor(gossip: Gossip, row: RegistryRow) -> None:
    known = predecessor_incarnation(row, gossip.board.own.host)
    gossip.predecessor = max(gossip.predecessor, known)


async def _ask(gossip: Gossip, hosts: set[str]) -> bool:
    """Ask a few of some hosts for their view; return whether a member answered."""
    others = sorted(hosts - {gossip.board.own.host})
    chosen = gossip.draw.sample(others, min(JOIN_ASKS, len(others)))
    answers = await asyncio.gather(*(_ask_one(gossip, host) for host in chosen))
    return any(answers)


async def _ask_one(gossip: Gossip, host: str) -> bool:
    """Ask a host for its whole view; return whether it is a member itself."""
    try:
        exchange = own_exchange(gossip, host, want_all=True)
        reply = await gossip.world.peers.exchange(host, exchange)
    except PeerError:
        return False
    take_exchange(gossip, reply)
    return reply.pair[0] > 0


async def run_registry(registry: Registry) -> None:
    """Join, then keep this zone's row fresh where it is this host's turn."""
    gossip = registry.gossip
    if not gossip.board.own.incarnation:
        await join(registry)
    delay_s = FIRST_CHECK_S
    while True:
        await gossip.world.clock.sleep(delay_s * gossip.draw.uniform(0.8, 1.2))
        delay_s = min(2 * delay_s, CHECK_PERIOD_S)
        zone = gossip.world.settings.zone
        if is_writer(gossip.board.members, zone, gossip.board.own.host):
            await check_rows(registry)


async def check_rows(registry: Registry) -> None:
    """Write this zone's row where it is due; meet hosts that the rows list."""
    gossip = registry.gossip
    settings = gossip.world.settings
    others = [zone for zone in settings.zones if zone != settings.zone]
    try:
        rows = [await refresh_row(registry)]
        for zone in others:
            rows.append(await read_row(registry, zone))
    except PlatformError:
        return
    for row in rows:
        if row is not None:
            await _meet(gossip, row)


async def refresh_row(registry: Registry) -> RegistryRow | None:
    """Return this zone's row, written anew where that was due.

    Returns:
        The row as another writer left it where that one was faster.

    Raises:
        PlatformError: The table did not answer.
    """
    gossip = registry.gossip
    zone = gossip.world.settings.zone
    row = await read_row(registry, zone)
    now = gossip.world.clock.now()
    if not needs_write(row, gossip.board.members, now):
        return row
    fresh = make_row(gossip.board.members, zone, now, gossip.draw)
    version = registry.versions[zone]
    if await gossip.world.table.write(row_name(zone), encode_row(fresh), version):
        return row
    return await read_row(registry, zone)


async def _meet(gossip: Gossip, row: RegistryRow) -> None:
    """Probe some hosts of a row that the view lacks."""
    hosts = find_unusable_hosts(row, gossip.board.members, gossip.board.own.host)
    for host in hosts[:MAX_STRANGERS]:
        await probe_once(gossip, host, compare=True)
