"""Exchange members, moves, orders and revisions between nodes over their links.

On a new connection both ends send their own member record and a fingerprint of their
view, by which the views are reconciled (``views.py``). After that a node sends its own
changes, and, if it is a reader of its zone, what it reads in the store. Every ping and
its answer carry a revision (``revisions.py``).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

import attrs

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.checked import DecodeError, check_address, check_flag, check_whole
from agaterelay.core.evacuation import Evacuation
from agaterelay.core.membership import Member
from agaterelay.core.trial import MoveRecord, Order
from agaterelay.events import EventKind
from agaterelay.mesh.inbound import apply_upstream_state, treat_as_cold
from agaterelay.mesh.link import NEVER_S, Links
from agaterelay.mesh.revisions import handle_revision
from agaterelay.mesh.state import (
    NodeContext,
    apply_member,
    apply_move,
    apply_order,
    apply_zone_evacuation,
    in_own_zone,
    remove_member,
    revision_of,
    view_fingerprint,
)
from agaterelay.mesh.views import compare_views
from agaterelay.mesh.wire import (
    decode_evacuation,
    decode_member,
    decode_move,
    decode_order,
    decode_removed,
    encode_evacuation,
    encode_member,
    encode_move,
    encode_order,
)

# Limits the log lines on frames that can't be read, which another version may send often.
MAX_LOGGED_REFUSALS = 64
# The number of items of these frames that nodes of earlier builds know. They ignore the
# item that follows, which is there only if an evacuation has been ordered.
NEWS_LENGTH = 8
HELLO_LENGTH = 11

Decoded = TypeVar("Decoded")


def send_hello(links: Links, connection: FrameConnection) -> None:
    """Send this host's member record and the fingerprint and size of its view."""
    state = links.state
    member_count = len(state.members.keys() | {state.own.host})
    frame = _build_news_frame(links, [state.own], [])
    view = list(view_fingerprint(state))
    known, later = frame[1:NEWS_LENGTH], frame[NEWS_LENGTH:]
    evacuations = later[0] if later else []
    # The flags say that this node asks before it starts a call, and that it takes the
    # long body of a call in parts.
    connection.send([Frame.HELLO, *known, view, member_count, True, evacuations, True])


def _build_news_frame(
    links: Links, members: Iterable[Member], removed: Iterable[tuple[str, int, int]]
) -> list[Any]:
    state = links.state
    evacuations = [encode_evacuation(item) for item in state.evacuations.values()]
    return [
        Frame.NEWS,
        state.own.host,
        revision_of(state),
        [encode_member(member) for member in members],
        [encode_move(record) for record in state.moves.values()],
        [encode_order(order) for order in state.orders.values()],
        [list(item) for item in removed],
        state.watching,
        *([evacuations] if evacuations else []),
    ]


def broadcast_own_member(links: Links) -> None:
    """Send this host's member record and all moves and orders to all linked nodes."""
    _broadcast_news(links, [links.state.own], [], own_zone_only=False)


def broadcast_to_zone(
    links: Links, members: Iterable[Member], removed: Iterable[tuple[str, int, int]]
) -> None:
    """Send the nodes of the own zone what this node read in the store.

    Args:
        links: The links of this node.
        members: The members that have changed.
        removed: The host, last incarnation and last sequence of each removed member.
    """
    _broadcast_news(links, members, removed, own_zone_only=True)


def notify_hosts(links: Links, hosts: Iterable[str]) -> None:
    """Send some hosts the revision, the moves and the orders that this node knows."""
    frame = _build_news_frame(links, [], [])
    for host in hosts:
        link = links.links.get(host)
        if link is not None and link.connection is not None:
            link.connection.send(frame)


def tell_own_row_lost(links: Links, member: Member) -> bool:
    """Tell a host that the store lacks its newest row; return whether it was linked."""
    removed = [(member.host, *member.pair)]
    frame = _build_news_frame(links, [], removed)
    link = links.links.get(member.host)
    if link is not None and link.connection is not None:
        return link.connection.send(frame)
    for connection in links.accepted:
        if connection.host == member.host:
            return connection.send(frame)
    return False


def _broadcast_news(
    links: Links,
    members: Iterable[Member],
    removed: Iterable[tuple[str, int, int]],
    own_zone_only: bool,
) -> None:
    state = links.state
    frame = _build_news_frame(links, members, removed)
    broadcast_frame(
        links,
        frame,
        is_wanted=lambda host: not own_zone_only or in_own_zone(state, host),
    )


def broadcast_frame(
    links: Links,
    frame: list[Any],
    skip: FrameConnection | None = None,
    is_wanted: Callable[[str], bool] = lambda host: True,
) -> None:
    """Send a frame once to each linked node.

    Args:
        links: The links of this node.
        frame: The frame.
        skip: The connection over which it came.
        is_wanted: Returns whether a host gets it.
    """
    notified = {skip.host} if skip is not None else set()
    for link in links.links.values():
        if link.host in notified or not is_wanted(link.host):
            continue
        if link.connection is not None and link.connection.send(frame):
            notified.add(link.host)
    for connection in links.accepted:
        if connection.host not in notified and is_wanted(connection.host):
            connection.send(frame)


