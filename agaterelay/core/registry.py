"""The registry: one row of the table for each availability zone, to find peers by.

A row is a bounded sample of the zone's live hosts. It is a hint and never proof that a
host lives, so a stale row does no harm: its hosts are asked, and silence is ignored.
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
MAX_SAMPLE = 16
FRESH = timedelta(seconds=30)
MAX_ROW_BYTES = 16 << 10


@attrs.frozen
class Listing:
    """One host in a row, with the incarnation that the writer knew."""

    host: str
    incarnation: int


@attrs.frozen
class RegistryRow:
    """What one zone's row says."""

    zone: str
    written_at: datetime
    hosts: tuple[Listing, ...] = ()


def row_name(zone: str) -> str:
    """Return the name of a zone's row."""
    return f"registry/{zone}"


def encode_row(row: RegistryRow) -> bytes:
    """Return a row as bytes."""
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
    """Read a row.

    Args:
        value: The row's bytes.
        name: The row's name, for findings.
        epoch: The start of 1970 in UTC.

    Returns:
        The row and no findings, or None and what is wrong with it.
    """
    try:
        if len(value) > MAX_ROW_BYTES:
            raise ValueError("the row is too large")
        content = json.loads(value)
        hosts = tuple(Listing(str(host), int(pair)) for host, pair in content["hosts"])
        written_at = epoch + timedelta(milliseconds=int(content["written_ms"]))
        return RegistryRow(str(content["zone"]), written_at, hosts), ()
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        return None, (Finding(Place(name), f"not a registry row: {error}"),)


def sample_row(
    members: Members, zone: str, now: datetime, draw: random.Random
) -> RegistryRow:
    """Return the row that a host writes of its view of a zone."""
    hosts = zone_hosts(members, zone)
    chosen = sorted(draw.sample(hosts, min(MAX_SAMPLE, len(hosts))))
    listings = tuple(Listing(host, members[host].incarnation) for host in chosen)
    return RegistryRow(zone, now, listings)


def is_writer(members: Members, zone: str, own: str) -> bool:
    """Return whether it is a host's turn to write its zone's row."""
    hosts = {*zone_hosts(members, zone), own}
    return own in rank(hosts, f"registry {zone}")[:WRITERS_PER_ZONE]


def needs_write(row: RegistryRow | None, members: Members, now: datetime) -> bool:
    """Return whether a zone's row is to be written anew.

    That is so where it is missing or old, from the future, or where most of its
    hosts do not live any more.
    """
    if row is None or abs(now - row.written_at) >= FRESH:
        return True
    live = [item for item in row.hosts if is_live(members, item.host)]
    return 2 * len(live) < len(row.hosts) or not row.hosts


def is_live(members: Members, host: str) -> bool:
    """Return whether a view takes a host to be usable."""
    member = members.get(host)
    return member is not None and member.usable


def strangers(row: RegistryRow, members: Members, own: str) -> list[str]:
    """Return the hosts of a row that a view does not take to be usable."""
    return [
        item.host
        for item in row.hosts
        if item.host != own and not is_live(members, item.host)
    ]


def predecessor_incarnation(row: RegistryRow, host: str) -> int:
    """Return the incarnation that a row lists for a host, 0 where it lists none."""
    listed = [item.incarnation for item in row.hosts if item.host == host]
    return max(listed, default=0)
