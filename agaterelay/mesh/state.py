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
from agaterelay.core.store_era import OrderMatch, era_of, match_orders
from agaterelay.core.trial import MoveRecord, Order, choose_versions
from agaterelay.ports import Clock, Store

# Covers the hosts that a large fleet replaces in some days.
MAX_TOMBSTONES = 512
MAX_LEAVING_STARTS = 512
MAX_PAST_ORDERS = 512


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
    ``store_era`` is the highest era of the store received, None if it names none.
    ``store_restores`` counts how often it rose. ``kept_orders`` has the last era in which an
    order was found unchanged in the store, although it is of an earlier one.
    ``past_orders`` has the last number of each order that a later one replaced, and
    ``unwritten_moves`` the moves whose records the store may have lost, with when this was
    noticed.
    ``versions`` caches which version serves a service, ``targets`` which hosts serve a
    version, and ``zone_hosts`` the usable hosts of a zone; all are cleared whenever members,
    orders or moves change, as is ``view``, the fingerprint of all member records together
    with the own one that it was made of.
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
    store_era: int | None = None  # written by the feeds
    store_restores: int = 0  # written by the feeds
    kept_orders: dict[tuple[str, str], int] = attrs.field(factory=dict)
    past_orders: dict[tuple[str, str], int] = attrs.field(factory=dict)
    unwritten_moves: dict[tuple[str, str], float] = attrs.field(factory=dict)
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
    key = (order.service, order.to_version)
    if held is not None and held.to_version == order.to_version:
        match = match_orders(held.number, order.number)
        if match is OrderMatch.COPIED:
            _keep_order(state, key, held.number, order.number)
            return _use_lower_number(state, held, order)
    else:
        known = _known_numbers(state, key)
        copied = [number for number in known if _is_copied(number, order.number)]
        if copied:
            _keep_order(state, key, *copied, order.number)
            # The row of the copy stands for the order as it was numbered first.
            order = attrs.evolve(order, number=min(*copied, order.number))
    if held is not None and held.number >= order.number:
        return False
    lost = _find_lost_number(state, order)
    if lost is not None:
        # The operator has written it again: what is known of it stays true.
        _renumber_move(state, key, lost, order.number)
    if held is not None:
        state.past_orders[held.service, held.to_version] = held.number
        while len(state.past_orders) > MAX_PAST_ORDERS:
            del state.past_orders[next(iter(state.past_orders))]
    state.orders[order.service] = order
    clear_derived_caches(state)
    return True


def apply_zone_evacuation(state: MeshState, evacuation: Evacuation) -> bool:
    """Apply the state of a zone; return whether its evacuation began or ended."""
    if not apply_evacuation(state.evacuations, evacuation):
        return False
    state.targets.clear()
    return True


def _is_copied(held: int, received: int) -> bool:
    return match_orders(held, received) is OrderMatch.COPIED


def _keep_order(state: MeshState, key: tuple[str, str], *numbers: int) -> None:
    """Record that the store still had an order in the latest era of its numbers."""
    state.kept_orders[key] = max(state.kept_orders.get(key, 0), era_of(max(numbers)))
    while len(state.kept_orders) > MAX_PAST_ORDERS:
        del state.kept_orders[next(iter(state.kept_orders))]


def _find_lost_number(state: MeshState, order: Order) -> int | None:
    """Return under which number an order is known that was lost and written again.

    Only the last order of a service can have been lost with its verdict; an earlier one
    of the same version is long decided, and ordered anew.
    """
    era = era_of(order.number)
    key = (order.service, order.to_version)
    held = state.orders.get(order.service)
    numbers = {
        name: record.number
        for name, record in state.moves.items()
        if name[0] == order.service
    }
    for name, number in state.past_orders.items():
        if name[0] == order.service:
            numbers[name] = max(number, numbers.get(name, 0))
    if held is not None:
        name = (held.service, held.to_version)
        numbers[name] = max(held.number, numbers.get(name, 0))
    earlier = {name: item for name, item in numbers.items() if era_of(item) < era}
    last = max(earlier, key=earlier.__getitem__, default=None)
    if last != key or state.kept_orders.get(key) == era:
        return None
    return earlier[key]


