"""Fleet membership: merge the members' own updates and suspicions by others.

Only the host itself writes its member record, and a pair of incarnation and sequence
orders its updates. Other hosts may only suspect a given pair; the host refutes that with a
higher sequence. So a view is a join of member records, the greatest one of each host, and
views that exchange records in any order converge.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum

import attrs

DEAD_MEMBER_RETENTION_S = 600
MAX_TOMBSTONES = 4096
INCARNATION_RANDOM_BITS = 16


class MemberState(IntEnum):
    """The believed state of a host; for the same pair the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class UpstreamInfo:
    """An upstream as announced to the node of its host.

    ``instance`` names one start of the upstream if the platform names starts;
    ``born_ms`` is the time of that start, in milliseconds since 1970.
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
    """One host's member record; ``host`` is the node's address for peers.

    A host that has not joined yet has incarnation 0 and is ignored by other hosts.
    ``age_s`` is the time since a host died or left, as far as is known. ``link_mbps`` is
    the bandwidth of the host's network link, 0 if it is not known.
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
        """The version of the record that the host itself wrote."""
        return (self.incarnation, self.sequence)

    @property
    def order(self) -> tuple[int, int, int]:
        """The sort key for two records of the same host."""
        return (self.incarnation, self.sequence, int(self.state))

    @property
    def usable(self) -> bool:
        """Whether calls may be sent to the host."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


Members = dict[str, Member]

# The last known pairs of removed hosts, the oldest removal first.
Tombstones = dict[str, tuple[int, int]]


def merge_members(
    members: Members, updates: Iterable[Member], tombstones: Mapping[str, object] = {}
) -> tuple[Members, list[Member]]:
    """Merge updates into a view.

    Args:
        members: The view.
        updates: Member records from any source, in any order.
        tombstones: The last known pairs of removed hosts; their records up to that pair
            are ignored.

    Returns:
        The new view, and the records that changed it.
    """
    merged = members
    changed = []
    for update in updates:
        current = merged.get(update.host)
        if not _is_newer(update, current, tombstones):
            continue
        if merged is members:
            merged = dict(members)
        merged[update.host] = update
        changed.append(update)
    return merged, changed


def _is_newer(
    update: Member, current: Member | None, tombstones: Mapping[str, object]
) -> bool:
    if not update.incarnation:
        return False
    if current is not None:
        return supersedes(update, current)
    if update.host in tombstones and update.pair <= tombstones[update.host]:
        return False
    return update.usable or update.age_s < DEAD_MEMBER_RETENTION_S


def supersedes(update: Member, current: Member) -> bool:
    """Return whether a record replaces another one of the same host.

    Records of equal pairs are equal, since only the host writes them; if two hosts ever
    used the same pair, every view would still converge on the same record.
    """
    if update.order != current.order:
        return update.order > current.order
    return update != current and repr(update) > repr(current)


def apply_suspicion(member: Member, state: MemberState) -> Member:
    """Return the record with at least the given state, as another host suspects."""
    return attrs.evolve(member, state=max(state, member.state))


def refute(own: Member, claim: Member) -> Member | None:
    """Return this host's record that overrides a claim about it, None if none is due."""
    if claim.order <= own.order:
        return None
    if claim.incarnation > own.incarnation:
        return attrs.evolve(own, incarnation=claim.incarnation + 1, sequence=0)
    return attrs.evolve(own, sequence=claim.sequence + 1)


def next_incarnation(now_ms: int, predecessor: int, random_bits: int) -> int:
    """Return the incarnation of a starting host.

    It is higher than its predecessor's even if the wall clock is behind, and the random
    part distinguishes two processes that do not know of each other.

    Args:
        now_ms: The wall-clock time in milliseconds since 1970.
        predecessor: The highest known incarnation of the host, 0 if none is known.
        random_bits: A random number of ``INCARNATION_RANDOM_BITS`` bits.
    """
    by_clock = (now_ms << INCARNATION_RANDOM_BITS) | random_bits
    return max(by_clock, predecessor + 1 + random_bits)


def expire_dead_members(
    members: Members,
    tombstones: Tombstones,
    dead_since_s: Mapping[str, float],
    now_s: float,
) -> tuple[Members, Tombstones]:
    """Remove dead and left hosts whose retention time is over; keep tombstones of them.

    Args:
        members: The view.
        tombstones: The existing tombstones.
        dead_since_s: When each of these hosts died or left.
        now_s: The current time.

    Returns:
        The new view and tombstones; the same objects if no host is due.
    """
    due = [
        host
        for host, since_s in dead_since_s.items()
        if host in members
        and not members[host].usable
        and now_s - since_s >= DEAD_MEMBER_RETENTION_S
    ]
    if not due:
        return members, tombstones
    kept_tombstones = {**tombstones, **{host: members[host].pair for host in due}}
    while len(kept_tombstones) > MAX_TOMBSTONES:
        del kept_tombstones[next(iter(kept_tombstones))]
    kept = {host: item for host, item in members.items() if host not in due}
    return kept, kept_tombstones


def find_refutable_claim(
    members: Members, tombstones: Tombstones, host: str
) -> Member | None:
    """Return the claim that a host should refute if it still exists, or None."""
    member = members.get(host)
    if member is not None:
        return None if member.state is MemberState.ALIVE else member
    if host not in tombstones:
        return None
    incarnation, sequence = tombstones[host]
    return Member(
        host=host,
        zone="",
        incarnation=incarnation,
        sequence=sequence,
        state=MemberState.DEAD,
        age_s=DEAD_MEMBER_RETENTION_S,
    )


def zone_hosts(members: Members, zone: str) -> list[str]:
    """Return the hosts of a zone that are eligible for roles, sorted.

    Suspected hosts get no role: a role that two hosts hold does no harm, but one that
    no live host holds would.
    """
    return sorted(
        member.host
        for member in members.values()
        if member.state is MemberState.ALIVE and member.zone == zone
    )
