"""Gossip owns the node's view of the members.

All changes of the view go through this module: updates in a peer's probe or its answer,
this host's own member record, and suspicions of hosts that do not answer. Each update
is sent with a limited number of probes; ``tasks/probe.py`` chooses the hosts to probe.
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
from agaterelay.tasks.board import Board, NodeContext, RevisionNotification
from agaterelay.tasks.keeper import Keeper, handle_notification

MAX_UPDATES_PER_EXCHANGE = 16
MAX_DIFFERING_PER_REPLY = 128


@attrs.define
class Gossip:
    """The state of gossip: updates to send, suspected hosts, and removed hosts.

    ``predecessor`` is the highest known incarnation of an earlier process on this host.
    ``remaining_sends`` has, by host, how often its record is still to be sent.
    ``records_to_request`` are hosts whose member record is to be requested, and
    ``own_record_requested_by`` hosts that requested the record of this host. Times are
    in seconds on the monotonic clock.
    """

    node_context: NodeContext
    board: Board
    keeper: Keeper
    on_brakes: Callable[[tuple[Brake, ...]], None]
    on_incarnation: Callable[[int], None]
    rng: random.Random = attrs.field(factory=random.Random)
    predecessor: int = 0
    remaining_sends: dict[str, int] = attrs.field(factory=dict)
    suspected_since_s: dict[str, float] = attrs.field(factory=dict)
    dead_since_s: dict[str, float] = attrs.field(factory=dict)
    tombstones: Tombstones = attrs.field(factory=dict)
    records_to_request: set[str] = attrs.field(factory=set)
    own_record_requested_by: set[str] = attrs.field(factory=set)
    last_received_s: float = float("-inf")
    updates_pending: asyncio.Event = attrs.field(factory=asyncio.Event)


def build_exchange(
    gossip: Gossip, to: str, want_all: bool = False, compare: bool = False
) -> Exchange:
    """Return the message to a host for a probe or the answer to one.

    Args:
        gossip: The state of gossip.
        to: The host that receives the message.
        want_all: Whether to request all member records.
        compare: Whether to request the records in which the two views differ.
    """
    board = gossip.board
    own = board.own
    updates = {host: board.members[host] for host in _select_updates(gossip)}
    claim = find_refutable_claim(board.members, gossip.tombstones, to)
    if claim is not None:
        updates[to] = claim
    if to in gossip.own_record_requested_by and own.incarnation:
        updates[own.host] = own
        gossip.own_record_requested_by.discard(to)
    return Exchange(
        stamp=tick(gossip.node_context.timeline),
        sender=own.host,
        pair=own.pair,
        revision=board.held,
        updates=with_death_ages(gossip, updates.values()),
        brakes=tuple(board.brakes.values()),
        want_entry=to in gossip.records_to_request,
        want_all=want_all,
        fingerprint=fingerprint(board.members) if compare else (),
    )


def _select_updates(gossip: Gossip) -> list[str]:
    """Return the hosts whose records to send now, the least often sent first.

    Counts this message as one of the remaining sends.
    """
    chosen = sorted(
        gossip.remaining_sends, key=gossip.remaining_sends.get, reverse=True
    )
    chosen = chosen[:MAX_UPDATES_PER_EXCHANGE]
    for host in chosen:
        gossip.remaining_sends[host] -= 1
        if gossip.remaining_sends[host] <= 0:
            del gossip.remaining_sends[host]
    return [host for host in chosen if host in gossip.board.members]


def with_death_ages(gossip: Gossip, members: object) -> tuple[Member, ...]:
    """Return member records, with the time since their death where hosts are dead."""
    now_s = gossip.node_context.clock.monotonic_s()
    since_s = gossip.dead_since_s
    return tuple(
        attrs.evolve(member, age_s=int(now_s - since_s[member.host]))
        if member.host in since_s and not member.usable
        else member
        for member in members
    )


def handle_exchange(gossip: Gossip, exchange: Exchange) -> Exchange:
    """Handle a peer's probe and return the answer."""
    board = gossip.board
    merge_exchange(gossip, exchange)
    floor = find_floor(gossip.keeper.floors, exchange.sender)
    reply = attrs.evolve(build_exchange(gossip, exchange.sender), floor=floor)
    extra: list[Member] = []
    if exchange.want_all:
        extra = list(board.members.values())
    elif exchange.fingerprint:
        first = gossip.rng.randrange(BUCKET_COUNT)
        extra = find_differing_members(
            board.members, exchange.fingerprint, first, MAX_DIFFERING_PER_REPLY
        )
    if not extra:
        return reply
    updates = {
        item.host: item for item in (*with_death_ages(gossip, extra), *reply.updates)
    }
    return attrs.evolve(reply, updates=tuple(updates.values()))


