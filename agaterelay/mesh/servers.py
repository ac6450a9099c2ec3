"""The HTTP servers of a deployed node: callers, the upstream's words, readiness."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import hdrs, web
from aiohttp.web_protocol import RequestHandler

from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.mesh.state import MeshState

# Callers use a connection for up to four fifths of the idle limit.
IDLE_MARGIN_S = 2.0
BACKLOG = 1024
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMED_OUT_STATUS = 504
READ_CHUNK_BYTES = 1 << 16

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallersServer(web.Server):
    """An HTTP server whose limits follow the configuration in force."""

    def __init__(self, handler: Handler, state: MeshState) -> None:
        super().__init__(handler, handler_cancellation=True, access_log=None)
        self._state = state

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        table = self._state.table
        limits = table.limits if table else None
        idle_s = limits.idle_timeout_s if limits else 15.0
        header_bytes = limits.max_header_bytes if limits else 16_384
        return RequestHandler(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=idle_s + IDLE_MARGIN_S,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            lingering_time=1.0,
            auto_decompress=False,
        )


async def read_whole(request: web.BaseRequest, max_bytes: int) -> bytes | None:
    """Return a request's body, None where it is larger than the limit."""
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > max_bytes:
        return None
    parts = []
    size_bytes = 0
    async for part in request.content.iter_chunked(READ_CHUNK_BYTES):
        size_bytes += len(part)
        if size_bytes > max_bytes:
            return None
        parts.append(part)
    return b"".join(parts)


def response_of(outcome: Outcome) -> web.Response:
    """Return the HTTP answer that tells a caller how its request ended."""
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
    """Return whether no answer came before the deadline."""
    return isinstance(outcome, Unknown) and outcome.timed_out


@attrs.define
class Listening:
    """The servers that were started."""

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
    """Stop all servers; what is still in flight is cut off after a time."""
    await asyncio.gather(
        *(runner.shutdown() for runner in listening.runners), return_exceptions=True
    )
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.gather(*(runner.cleanup() for runner in listening.runners))
    except TimeoutError:
        return
