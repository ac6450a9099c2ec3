"""Who is in the fleet: merge what hosts say of themselves and others say of them.

Only the host itself writes its entry: a pair of incarnation and sequence orders its
words. Others may only doubt a given pair; the host refutes with a higher sequence.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import attrs


class MemberState(IntEnum):
    """What is believed of a host; at the same pair the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class UpstreamInfo:
    """An upstream as announced to the node of its host."""

    service: str
    version: str
    address: str
    slots: int
    connections: int = 0
    draining: bool = False


@attrs.frozen
class Member:
    """One host's entry; ``host`` is the node's address for peers."""

    host: str
    zone: str
    incarnation: int
    sequence: int
    state: MemberState = MemberState.ALIVE
    region: str = ""
    calls_address: str = ""
    operators_address: str = ""
    upstreams: tuple[UpstreamInfo, ...] = ()

    @property
    def order(self) -> tuple[int, int, int]:
        """What decides between two entries of the same host."""
        return (self.incarnation, self.sequence, int(self.state))

    @property
    def usable(self) -> bool:
        """Whether work may be sent there."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


Members = dict[str, Member]


def merge(members: Members, updates: Iterable[Member]) -> tuple[Members, list[Member]]:
    """Merge updates into a view.

    Returns:
        The new view, and the entries that changed it.
    """
    merged = dict(members)
    changed = []
    for update in updates:
        current = merged.get(update.host)
        if current is None or update.order > current.order:
            merged[update.host] = update
            changed.append(update)
    return merged, changed


def doubt(member: Member, state: MemberState) -> Member:
    """Return the entry with another host's doubt about the same pair."""
    return attrs.evolve(member, state=max(state, member.state))


def refute(own: Member, claim: Member) -> Member | None:
    """Return this host's answer to a claim about itself, None where none is due."""
    if claim.order <= own.order:
        return None
    if claim.incarnation > own.incarnation:
        return attrs.evolve(own, incarnation=claim.incarnation + 1, sequence=0)
    return attrs.evolve(own, sequence=claim.sequence + 1)


def zone_hosts(members: Members, zone: str) -> list[str]:
    """Return the usable hosts of a zone, sorted."""
    return sorted(
        member.host
        for member in members.values()
        if member.usable and member.zone == zone
    )
