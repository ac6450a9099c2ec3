"""The HTTP server for callers and for calls that other nodes forward."""

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
from agaterelay.tasks.inbound import Call, run_call
from agaterelay.tasks.outbound import Outbound, Request, handle_request, mint_keys

MAX_REQUEST_BYTES = 1 << 20
HTTP_MAJOR_VERSION = 1
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
OWN_PATH = "/agaterelay/v1/"
# Headers that the node consumes or sets itself, and therefore does not forward.
_RESERVED_HEADERS = frozenset(
    {"host", "connection", "content-length", "transfer-encoding", "request-id",
     "idempotency-key", "deadline-ms", "keep-alive", "expect", "upgrade", "te",
     "trailer", "accept-encoding"}
)  # fmt: skip


def _forwarded_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _RESERVED_HEADERS
        and not name.lower().startswith("agaterelay-")
    )


def _raw_path(request: web.BaseRequest) -> str:
    if request.raw_path.startswith("/"):
        return request.raw_path
    return request.rel_url.raw_path_qs


def _parse_timeout_ms(request: web.BaseRequest) -> int | None:
    text = request.headers.get(DEADLINE_HEADER, "")
    return int(text) if text.isdecimal() and len(text) < 10 else None


def encode_outcome(outcome: Outcome) -> web.Response:
    """Return the HTTP response that reports an outcome to the caller."""
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
    """Return a request's body, or None if it exceeds ``MAX_REQUEST_BYTES``."""
    chunks = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > MAX_REQUEST_BYTES:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def find_invalid_header(headers: Mapping[str, str]) -> str | None:
    """Return the name of the first header whose value cannot be forwarded as text.

    A name that is not printable ASCII is returned as "name". The result is None if all
    values are valid.
    """
    for name, value in headers.items():
        if value.isascii() and value.isprintable():
            continue
        if not value.replace("\t", " ").isprintable():
            return name if name.isascii() and name.isprintable() else "name"
    return None


async def handle_http_request(
    outbound: Outbound, request: web.BaseRequest
) -> web.StreamResponse:
    """Handle an HTTP request from a caller or from another node.

    The responses to calls carry the id of their request.
    """
    if request.version.major != HTTP_MAJOR_VERSION:
        return encode_outcome(Answered(505, (), b"only HTTP/1 is spoken here\n"))
    invalid = find_invalid_header(request.headers)
    if invalid is not None:
        text = f"the header {invalid} holds bytes that are no text\n"
        return encode_outcome(Answered(400, (), text.encode()))
    if request.path.startswith(OWN_PATH):
        return _handle_library_request(outbound, request)
    response = await _handle_call(outbound, request)
    response.headers[REQUEST_ID_HEADER] = request.headers.get(REQUEST_ID_HEADER, "")
    return response


async def _handle_call(outbound: Outbound, request: web.BaseRequest) -> web.Response:
    if (request.content_length or 0) > MAX_REQUEST_BYTES:
        return encode_outcome(Answered(413, (), b"the request is too large\n"))
    outbound.inbound.in_flight += 1
    try:
        body = await read_body(request)
        if body is None:
            return encode_outcome(Answered(413, (), b"the request is too large\n"))
        if HOP_HEADER in request.headers:
            outcome = await run_call(
                outbound.inbound, _parse_hop_call(outbound, request, body)
            )
        else:
            outcome = await handle_request(
                outbound, _parse_caller_request(request, body)
            )
    finally:
        outbound.inbound.in_flight -= 1
    response = encode_outcome(outcome)
    if outbound.board.own.state is MemberState.LEFT:
        response.force_close()
    if HOP_HEADER in request.headers:
        response.headers[LOAD_HEADER] = str(_count_in_flight(outbound, request))
        if outbound.board.brakes:
            brakes = outbound.board.brakes.values()
            response.headers[BRAKES_HEADER] = encode_brakes(brakes)
    return response


