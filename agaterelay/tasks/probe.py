"""Probe other hosts: a few neighbours of the zone, one host of each other zone.

A neighbour that answers neither directly nor through others is suspected, and
declared dead after a while unless it refutes that. Silence from another zone says
nothing of its hosts, which only their own zone declares dead; such a zone is merely
out of reach. News is sent to all neighbours at once, and not more often than allowed.
"""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.core.membership import Member, MemberState, apply_suspicion, zone_hosts
from agaterelay.core.probing import (
    choose_neighbours,
    choose_remote_host,
    find_dead_members,
    may_declare_dead,
)
from agaterelay.events import EventKind
from agaterelay.ports import PeerError
from agaterelay.tasks.gossip import (
    Gossip,
    drop_tombstones,
    own_exchange,
    set_own,
    take_exchange,
    take_updates,
)

SUSPICION_PERIODS = 4
CONTACT_PERIODS = 3
RECENT_DEATH_PERIODS = 60
INDIRECT_PROBES = 2
FAR_PROBE_PERIODS = 2
COMPARE_PERIODS = 10
LOST_PROBE_PERIODS = 3
MAX_LOST_BACKOFF_PERIODS = 60
PAUSE_PERIODS = 4
FAILURES_OUT_OF_REACH = 2
NEWS_DELAY_S = 0.05
NEWS_GAP_PERIODS = 0.5
LEAVE_TELLS = 5


@attrs.define
class Prober:
    """Whose turn it is to be probed; times are monotonic, in seconds.

    ``ring`` holds the neighbours for the hosts in ``ring_of``; ``far_failures`` counts
    by zone the probes in a row that found nobody; ``lost`` says by host when it is
    probed next, and after which backoff.
    """

    gossip: Gossip
    ring_of: tuple[str, ...] = ()
    ring: tuple[str, ...] = ()
    turn: int = 0
    far_turn: int = 0
    far_failures: dict[str, int] = attrs.field(factory=dict)
    lost: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    periods: int = 0


async def run_probes(prober: Prober) -> None:
    """Probe one neighbour each period, and others now and then, until cancelled."""
    gossip = prober.gossip
    world = gossip.world
    period_s = world.settings.probe_period_s
    while True:
        before_s = world.clock.monotonic_s()
        await world.clock.sleep(period_s * gossip.draw.uniform(0.9, 1.1))
        if world.clock.monotonic_s() - before_s > PAUSE_PERIODS * period_s:
            forgive_after_pause(gossip)
        if not gossip.board.own.incarnation:
            continue
        prober.periods += 1
        await probe_next(prober)
        expire_suspects(gossip)
        drop_tombstones(gossip)


async def probe_next(prober: Prober) -> None:
    """Make the probes of one period."""
    compare = prober.periods % COMPARE_PERIODS == 0
    target = next_neighbour(prober)
    if target is not None:
        await probe(prober.gossip, target, compare)
    if prober.periods % FAR_PROBE_PERIODS == 0:
        await probe_far(prober, compare or target is None)
    if prober.periods % LOST_PROBE_PERIODS == 0:
        await probe_lost(prober)


async def run_news(prober: Prober) -> None:
    """Send news to all neighbours soon after it came in, until cancelled."""
    gossip = prober.gossip
    world = gossip.world
    while True:
        await gossip.news.wait()
        await world.clock.sleep(NEWS_DELAY_S)
        gossip.news.clear()
        if gossip.repeats and gossip.board.own.incarnation:
            targets = current_ring(prober)
            await asyncio.gather(*(probe_once(gossip, host) for host in targets))
        await world.clock.sleep(NEWS_GAP_PERIODS * world.settings.probe_period_s)


def current_ring(prober: Prober) -> tuple[str, ...]:
    """Return this host's neighbours, worked out anew where the zone changed."""
    board = prober.gossip.board
    zone = board.own.zone
    hosts = tuple(
        member.host
        for member in board.members.values()
        if member.usable and member.zone == zone
    )
    if hosts != prober.ring_of:
        prober.ring_of = hosts
        prober.ring = tuple(choose_neighbours(hosts, board.own.host))
    return prober.ring


def next_neighbour(prober: Prober) -> str | None:
    """Return the neighbour whose turn it is, None where there is none."""
    ring = current_ring(prober)
    if not ring:
        return None
    prober.turn += 1
    return ring[prober.turn % len(ring)]


async def probe(gossip: Gossip, host: str, compare: bool = False) -> None:
    """Probe a host, directly and then through others; suspect it on silence."""
    if await probe_once(gossip, host, compare):
        return
    own = gossip.board.own
    hosts = zone_hosts(gossip.board.members, own.zone)
    helpers = [item for item in hosts if item not in (host, own.host)]
    helpers = gossip.draw.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
    answers = await asyncio.gather(
        *(gossip.world.peers.probe_for(helper, host) for helper in helpers),
        return_exceptions=True,
    )
    member = gossip.board.members.get(host)
    if member is not None and not any(answer is True for answer in answers):
        take_updates(gossip, (apply_suspicion(member, MemberState.SUSPECT),))