def handle_news(
    links: Links,
    connection: FrameConnection,
    frame: list[Any],
    known_length: int = NEWS_LENGTH,
) -> bool:
    """Apply another node's changes; return whether the members have changed.

    Args:
        links: The links of this node.
        connection: The connection over which the frame came.
        frame: The frame.
        known_length: The number of items of the frame before the evacuations.
    """
    _, host, revision, members, moves, orders, removed, watching = frame[:NEWS_LENGTH]
    host, revision = check_address(host), check_whole(revision)
    connection.host = host
    record_watching(links, host, check_flag(watching))
    evacuations = frame[known_length] if len(frame) > known_length else []
    for evacuation in _decode_each(links, host, evacuations, decode_evacuation):
        if change_evacuation(links, evacuation, f"link {host}"):
            _pass_evacuations_on(links)
    changed = merge_members(links, members)
    for removed_host, pair in _decode_each(links, host, removed, decode_removed):
        if removed_host == links.state.own.host:
            links.state.own_row_lost = True
            links.state.news.set()
        else:
            changed |= remove_member(links.state, removed_host, pair)
    for order in _decode_each(links, host, orders, decode_order):
        if apply_order(links.state, order):
            log_order(links.context, order, f"link {host}")
    now_s = links.context.clock.monotonic_s()
    for record in _decode_each(links, host, moves, decode_move):
        if apply_move(links.state, record, now_s):
            log_move(links.context, record, f"link {host}")
    handle_revision(links, connection, revision)
    return changed


def _decode_each(
    links: Links, host: str, encoded: list[Any], decode: Callable[[Any], Decoded]
) -> Iterator[Decoded]:
    """Decode the entries that another node sent, and leave out those that are odd."""
    for item in encoded:
        try:
            yield decode(item)
        except DecodeError as error:
            record_refused_frame(links, host, decode.__name__, error)


def handle_hello(links: Links, connection: FrameConnection, frame: list[Any]) -> bool:
    """Handle the first frame of a node; return whether the members have changed."""
    changed = handle_news(links, connection, frame, HELLO_LENGTH)
    compare_views(links, connection, frame[8], frame[9])
    return changed


def merge_members(links: Links, members: list[Any]) -> bool:
    """Merge member records of another node; return whether any was newer."""
    state = links.state
    state.fleet_known |= len(members) > 1
    changed = False
    for member in _decode_each(links, "", members, decode_member):
        if member.host == state.own.host:
            _supersede_later_incarnation(links, member)
        changed |= apply_member(state, member)
    return changed


def _supersede_later_incarnation(links: Links, member: Member) -> None:
    """Raise the own incarnation above a later one that other nodes hold for this host."""
    own = links.state.own
    if member.incarnation > own.incarnation:
        links.state.own = attrs.evolve(own, incarnation=member.incarnation + 1)
        links.state.news.set()
        broadcast_own_member(links)


def change_evacuation(links: Links, evacuation: Evacuation, source: str) -> bool:
    """Apply the state of a zone; return whether its evacuation began or ended.

    At the beginning, calls that wait for an upstream of this host are refused. At the end
    the upstream is cold.
    """
    if not apply_zone_evacuation(links.state, evacuation):
        return False
    links.context.record(
        EventKind.EVACUATION_CHANGED,
        zone=evacuation.zone,
        ordered=evacuation.is_ordered,
        order=evacuation.number,
        source=source,
    )
    if evacuation.zone == links.state.own.zone:
        apply_upstream_state(links.inbound)
        if not evacuation.is_ordered:
            treat_as_cold(links.inbound, "evacuation")
    return True


def _pass_evacuations_on(links: Links) -> None:
    """Notify the own zone if it relies on this node, which may be cut from the store."""
    state = links.state
    if state.has_standbys and state.own.host in (*state.readers, *state.former_readers):
        broadcast_to_zone(links, [], [])


def log_move(context: NodeContext, record: MoveRecord, source: str) -> None:
    """Log the state of a move that this node has applied."""
    context.record(
        EventKind.MOVE_FINISHED if record.is_final else EventKind.MOVE_STEPPED,
        service=record.service,
        version=record.to_version,
        state=str(record.state),
        reason=record.reason,
        source=source,
    )


def log_order(context: NodeContext, order: Order, source: str) -> None:
    """Log an order that this node has applied."""
    context.record(
        EventKind.MOVE_ORDERED,
        service=order.service,
        version=order.to_version,
        duration_s=order.duration_s,
        order=order.number,
        source=source,
    )


def record_watching(links: Links, host: str, watching: bool) -> None:
    """Record whether a host reports that it watches the store."""
    link = links.links.get(host)
    if link is not None:
        now_s = links.context.clock.monotonic_s()
        link.watching_s = now_s if watching else NEVER_S


def record_refused_frame(links: Links, host: str, kind: str, error: Exception) -> None:
    """Log that a message of a kind from a host cannot be read; once for each."""
    if (host, kind) in links.refused or len(links.refused) >= MAX_LOGGED_REFUSALS:
        return
    links.refused.add((host, kind))
    links.context.record(
        EventKind.FRAME_REFUSED,
        peer=host,
        message=kind,
        reason=f"{type(error).__name__}: {error}",
    )
