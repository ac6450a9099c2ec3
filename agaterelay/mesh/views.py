"""Reconcile the membership views of linked nodes by exchanging only differences.

Both ends of a new link send a fingerprint of their view. If the views differ, each node
requests the member records that differ: from one other node at a time, and from its own
availability zone first, since a whole view is large and traffic between zones is costly.
"""

from __future__ import annotations

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.fingerprint import find_differing_members
from agaterelay.core.membership import Members
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import (
    MeshState,
    all_members,
    in_own_zone,
    view_fingerprint,
)
from agaterelay.mesh.wire import encode_member

# An answer takes some milliseconds, and may make further requests unnecessary.
VIEW_REQUEST_INTERVAL_S = 0.2
# How long a node waits for its own zone before it asks another one. This covers a round
# trip to a busy node, and is far shorter than any limit on the spread of a change.
OTHER_ZONE_VIEW_DELAY_S = 0.2
# Larger than any view, so that an answer is never truncated.
MAX_VIEW_MEMBERS = 1 << 16


def membership_view(state: MeshState) -> Members:
    """Return the member records of all known hosts, this one included."""
    return {member.host: member for member in all_members(state)}


def compare_views(
    links: Links,
    connection: FrameConnection,
    other_fingerprint: list[int],
    member_count: int,
) -> None:
    """Store another node's fingerprint, and request members if the views differ.

    Args:
        links: The links.
        connection: The connection to the other node.
        other_fingerprint: The fingerprint of its view.
        member_count: The number of hosts in its view.
    """
    links.differing_views[connection] = (tuple(other_fingerprint), member_count)
    request_differing_members(links)


def request_differing_members(links: Links) -> None:
    """Request the differing member records from one of the nodes whose view differs."""
    state = links.state
    if not links.differing_views:
        links.views_differ_since_s = None
        return
    own_fingerprint = view_fingerprint(state)
    for connection, (other_fingerprint, member_count) in tuple(
        links.differing_views.items()
    ):
        if other_fingerprint == own_fingerprint:
            state.fleet_known |= member_count > 1
        if other_fingerprint == own_fingerprint or not connection.open:
            del links.differing_views[connection]
    if not links.differing_views:
        links.views_differ_since_s = None
        return
    now_s = links.context.clock.monotonic_s()
    if links.views_differ_since_s is None:
        links.views_differ_since_s = now_s
    if now_s - links.members_requested_s < VIEW_REQUEST_INTERVAL_S:
        return
    in_zone = [item for item in links.differing_views if in_own_zone(state, item.host)]
    waited = now_s - links.views_differ_since_s >= OTHER_ZONE_VIEW_DELAY_S
    # A node that knows no other host yet asks another zone at once.
    if not in_zone and not waited and state.fleet_known:
        return
    chosen = in_zone[0] if in_zone else next(iter(links.differing_views))
    del links.differing_views[chosen]
    links.members_requested_s = now_s
    chosen.send([Frame.WANT_MEMBERS, list(own_fingerprint)])


def send_differing_members(
    links: Links, connection: FrameConnection, other_fingerprint: list[int]
) -> None:
    """Send a node the member records in which its view differs from this one."""
    view = membership_view(links.state)
    members = find_differing_members(
        view, tuple(other_fingerprint), 0, MAX_VIEW_MEMBERS
    )
    connection.send([Frame.MEMBERS, [encode_member(member) for member in members]])
