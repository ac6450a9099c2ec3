"""Gossip owns the node's view of the fleet.

Everything that changes the view goes through here: what peers say with a probe or its
answer, this host's own entry, and doubts about hosts that do not answer. News travels
with the probes for a while; who probes whom is in ``tasks/probe.py``.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from agaterelay.core.fingerprint import (
    BUCKET_COUNT,
    find_differing_members,
    fingerprint,
)
from agaterelay.core.floors import find_floor
from agaterelay.core.membership import (
    Member,
    MemberState,
    Tombstones,
    UpstreamInfo,
    expire_dead_members,
    find_refutable_claim,
    merge_members,
    refute,
)
from agaterelay.core.messages import Brake, Exchange
from agaterelay.core.probing import gossip_repeat_count
from agaterelay.core.timeline import tick
from agaterelay.events import EventKind
from agaterelay.tasks.board import Board, Seen, World
from agaterelay.tasks.keeper import Keeper, post

UPDATES_PER_EXCHANGE = 16
DIFFERING_PER_REPLY = 128


@attrs.define
class Gossip:
    """The view's state: what to pass on, whom to doubt, and whom to forget.

    ``predecessor`` is the highest incarnation that was heard of an earlier process on
    this host. ``wanting`` are hosts whose entry is to be asked for, ``owed`` those
    that asked for this host's entry. Times are monotonic, in seconds.
    """

    world: World
    board: Board
    keeper: Keeper
    on_brakes: Callable[[tuple[Brake, ...]], None]
    on_incarnation: Callable[[int], None]
    draw: random.Random = attrs.field(factory=random.Random)
    predecessor: int = 0
    repeats: dict[str, int] = attrs.field(factory=dict)
    suspected_s: dict[str, float] = attrs.field(factory=dict)
    dead_since_s: dict[str, float] = attrs.field(factory=dict)
    tombstones: Tombstones = attrs.field(factory=dict)
    wanting: set[str] = attrs.field(factory=set)
    owed: set[str] = attrs.field(factory=set)
    last_received_s: float = float("-inf")
    news: asyncio.Event = attrs.field(factory=asyncio.Event)


def own_exchange(
    gossip: Gossip, to: str, want_all: bool = False, compare: bool = False
) -> Exchange:
    """Return what this host says to another one in a probe or an answer.

    Args:
        gossip: The view's state.
        to: The host that it is for.
        want_all: Whether to ask for the whole view.
        compare: Whether to ask for what the views differ in.
    """
    board = gossip.board
    own = board.own
    updates = {host: board.members[host] for host in _take_news(gossip)}
    claim = find_refutable_claim(board.members, gossip.tombstones, to)
    if claim is not None:
        updates[to] = claim
    if to in gossip.owed and own.incarnation:
        updates[own.host] = own
        gossip.owed.discard(to)
    return Exchange(
        stamp=tick(gossip.world.timeline),
        sender=own.host,
        pair=own.pair,
        revision=board.held,
        updates=with_ages(gossip, updates.values()),
        brakes=tuple(board.brakes.values()),
        want_entry=to in gossip.wanting,
        want_all=want_all,
        fingerprint=fingerprint(board.members) if compare else (),
    )


def _take_news(gossip: Gossip) -> list[str]:
    """Return the hosts whose entries are news still, the least repeated first."""
    chosen = sorted(gossip.repeats, key=gossip.repeats.get, reverse=True)
    chosen = chosen[:UPDATES_PER_EXCHANGE]
    for host in chosen:
        gossip.repeats[host] -= 1
        if gossip.repeats[host] <= 0:
            del gossip.repeats[host]
    return [host for host in chosen if host in gossip.board.members]


def with_ages(gossip: Gossip, members: object) -> tuple[Member, ...]:
    """Return entries with the ages of their tombstones filled in."""
    now_s = gossip.world.clock.monotonic_s()
    since_s = gossip.dead_since_s
    return tuple(
        attrs.evolve(member, age_s=int(now_s - since_s[member.host]))
        if member.host in since_s and not member.usable
        else member
        for member in members
    )


def serve_exchange(gossip: Gossip, exchange: Exchange) -> Exchange:
    """Answer a peer's probe."""
    board = gossip.board
    take_exchange(gossip, exchange)
    floor = find_floor(gossip.keeper.floors, exchange.sender)
    reply = attrs.evolve(own_exchange(gossip, exchange.sender), floor=floor)
    extra: list[Member] = []
    if exchange.want_all:
        extra = list(board.members.values())
    elif exchange.fingerprint:
        first = gossip.draw.randrange(BUCKET_COUNT)
        extra = find_differing_members(
            board.members, exchange.fingerprint, first, DIFFERING_PER_REPLY
        )
    if not extra:
        return reply
    updates = {item.host: item for item in (*with_ages(gossip, extra), *reply.updates)}
    return attrs.evolve(reply, updates=tuple(updates.values()))


