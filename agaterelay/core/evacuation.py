"""Keep which availability zones the operator has evacuated.

Nothing is sent to the upstreams of an evacuated zone. What is known comes from the store
and from other nodes in any order, so the version of the store decides which is newest. The
end of an evacuation is kept too, as a node that missed it may still tell of the beginning.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

# Far above the number of zones of a deployment; bounds what odd rows and messages cost.
MAX_ZONES = 64


@attrs.frozen
class Evacuation:
    """The state of a zone as of a version of the store.

    ``number`` is the version of the row, or a version at which there was no row.
    """

    zone: str
    number: int
    is_ordered: bool


Evacuations = dict[str, Evacuation]


def apply_evacuation(held: Evacuations, evacuation: Evacuation) -> bool:
    """Apply the state of a zone; return whether the zone's evacuation began or ended.

    Args:
        held: The states known by zone; changed in place.
        evacuation: The state.
    """
    zone = evacuation.zone
    before = held.get(zone)
    if before is not None and before.number >= evacuation.number:
        return False
    if before is None and not evacuation.is_ordered:
        return False
    if before is None and len(held) >= MAX_ZONES and not _drop_ended(held):
        return False
    held[zone] = evacuation
    return before is None or before.is_ordered != evacuation.is_ordered


def _drop_ended(held: Evacuations) -> bool:
    """Drop the evacuation that ended first; return whether there was one."""
    ended = [item for item in held.values() if not item.is_ordered]
    if not ended:
        return False
    del held[min(ended, key=lambda item: item.number).zone]
    return True


def find_missed_ends(
    held: Evacuations, present: Iterable[str], version: int
) -> list[Evacuation]:
    """Return the ends of evacuations that a full read of the store shows.

    Args:
        held: The states known by zone.
        present: The zones whose rows were read.
        version: The version of the store that was read.
    """
    zones = set(present)
    return [
        Evacuation(item.zone, version, False)
        for item in held.values()
        if item.is_ordered and item.zone not in zones and item.number < version
    ]


def is_evacuated(held: Evacuations, zone: str) -> bool:
    """Return whether a zone is evacuated."""
    evacuation = held.get(zone)
    return evacuation is not None and evacuation.is_ordered
