"""Decode the operator's orders of moves, and encode the verdicts on them."""

from __future__ import annotations

import json

from agaterelay.core.model import MoveState
from agaterelay.core.trial import Order
from agaterelay.platform.units import parse_seconds
from agaterelay.ports import StoredRow

OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
ORDER_PREFIX = "rollout/"
_STATES = {MoveState.DONE: "completed", MoveState.REVERTED: "rolled_back"}


def decode_order(row: StoredRow) -> Order | None:
    """Return the order that a row holds, None where it holds none."""
    if row.deleted or not row.key.startswith(ORDER_PREFIX):
        return None
    try:
        tree = json.loads(row.value)
        return Order(
            service=str(tree["service"]),
            to_version=str(tree["to"]),
            duration_s=parse_seconds(tree["duration"]),
            number=row.version,
        )
    except (KeyError, TypeError, ValueError):
        return None


def status_key(service: str) -> str:
    """Return the key of the row in which the operator reads how a move stands."""
    return ORDER_PREFIX + service


def encode_status(state: MoveState, to_version: str) -> bytes:
    """Return how a move stands, as the operator reads it."""
    text = _STATES.get(state, "running")
    return json.dumps({"state": text, "to": to_version}).encode()
