"""Which nodes of an availability zone watch the store, and what they tell the others."""

from __future__ import annotations

from collections.abc import Iterable

from agaterelay.core.membership import Member
from agaterelay.core.neighbours import READERS, readers_of
from agaterelay.events import EventKind
from agaterelay.mesh.links import update_links
from agaterelay.mesh.news import tell_hosts, tell_zone
from agaterelay.mesh.state import all_members
from agaterelay.mesh.watch import FLEET_TABLE, Watch

# Long enough that an idle fleet asks little.
FEED_WAIT_S = 8.0
# Others rely on a reader's feed of the operator's rows and look for themselves when it
# says that the store is silent: both have to fit into the time in which a
# configuration is in force everywhere.
COVERING_WAIT_S = 0.8
# How much later than asked the answer to a waiting call may come.
ANSWER_MARGIN_S = 0.4
# How long a reader's word that it watches holds; it gives it once a second.
COVERED_S = 2.5


def tell_standbys(
    watch: Watch,
    members: Iterable[Member],
    removed: Iterable[tuple[str, int, int]],
) -> None:
    """Tell the zone what was read in the store, unless all of it watches itself."""
    if watch.state.standbys:
        tell_zone(watch.links, members, removed)


def tell_revision(watch: Watch) -> None:
    """Tell who relies on this node that it holds a newer configuration, order or move.

    Readers of other zones are told too: where the store is silent to all readers of a
    zone, they are the ones through whom it hears.
    """
    tell_standbys(watch, [], [])
    if covers_others(watch):
        tell_hosts(watch.links, watch.state.far_readers)


def covers_others(watch: Watch) -> bool:
    """Return whether other nodes of the zone rely on this one's feeds."""
    state = watch.state
    return state.standbys and state.own.host in state.readers


def feed_wait_s(watch: Watch, table: str) -> float:
    """Return how long a call for changes of a table waits for one."""
    covering = table == watch.formats.table and covers_others(watch)
    return COVERING_WAIT_S if covering else FEED_WAIT_S


def follow_readers(watch: Watch) -> None:
    """Note which hosts watch the store for this zone, and whether this one does."""
    state = watch.state
    reachable = _reachable_by_zone(watch)
    hosts = reachable.pop(state.own.zone, [])
    readers = readers_of(hosts)
    far_readers = tuple(
        host
        for zone in sorted(reachable)
        for host in readers_of(reachable[zone])[:READERS]
    )
    state.standbys = len(readers) < len(hosts)
    changed = (readers, far_readers) != (state.readers, state.far_readers)
    if changed:
        state.readers, state.far_readers = readers, far_readers
        update_links(watch.links)
    watching = must_watch(watch) and _is_answered(watch)
    if not changed and watching == state.watching:
        return
    told = watching != state.watching
    state.watching = watching
    _log_watch(watch, len(hosts))
    if told:
        tell_standbys(watch, [], [])


def _reachable_by_zone(watch: Watch) -> dict[str, list[Member]]:
    links = watch.links.links
    reachable: dict[str, list[Member]] = {}
    for member in all_members(watch.state):
        linked = member.host not in links or links[member.host].usable
        if member.usable and linked:
            reachable.setdefault(member.zone, []).append(member)
    return reachable


def _is_answered(watch: Watch) -> bool:
    """Return whether the store has answered both feeds, and no answer is overdue."""
    now_s = watch.context.clock.monotonic_s()
    overdue = any(
        now_s > due_s + ANSWER_MARGIN_S for due_s in watch.answer_due_s.values()
    )
    answered = all(table in watch.answered_s for table in _tables(watch))
    return answered and not overdue and not watch.lost


def _log_watch(watch: Watch, reachable: int) -> None:
    now_s = watch.context.clock.monotonic_s()
    watch.context.record(
        EventKind.WATCH_CHANGED,
        watching=watch.state.watching,
        readers=watch.state.readers if watch.state.standbys else "all",
        reachable=reachable,
        lost=sorted(watch.lost),
        answered_ms={
            table: round((now_s - answered_s) * 1000)
            for table, answered_s in watch.answered_s.items()
        },
    )


def _tables(watch: Watch) -> tuple[str, str]:
    return (watch.formats.table, FLEET_TABLE)


def must_watch(watch: Watch) -> bool:
    """Return whether this node waits for the store's changes itself."""
    state = watch.state
    if not state.readers or state.own.host in state.readers or state.table is None:
        return True
    now_s = watch.context.clock.monotonic_s()
    links = watch.links.links
    return not any(
        host in links and now_s - links[host].watching_s < COVERED_S
        for host in state.readers
    )
