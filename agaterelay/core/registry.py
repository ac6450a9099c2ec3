"""Peer discovery: one row of the store's table for each availability zone.

A row is a bounded sample of the zone's live hosts. It is a hint and no proof that a host
is alive, so a stale row does no harm: its hosts are asked, and missing replies are ignored.
"""

from __future__ import annotations

import json
import random
from datetime import datetime, timedelta

import attrs

from agaterelay.core.membership import Members, zone_hosts
from agaterelay.core.model import Finding, Place
from agaterelay.core.rendezvous import rank

WRITERS_PER_ZONE = 2
MAX_HOSTS_PER_ROW = 16
MAX_ROW_AGE = timedelta(seconds=30)
MAX_ROW_BYTES = 16 << 10


@attrs.frozen
class RegisteredHost:
    """One host in a row, with its incarnation as the writer knew it."""

    host: str
    incarnation: int


@attrs.frozen
class RegistryRow:
    """The content of one zone's row."""

    zone: str
    written_at: datetime
    hosts: tuple[RegisteredHost, ...] = ()


def row_name(zone: str) -> str:
    """Return the name of a zone's row."""
    return f"registry/{zone}"


def encode_row(row: RegistryRow) -> bytes:
    """Return a row encoded as JSON."""
    hosts = [[item.host, item.incarnation] for item in row.hosts]
    return json.dumps(
        {
            "zone": row.zone,
            "written_ms": int(row.written_at.timestamp() * 1000),
            "hosts": hosts,
        }
    ).encode()


def decode_row(
    value: bytes, name: str, epoch: datetime
) -> tuple[RegistryRow | None, tuple[Finding, ...]]:
    """Decode a row.

    Args:
        value: The row's bytes.
        name: The row's name, for findings.
        epoch: The start of 1970 in UTC.

    Returns:
        The row and no findings, or None and the findings.
    """
    try:
        if len(value) > MAX_ROW_BYTES:
            raise ValueError("the row is larger than the limit")
        content = json.loads(value)
        hosts = tuple(
            RegisteredHost(str(host), int(incarnation))
            for host, incarnation in content["hosts"]
        )
        written_at = epoch + timedelta(milliseconds=int(content["written_ms"]))
        return RegistryRow(str(content["zone"]), written_at, hosts), ()
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        return None, (Finding(Place(name), f"not a registry row: {error}"),)


def make_row(
    members: Members, zone: str, now: datetime, rng: random.Random
) -> RegistryRow:
    """Return a row with a random sample of the hosts in a view of a zone."""
    hosts = zone_hosts(members, zone)
    chosen = sorted(rng.sample(hosts, min(MAX_HOSTS_PER_ROW, len(hosts))))
    sample = tuple(RegisteredHost(host, members[host].incarnation) for host in chosen)
    return RegistryRow(zone, now, sample)


def is_writer(members: Members, zone: str, own: str) -> bool:
    """Return whether a host is one of the writers of its zone's row."""
    hosts = {*zone_hosts(members, zone), own}
    return own in rank(hosts, f"registry {zone}")[:WRITERS_PER_ZONE]


def needs_write(row: RegistryRow | None, members: Members, now: datetime) -> bool:
    """Return whether a zone's row has to be rewritten.

    This is the case if it is missing, old, or dated in the future, or if most of its
    hosts are no longer usable.
    """
    if row is None or abs(now - row.written_at) >= MAX_ROW_AGE:
        return True
    live = [item for item in row.hosts if is_live(members, item.host)]
    return 2 * len(live) < len(row.hosts) or not row.hosts


def is_live(members: Members, host: str) -> bool:
    """Return whether a host is usable according to a view."""
    member = members.get(host)
    return member is not None and member.usable


def find_unusable_hosts(row: RegistryRow, members: Members, own: str) -> list[str]:
    """Return the hosts of a row that are not usable according to a view."""
    return [
        item.host
        for item in row.hosts
        if item.host != own and not is_live(members, item.host)
    ]


def predecessor_incarnation(row: RegistryRow, host: str) -> int:
    """Return the incarnation that a row lists for a host, 0 if it lists none."""
    listed = [item.incarnation for item in row.hosts if item.host == host]
    return max(listed, default=0)
