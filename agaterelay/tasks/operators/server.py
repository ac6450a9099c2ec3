"""The operators' HTTP server: document, changes, moves, status, time line, metrics.

Upstreams announce themselves here, too.
"""

from __future__ import annotations

from typing import Any

from aiohttp import web

from agaterelay.core.parse import MAX_DOCUMENT_BYTES
from agaterelay.tasks.operators import document, fleet, moves, upstreams
from agaterelay.tasks.operators.requests import BadRequestError, Operators

_ROUTES = (
    ("PUT", "/v1/upstreams/{address}", upstreams.announce_upstream),
    ("DELETE", "/v1/upstreams/{address}", upstreams.withdraw_upstream),
    ("GET", "/v1/document", document.show_document),
    ("POST", "/v1/changes", document.make_change),
    ("GET", "/v1/changes/{change_id}", document.show_change),
    ("GET", "/v1/moves", moves.show_moves),
    ("POST", "/v1/moves/{name}/take-back", moves.take_back),
    ("GET", "/v1/node", fleet.show_node),
    ("GET", "/v1/members", fleet.show_members),
    ("GET", "/v1/status", fleet.show_status),
    ("GET", "/v1/timeline", fleet.show_timeline),
    ("GET", "/metrics", fleet.show_metrics),
)


@web.middleware
async def _report_bad_requests(request: web.Request, handler: Any) -> Any:
    try:
        return await handler(request)
    except BadRequestError as error:
        body = {"error": "bad-request", "message": str(error)}
        return web.json_response(body, status=400)


async def start_operators_server(operators: Operators, address: str) -> web.AppRunner:
    """Start to serve operators and upstreams.

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
        return await function(operators, request)

    return handler
