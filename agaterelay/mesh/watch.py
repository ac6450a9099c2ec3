"""What the tasks that follow the platform's store hold in common."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from agaterelay.core.model import Finding, RouteTable
from agaterelay.core.trial import Order
from agaterelay.events import EventKind
from agaterelay.mesh.link import Links
from agaterelay.mesh.state import Context, MeshState
from agaterelay.ports import StoredRow

FLEET_TABLE = "agaterelay"
MEMBER_PREFIX = "member/"
MOVE_PREFIX = "move/"
# What is refused or not answered is tried again after this, doubled up to the second.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8


@attrs.frozen
class OperatorFormat:
    """How the operator's rows look; the platform's adapter knows."""

    table: str
    config_key: str
    decode_config: Callable[[bytes], tuple[RouteTable | None, tuple[Finding, ...]]]
    decode_order: Callable[[StoredRow], Order | None]


@attrs.define
class Watch:
    """What the watching tasks hold.

    ``row_version`` is the version of this host's row as last read or written.
    ``answered_s`` and ``answer_due_s`` say for each table when the store last answered,
    and until when it is to answer the call that is open.
    """

    context: Context
    state: MeshState
    links: Links
    formats: OperatorFormat
    row_version: int = 0
    row_value: bytes | None = None
    member_versions: dict[str, int] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    answered_s: dict[str, float] = attrs.field(factory=dict)
    answer_due_s: dict[str, float] = attrs.field(factory=dict)


def note_lost(watch: Watch, table: str, reason: str) -> None:
    """Note that the store did not answer; log it where it did before."""
    if table not in watch.lost:
        watch.lost.add(table)
        watch.context.record(EventKind.PLATFORM_LOST, table=table, reason=reason)
    watch.state.store_up = False


def note_back(watch: Watch, table: str) -> None:
    """Note that the store answers; log it where it did not before."""
    if table in watch.lost:
        watch.lost.discard(table)
        watch.context.record(EventKind.PLATFORM_BACK, table=table)
    watch.state.store_up = not watch.lost