def merge_exchange(gossip: Gossip, exchange: Exchange) -> None:
    """Merge a peer's message into the state of this node."""
    board = gossip.board
    tick(gossip.node_context.timeline, exchange.stamp)
    gossip.last_received_s = gossip.node_context.clock.monotonic_s()
    merge_updates(gossip, exchange.updates)
    known = board.members.get(exchange.sender)
    if exchange.pair[0] and (known is None or known.pair < exchange.pair):
        gossip.records_to_request.add(exchange.sender)
    else:
        gossip.records_to_request.discard(exchange.sender)
    if exchange.want_entry:
        gossip.own_record_requested_by.add(exchange.sender)
    gossip.on_brakes(exchange.brakes)
    handle_notification(
        gossip.keeper, RevisionNotification(exchange.revision, source=exchange.sender)
    )


def merge_updates(gossip: Gossip, updates: tuple[Member, ...]) -> None:
    """Merge member records into the view; refute suspicions of this host."""
    board = gossip.board
    others = []
    for update in updates:
        if update.host == board.own.host:
            _handle_own_claim(gossip, update)
        else:
            others.append(update)
    members, changed = merge_members(board.members, others, gossip.tombstones)
    board.members = members
    for member in changed:
        _record_change(gossip, member)


def _handle_own_claim(gossip: Gossip, claim: Member) -> None:
    """Handle a claim about this host, or about an earlier process on it."""
    board = gossip.board
    if not board.own.incarnation:
        gossip.predecessor = max(gossip.predecessor, claim.incarnation)
        return
    answer = refute(board.own, claim)
    if answer is None or board.own.state is MemberState.LEFT:
        return
    gossip.node_context.record(EventKind.MEMBER_REFUTED, claim=claim.state.name.lower())
    set_own_member(gossip, answer)


def _record_change(gossip: Gossip, member: Member) -> None:
    now_s = gossip.node_context.clock.monotonic_s()
    host = member.host
    if member.state is MemberState.SUSPECT:
        gossip.suspected_since_s.setdefault(host, now_s)
    else:
        gossip.suspected_since_s.pop(host, None)
    if member.usable:
        gossip.dead_since_s.pop(host, None)
    else:
        gossip.dead_since_s.setdefault(host, now_s - member.age_s)
    _queue_update(gossip, host)
    gossip.node_context.record(
        EventKind.MEMBER_CHANGED,
        member=host,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
        sequence=member.sequence,
    )


def _queue_update(gossip: Gossip, host: str) -> None:
    gossip.remaining_sends[host] = gossip_repeat_count(len(gossip.board.members))
    gossip.updates_pending.set()


def set_own_member(gossip: Gossip, own: Member) -> None:
    """Publish this host's member record, and send it to peers once it has joined."""
    board = gossip.board
    if own.incarnation != board.own.incarnation:
        gossip.on_incarnation(own.incarnation)
    board.own = own
    if own.incarnation:
        board.members = {**board.members, own.host: own}
        _queue_update(gossip, own.host)


def set_upstreams(gossip: Gossip, upstreams: tuple[UpstreamInfo, ...]) -> None:
    """Publish this host's upstreams if they changed."""
    own = gossip.board.own
    if own.upstreams != upstreams and own.state is not MemberState.LEFT:
        changed = attrs.evolve(own, upstreams=upstreams, sequence=own.sequence + 1)
        set_own_member(gossip, changed)


def expire_dead_hosts(gossip: Gossip) -> None:
    """Replace hosts that have been dead for long enough by tombstones."""
    now_s = gossip.node_context.clock.monotonic_s()
    board = gossip.board
    board.members, gossip.tombstones = expire_dead_members(
        board.members, gossip.tombstones, gossip.dead_since_s, now_s
    )
    for host in [item for item in gossip.dead_since_s if item not in board.members]:
        del gossip.dead_since_s[host]
