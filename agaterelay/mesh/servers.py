"""The HTTP servers of a deployed node, and its responses to callers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs

from agaterelay.adapters.http_messages import HttpResponse
from agaterelay.adapters.http_server import HttpServer
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMED_OUT_STATUS = 504
_TEXT = ("Content-Type", "text/plain; charset=utf-8")


def response_of(outcome: Outcome, closes: bool = False) -> HttpResponse:
    """Return the HTTP response to a caller for the outcome of its request.

    Args:
        outcome: The outcome of the request.
        closes: Whether the connection is closed after the response.
    """
    if isinstance(outcome, Answered):
        return HttpResponse(outcome.status, outcome.headers, outcome.body, closes)
    headers = (_TEXT,)
    pause_s = 0.0
    status = TIMED_OUT_STATUS if outcome_timed_out(outcome) else UNKNOWN_STATUS
    if isinstance(outcome, NotRun):
        status = NOT_RUN_STATUS
        if outcome.retry_after_s is not None:
            pause_s = max(outcome.retry_after_s, 0.01)
            headers += (("Retry-After", f"{pause_s:.3f}"),)
    body = f"{outcome.reason}\n".encode()
    return HttpResponse(status, headers, body, closes, pause_s)


def outcome_timed_out(outcome: Outcome) -> bool:
    """Return whether the outcome is unknown because the deadline passed."""
    return isinstance(outcome, Unknown) and outcome.timed_out


@attrs.define
class Listening:
    """The HTTP servers that are listening."""

    servers: list[HttpServer] = attrs.field(factory=list)


async def listen(listening: Listening, server: HttpServer, address: str) -> None:
    """Start a server on an address.

    Raises:
        OSError: The address cannot be bound.
    """
    await server.listen(address)
    listening.servers.append(server)


async def stop_listening(listening: Listening, timeout_s: float) -> None:
    """Stop all servers; requests still in flight after ``timeout_s`` are aborted.

    An error of one server is raised once all have stopped.
    """
    ends = await asyncio.gather(
        *(item.stop(timeout_s) for item in listening.servers), return_exceptions=True
    )
    for error in ends:
        if isinstance(error, Exception):
            raise error


def abort_all(servers: Iterable[HttpServer]) -> None:
    """Close all connections of servers at once, as the end of the process does."""
    for server in servers:
        server.abort()
