"""The callers' HTTP server: reads requests, writes outcomes."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aiohttp import web

from agaterelay.adapters.outcomes import (
    BRAKES_HEADER,
    DEADLINE_HEADER,
    HOP_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    VERSION_HEADER,
    refusal_headers,
)
from agaterelay.core.brake import encode_brakes
from agaterelay.core.keys import parse_key
from agaterelay.core.membership import MemberState
from agaterelay.core.model import Priority
from agaterelay.core.outcome import Answered, NotRun, Outcome
from agaterelay.core.retry import parse_retries
from agaterelay.core.route_view import encode_view, make_route_view
from agaterelay.tasks.entry import Entry, Request, handle_request, mint_keys
from agaterelay.tasks.owner import Call, run_call

MAX_REQUEST_BYTES = 1 << 20
HTTP_MAJOR_VERSION = 1
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
OWN_PATH = "/agaterelay/v1/"
# Refusals come in floods; the timeline keeps a part of them a second.
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


def _raw_path(request: web.BaseRequest) -> str:
    if request.raw_path.startswith("/"):
        return request.raw_path
    return request.rel_url.raw_path_qs


def _deadline_ms(request: web.BaseRequest) -> int | None:
    text = request.headers.get(DEADLINE_HEADER, "")
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
    headers = refusal_headers(outcome)
    text = f"{headers[OUTCOME_HEADER]}: {outcome.reason}\n"
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


def find_damaged_header(headers: Mapping[str, str]) -> str | None:
    """Return the first header whose value cannot be sent on, None where all can."""
    for name, value in headers.items():
        if value.isascii() and value.isprintable():
            continue
        if not value.replace("\t", " ").isprintable():
            return name if name.isascii() and name.isprintable() else "name"
    return None


async def handle(entry: Entry, request: web.BaseRequest) -> web.StreamResponse:
    """Serve one HTTP request, from a caller or from another node.

    Every answer names the request that it belongs to.
    """
    if request.version.major != HTTP_MAJOR_VERSION:
        return respond(Answered(505, (), b"only HTTP/1 is spoken here\n"))
    damaged = find_damaged_header(request.headers)
    if damaged is not None:
        text = f"the header {damaged} holds bytes that are no text\n"
        return respond(Answered(400, (), text.encode()))
    if request.path.startswith(OWN_PATH):
        return _answer_library(entry, request)
    response = await _serve(entry, request)
    response.headers[REQUEST_ID_HEADER] = request.headers.get(REQUEST_ID_HEADER, "")
    return response


async def _serve(entry: Entry, request: web.BaseRequest) -> web.Response:
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
    response = respond(outcome)
    if entry.board.own.state is MemberState.LEFT:
        response.force_close()
    if HOP_HEADER in request.headers:
        response.headers[LOAD_HEADER] = str(_in_flight(entry, request))
        if entry.board.brakes:
            brakes = entry.board.brakes.values()
            response.headers[BRAKES_HEADER] = encode_brakes(brakes)
    return response


def _answer_library(entry: Entry, request: web.BaseRequest) -> web.Response:
    """Answer what the caller library asks of a node."""
    if request.path == OWN_PATH + "routes" and request.method == "GET":
        return _answer_routes(entry)
    if request.path == OWN_PATH + "keys" and request.method == "POST":
        return _answer_keys(entry, request)
    return web.json_response({"error": "no such resource"}, status=404)


def _answer_routes(entry: Entry) -> web.Response:
    board = entry.board
    if board.active is None or board.stopping:
        return web.json_response({"error": "this node serves nothing"}, status=503)
    view = make_route_view(board.active, board.own, board.members, board.brakes)
    return web.json_response(encode_view(view))


def _answer_keys(entry: Entry, request: web.BaseRequest) -> web.Response:
    method = request.query.get("method", "POST")
    count = request.query.get("count", "1")
    if not count.isdecimal() or len(count) > 3:
        return web.json_response({"error": "count must be a number"}, status=400)
    keys = mint_keys(entry, method, request.query.get("path", ""), int(count))
    if keys is None:
        return web.json_response({"error": "no route"}, status=404)
    return web.json_response({"keys": [str(key) for key in keys]})


def _in_flight(entry: Entry, request: web.BaseRequest) -> int:
    """Return the calls in flight on the upstreams that a hop was for."""
    service = request.headers.get(SERVICE_HEADER, "")
    version = request.headers.get(VERSION_HEADER, "")
    return sum(
        item.in_flight
        for item in entry.owner.slots.values()
        if item.info.service == service and item.info.version == version
    )


def _caller_request(request: web.BaseRequest, body: bytes) -> Request:
    return Request(
        method=request.method,
        path=request.path,
        raw_path=_raw_path(request),
        headers=_kept_headers(request),
        body=body,
        request_id=request.headers.get(REQUEST_ID_HEADER, "")[:128],
        timeout_ms=_deadline_ms(request),
        key=request.headers.get(KEY_HEADER, "")[:256],
        retries_left=request.headers.get(RETRIES_HEADER, ""),
    )


def _hop_call(entry: Entry, request: web.BaseRequest, body: bytes) -> Call:
    headers = request.headers
    bulk = headers.get(PRIORITY_HEADER) == Priority.BULK.value
    left_s = (_deadline_ms(request) or 1) / 1000
    return Call(
        method=request.method,
        path=_raw_path(request),
        headers=_kept_headers(request),
        body=body,
        route=headers.get(ROUTE_HEADER, ""),
        service=headers.get(SERVICE_HEADER, ""),
        version=headers.get(VERSION_HEADER, ""),
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        deadline_s=entry.clock.monotonic_s() + left_s,
        key=parse_key(headers.get(KEY_HEADER, "")),
        idempotent=headers.get(IDEMPOTENT_HEADER) == "1",
        priority=Priority.BULK if bulk else Priority.INTERACTIVE,
        retries_left=parse_retries(headers.get(RETRIES_HEADER, "")),
    )


async def start_calls_server(
    entry: Entry,
    address: str,
    observe: Callable[[web.BaseRequest, web.Response, float], None] = (
        lambda request, response, elapsed_s: None
    ),
) -> web.ServerRunner:
    """Start to serve callers; every response is shown to ``observe``.

    Raises:
        OSError: The address cannot be bound.
    """

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        started_s = entry.clock.monotonic_s()
        response = await handle(entry, request)
        observe(request, response, entry.clock.monotonic_s() - started_s)
        return response

    runner = web.ServerRunner(
        web.Server(serve, handler_cancellation=True, access_log=None)
    )
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port), backlog=512).start()
    return runner
