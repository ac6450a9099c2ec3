"""The callers' HTTP server: reads requests, writes outcomes."""

from __future__ import annotations

import math

from aiohttp import web

from agaterelay.core.brake import encode_brakes
from agaterelay.core.keys import parse_key
from agaterelay.core.membership import MemberState
from agaterelay.core.outcome import Answered, NotRun, Outcome
from agaterelay.events import EventKind
from agaterelay.tasks.entry import (
    BRAKES_HEADER,
    HOP_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    Entry,
    Request,
    handle_request,
)
from agaterelay.tasks.owner import Call, run_call

MAX_REQUEST_BYTES = 1 << 20
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
_OWN_HEADERS = frozenset(
    {"host", "connection", "content-length", "transfer-encoding", "request-id",
     "idempotency-key", "deadline-ms", "keep-alive", "expect", "upgrade", "te",
     "trailer", "accept-encoding"}
)  # fmt: skip


def _kept_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _OWN_HEADERS
        and not name.lower().startswith("agaterelay-")
    )


def _deadline_ms(request: web.BaseRequest) -> int | None:
    text = request.headers.get("Deadline-Ms", "")
    return int(text) if text.isdecimal() and len(text) < 10 else None


def respond(outcome: Outcome) -> web.Response:
    """Return the HTTP answer that tells a caller how the call ended."""
    if isinstance(outcome, Answered):
        response = web.Response(status=outcome.status, body=outcome.body)
        for name, value in outcome.headers:
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)
        response.headers[OUTCOME_HEADER] = "answered"
        return response
    not_run = isinstance(outcome, NotRun)
    status = NOT_RUN_STATUS if not_run else UNKNOWN_STATUS
    kind = "not-run" if not_run else "unknown"
    headers = {OUTCOME_HEADER: kind, REASON_HEADER: outcome.reason}
    if not_run and outcome.retry_after_s:
        headers["Retry-After"] = str(math.ceil(outcome.retry_after_s))
    text = f"{kind}: {outcome.reason}\n"
    return web.Response(status=status, headers=headers, text=text)


async def read_body(request: web.BaseRequest) -> bytes | None:
    """Return a request's whole body, None where it is too large."""
    chunks = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > MAX_REQUEST_BYTES:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


async def handle(entry: Entry, request: web.BaseRequest) -> web.StreamResponse:
    """Serve one HTTP request, from a caller or from another node."""
    if (request.content_length or 0) > MAX_REQUEST_BYTES:
        return respond(Answered(413, (), b"the request is too large\n"))
    entry.owner.in_flight += 1
    try:
        body = await read_body(request)
        if body is None:
            return respond(Answered(413, (), b"the request is too large\n"))
        if HOP_HEADER in request.headers:
            outcome = await run_call(entry.owner, _hop_call(entry, request, body))
        else:
            outcome = await handle_request(entry, _caller_request(request, body))
    finally:
        entry.owner.in_flight -= 1
    _note(entry, request, outcome)
    response = respond(outcome)
    if entry.board.own.state is MemberState.LEFT:
        response.force_close()
    if HOP_HEADER in request.headers:
        response.headers[LOAD_HEADER] = str(_in_flight(entry, request))
        if entry.board.brakes:
            brakes = entry.board.brakes.values()
            response.headers[BRAKES_HEADER] = encode_brakes(brakes)
    return response


def _in_flight(entry: Entry, request: web.BaseRequest) -> int:
    """Return the calls in flight on the upstreams that a hop was for."""
    service = request.headers.get("Agaterelay-Service", "")
    version = request.headers.get("Agaterelay-Version", "")
    return sum(
        item.in_flight
        for item in entry.owner.slots.values()
        if item.info.service == service and item.info.version == version
    )


def _note(entry: Entry, request: web.BaseRequest, outcome: Outcome) -> None:
    if isinstance(outcome, Answered):
        return
    not_run = isinstance(outcome, NotRun)
    entry.world.record(
        EventKind.CALL_NOT_RUN if not_run else EventKind.CALL_UNKNOWN,
        request_id=request.headers.get("Request-Id", ""),
        path=request.path,
        reason=outcome.reason,
    )


def _caller_request(request: web.BaseRequest, body: bytes) -> Request:
    return Request(
        method=request.method,
        path=request.path,
        query=request.query_string,
        headers=_kept_headers(request),
        body=body,
        request_id=request.headers.get("Request-Id", "")[:128],
        timeout_ms=_deadline_ms(request),
        key=request.headers.get("Idempotency-Key", "")[:256],
    )


def _hop_call(entry: Entry, request: web.BaseRequest, body: bytes) -> Call:
    headers = request.headers
    path = request.path
    if request.query_string:
        path += f"?{request.query_string}"
    left_s = (_deadline_ms(request) or 1) / 1000
    return Call(
        method=request.method,
        path=path,
        headers=_kept_headers(request),
        body=body,
        route=headers.get("Agaterelay-Route", ""),
        service=headers.get("Agaterelay-Service", ""),
        version=headers.get("Agaterelay-Version", ""),
        request_id=headers.get("Request-Id", ""),
        deadline_s=entry.world.clock.monotonic_s() + left_s,
        key=parse_key(headers.get("Idempotency-Key", "")),
    )


async def start_calls_server(entry: Entry, address: str) -> web.ServerRunner:
    """Start to serve callers.

    Raises:
        OSError: The address cannot be bound.
    """

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        return await handle(entry, request)

    runner = web.ServerRunner(web.Server(serve, access_log=None))
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port), backlog=512).start()
    return runner
