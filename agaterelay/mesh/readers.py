"""Which nodes of an availability zone watch the store, and what they tell the others."""

from __future__ import annotations

from collections.abc import Iterable

from agaterelay.core.membership import Member
from agaterelay.core.neighbours import READERS, readers_of
from agaterelay.events import EventKind
from agaterelay.mesh.links import follow_members
from agaterelay.mesh.news import tell_zone
from agaterelay.mesh.state import all_members
from agaterelay.mesh.watch import FLEET_TABLE, Watch

# Long enough that an idle fleet asks little, short enough that a feed that has fallen
# silent is noticed while links still bring the news.
FEED_WAIT_S = 8.0
# How much later than asked the answer to a waiting call may come.
ANSWER_MARGIN_S = 1.5
# How long a reader's word that it watches holds; it gives it once a second.
COVERED_S = 2.5


def tell_standbys(
    watch: Watch,
    members: Iterable[Member],
    removed: Iterable[tuple[str, int, int]],
) -> None:
    """Tell the zone what was read in the store, unless all of it watches itself."""
    if len(watch.state.readers) <= READERS:
        tell_zone(watch.links, members, removed)


def follow_readers(watch: Watch) -> None:
    """Note which hosts watch the store for this zone, and whether this one does."""
    state, links = watch.state, watch.links.links
    hosts = [
        member.host
        for member in all_members(state)
        if member.zone == state.own.zone
        and member.usable
        and (member.host not in links or links[member.host].usable)
    ]
    readers = readers_of(hosts)
    changed = readers != state.readers
    if changed:
        state.readers = readers
        follow_members(watch.links)
    now_s = watch.context.clock.monotonic_s()
    answered_s = min(
        (watch.answered_s.get(table, -1e9) for table in _tables(watch)),
        default=-1e9,
    )
    recent = now_s - answered_s < FEED_WAIT_S + ANSWER_MARGIN_S
    watching = must_watch(watch) and recent and not watch.lost
    if changed or watching != state.watching:
        state.watching = watching
        watch.context.record(
            EventKind.WATCH_CHANGED,
            watching=watching,
            readers=readers,
            reachable=len(hosts),
            lost=sorted(watch.lost),
            answered_ms=round((now_s - answered_s) * 1000) if answered_s > 0 else None,
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