def take_exchange(gossip: Gossip, exchange: Exchange) -> None:
    """Take in what a peer said."""
    board = gossip.board
    tick(gossip.world.timeline, exchange.stamp)
    gossip.last_received_s = gossip.world.clock.monotonic_s()
    take_updates(gossip, exchange.updates)
    known = board.members.get(exchange.sender)
    if exchange.pair[0] and (known is None or known.pair < exchange.pair):
        gossip.wanting.add(exchange.sender)
    else:
        gossip.wanting.discard(exchange.sender)
    if exchange.want_entry:
        gossip.owed.add(exchange.sender)
    gossip.on_brakes(exchange.brakes)
    post(gossip.keeper, Seen(exchange.revision, source=exchange.sender))


def take_updates(gossip: Gossip, updates: tuple[Member, ...]) -> None:
    """Merge entries into the view; refute doubts about this host."""
    board = gossip.board
    others = []
    for update in updates:
        if update.host == board.own.host:
            _hear_of_self(gossip, update)
        else:
            others.append(update)
    members, changed = merge_members(board.members, others, gossip.tombstones)
    board.members = members
    for member in changed:
        _note_change(gossip, member)


def _hear_of_self(gossip: Gossip, claim: Member) -> None:
    """Take in what others say of this host, or of an earlier process on it."""
    board = gossip.board
    if not board.own.incarnation:
        gossip.predecessor = max(gossip.predecessor, claim.incarnation)
        return
    answer = refute(board.own, claim)
    if answer is None or board.own.state is MemberState.LEFT:
        return
    gossip.world.record(EventKind.MEMBER_REFUTED, claim=claim.state.name.lower())
    set_own(gossip, answer)


def _note_change(gossip: Gossip, member: Member) -> None:
    now_s = gossip.world.clock.monotonic_s()
    host = member.host
    if member.state is MemberState.SUSPECT:
        gossip.suspected_s.setdefault(host, now_s)
    else:
        gossip.suspected_s.pop(host, None)
    if member.usable:
        gossip.dead_since_s.pop(host, None)
    else:
        gossip.dead_since_s.setdefault(host, now_s - member.age_s)
    _pass_on(gossip, host)
    gossip.world.record(
        EventKind.MEMBER_CHANGED,
        member=host,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
        sequence=member.sequence,
    )


def _pass_on(gossip: Gossip, host: str) -> None:
    gossip.repeats[host] = gossip_repeat_count(len(gossip.board.members))
    gossip.news.set()


def set_own(gossip: Gossip, own: Member) -> None:
    """Publish this host's own entry and pass it on, once the host has joined."""
    board = gossip.board
    if own.incarnation != board.own.incarnation:
        gossip.on_incarnation(own.incarnation)
    board.own = own
    if own.incarnation:
        board.members = {**board.members, own.host: own}
        _pass_on(gossip, own.host)


def set_upstreams(gossip: Gossip, upstreams: tuple[UpstreamInfo, ...]) -> None:
    """Publish this host's upstreams where they changed."""
    own = gossip.board.own
    if own.upstreams != upstreams and own.state is not MemberState.LEFT:
        changed = attrs.evolve(own, upstreams=upstreams, sequence=own.sequence + 1)
        set_own(gossip, changed)


def drop_tombstones(gossip: Gossip) -> None:
    """Forget hosts that were dead for long enough."""
    now_s = gossip.world.clock.monotonic_s()
    board = gossip.board
    board.members, gossip.tombstones = expire_dead_members(
        board.members, gossip.tombstones, gossip.dead_since_s, now_s
    )
    for host in [item for item in gossip.dead_since_s if item not in board.members]:
        del gossip.dead_since_s[host]
