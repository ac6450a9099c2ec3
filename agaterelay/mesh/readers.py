"""Select the nodes of an availability zone that watch the store for the others.

A long poll that the store has lost looks like one without news until its time-out. Idle
nodes renew their polls at the same moments, so one silence of the store may cost all of
them. A node that others rely on therefore polls for a short time only: a reader of a large
zone, and the lead of a small one, where every node watches. The others learn from it what
their own polls have missed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from agaterelay.core.feed_pacing import feed_wait_s, stand_in_delay_s
from agaterelay.core.membership import Member
from agaterelay.core.neighbours import READER_COUNT, READER_KEY, choose_readers
from agaterelay.core.rendezvous import rank
from agaterelay.events import EventKind
from agaterelay.mesh.link import NEVER_S
from agaterelay.mesh.links import update_links
from agaterelay.mesh.notifications import broadcast_to_zone, notify_hosts
from agaterelay.mesh.state import all_members
from agaterelay.mesh.store_watch import (
    FLEET_TABLE,
    INITIAL_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    StoreWatch,
    renew_poll,
)

# Keeps the request rate of an idle fleet low.
IDLE_LONG_POLL_S = 8.0
# Others rely on a reader's or lead's feed of the operator's rows and watch the store
# themselves once it reports that the store does not answer. Both steps have to fit into the
# time in which a configuration must be in force everywhere; this is the first one's part.
READER_LONG_POLL_RATIO = 0.4
# The lead of a small zone tells the others of what it has read after this delay, as most
# of them have read it themselves by then.
LEAD_NOTICE_DELAY_S = 0.1
# How much later than in its new role the answer to an open poll may be due.
ROLE_CHANGE_MARGIN_S = 0.05
# How late the answer to a long poll may be before the store counts as not answering.
ANSWER_MARGIN_S = 0.4
# A node that has just read both tables leaves it to the readers to report that they watch.
# When many hosts start together, this spares the store two calls of each.
FIRST_CLAIM_WAIT_S = 1.0
# Delays between attempts of a node that is no reader, from the first up to the last. A
# store that refuses the readers and this node too mostly refuses the whole fleet, and the
# readers, which try more often, notify the others once it answers.
STANDBY_RETRY_DELAYS_S = (0.4, 3.2)
# How long a reader's claim to be watching stays valid; it is repeated once a second.
READER_CLAIM_VALID_S = 2.5


def notify_standbys(
    watch: StoreWatch,
    members: Iterable[Member],
    removed: Iterable[tuple[str, int, int]],
) -> None:
    """Broadcast what was read in the store to the own zone if it has standbys.

    Args:
        watch: The state of the tasks that follow the store.
        members: The members that have changed.
        removed: The host, last incarnation and last sequence of each removed member.
    """
    if watch.state.has_standbys:
        broadcast_to_zone(watch.links, members, removed)


def broadcast_revision(watch: StoreWatch) -> None:
    """Notify dependent nodes that this one holds a newer revision, order or move.

    Readers of other zones are notified too: when the store answers no reader of a zone,
    that zone receives changes only through them.
    """
    notify_standbys(watch, [], [])
    if reads_for_standbys(watch):
        notify_hosts(watch.links, watch.state.other_zone_readers)
    if len(watch.state.readers) > 1 and leads_zone(watch):
        asyncio.get_running_loop().call_later(
            LEAD_NOTICE_DELAY_S, broadcast_to_zone, watch.links, [], []
        )


def reads_for_standbys(watch: StoreWatch) -> bool:
    """Return whether other nodes of the zone rely on this one's feeds."""
    state = watch.state
    relied_on = (*state.readers, *state.former_readers)
    return state.has_standbys and state.own.host in relied_on


def leads_zone(watch: StoreWatch) -> bool:
    """Return whether this node is the lead of its small zone.

    That is the first of the zone's hosts, in an order that all agree on, among those that
    have not reported that they cannot watch the store.
    """
    state = watch.state
    if state.has_standbys:
        return False
    for host in state.readers:
        if host == state.own.host:
            return True
        link = watch.links.links.get(host)
        if link is not None and link.watching_s > NEVER_S:
            return False
    return True


def is_relied_on(watch: StoreWatch, table: str) -> bool:
    """Return whether other nodes rely on this one's feed of a table."""
    if table != watch.formats.table:
        return False
    return reads_for_standbys(watch) or leads_zone(watch)


def long_poll_s(watch: StoreWatch, table: str) -> float:
    """Return how long a long poll of a table waits for a change, in seconds."""
    bound_s = watch.context.deployment.bounds.config_apply_s
    longest_s = IDLE_LONG_POLL_S
    if is_relied_on(watch, table):
        longest_s = READER_LONG_POLL_RATIO * bound_s
    return feed_wait_s(watch.answer_time, longest_s)


def renew_long_polls(watch: StoreWatch) -> None:
    """Renew the open polls that wait longer than this node's role now allows."""
    now_s = watch.context.clock.monotonic_s()
    for table in tuple(watch.open_polls):
        longest_s = long_poll_s(watch, table) + watch.answer_time.answer_s
        if watch.answer_due_s[table] - now_s > longest_s + ROLE_CHANGE_MARGIN_S:
            renew_poll(watch, table)


