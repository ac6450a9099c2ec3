"""Probe a few neighbours in the zone, and one host of each other zone.

A neighbour that answers neither a direct nor an indirect probe is suspected, and
declared dead after a while unless it refutes the suspicion. A failed probe of another
zone says nothing about the hosts there, which only their own zone declares dead; the
zone is marked out of reach instead. New updates are sent to all neighbours at once, at
a limited rate.
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
    build_exchange,
    expire_dead_hosts,
    merge_exchange,
    merge_updates,
    set_own_member,
)

SUSPICION_PERIODS = 4
CONTACT_PERIODS = 3
RECENT_DEATH_PERIODS = 60
INDIRECT_PROBE_COUNT = 2
OTHER_ZONE_PROBE_PERIODS = 2
COMPARE_PERIODS = 10
SILENT_PROBE_PERIODS = 3
MAX_SILENT_BACKOFF_PERIODS = 60
MIN_PAUSE_PERIODS = 4
OUT_OF_REACH_FAILURE_COUNT = 2
UPDATE_BATCH_DELAY_S = 0.05
UPDATE_INTERVAL_PERIODS = 0.5
LEAVE_NOTIFICATION_COUNT = 5


@attrs.define
class Prober:
    """The schedule of probes; times are in seconds on the monotonic clock.

    ``neighbours`` is computed from the hosts in ``neighbours_of``. ``zone_failures``
    counts consecutive failed probes by zone. ``silent_hosts`` has, by host, the time of
    the next probe and its backoff.
    """

    gossip: Gossip
    neighbours_of: tuple[str, ...] = ()
    neighbours: tuple[str, ...] = ()
    turn: int = 0
    zone_turn: int = 0
    zone_failures: dict[str, int] = attrs.field(factory=dict)
    silent_hosts: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    periods: int = 0


async def run_probes(prober: Prober) -> None:
    """Probe one neighbour each period, and other hosts less often, until cancelled."""
    gossip = prober.gossip
    context = gossip.node_context
    period_s = context.settings.probe_period_s
    while True:
        before_s = context.clock.monotonic_s()
        await context.clock.sleep(period_s * gossip.rng.uniform(0.9, 1.1))
        if context.clock.monotonic_s() - before_s > MIN_PAUSE_PERIODS * period_s:
            restart_suspicions(gossip)
        if not gossip.board.own.incarnation:
            continue
        prober.periods += 1
        await probe_next(prober)
        expire_suspects(gossip)
        expire_dead_hosts(gossip)


async def probe_next(prober: Prober) -> None:
    """Send the probes of one period."""
    compare = prober.periods % COMPARE_PERIODS == 0
    target = next_neighbour(prober)
    if target is not None:
        await probe(prober.gossip, target, compare)
    if prober.periods % OTHER_ZONE_PROBE_PERIODS == 0:
        await probe_other_zone(prober, compare or target is None)
    if prober.periods % SILENT_PROBE_PERIODS == 0:
        await probe_silent_host(prober)


async def run_update_broadcast(prober: Prober) -> None:
    """Send new updates to all neighbours after a short delay, until cancelled."""
    gossip = prober.gossip
    context = gossip.node_context
    while True:
        await gossip.updates_pending.wait()
        await context.clock.sleep(UPDATE_BATCH_DELAY_S)
        gossip.updates_pending.clear()
        if gossip.remaining_sends and gossip.board.own.incarnation:
            targets = current_neighbours(prober)
            await asyncio.gather(*(probe_once(gossip, host) for host in targets))
        await context.clock.sleep(
            UPDATE_INTERVAL_PERIODS * context.settings.probe_period_s
        )


def current_neighbours(prober: Prober) -> tuple[str, ...]:
    """Return this host's neighbours, recomputed if the hosts of the zone changed."""
    board = prober.gossip.board
    zone = board.own.zone
    hosts = tuple(
        member.host
        for member in board.members.values()
        if member.usable and member.zone == zone
    )
    if hosts != prober.neighbours_of:
        prober.neighbours_of = hosts
        prober.neighbours = tuple(choose_neighbours(hosts, board.own.host))
    return prober.neighbours


def next_neighbour(prober: Prober) -> str | None:
    """Return the next neighbour in turn, or None if there is none."""
    neighbours = current_neighbours(prober)
    if not neighbours:
        return None
    prober.turn += 1
    return neighbours[prober.turn % len(neighbours)]


async def probe(gossip: Gossip, host: str, compare: bool = False) -> None:
    """Probe a host directly, then indirectly; suspect it if neither succeeds."""
    if await probe_once(gossip, host, compare):
        return
    own = gossip.board.own
    hosts = zone_hosts(gossip.board.members, own.zone)
    helpers = [item for item in hosts if item not in (host, own.host)]
    helpers = gossip.rng.sample(helpers, min(INDIRECT_PROBE_COUNT, len(helpers)))
    answers = await asyncio.gather(
        *(gossip.node_context.peers.probe_for(helper, host) for helper in helpers),
        return_exceptions=True,
    )
    member = gossip.board.members.get(host)
    if member is not None and not any(answer is True for answer in answers):
        merge_updates(gossip, (apply_suspicion(member, MemberState.SUSPECT),))


