"""Decoding of the operator's orders of moves, and encoding of their status."""

from __future__ import annotations

import json

from agaterelay.core.checked import MALFORMED, check_name, load_json
from agaterelay.core.model import MoveState
from agaterelay.core.trial import Order
from agaterelay.platform.units import parse_seconds
from agaterelay.ports import StoredRow

OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
ORDER_PREFIX = "rollout/"
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


def status_key(service: str) -> str:
    """Return the key of the row that shows a move's status to the operator."""
    return ORDER_PREFIX + service


def encode_status(state: MoveState, to_version: str) -> bytes:
    """Encode a move's status for the operator."""
    text = _STATES.get(state, "running")
    return json.dumps({"state": text, "to": to_version}).encode()
