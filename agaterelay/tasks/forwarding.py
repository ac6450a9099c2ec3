"""Forwarding a call from the outbound proxy's node to the upstream's node.

A call takes at most one such hop.
"""

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
from agaterelay.tasks.inbound import Call


def hop_headers(call: Call, remaining_ms: int) -> list[tuple[str, str]]:
    """Return the headers of a call that is forwarded to the upstream's node.

    Args:
        call: The call.
        remaining_ms: The time left until the call's deadline, in milliseconds.
    """
    headers = [
        *call.headers,
        (HOP_HEADER, "1"),
        (ROUTE_HEADER, call.route),
        (SERVICE_HEADER, call.service),
        (VERSION_HEADER, call.version),
        (PRIORITY_HEADER, call.priority.value),
        (IDEMPOTENT_HEADER, "1" if call.idempotent else "0"),
        (RETRIES_HEADER, str(call.retries_left)),
        (DEADLINE_HEADER, str(remaining_ms)),
        (REQUEST_ID_HEADER, call.request_id),
    ]
    if call.key is not None:
        headers.append((KEY_HEADER, str(call.key)))
    return headers


async def forward_call(
    session: aiohttp.ClientSession, clock: Clock, call: Call, calls_address: str
) -> tuple[Outcome, HttpResponse | None]:
    """Send a call to the inbound proxy on the upstream's host.

    Args:
        session: The HTTP session for connections to other nodes.
        clock: The clock that the call's deadline refers to.
        call: The call.
        calls_address: The address at which the other node accepts calls.

    Returns:
        The outcome, and the node's response or None if there was none.
    """
    now_s = clock.monotonic_s()
    remaining_ms = forwarded_timeout_ms(call.deadline_s, now_s)
    if remaining_ms == 0:
        return _unsent_outcome(call, "the deadline has passed"), None
    try:
        response = await send_once(
            session,
            call.method,
            calls_address,
            call.path,
            call.body,
            hop_headers(call, remaining_ms),
            call.deadline_s - now_s,
        )
    except NotSentError:
        return _unsent_outcome(call, "the upstream's node cannot be reached"), None
    except AnswerLostError as error:
        return Unknown(f"the answer was lost: {error}"), None
    return decode_outcome(response, call.request_id), response


def _unsent_outcome(call: Call, reason: str) -> Outcome:
    return NotRun(reason) if call.key is None else Unknown(reason, sent=False)
