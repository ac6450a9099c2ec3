"""The state that the tasks of a deployed node share; each field has one writer."""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.adapters.log import Recorder
from agaterelay.core.deployment import Deployment
from agaterelay.core.evacuation import Evacuation, apply_evacuation, is_evacuated
from agaterelay.core.fingerprint import fingerprint
from agaterelay.core.membership import Member
from agaterelay.core.model import ColdLimit, MoveState, RouteTable
from agaterelay.core.trial import MoveRecord, Order, choose_versions
from agaterelay.ports import Clock, Store

# Covers the hosts that a large fleet replaces in some days.
MAX_TOMBSTONES = 512
MAX_LEAVING_STARTS = 512


@attrs.define
class NodeContext:
    """The settings, clock, store and event recorder that all tasks of a node share.

    ``deployment`` is replaced when the settings are reloaded.
    """

    deployment: Deployment
    clock: Clock
    store: Store
    record: Recorder


@attrs.define
class MeshState:
    """The shared state of a deployed node.

    ``readers`` are the hosts of the own zone that watch the store, ``other_zone_readers``
    some of the readers of other zones. ``former_readers`` were readers before these, and
    are relied on until the new ones watch. ``has_standbys`` is whether the own zone has hosts
    that rely on readers. ``news`` is set when this host's row has to be written.
    ``leaving_starts`` are the starts of instances that have said in an answer to this
    node that they leave, which keeps it from using one whose own node has forgotten that.
    ``tombstones`` holds the last incarnation and sequence of each removed host.
    ``evacuations`` are the states of zones that the operator has evacuated, also of those
    whose evacuation has ended.
    ``versions`` caches which version serves a service, and ``targets`` which hosts serve
    a version, and ``zone_hosts`` the usable hosts of a zone; all are cleared whenever members, orders or moves change, as is ``view``,
    the fingerprint of all member records together with the own one that it was made of.
    """

    own: Member  # written by the announcements
    members: dict[str, Member] = attrs.field(factory=dict)  # written by the feeds
    table: RouteTable | None = None  # written by the feeds
    orders: dict[str, Order] = attrs.field(factory=dict)  # written by the feeds
    evacuations: dict[str, Evacuation] = attrs.field(factory=dict)
    moves: dict[tuple[str, str], MoveRecord] = attrs.field(factory=dict)
    trial_began_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    braked: set[tuple[str, int]] = attrs.field(factory=set)
    store_up: bool = False  # written by the feeds
    fleet_known: bool = False  # written by the feeds
    watching: bool = False  # written by the feeds
    readers: tuple[str, ...] = ()  # written by the feeds
    former_readers: tuple[str, ...] = ()  # written by the feeds
    other_zone_readers: tuple[str, ...] = ()  # written by the feeds
    has_standbys: bool = False  # written by the feeds
    tombstones: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    leaving_starts: dict[tuple[str, int], None] = attrs.field(factory=dict)
    own_row_lost: bool = False  # written by the links, cleared by member_rows
    stopping: bool = False  # written by the node
    news: asyncio.Event = attrs.field(factory=asyncio.Event)
    versions: dict[str, tuple[str, str | None]] = attrs.field(factory=dict)
    targets: dict[tuple[str, str], list[Member]] = attrs.field(factory=dict)
    zone_hosts: dict[str, list[str]] = attrs.field(factory=dict)
    view: tuple[Member, tuple[int, ...]] | None = None


def revision_of(state: MeshState) -> int:
    """Return the active revision, 0 if there is none."""
    return state.table.revision if state.table else 0


def cold_limit_of(state: MeshState, service: str) -> ColdLimit | None:
    """Return what cold upstreams of a service accept, None if there is no limit."""
    return state.table.cold_limits.get(service) if state.table else None


def clear_derived_caches(state: MeshState) -> None:
    """Clear what was derived from members, orders and moves."""
    state.versions.clear()
    state.targets.clear()
    state.zone_hosts.clear()
    state.view = None


def all_members(state: MeshState) -> list[Member]:
    """Return this host and all others that are known."""
    others = [item for item in state.members.values() if item.host != state.own.host]
    return [state.own, *others]


def hosts_of_zone(state: MeshState, zone: str) -> list[str]:
    """Return the usable hosts of an availability zone, this one included."""
    found = state.zone_hosts.get(zone)
    if found is None:
        members = all_members(state)
        found = [item.host for item in members if item.usable and item.zone == zone]
        state.zone_hosts[zone] = found
    return found