def _handle_library_request(
    outbound: Outbound, request: web.BaseRequest
) -> web.Response:
    """Handle a request of the client library for routes or idempotency keys."""
    if request.path == OWN_PATH + "routes" and request.method == "GET":
        return _handle_routes_request(outbound)
    if request.path == OWN_PATH + "keys" and request.method == "POST":
        return _handle_keys_request(outbound, request)
    return web.json_response({"error": "no such resource"}, status=404)


def _handle_routes_request(outbound: Outbound) -> web.Response:
    board = outbound.board
    if board.active is None or board.stopping:
        return web.json_response({"error": "this node serves nothing"}, status=503)
    view = make_route_view(board.active, board.own, board.members, board.brakes)
    return web.json_response(encode_view(view))


def _handle_keys_request(outbound: Outbound, request: web.BaseRequest) -> web.Response:
    method = request.query.get("method", "POST")
    count = request.query.get("count", "1")
    if not count.isdecimal() or len(count) > 3:
        return web.json_response({"error": "count must be a number"}, status=400)
    keys = mint_keys(outbound, method, request.query.get("path", ""), int(count))
    if keys is None:
        return web.json_response({"error": "no route"}, status=404)
    return web.json_response({"keys": [str(key) for key in keys]})


def _count_in_flight(outbound: Outbound, request: web.BaseRequest) -> int:
    """Return the calls in flight on the upstreams that a forwarded call is for."""
    service = request.headers.get(SERVICE_HEADER, "")
    version = request.headers.get(VERSION_HEADER, "")
    return sum(
        item.in_flight
        for item in outbound.inbound.slots.values()
        if item.info.service == service and item.info.version == version
    )


def _parse_caller_request(request: web.BaseRequest, body: bytes) -> Request:
    return Request(
        method=request.method,
        path=request.path,
        raw_path=_raw_path(request),
        headers=_forwarded_headers(request),
        body=body,
        request_id=request.headers.get(REQUEST_ID_HEADER, "")[:128],
        timeout_ms=_parse_timeout_ms(request),
        key=request.headers.get(KEY_HEADER, "")[:256],
        retries_left=request.headers.get(RETRIES_HEADER, ""),
    )


def _parse_hop_call(outbound: Outbound, request: web.BaseRequest, body: bytes) -> Call:
    headers = request.headers
    bulk = headers.get(PRIORITY_HEADER) == Priority.BULK.value
    remaining_s = (_parse_timeout_ms(request) or 1) / 1000
    return Call(
        method=request.method,
        path=_raw_path(request),
        headers=_forwarded_headers(request),
        body=body,
        route=headers.get(ROUTE_HEADER, ""),
        service=headers.get(SERVICE_HEADER, ""),
        version=headers.get(VERSION_HEADER, ""),
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        deadline_s=outbound.clock.monotonic_s() + remaining_s,
        key=parse_key(headers.get(KEY_HEADER, "")),
        idempotent=headers.get(IDEMPOTENT_HEADER) == "1",
        priority=Priority.BULK if bulk else Priority.INTERACTIVE,
        retries_left=parse_retries(headers.get(RETRIES_HEADER, "")),
    )


async def start_calls_server(
    outbound: Outbound,
    address: str,
    observe: Callable[[web.BaseRequest, web.Response, float], None] = (
        lambda request, response, elapsed_s: None
    ),
) -> web.ServerRunner:
    """Start the HTTP server for calls.

    Args:
        outbound: The outbound proxy that handles the requests.
        address: The address to listen on, as HOST:PORT.
        observe: Called with each request, its response, and the elapsed seconds.

    Returns:
        The running server.

    Raises:
        OSError: The address cannot be bound.
    """

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        started_s = outbound.clock.monotonic_s()
        response = await handle_http_request(outbound, request)
        observe(request, response, outbound.clock.monotonic_s() - started_s)
        return response

    runner = web.ServerRunner(
        web.Server(serve, handler_cancellation=True, access_log=None)
    )
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port), backlog=512).start()
    return runner
