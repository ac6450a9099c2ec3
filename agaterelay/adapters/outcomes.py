"""HTTP headers for the outcome of a call, between nodes and towards callers."""

from __future__ import annotations

import math

from agaterelay.adapters.http import HttpResponse
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown

OUTCOME_HEADER = "Agaterelay-Outcome"
REASON_HEADER = "Agaterelay-Reason"
HOP_HEADER = "Agaterelay-Hop"
LOAD_HEADER = "Agaterelay-Load"
BRAKES_HEADER = "Agaterelay-Brakes"
SENT_HEADER = "Agaterelay-Sent"
ROUTE_HEADER = "Agaterelay-Route"
SERVICE_HEADER = "Agaterelay-Service"
VERSION_HEADER = "Agaterelay-Version"
PRIORITY_HEADER = "Agaterelay-Priority"
IDEMPOTENT_HEADER = "Agaterelay-Idempotent"
RETRIES_HEADER = "Agaterelay-Retries-Left"
DEADLINE_HEADER = "Deadline-Ms"
REQUEST_ID_HEADER = "Request-Id"
KEY_HEADER = "Idempotency-Key"
RETRY_AFTER_HEADER = "Retry-After"
_NOT_FORWARDED = frozenset(
    {"content-length", "date", "server", "connection", "request-id",
     OUTCOME_HEADER.lower(), LOAD_HEADER.lower(), BRAKES_HEADER.lower()}
)  # fmt: skip


def refusal_headers(outcome: NotRun | Unknown) -> dict[str, str]:
    """Return the headers for the outcome of a call that was not answered."""
    if isinstance(outcome, NotRun):
        headers = {OUTCOME_HEADER: "not-run", REASON_HEADER: outcome.reason}
        if outcome.retry_after_s:
            headers[RETRY_AFTER_HEADER] = str(math.ceil(outcome.retry_after_s))
        return headers
    headers = {OUTCOME_HEADER: "unknown", REASON_HEADER: outcome.reason}
    if not outcome.sent:
        headers[SENT_HEADER] = "no"
    return headers


def decode_outcome(response: HttpResponse, request_id: str) -> Outcome:
    """Return the outcome that a node's response states.

    It is Unknown if the response belongs to another request or states no outcome.
    """
    headers = response.headers
    if headers.get(REQUEST_ID_HEADER) != request_id:
        return Unknown("the node answered another request")
    kind = headers.get(OUTCOME_HEADER, "")
    reason = headers.get(REASON_HEADER, "")
    if kind == "not-run":
        return NotRun(reason, _parse_seconds(headers.get(RETRY_AFTER_HEADER, "")))
    if kind != "answered":
        reason = reason or "the node did not say what became of the call"
        return Unknown(reason, sent=headers.get(SENT_HEADER) != "no")
    forwarded = tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _NOT_FORWARDED
    )
    return Answered(response.status, forwarded, response.body)


def _parse_seconds(text: str) -> float:
    return float(text) if text.isdecimal() and len(text) < 6 else 0.0
