"""The operators' HTTP server: document, changes, moves, status, timeline, metrics.

Upstreams also use it to announce and withdraw themselves.
"""

from __future__ import annotations

from typing import Any

from aiohttp import web

from agaterelay.core.parse import MAX_DOCUMENT_BYTES
from agaterelay.events import EventKind
from agaterelay.tasks.operators import document, events, fleet, moves, upstreams
from agaterelay.tasks.operators.requests import (
    BadRequestError,
    Operators,
    error_response,
)

MAX_ERROR_LENGTH = 300

_ROUTES = (
    ("PUT", "/v1/upstreams/{address}", upstreams.announce_upstream),
    ("DELETE", "/v1/upstreams/{address}", upstreams.withdraw_upstream),
    ("POST", "/v1/upstreams/{address}/drain", upstreams.drain_upstream),
    ("DELETE", "/v1/upstreams/{address}/drain", upstreams.drain_upstream),
    ("POST", "/v1/drain", upstreams.drain_host),
    ("DELETE", "/v1/drain", upstreams.drain_host),
    ("GET", "/v1/document", document.show_document),
    ("POST", "/v1/changes", document.make_change),
    ("GET", "/v1/changes/{change_id}", document.show_change),
    ("GET", "/v1/moves", moves.show_moves),
    ("POST", "/v1/moves/{name}/take-back", moves.take_back),
    ("GET", "/v1/node", fleet.show_node),
    ("GET", "/v1/members", fleet.show_members),
    ("GET", "/v1/status", fleet.show_status),
    ("GET", "/v1/timeline", events.show_timeline),
    ("GET", "/metrics", fleet.show_metrics),
)


@web.middleware
async def _report_bad_requests(request: web.Request, handler: Any) -> Any:
    try:
        return await handler(request)
    except BadRequestError as error:
        return error_response(400, "bad-request", str(error))
    except web.HTTPException as error:
        if error.status < 400:
            raise
        return error_response(error.status, "bad-request", error.reason)


async def start_operators_server(operators: Operators, address: str) -> web.AppRunner:
    """Start the HTTP server for operators and upstreams.

    Raises:
        OSError: The address cannot be bound.
    """
    application = web.Application(
        client_max_size=2 * MAX_DOCUMENT_BYTES, middlewares=[_report_bad_requests]
    )
    for method, path, function in _ROUTES:
        application.router.add_route(method, path, _bind(function, operators))
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def _bind(function: Any, operators: Operators) -> Any:
    async def handler(request: web.Request) -> web.Response:
        try:
            return await function(operators, request)
        except (BadRequestError, web.HTTPException):
            raise
        except Exception as error:
            name = f"operators {request.method} {function.__name__}"
            shown = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]
            operators.node_context.record(EventKind.TASK_FAILED, task=name, error=shown)
            return error_response(
                500, "internal", "the request failed; see the time line"
            )

    return handler
