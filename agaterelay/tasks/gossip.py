"""Gossip owns the node's view of the fleet.

Once a period it probes one host of its zone, round robin in random order, and
sometimes one of another zone. Updates travel with the probes. A host that answers
neither directly nor through others is suspected, and declared dead after a while
unless it refutes that.
"""

from __future__ import annotations

import asyncio
import random

import attrs

from agaterelay.core.floors import recall
from agaterelay.core.membership import (
    Member,
    MemberState,
    UpstreamInfo,
    doubt,
    merge,
    refute,
    zone_hosts,
)
from agaterelay.core.messages import Exchange
from agaterelay.core.timeline import Stamp, tick
from agaterelay.events import EventKind
from agaterelay.ports import PeerError
from agaterelay.tasks.board import Board, Seen, World
from agaterelay.tasks.keeper import Keeper, post

SUSPICION_PERIODS = 4
INDIRECT_PROBES = 2
UPDATES_PER_EXCHANGE = 16
UPDATE_REPEATS = 6
FAR_PROBE_PERIODS = 3


@attrs.define
class Gossip:
    """The view's state: what to pass on, and whom to doubt."""

    world: World
    board: Board
    keeper: Keeper
    on_brakes: object
    repeats: dict[str, int] = attrs.field(factory=dict)
    suspected_s: dict[str, float] = attrs.field(factory=dict)
    round: list[str] = attrs.field(factory=list)
    periods: int = 0


def own_exchange(gossip: Gossip, want_all: bool = False, floor: int = 0) -> Exchange:
    """Return what this host says in a probe or an answer."""
    board = gossip.board
    chosen = sorted(gossip.repeats, key=gossip.repeats.get, reverse=True)
    chosen = chosen[:UPDATES_PER_EXCHANGE]
    for host in chosen:
        gossip.repeats[host] -= 1
        if gossip.repeats[host] <= 0:
            del gossip.repeats[host]
    updates = tuple(board.members[host] for host in chosen if host in board.members)
    return Exchange(
        stamp=tick(gossip.world.timeline),
        sender=board.own,
        revision=board.held,
        updates=updates,
        brakes=tuple(board.brakes.values()),
        want_all=want_all,
        floor=floor,
    )


def serve_exchange(gossip: Gossip, exchange: Exchange) -> Exchange:
    """Answer a peer's probe."""
    take_exchange(gossip, exchange)
    floor = recall(gossip.keeper.floors, exchange.sender.host)
    reply = own_exchange(gossip, floor=floor)
    if exchange.want_all:
        return attrs.evolve(reply, updates=tuple(gossip.board.members.values()))
    return reply


def take_exchange(gossip: Gossip, exchange: Exchange) -> None:
    """Take in what a peer said."""
    tick(gossip.world.timeline, exchange.stamp)
    take_updates(gossip, (exchange.sender, *exchange.updates))
    gossip.on_brakes(exchange.brakes)
    post(gossip.keeper, Seen(exchange.revision, source=exchange.sender.host))


def take_updates(gossip: Gossip, updates: tuple[Member, ...]) -> None:
    """Merge entries into the view; refute doubts about this host."""
    board = gossip.board
    others = []
    for update in updates:
        if update.host != board.own.host:
            others.append(update)
            continue
        answer = refute(board.own, update)
        if answer is not None and not board.stopping:
            set_own(gossip, answer)
    members, changed = merge(board.members, others)
    board.members = members
    for member in changed:
        gossip.repeats[member.host] = UPDATE_REPEATS
        _note_change(gossip, member)


def _note_change(gossip: Gossip, member: Member) -> None:
    if member.state is MemberState.SUSPECT:
        now_s = gossip.world.clock.monotonic_s()
        gossip.suspected_s.setdefault(member.host, now_s)
    else:
        gossip.suspected_s.pop(member.host, None)
    gossip.world.record(
        EventKind.MEMBER_CHANGED,
        member=member.host,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
        sequence=member.sequence,
    )


def set_own(gossip: Gossip, own: Member) -> None:
    """Publish this host's own entry and pass it on."""
    board = gossip.board
    board.own = own
    board.members = {**board.members, own.host: own}
    gossip.repeats[own.host] = UPDATE_REPEATS


