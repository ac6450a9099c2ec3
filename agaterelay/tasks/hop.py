"""The one hop that a call may take: from the entry's node to the upstream's."""

from __future__ import annotations

import aiohttp

from agaterelay.adapters.http import (
    AnswerLostError,
    HttpResponse,
    NotSentError,
    send_once,
)
from agaterelay.adapters.outcomes import (
    DEADLINE_HEADER,
    HOP_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    VERSION_HEADER,
    decode_outcome,
)
from agaterelay.core.outcome import NotRun, Outcome, Unknown
from agaterelay.core.retry import forwarded_timeout_ms
from agaterelay.ports import Clock
from agaterelay.tasks.owner import Call


def hop_headers(call: Call, left_ms: int) -> list[tuple[str, str]]:
    """Return the headers of a call on its way to the owner of an upstream."""
    headers = [
        *call.headers,
        (HOP_HEADER, "1"),
        (ROUTE_HEADER, call.route),
        (SERVICE_HEADER, call.service),
        (VERSION_HEADER, call.version),
        (PRIORITY_HEADER, call.priority.value),
        (IDEMPOTENT_HEADER, "1" if call.idempotent else "0"),
        (RETRIES_HEADER, str(call.retries_left)),
        (DEADLINE_HEADER, str(left_ms)),
        (REQUEST_ID_HEADER, call.request_id),
    ]
    if call.key is not None:
        headers.append((KEY_HEADER, str(call.key)))
    return headers


async def forward(
    session: aiohttp.ClientSession, clock: Clock, call: Call, calls_address: str
) -> tuple[Outcome, HttpResponse | None]:
    """Send a call to the node that owns the upstream.

    Args:
        session: The connections to other nodes.
        clock: The clock that the call's deadline is on.
        call: The call.
        calls_address: The callers' address of the other node.

    Returns:
        How the call ended, and the node's answer where there was one.
    """
    now_s = clock.monotonic_s()
    left_ms = forwarded_timeout_ms(call.deadline_s, now_s)
    if left_ms == 0:
        return _not_sent(call, "the deadline has passed"), None
    try:
        answer = await send_once(
            session,
            call.method,
            calls_address,
            call.path,
            call.body,
            hop_headers(call, left_ms),
            call.deadline_s - now_s,
        )
    except NotSentError:
        return _not_sent(call, "the upstream's node cannot be reached"), None
    except AnswerLostError as error:
        return Unknown(f"the answer was lost: {error}"), None
    return decode_outcome(answer, call.request_id), answer


def _not_sent(call: Call, reason: str) -> Outcome:
    return NotRun(reason) if call.key is None else Unknown(reason, sent=False)