def update_readers(watch: StoreWatch) -> None:
    """Update which hosts watch the store for this zone, and whether this one does."""
    state = watch.state
    reachable = _reachable_by_zone(watch)
    hosts = reachable.pop(state.own.zone, [])
    readers = choose_readers(hosts)
    other_zone_readers = tuple(
        host
        for zone in sorted(reachable)
        for host in choose_readers(reachable[zone])[:READER_COUNT]
    )
    state.has_standbys = len(readers) < len(hosts)
    changed = (readers, other_zone_readers) != (state.readers, state.other_zone_readers)
    _update_former_readers(watch, readers)
    if changed:
        state.readers, state.other_zone_readers = readers, other_zone_readers
        update_links(watch.links)
    renew_long_polls(watch)
    watching = must_watch(watch) and _store_is_answering(watch)
    leading = leads_zone(watch)
    if not changed and (watching, leading) == (state.watching, watch.leading):
        return
    should_notify = watching != state.watching
    state.watching, watch.leading = watching, leading
    _log_watch(watch, len(hosts))
    if should_notify:
        broadcast_to_zone(watch.links, [], [])


def _update_former_readers(watch: StoreWatch, readers: tuple[str, ...]) -> None:
    """Keep relying on the readers so far that still watch, while new ones begin to.

    Called before ``readers`` become the readers.
    """
    state = watch.state
    state.former_readers = tuple(
        host
        for host in dict.fromkeys((*state.readers, *state.former_readers))
        if host not in readers
        and (state.watching if host == state.own.host else _claims(watch, host))
    )


def _claims(watch: StoreWatch, host: str) -> bool:
    """Return whether a host has reported lately that it watches the store."""
    link = watch.links.links.get(host)
    now_s = watch.context.clock.monotonic_s()
    return link is not None and now_s - link.watching_s < READER_CLAIM_VALID_S


def stand_in_wait_s(watch: StoreWatch) -> float:
    """Return how long this node leaves it to others to read in place of the readers."""
    state = watch.state
    if state.table is None or not state.has_standbys or reads_for_standbys(watch):
        return 0.0
    hosts = [
        member.host
        for member in all_members(state)
        if member.zone == state.own.zone and member.host not in state.readers
    ]
    return stand_in_delay_s(rank(hosts, READER_KEY).index(state.own.host))


def retry_delay_s(
    watch: StoreWatch, table: str, previous_s: float, waited_s: float
) -> float:
    """Return the delay before the next attempt on a failing store, in seconds.

    A node that others rely on counts the time in which the store did not answer as part
    of the delay.

    Args:
        watch: The state of the tasks that follow the store.
        table: The table that was read.
        previous_s: The delay before the failed attempt, 0 if it was the first.
        waited_s: How long the failed attempt took.
    """
    state = watch.state
    first_s, longest_s = INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S
    if state.has_standbys and state.own.host not in state.readers:
        first_s, longest_s = STANDBY_RETRY_DELAYS_S
    delay_s = min(max(2 * previous_s, first_s), longest_s)
    if is_relied_on(watch, table):
        return max(delay_s - waited_s, first_s)
    return delay_s


def _reachable_by_zone(watch: StoreWatch) -> dict[str, list[Member]]:
    links = watch.links.links
    reachable: dict[str, list[Member]] = {}
    for member in all_members(watch.state):
        linked = member.host not in links or links[member.host].usable
        if member.usable and linked:
            reachable.setdefault(member.zone, []).append(member)
    return reachable


def _store_is_answering(watch: StoreWatch) -> bool:
    """Return whether the store has answered both feeds, and no answer is overdue."""
    now_s = watch.context.clock.monotonic_s()
    overdue = any(
        now_s > due_s + ANSWER_MARGIN_S for due_s in watch.answer_due_s.values()
    )
    follows_all = watch.followed.issuperset(_tables(watch))
    return follows_all and not overdue and not watch.lost


def has_read_all(watch: StoreWatch) -> bool:
    """Return whether the store has answered a read of both tables."""
    return all(table in watch.answered_s for table in _tables(watch))


def _log_watch(watch: StoreWatch, reachable: int) -> None:
    now_s = watch.context.clock.monotonic_s()
    watch.context.record(
        EventKind.WATCH_CHANGED,
        watching=watch.state.watching,
        leading=watch.leading,
        readers=watch.state.readers if watch.state.has_standbys else "all",
        reachable=reachable,
        lost=sorted(watch.lost),
        answered_ms={
            table: round((now_s - answered_s) * 1000)
            for table, answered_s in watch.answered_s.items()
        },
    )


def _tables(watch: StoreWatch) -> tuple[str, str]:
    return (watch.formats.table, FLEET_TABLE)


def must_watch(watch: StoreWatch) -> bool:
    """Return whether this node waits for the store's changes itself."""
    state = watch.state
    if not state.readers or state.own.host in state.readers or state.table is None:
        return True
    now_s = watch.context.clock.monotonic_s()
    if now_s < watch.read_s + FIRST_CLAIM_WAIT_S:
        return False
    relied_on = state.readers
    # A former reader watches until a new one does, so it relies on no other former one.
    if state.own.host not in state.former_readers:
        relied_on += state.former_readers
    return not any(_claims(watch, host) for host in relied_on)
