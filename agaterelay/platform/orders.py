"""Decoding of the operator's orders, and encoding of the status of moves."""

from __future__ import annotations

import json

from agaterelay.core.checked import MALFORMED, check_name, load_json
from agaterelay.core.evacuation import Evacuation
from agaterelay.core.model import MoveState
from agaterelay.core.trial import Order
from agaterelay.platform.units import parse_seconds
from agaterelay.ports import StoredRow

OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
ORDER_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
_STATES = {MoveState.DONE: "completed", MoveState.REVERTED: "rolled_back"}


def decode_order(row: StoredRow) -> Order | None:
    """Return the order in a row, or None if the row holds no valid order."""
    if row.deleted or not row.key.startswith(ORDER_PREFIX):
        return None
    try:
        fields = load_json(row.value)
        return Order(
            service=check_name(fields["service"]),
            to_version=check_name(fields["to"]),
            duration_s=parse_seconds(fields["duration"]),
            number=row.version,
        )
    except MALFORMED:
        return None


def decode_evacuation(row: StoredRow) -> Evacuation | None:
    """Return the evacuation that a row orders or ends, or None for another row.

    The row's value may be anything.
    """
    if not row.key.startswith(EVACUATION_PREFIX):
        return None
    try:
        zone = check_name(row.key.removeprefix(EVACUATION_PREFIX))
    except MALFORMED:
        return None
    return Evacuation(zone, row.version, not row.deleted)


def status_key(service: str) -> str:
    """Return the key of the row that shows a move's status to the operator."""
    return ORDER_PREFIX + service


def encode_status(state: MoveState, to_version: str) -> bytes:
    """Encode a move's status for the operator."""
    text = _STATES.get(state, "running")
    return json.dumps({"state": text, "to": to_version}).encode()
