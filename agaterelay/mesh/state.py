"""What the tasks of a deployed node publish to each other; one writer a field."""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.adapters.log import Recorder
from agaterelay.core.deployment import Deployment
from agaterelay.core.membership import Member
from agaterelay.core.model import MoveState, RouteTable
from agaterelay.core.trial import MoveRecord, Order, choose_versions
from agaterelay.ports import Clock, Store

# As many removed hosts are remembered as a large fleet replaces in some days.
MAX_BURIED = 512


@attrs.define
class Context:
    """The ports and settings that all tasks use.

    ``deployment`` is replaced when the settings are read again.
    """

    deployment: Deployment
    clock: Clock
    store: Store
    record: Recorder


@attrs.define
class MeshState:
    """The published state of a deployed node.

    ``readers`` are the hosts of the own zone that watch the store, ``far_readers`` some of
    other zones; ``standbys`` is whether the own zone has hosts that rely on readers.
    ``versions`` caches which version serves a service; it is dropped whenever what it
    was worked out from changes.
    """

    own: Member  # written by the announcements
    members: dict[str, Member] = attrs.field(factory=dict)  # written by the feeds
    table: RouteTable | None = None  # written by the feeds
    orders: dict[str, Order] = attrs.field(factory=dict)  # written by the feeds
    moves: dict[tuple[str, str], MoveRecord] = attrs.field(factory=dict)
    trial_began_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    braked: set[tuple[str, int]] = attrs.field(factory=set)
    store_up: bool = False  # written by the feeds
    fleet_known: bool = False  # written by the feeds
    watching: bool = False  # written by the feeds
    readers: tuple[str, ...] = ()  # written by the feeds
    far_readers: tuple[str, ...] = ()  # written by the feeds
    standbys: bool = False  # written by the feeds
    buried: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    own_row_lost: bool = False  # written by the links, cleared by own_row
    stopping: bool = False  # written by the node
    news: asyncio.Event = attrs.field(factory=asyncio.Event)
    versions: dict[str, tuple[str, str | None]] = attrs.field(factory=dict)
    targets: dict[tuple[str, str], list[Member]] = attrs.field(factory=dict)


def revision_of(state: MeshState) -> int:
    """Return the revision in force, 0 without any."""
    return state.table.revision if state.table else 0


def forget_derived(state: MeshState) -> None:
    """Drop what was worked out from members, orders and moves."""
    state.versions.clear()
    state.targets.clear()


def all_members(state: MeshState) -> list[Member]:
    """Return this host and all others that are known."""
    others = [item for item in state.members.values() if item.host != state.own.host]
    return [state.own, *others]


def in_own_zone(state: MeshState, host: str) -> bool:
    """Return whether a host is known to be in this host's availability zone."""
    member = state.members.get(host)
    return member is not None and member.zone == state.own.zone


def targets_of(state: MeshState, service: str, version: str) -> list[Member]:
    """Return the hosts whose upstream takes calls for a version of a service."""
    key = (service, version)
    found = state.targets.get(key)
    if found is None:
        found = state.targets[key] = [
            member
            for member in all_members(state)
            if member.usable
            for upstream in member.upstreams
            if upstream.service == service
            and upstream.version == version
            and not upstream.draining
        ]
    return found


def versions_of(state: MeshState, service: str) -> tuple[str, str | None]:
    """Return the version that serves a service, and the one on trial or None."""
    found = state.versions.get(service)
    if found is None:
        present: dict[str, int] = {}
        for member in all_members(state):
            for upstream in member.upstreams:
                if upstream.service == service:
                    first_ms = present.get(upstream.version, upstream.born_ms)
                    present[upstream.version] = min(first_ms, upstream.born_ms)
        found = state.versions[service] = choose_versions(
            service, present, state.orders, state.moves.values()
        )
    return found


def take_order(state: MeshState, order: Order) -> bool:
    """Take in an operator's order; return whether it is news."""
    held = state.orders.get(order.service)
    if held is not None and held.number >= order.number:
        return False
    state.orders[order.service] = order
    forget_derived(state)
    return True


def take_move(
    state: MeshState, record: MoveRecord, now_s: float, stored: bool = False
) -> bool:
    """Take in how far a move has come; return whether it is news.

    A verdict is final: nothing brings a trial back. Of two verdicts on one order the
    stored one holds.
    """
    key = (record.service, record.to_version)
    held = state.moves.get(key)
    if held is not None:
        if record.number < held.number or record == held:
            return False
        if record.number == held.number and held.is_final:
            if not (stored and record.is_final):
                return False
    state.moves[key] = record
    if record.state is MoveState.STEPPING:
        state.trial_began_s.setdefault((record.service, record.number), now_s)
    forget_derived(state)
    return True


def drop_member(state: MeshState, host: str, pair: tuple[int, int]) -> bool:
    """Forget a host whose row was removed; return whether it was known.

    Its entry up to the given incarnation and sequence is not taken back from others
    that have not heard of the removal.
    """
    held = state.members.get(host)
    if held is not None and held.pair > pair:
        return False
    state.buried[host] = max(pair, state.buried.get(host, (0, 0)))
    while len(state.buried) > MAX_BURIED:
        del state.buried[next(iter(state.buried))]
    if held is None:
        return False
    del state.members[host]
    forget_derived(state)
    return True


def take_member(state: MeshState, member: Member) -> bool:
    """Take in what a host said of itself; return whether it is news."""
    if member.host == state.own.host:
        return False
    held = state.members.get(member.host)
    if held is not None and held.pair >= member.pair:
        return False
    if state.buried.get(member.host, (0, 0)) >= member.pair:
        return False
    state.members[member.host] = member
    forget_derived(state)
    return True
