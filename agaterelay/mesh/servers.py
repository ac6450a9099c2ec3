"""The HTTP servers of a deployed node, and its responses to callers."""

from __future__ import annotations

import asyncio

import attrs
from aiohttp import hdrs, web

from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown

BACKLOG = 1024
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMED_OUT_STATUS = 504


def response_of(outcome: Outcome) -> web.Response:
    """Return the HTTP response to a caller for the outcome of its request."""
    if isinstance(outcome, Answered):
        response = web.Response(status=outcome.status, body=outcome.body)
        for name, value in outcome.headers:
            if name.lower() == "content-type":
                response.headers[hdrs.CONTENT_TYPE] = value
            else:
                response.headers.add(name, value)
        return response
    headers = {}
    status = TIMED_OUT_STATUS if outcome_timed_out(outcome) else UNKNOWN_STATUS
    if isinstance(outcome, NotRun):
        status = NOT_RUN_STATUS
        headers["Retry-After"] = f"{max(outcome.retry_after_s, 0.01):.3f}"
    return web.Response(status=status, headers=headers, text=f"{outcome.reason}\n")


def outcome_timed_out(outcome: Outcome) -> bool:
    """Return whether the outcome is unknown because the deadline passed."""
    return isinstance(outcome, Unknown) and outcome.timed_out


@attrs.define
class Listening:
    """The HTTP servers that are listening."""

    runners: list[web.ServerRunner] = attrs.field(factory=list)


async def listen(listening: Listening, server: web.Server, address: str) -> None:
    """Start a server on an address.

    Raises:
        OSError: The address cannot be bound.
    """
    runner = web.ServerRunner(server)
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    listening.runners.append(runner)


async def stop_listening(listening: Listening, timeout_s: float) -> None:
    """Stop all servers; requests still in flight after ``timeout_s`` are aborted."""
    await asyncio.gather(
        *(runner.shutdown() for runner in listening.runners), return_exceptions=True
    )
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.gather(*(runner.cleanup() for runner in listening.runners))
    except TimeoutError:
        return