def view_fingerprint(state: MeshState) -> tuple[int, ...]:
    """Return the fingerprint of the member records of all known hosts."""
    if state.view is None or state.view[0] is not state.own:
        members = {item.host: item for item in all_members(state)}
        state.view = (state.own, fingerprint(members))
    return state.view[1]


def in_own_zone(state: MeshState, host: str) -> bool:
    """Return whether a host is known to be in this host's availability zone."""
    member = state.members.get(host)
    return member is not None and member.zone == state.own.zone


def targets_of(state: MeshState, service: str, version: str) -> list[Member]:
    """Return the hosts whose upstream accepts calls for a version of a service.

    Those of evacuated zones are left out.
    """
    key = (service, version)
    found = state.targets.get(key)
    if found is None:
        found = state.targets[key] = [
            member
            for member in all_members(state)
            if member.usable and not is_evacuated(state.evacuations, member.zone)
            for upstream in member.upstreams
            if upstream.service == service
            and upstream.version == version
            and not upstream.draining
            and (upstream.instance, upstream.born_ms) not in state.leaving_starts
        ]
    return found


def record_leaving_start(state: MeshState, instance: str, born_ms: int) -> bool:
    """Record that an instance has said that it leaves; return whether that is news."""
    start = (instance, born_ms)
    if start in state.leaving_starts:
        return False
    state.leaving_starts[start] = None
    while len(state.leaving_starts) > MAX_LEAVING_STARTS:
        del state.leaving_starts[next(iter(state.leaving_starts))]
    state.targets.clear()
    return True


def versions_of(state: MeshState, service: str) -> tuple[str, str | None]:
    """Return the version that serves a service, and the version on trial or None."""
    found = state.versions.get(service)
    if found is None:
        present: dict[str, int] = {}
        for member in all_members(state):
            for upstream in member.upstreams:
                if upstream.service == service:
                    earliest_ms = present.get(upstream.version, upstream.born_ms)
                    present[upstream.version] = min(earliest_ms, upstream.born_ms)
        found = state.versions[service] = choose_versions(
            service, present, state.orders, state.moves.values()
        )
    return found


def apply_order(state: MeshState, order: Order) -> bool:
    """Apply an operator's order; return whether it was newer than the one held."""
    held = state.orders.get(order.service)
    if held is not None and held.number >= order.number:
        return False
    state.orders[order.service] = order
    clear_derived_caches(state)
    return True


def apply_zone_evacuation(state: MeshState, evacuation: Evacuation) -> bool:
    """Apply the state of a zone; return whether its evacuation began or ended."""
    if not apply_evacuation(state.evacuations, evacuation):
        return False
    state.targets.clear()
    return True


def apply_move(
    state: MeshState, record: MoveRecord, now_s: float, stored: bool = False
) -> bool:
    """Apply the state of a move; return whether it changed what was held.

    A verdict is final and never returns to a trial. Of two verdicts on one order the
    stored one is kept.

    Args:
        state: The node's state; changed in place.
        record: The state of the move.
        now_s: The present time on the steady clock, in seconds.
        stored: Whether the record was read from the store.
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
    clear_derived_caches(state)
    return True


def remove_member(state: MeshState, host: str, pair: tuple[int, int]) -> bool:
    """Remove a host whose row was removed; return whether it was a member.

    A tombstone keeps nodes that have not yet received the removal from bringing the
    member back.

    Args:
        state: The node's state; changed in place.
        host: The removed host.
        pair: The incarnation and sequence up to which its records are rejected.
    """
    held = state.members.get(host)
    if held is not None and held.pair > pair:
        return False
    state.tombstones[host] = max(pair, state.tombstones.get(host, (0, 0)))
    while len(state.tombstones) > MAX_TOMBSTONES:
        del state.tombstones[next(iter(state.tombstones))]
    if held is None:
        return False
    del state.members[host]
    clear_derived_caches(state)
    return True


def apply_member(state: MeshState, member: Member) -> bool:
    """Apply a host's member record; return whether it was newer than the one held."""
    if member.host == state.own.host:
        return False
    held = state.members.get(member.host)
    if held is not None and held.pair >= member.pair:
        return False
    if state.tombstones.get(member.host, (0, 0)) >= member.pair:
        return False
    state.members[member.host] = member
    clear_derived_caches(state)
    return True
