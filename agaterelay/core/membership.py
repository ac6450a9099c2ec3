"""Who is in the fleet: merge what hosts say of themselves and others say of them.

Only the host itself writes its entry: a pair of incarnation and sequence orders its
words. Others may only doubt a given pair; the host refutes with a higher sequence.
So a view is a join of entries, the greater one of each host, and views that exchange
entries in any order end up the same.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum

import attrs

TOMBSTONE_S = 600
MAX_BURIED = 4096
INCARNATION_RANDOM_BITS = 16


class MemberState(IntEnum):
    """What is believed of a host; at the same pair the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class UpstreamInfo:
    """An upstream as announced to the node of its host.

    ``instance`` names one start of it where the platform gives starts names;
    ``born_ms`` is that start, in milliseconds since 1970.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int = 0
    draining: bool = False
    instance: str = ""
    born_ms: int = 0


@attrs.frozen
class Member:
    """One host's entry; ``host`` is the node's address for peers.

    A host that has not joined yet has incarnation 0 and counts nowhere. ``age_s`` is
    for how long a dead or left host has been so, as far as is known. ``link_mbps`` is
    what the host's network link carries, 0 where it is not known.
    """

    host: str
    zone: str
    incarnation: int
    sequence: int
    state: MemberState = MemberState.ALIVE
    region: str = ""
    calls_address: str = ""
    operators_address: str = ""
    upstreams: tuple[UpstreamInfo, ...] = ()
    age_s: int = attrs.field(default=0, eq=False)
    link_mbps: int = 0

    @property
    def pair(self) -> tuple[int, int]:
        """What the host itself orders its words by."""
        return (self.incarnation, self.sequence)

    @property
    def order(self) -> tuple[int, int, int]:
        """What decides between two entries of the same host."""
        return (self.incarnation, self.sequence, int(self.state))

    @property
    def usable(self) -> bool:
        """Whether work may be sent there."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


Members = dict[str, Member]

# The last pair of hosts whose tombstones were dropped, the oldest burial first.
Buried = dict[str, tuple[int, int]]


def merge(
    members: Members, updates: Iterable[Member], buried: Mapping[str, object] = {}
) -> tuple[Members, list[Member]]:
    """Merge updates into a view.

    Args:
        members: The view.
        updates: Entries from anywhere, in any order.
        buried: The last pairs of hosts that were dropped; their entries up to that
            pair are not taken back.

    Returns:
        The new view, and the entries that changed it.
    """
    merged = members
    changed = []
    for update in updates:
        current = merged.get(update.host)
        if not _is_news(update, current, buried):
            continue
        if merged is members:
            merged = dict(members)
        merged[update.host] = update
        changed.append(update)
    return merged, changed


def _is_news(
    update: Member, current: Member | None, buried: Mapping[str, object]
) -> bool:
    if not update.incarnation:
        return False
    if current is not None:
        return supersedes(update, current)
    if update.host in buried and update.pair <= buried[update.host]:
        return False
    return update.usable or update.age_s < TOMBSTONE_S


def supersedes(update: Member, current: Member) -> bool:
    """Return whether an entry takes the place of another one of the same host.

    Equal pairs hold equal words, since only the host writes them; should two hosts
    ever claim one pair, every view still settles on the same one of them.
    """
    if update.order != current.order:
        return update.order > current.order
    return update != current and repr(update) > repr(current)


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


def next_incarnation(now_ms: int, predecessor: int, random_bits: int) -> int:
    """Return the incarnation that a starting host takes.

    It is above its predecessor's also where the wall clock is behind, and the random
    part keeps two processes apart that know nothing of each other.

    Args:
        now_ms: The wall time in milliseconds since 1970.
        predecessor: The highest incarnation known of the host, 0 where none is.
        random_bits: A random number of ``INCARNATION_RANDOM_BITS`` bits.
    """
    by_clock = (now_ms << INCARNATION_RANDOM_BITS) | random_bits
    return max(by_clock, predecessor + 1 + random_bits)


def bury(
    members: Members, buried: Buried, dead_since_s: Mapping[str, float], now_s: float
) -> tuple[Members, Buried]:
    """Drop tombstones that were kept long enough; remember their pairs.

    Args:
        members: The view.
        buried: The pairs remembered so far.
        dead_since_s: When each dead or left host became so.
        now_s: The present time.

    Returns:
        The new view, and the pairs to remember; the same objects where nothing is due.
    """
    due = [
        host
        for host, since_s in dead_since_s.items()
        if host in members
        and not members[host].usable
        and now_s - since_s >= TOMBSTONE_S
    ]
    if not due:
        return members, buried
    pairs = {**buried, **{host: members[host].pair for host in due}}
    while len(pairs) > MAX_BURIED:
        del pairs[next(iter(pairs))]
    kept = {host: item for host, item in members.items() if host not in due}
    return kept, pairs


def claim_about(members: Members, buried: Buried, host: str) -> Member | None:
    """Return what a host should refute where it still exists, None where nothing."""
    member = members.get(host)
    if member is not None:
        return None if member.state is MemberState.ALIVE else member
    if host not in buried:
        return None
    incarnation, sequence = buried[host]
    return Member(
        host=host,
        zone="",
        incarnation=incarnation,
        sequence=sequence,
        state=MemberState.DEAD,
        age_s=TOMBSTONE_S,
    )


def zone_hosts(members: Members, zone: str) -> list[str]:
    """Return the hosts of a zone that roles are given to, sorted.

    Hosts in doubt have no role: two holders of a role do no harm, none would.
    """
    return sorted(
        member.host
        for member in members.values()
        if member.state is MemberState.ALIVE and member.zone == zone
    )