def _known_numbers(state: MeshState, key: tuple[str, str]) -> list[int]:
    """Return the numbers under which orders of a service and version are known."""
    record, past = state.moves.get(key), state.past_orders.get(key)
    numbers = [] if record is None else [record.number]
    return numbers if past is None else [*numbers, past]


def _use_lower_number(state: MeshState, held: Order, order: Order) -> bool:
    """Hold an order by the number of the era in which it was written."""
    if order.number > held.number:
        return False
    key = (held.service, held.to_version)
    _renumber_move(state, key, held.number, order.number)
    state.orders[held.service] = attrs.evolve(held, number=order.number)
    clear_derived_caches(state)
    return True


def _renumber_move(
    state: MeshState, key: tuple[str, str], held_number: int, number: int
) -> None:
    """Let what is known of an order's move belong to another number of that order."""
    service = key[0]
    record = state.moves.get(key)
    if record is not None and record.number == held_number:
        state.moves[key] = attrs.evolve(record, number=number)
        # The mover sets the time.
        state.unwritten_moves.setdefault(key, 0.0)
    before = (service, held_number)
    if before in state.trial_began_s:
        state.trial_began_s[service, number] = state.trial_began_s.pop(before)
    if before in state.braked:
        state.braked.discard(before)
        state.braked.add((service, number))


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
    if held is not None and held.number != record.number:
        record = _match_record(state, held, record)
        held = state.moves[key]
    if held is None:
        order = state.orders.get(record.service)
        numbers = _known_numbers(state, key)
        if order is not None and order.to_version == record.to_version:
            numbers.append(order.number)
        copied = [item for item in numbers if _is_copied(item, record.number)]
        record = attrs.evolve(record, number=min([record.number, *copied]))
    _align_order(state, record)
    if held is not None:
        if record.number < held.number or record == held:
            return False
        if record.number == held.number and held.is_final:
            if not (stored and record.is_final):
                return False
    state.moves[key] = record
    if state.store_era is not None and record.is_final:
        state.unwritten_moves.setdefault(key, now_s)
    if record.state is MoveState.STEPPING:
        state.trial_began_s.setdefault((record.service, record.number), now_s)
    clear_derived_caches(state)
    return True


def _match_record(state: MeshState, held: MoveRecord, record: MoveRecord) -> MoveRecord:
    """Return a record with the number that it has beside the one held.

    The number of the held record is changed where that is the one to be replaced.
    """
    match = match_orders(held.number, record.number)
    if match is OrderMatch.COPIED:
        number = min(held.number, record.number)
    elif (
        match is OrderMatch.LATER_ERA
        and _is_current(state, held)
        and state.kept_orders.get((held.service, held.to_version))
        != era_of(record.number)
    ):
        # The order was written again, and another node has begun it anew.
        number = record.number
    else:
        return record
    if held.number != number:
        key = (held.service, held.to_version)
        order = state.orders.get(held.service)
        if order is not None and _is_current(state, held):
            _renumber_move(state, key, order.number, number)
            state.orders[held.service] = attrs.evolve(order, number=number)
        else:
            state.moves[key] = attrs.evolve(held, number=number)
        clear_derived_caches(state)
    return attrs.evolve(record, number=number)


def _is_current(state: MeshState, record: MoveRecord) -> bool:
    """Return whether a record belongs to the order that is held."""
    order = state.orders.get(record.service)
    return (
        order is not None
        and order.to_version == record.to_version
        and order.number == record.number
    )


def _align_order(state: MeshState, record: MoveRecord) -> None:
    """Hold an order by its record's number, if both come from one row."""
    order = state.orders.get(record.service)
    if (
        order is not None
        and order.to_version == record.to_version
        and _is_copied(order.number, record.number)
        and record.number < order.number
    ):
        _use_lower_number(state, order, attrs.evolve(order, number=record.number))


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