async def probe_once(gossip: Gossip, host: str, compare: bool = False) -> bool:
    """Exchange updates with a host; return whether it was reached."""
    try:
        exchange = build_exchange(gossip, host, compare=compare)
        reply = await gossip.node_context.peers.exchange(host, exchange)
    except PeerError as error:
        return error.reached
    merge_exchange(gossip, reply)
    if host in gossip.own_record_requested_by or host in gossip.records_to_request:
        await _exchange_missing_records(gossip, host)
    return True


async def _exchange_missing_records(gossip: Gossip, host: str) -> None:
    """Exchange once more, as one of the two hosts lacks the other's member record."""
    try:
        exchange = build_exchange(gossip, host)
        merge_exchange(gossip, await gossip.node_context.peers.exchange(host, exchange))
    except PeerError:
        return


async def probe_other_zone(prober: Prober, compare: bool) -> None:
    """Exchange updates with a host of another zone, one zone after the other."""
    board = prober.gossip.board
    zones = sorted({item.zone for item in board.members.values()} - {board.own.zone})
    if not zones:
        return
    prober.zone_turn += 1
    zone = zones[prober.zone_turn % len(zones)]
    failures = prober.zone_failures.get(zone, 0)
    host = choose_remote_host(board.members, zone, board.own.host, failures)
    if host is None:
        return
    reached = await probe_once(prober.gossip, host, compare or failures > 0)
    prober.zone_failures[zone] = 0 if reached else failures + 1
    _publish_out_of_reach(prober)


def _publish_out_of_reach(prober: Prober) -> None:
    board = prober.gossip.board
    out_of_reach = frozenset(
        zone
        for zone, failures in prober.zone_failures.items()
        if failures >= OUT_OF_REACH_FAILURE_COUNT
    )
    if out_of_reach != board.out_of_reach:
        board.out_of_reach = out_of_reach
        prober.gossip.node_context.record(
            EventKind.ZONE_REACH, out=sorted(out_of_reach)
        )


async def probe_silent_host(prober: Prober) -> None:
    """Probe one dead host or unknown seed, with exponential backoff for each host."""
    gossip = prober.gossip
    now_s = gossip.node_context.clock.monotonic_s()
    period_s = gossip.node_context.settings.probe_period_s
    hosts = {member.host for member in find_dead_members(gossip.board.members)}
    hosts |= {
        seed
        for seed in gossip.node_context.settings.seeds
        if seed not in gossip.board.members and seed != gossip.board.own.host
    }
    prober.silent_hosts = {
        host: prober.silent_hosts.get(host, (now_s, period_s)) for host in hosts
    }
    due = [host for host, (at_s, _) in prober.silent_hosts.items() if at_s <= now_s]
    if not due:
        return
    host = gossip.rng.choice(due)
    _, backoff_s = prober.silent_hosts[host]
    backoff_s = min(2 * backoff_s, MAX_SILENT_BACKOFF_PERIODS * period_s)
    prober.silent_hosts[host] = (now_s + backoff_s, backoff_s)
    if await probe_once(gossip, host, compare=True):
        prober.silent_hosts.pop(host, None)


def restart_suspicions(gossip: Gossip) -> None:
    """Restart the timers of all suspicions after a pause of this process.

    Suspected hosts had no chance to refute their suspicion during the pause.
    """
    now_s = gossip.node_context.clock.monotonic_s()
    for host in gossip.suspected_since_s:
        gossip.suspected_since_s[host] = now_s


def expire_suspects(gossip: Gossip) -> None:
    """Declare hosts of this zone dead that have been suspected for long enough."""
    now_s = gossip.node_context.clock.monotonic_s()
    period_s = gossip.node_context.settings.probe_period_s
    board = gossip.board
    for host, since_s in list(gossip.suspected_since_s.items()):
        member = board.members.get(host)
        if member is None or member.zone != board.own.zone:
            continue
        if now_s - since_s < SUSPICION_PERIODS * period_s:
            continue
        in_contact = now_s - gossip.last_received_s <= CONTACT_PERIODS * period_s
        recently_dead = count_recently_dead(gossip, member, now_s)
        if may_declare_dead(board.members, member.zone, recently_dead, in_contact):
            merge_updates(gossip, (apply_suspicion(member, MemberState.DEAD),))


def count_recently_dead(gossip: Gossip, suspect: Member, now_s: float) -> int:
    """Return how many hosts of a suspect's zone were declared dead recently."""
    window_s = RECENT_DEATH_PERIODS * gossip.node_context.settings.probe_period_s
    return sum(
        member.zone == suspect.zone
        and now_s - gossip.dead_since_s.get(member.host, now_s) <= window_s
        for member in find_dead_members(gossip.board.members)
    )


async def handle_probe_for(gossip: Gossip, host: str) -> bool:
    """Probe a host on behalf of a peer; return whether it was reached."""
    return await probe_once(gossip, host)


async def leave(prober: Prober) -> None:
    """Notify the neighbours, and a host of each other zone, that this host leaves."""
    gossip = prober.gossip
    board = gossip.board
    own = board.own
    targets = set(current_neighbours(prober))
    for zone in {item.zone for item in board.members.values()} - {own.zone}:
        targets.add(choose_remote_host(board.members, zone, own.host, 0) or own.host)
    targets.discard(own.host)
    left = attrs.evolve(own, sequence=own.sequence + 1, state=MemberState.LEFT)
    set_own_member(gossip, attrs.evolve(left, upstreams=()))
    gossip.own_record_requested_by |= targets
    await asyncio.gather(*(probe_once(gossip, host) for host in targets))
