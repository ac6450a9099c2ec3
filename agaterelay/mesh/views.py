"""Make what two linked nodes know of the fleet the same, by few bytes.

A node that dials or is dialled tells a fingerprint of its view. Where the views differ,
each asks for the entries that do: one other node at a time, of its own availability zone
before others, since a whole view is large and bytes between zones are dear.
"""

from __future__ import annotations

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.fingerprint import find_differing_members, fingerprint
from agaterelay.core.membership import Members
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import MeshState, all_members, in_own_zone
from agaterelay.mesh.wire import member_to_wire

# An answer comes within some milliseconds, and may make further ones needless.
ASK_VIEW_AGAIN_S = 0.2
# How long a node waits for its own zone before it asks another one: a round trip and
# the work of a busy node, far less than any bound on news.
OTHER_ZONE_VIEW_DELAY_S = 0.2
# More than any view has: an answer is never cut short.
MOST_ENTRIES = 1 << 16


def view_of(state: MeshState) -> Members:
    """Return the entries of all known hosts, this one's among them."""
    return {member.host: member for member in all_members(state)}


def compare_views(
    links: Links, connection: FrameConnection, other: list[int], known: int
) -> None:
    """Note where another node's view differs from this one's, and ask for entries.

    Args:
        links: The links.
        connection: Where the other node told it.
        other: The fingerprint of its view.
        known: How many hosts it knows.
    """
    links.unequal[connection] = (tuple(other), known)
    ask_for_entries(links)


def ask_for_entries(links: Links) -> None:
    """Ask one of the nodes whose view differs for the entries that do."""
    state = links.state
    own = fingerprint(view_of(state)) if links.unequal else ()
    for connection, (other, known) in tuple(links.unequal.items()):
        if other == own:
            state.fleet_known |= known > 1
        if other == own or not connection.open:
            del links.unequal[connection]
    if not links.unequal:
        links.unequal_s = None
        return
    now_s = links.context.clock.monotonic_s()
    if links.unequal_s is None:
        links.unequal_s = now_s
    if now_s - links.asked_members_s < ASK_VIEW_AGAIN_S:
        return
    near = [item for item in links.unequal if in_own_zone(state, item.host)]
    waited = now_s - links.unequal_s >= OTHER_ZONE_VIEW_DELAY_S
    # A node that knows nobody yet does not wait.
    if not near and not waited and state.fleet_known:
        return
    chosen = near[0] if near else next(iter(links.unequal))
    del links.unequal[chosen]
    links.asked_members_s = now_s
    chosen.send([Frame.WANT_MEMBERS, list(own)])


def answer_entries(links: Links, connection: FrameConnection, other: list[int]) -> None:
    """Tell a node the entries in which its view differs from this one's."""
    view = view_of(links.state)
    found = find_differing_members(view, tuple(other), 0, MOST_ENTRIES)
    connection.send([Frame.MEMBERS, [member_to_wire(member) for member in found]])
