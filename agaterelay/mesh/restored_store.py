"""Go on with a store that came back from an older copy.

The rows that hosts wrote and the copy lacks are written again by those who know them. A
row that is missing in the copy is no sign that anybody removed it.
"""

from __future__ import annotations

from agaterelay.core.checked import DecodeError
from agaterelay.core.store_era import EraChange, compare_era
from agaterelay.core.trial import MoveRecord
from agaterelay.events import EventKind
from agaterelay.mesh.notifications import tell_own_row_lost
from agaterelay.mesh.state import MeshState
from agaterelay.mesh.store_watch import (
    FLEET_TABLE,
    MEMBER_PREFIX,
    MOVE_PREFIX,
    StoreWatch,
    renew_poll,
)
from agaterelay.mesh.wire import decode_member, load_row
from agaterelay.ports import Changes


def admit_era(watch: StoreWatch, era: int | None) -> bool:
    """Note the era of a response; return whether the response may be used."""
    state = watch.state
    change = compare_era(state.store_era, era)
    if change is EraChange.PASSED:
        return False
    if change is EraChange.SAME:
        return True
    if change is EraChange.RESTORED:
        watch.context.record(EventKind.STORE_RESTORED, era=era, before=state.store_era)
        # Versions of the old era say nothing in the new one.
        watch.member_versions.clear()
        watch.own_row_version = 0
        watch.unread_tables |= {watch.formats.table, FLEET_TABLE}
        for table in tuple(watch.open_polls):
            renew_poll(watch, table)
        state.store_restores += 1
    state.store_era = era
    return True


def request_missing_rows(watch: StoreWatch, changes: Changes) -> None:
    """Have the rows that a restored store lacks written again.

    Args:
        watch: The state of the tasks that follow the store.
        changes: The fleet's rows as first read in the new era.
    """
    state = watch.state
    values = {row.key: row.value for row in changes.rows}
    for host, pair in state.tombstones.items():
        if host not in state.members and _is_at_most(values, host, pair):
            watch.revived_rows.add(host)
    for host, member in state.members.items():
        value = values.get(MEMBER_PREFIX + host)
        if value is None:
            watch.missing_rows.add(host)
        else:
            try:
                if decode_member(load_row(value)).pair >= member.pair:
                    continue
            except DecodeError:
                # Another writer's; its host replaces it as before.
                continue
        tell_own_row_lost(watch.links, member)
    if MEMBER_PREFIX + state.own.host not in values:
        # Others hold the record, and no tombstone: it is written as it is.
        watch.own_row_value = None
        state.news.set()
    now_s = watch.context.clock.monotonic_s()
    for service, version in state.moves:
        if f"{MOVE_PREFIX}{service}/{version}" not in values:
            state.unwritten_moves.setdefault((service, version), now_s)


def _is_at_most(values: dict[str, bytes], host: str, pair: tuple[int, int]) -> bool:
    """Return whether there is a row of a host that is not newer than a pair."""
    value = values.get(MEMBER_PREFIX + host)
    if value is None:
        return False
    try:
        return decode_member(load_row(value)).pair <= pair
    except DecodeError:
        return False


def check_stored_move(state: MeshState, stored: MoveRecord, now_s: float) -> None:
    """Note whether the store still has another state of a move than this node.

    Called when the stored state has been applied, so that a difference means that the
    store's is older.

    Does nothing with a store that names no eras.
    """
    if state.store_era is None:
        return
    key = (stored.service, stored.to_version)
    held = state.moves.get(key)
    if held is None or held == stored:
        state.unwritten_moves.pop(key, None)
    else:
        state.unwritten_moves.setdefault(key, now_s)