def set_upstreams(gossip: Gossip, upstreams: tuple[UpstreamInfo, ...]) -> None:
    """Publish this host's upstreams where they changed."""
    own = gossip.board.own
    if own.upstreams != upstreams:
        changed = attrs.evolve(own, upstreams=upstreams, sequence=own.sequence + 1)
        set_own(gossip, changed)


async def run_gossip(gossip: Gossip) -> None:
    """Join, then probe once a period until cancelled."""
    await join(gossip)
    while True:
        period_s = gossip.world.settings.probe_period_s
        await gossip.world.clock.sleep(period_s * random.uniform(0.9, 1.1))
        gossip.periods += 1
        target = next_target(gossip)
        if target is not None:
            await probe(gossip, target)
        elif len(gossip.board.members) <= 1:
            await join(gossip)
        if gossip.periods % FAR_PROBE_PERIODS == 0:
            await probe_far(gossip)
        expire_suspects(gossip)


async def join(gossip: Gossip) -> None:
    """Ask the seeds for their whole view."""
    for seed in gossip.world.settings.seeds:
        if seed == gossip.board.own.host:
            continue
        try:
            exchange = own_exchange(gossip, want_all=True)
            take_exchange(gossip, await gossip.world.peers.exchange(seed, exchange))
        except PeerError:
            continue


def next_target(gossip: Gossip) -> str | None:
    """Return the next host of the zone to probe."""
    board = gossip.board
    if not gossip.round:
        hosts = zone_hosts(board.members, gossip.world.settings.zone)
        gossip.round = [host for host in hosts if host != board.own.host]
        random.shuffle(gossip.round)
    while gossip.round:
        host = gossip.round.pop()
        member = board.members.get(host)
        if member is not None and member.usable:
            return host
    return None


async def probe(gossip: Gossip, host: str) -> None:
    """Probe a host, directly and then through others; suspect it on silence."""
    if await probe_once(gossip, host):
        return
    hosts = zone_hosts(gossip.board.members, gossip.world.settings.zone)
    helpers = [item for item in hosts if item not in (host, gossip.board.own.host)]
    helpers = random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
    answers = await asyncio.gather(
        *(gossip.world.peers.probe_for(helper, host) for helper in helpers),
        return_exceptions=True,
    )
    member = gossip.board.members.get(host)
    if member is not None and not any(answer is True for answer in answers):
        take_updates(gossip, (doubt(member, MemberState.SUSPECT),))


async def probe_once(gossip: Gossip, host: str) -> bool:
    """Exchange views with a host; return whether it answered."""
    try:
        reply = await gossip.world.peers.exchange(host, own_exchange(gossip))
    except PeerError:
        return False
    take_exchange(gossip, reply)
    return True


async def probe_far(gossip: Gossip) -> None:
    """Exchange views with a host of another zone, or with a seed that was lost."""
    board = gossip.board
    far = [
        member.host
        for member in board.members.values()
        if member.usable and member.zone != gossip.world.settings.zone
    ]
    lost = [
        seed
        for seed in gossip.world.settings.seeds
        if seed != board.own.host
        and (seed not in board.members or not board.members[seed].usable)
    ]
    for hosts in (far, lost):
        if hosts:
            await probe_once(gossip, random.choice(hosts))


def expire_suspects(gossip: Gossip) -> None:
    """Declare hosts dead that were suspected for long enough."""
    now_s = gossip.world.clock.monotonic_s()
    timeout_s = SUSPICION_PERIODS * gossip.world.settings.probe_period_s
    for host, since_s in list(gossip.suspected_s.items()):
        member = gossip.board.members.get(host)
        if member is not None and now_s - since_s >= timeout_s:
            take_updates(gossip, (doubt(member, MemberState.DEAD),))


async def serve_probe_for(gossip: Gossip, host: str) -> bool:
    """Probe a host for a peer."""
    return await probe_once(gossip, host)


async def leave(gossip: Gossip) -> None:
    """Tell a few hosts that this one leaves."""
    own = gossip.board.own
    set_own(
        gossip,
        attrs.evolve(
            own, sequence=own.sequence + 1, state=MemberState.LEFT, upstreams=()
        ),
    )
    others = [
        member.host
        for member in gossip.board.members.values()
        if member.usable and member.host != own.host
    ]
    chosen = random.sample(others, min(3, len(others)))
    await asyncio.gather(*(probe_once(gossip, host) for host in chosen))


__all__ = ["Gossip", "Stamp", "run_gossip"]