async def probe_once(gossip: Gossip, host: str, compare: bool = False) -> bool:
    """Exchange news with a host; return whether it is there."""
    try:
        exchange = own_exchange(gossip, host, compare=compare)
        reply = await gossip.world.peers.exchange(host, exchange)
    except PeerError as error:
        return error.reached
    take_exchange(gossip, reply)
    if host in gossip.owed or host in gossip.wanting:
        await _settle_entries(gossip, host)
    return True


async def _settle_entries(gossip: Gossip, host: str) -> None:
    """Exchange once more where one of the two lacks the other's entry."""
    try:
        exchange = own_exchange(gossip, host)
        take_exchange(gossip, await gossip.world.peers.exchange(host, exchange))
    except PeerError:
        return


async def probe_far(prober: Prober, compare: bool) -> None:
    """Exchange news with a host of another zone, one zone after the other."""
    board = prober.gossip.board
    zones = sorted({item.zone for item in board.members.values()} - {board.own.zone})
    if not zones:
        return
    prober.far_turn += 1
    zone = zones[prober.far_turn % len(zones)]
    failures = prober.far_failures.get(zone, 0)
    host = choose_remote_host(board.members, zone, board.own.host, failures)
    if host is None:
        return
    reached = await probe_once(prober.gossip, host, compare or failures > 0)
    prober.far_failures[zone] = 0 if reached else failures + 1
    _publish_reach(prober)


def _publish_reach(prober: Prober) -> None:
    board = prober.gossip.board
    out_of_reach = frozenset(
        zone
        for zone, failures in prober.far_failures.items()
        if failures >= FAILURES_OUT_OF_REACH
    )
    if out_of_reach != board.out_of_reach:
        board.out_of_reach = out_of_reach
        prober.gossip.world.record(EventKind.ZONE_REACH, out=sorted(out_of_reach))


async def probe_lost(prober: Prober) -> None:
    """Probe one host that fell silent, each one after a growing backoff."""
    gossip = prober.gossip
    now_s = gossip.world.clock.monotonic_s()
    period_s = gossip.world.settings.probe_period_s
    hosts = {member.host for member in find_dead_members(gossip.board.members)}
    hosts |= {
        seed
        for seed in gossip.world.settings.seeds
        if seed not in gossip.board.members and seed != gossip.board.own.host
    }
    prober.lost = {host: prober.lost.get(host, (now_s, period_s)) for host in hosts}
    due = [host for host, (at_s, _) in prober.lost.items() if at_s <= now_s]
    if not due:
        return
    host = gossip.draw.choice(due)
    _, backoff_s = prober.lost[host]
    backoff_s = min(2 * backoff_s, MAX_LOST_BACKOFF_PERIODS * period_s)
    prober.lost[host] = (now_s + backoff_s, backoff_s)
    if await probe_once(gossip, host, compare=True):
        prober.lost.pop(host, None)


def forgive_after_pause(gossip: Gossip) -> None:
    """Start all suspicions anew: the time of a pause was no time to answer."""
    now_s = gossip.world.clock.monotonic_s()
    for host in gossip.suspected_s:
        gossip.suspected_s[host] = now_s


def expire_suspects(gossip: Gossip) -> None:
    """Declare hosts of this zone dead that were suspected for long enough."""
    now_s = gossip.world.clock.monotonic_s()
    period_s = gossip.world.settings.probe_period_s
    board = gossip.board
    for host, since_s in list(gossip.suspected_s.items()):
        member = board.members.get(host)
        if member is None or member.zone != board.own.zone:
            continue
        if now_s - since_s < SUSPICION_PERIODS * period_s:
            continue
        in_contact = now_s - gossip.last_received_s <= CONTACT_PERIODS * period_s
        recently_dead = count_recently_dead(gossip, member, now_s)
        if may_declare_dead(board.members, member.zone, recently_dead, in_contact):
            take_updates(gossip, (apply_suspicion(member, MemberState.DEAD),))


def count_recently_dead(gossip: Gossip, suspect: Member, now_s: float) -> int:
    """Return how many hosts of a suspect's zone were declared dead lately."""
    window_s = RECENT_DEATH_PERIODS * gossip.world.settings.probe_period_s
    return sum(
        member.zone == suspect.zone
        and now_s - gossip.dead_since_s.get(member.host, now_s) <= window_s
        for member in find_dead_members(gossip.board.members)
    )


async def serve_probe_for(gossip: Gossip, host: str) -> bool:
    """Probe a host for a peer."""
    return await probe_once(gossip, host)


async def leave(prober: Prober) -> None:
    """Tell the neighbours, and a host of each other zone, that this host leaves."""
    gossip = prober.gossip
    board = gossip.board
    own = board.own
    targets = set(current_ring(prober))
    for zone in {item.zone for item in board.members.values()} - {own.zone}:
        targets.add(choose_remote_host(board.members, zone, own.host, 0) or own.host)
    targets.discard(own.host)
    left = attrs.evolve(own, sequence=own.sequence + 1, state=MemberState.LEFT)
    set_own(gossip, attrs.evolve(left, upstreams=()))
    gossip.owed |= targets
    await asyncio.gather(*(probe_once(gossip, host) for host in targets))
