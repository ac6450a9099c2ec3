"""What nodes tell each other on their links: hosts, moves, orders, revisions.

Whoever dials or is dialled tells its own entry and a fingerprint of its view, by which
the views are made the same (``views.py``). After that a node tells changes of its own, and
what it reads in the store where it watches for its zone. Every ping and answer
carries a revision (``revisions.py``).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.fingerprint import fingerprint
from agaterelay.core.membership import Member
from agaterelay.core.trial import MoveRecord, Order
from agaterelay.events import EventKind
from agaterelay.mesh.link import NEVER_S, Links
from agaterelay.mesh.revisions import note_revision
from agaterelay.mesh.state import (
    Context,
    drop_member,
    in_own_zone,
    revision_of,
    take_member,
    take_move,
    take_order,
)
from agaterelay.mesh.views import compare_views, membership_view
from agaterelay.mesh.wire import (
    decode_member,
    decode_move,
    decode_order,
    encode_member,
    encode_move,
    encode_order,
)


def greet(links: Links, connection: FrameConnection) -> None:
    """Tell a node this host's entry, and by what the views can be compared."""
    view = membership_view(links.state)
    frame = _news_frame(links, [links.state.own], [])
    connection.send([Frame.HELLO, *frame[1:], list(fingerprint(view)), len(view)])


def _news_frame(
    links: Links, members: Iterable[Member], removed: Iterable[tuple[str, int, int]]
) -> list[Any]:
    state = links.state
    return [
        Frame.NEWS,
        state.own.host,
        revision_of(state),
        [encode_member(member) for member in members],
        [encode_move(record) for record in state.moves.values()],
        [encode_order(order) for order in state.orders.values()],
        [list(item) for item in removed],
        state.watching,
    ]


def tell_all(links: Links) -> None:
    """Tell all linked nodes of this host's entry, of all moves and orders."""
    _tell(links, [links.state.own], [], own_zone_only=False)


def tell_zone(
    links: Links, members: Iterable[Member], removed: Iterable[tuple[str, int, int]]
) -> None:
    """Tell the own zone what this node read in the store for all of it.

    Args:
        links: The links.
        members: The hosts whose entries are news.
        removed: The hosts whose rows were removed, with their last pairs.
    """
    _tell(links, members, removed, own_zone_only=True)


def tell_hosts(links: Links, hosts: Iterable[str]) -> None:
    """Tell some hosts of the revision, the moves and the orders that this node knows."""
    frame = _news_frame(links, [], [])
    for host in hosts:
        link = links.links.get(host)
        if link is not None and link.connection is not None:
            link.connection.send(frame)


def _tell(
    links: Links,
    members: Iterable[Member],
    removed: Iterable[tuple[str, int, int]],
    own_zone_only: bool,
) -> None:
    state = links.state
    frame = _news_frame(links, members, removed)
    told = set()
    for link in links.links.values():
        if own_zone_only and not in_own_zone(state, link.host):
            continue
        if link.connection is not None and link.connection.send(frame):
            told.add(link.host)
    for connection in links.accepted:
        host = connection.host
        if host not in told and (not own_zone_only or in_own_zone(state, host)):
            connection.send(frame)


def take_news(links: Links, connection: FrameConnection, frame: list[Any]) -> bool:
    """Take in what another node tells; return whether hosts have changed."""
    _, host, revision, members, moves, orders, removed, watching = frame[:8]
    connection.host = host
    note_watching(links, host, watching)
    changed = take_entries(links, members)
    for gone, incarnation, sequence in removed:
        if gone == links.state.own.host:
            links.state.own_row_lost = True
            links.state.news.set()
        else:
            changed |= drop_member(links.state, gone, (incarnation, sequence))
    for plain in orders:
        if take_order(links.state, decode_order(plain)):
            log_order(links.context, decode_order(plain), f"link {host}")
    now_s = links.context.clock.monotonic_s()
    for plain in moves:
        record = decode_move(plain)
        if take_move(links.state, record, now_s):
            log_move(links.context, record, f"link {host}")
    note_revision(links, connection, revision)
    return changed


def take_hello(links: Links, connection: FrameConnection, frame: list[Any]) -> bool:
    """Take in what a node tells at first; return whether hosts have changed."""
    changed = take_news(links, connection, frame)
    compare_views(links, connection, frame[8], frame[9])
    return changed


def take_entries(links: Links, members: list[Any]) -> bool:
    """Take in hosts' entries as another node holds them; return whether any is news."""
    state = links.state
    state.fleet_known |= len(members) > 1
    changed = False
    for plain in members:
        member = decode_member(plain)
        if member.host == state.own.host:
            _note_older_self(links, member)
        changed |= take_member(state, member)
    return changed


def _note_older_self(links: Links, member: Member) -> None:
    """Begin a higher incarnation where others know a later start of this host."""
    own = links.state.own
    if member.incarnation > own.incarnation:
        links.state.own = attrs.evolve(own, incarnation=member.incarnation + 1)
        links.state.news.set()
        tell_all(links)


def log_move(context: Context, record: MoveRecord, source: str) -> None:
    """Log what this node now believes of a move."""
    context.record(
        EventKind.MOVE_FINISHED if record.final else EventKind.MOVE_STEPPED,
        service=record.service,
        version=record.to_version,
        state=str(record.state),
        reason=record.reason,
        source=source,
    )


def log_order(context: Context, order: Order, source: str) -> None:
    """Log an order that this node has heard of."""
    context.record(
        EventKind.MOVE_ORDERED,
        service=order.service,
        version=order.to_version,
        duration_s=order.duration_s,
        order=order.number,
        source=source,
    )


def note_watching(links: Links, host: str, watching: bool) -> None:
    """Note whether a host says that it watches the store."""
    link = links.links.get(host)
    if link is not None:
        now_s = links.context.clock.monotonic_s()
        link.watching_s = now_s if watching else NEVER_S
