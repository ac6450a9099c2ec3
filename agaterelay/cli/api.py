"""HTTP client for a node's operators' address."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from agaterelay.cli.outcome import CommandError, Exit

REQUEST_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 10.0
READY_POLL_PERIOD_S = 0.2
NOT_READY = "not-ready"


class NodeUnreachableError(CommandError):
    """No node answered at the address; the request may still have taken effect."""

    def __init__(self, node: str, reason: str) -> None:
        super().__init__(Exit.NODE_UNREACHABLE, f"no node answers at {node}: {reason}")


@dataclass(frozen=True)
class ApiResponse:
    """A node's response: its HTTP status and its JSON body."""

    status: int
    body: dict[str, Any]

    @property
    def message(self) -> str:
        """The error message in the body, or the HTTP status if there is none."""
        return str(self.body.get("message", f"status {self.status}"))


def send_request(
    node: str | None,
    method: str,
    path: str,
    body: Any = None,
    key: str = "",
    **query: str | int,
) -> ApiResponse:
    """Send a request to a node.

    A node that has just started may not hold the document yet, so a "not ready"
    response is retried for ``READY_TIMEOUT_S``.

    Args:
        node: The operators' address of a node.
        method: The HTTP method.
        path: The path of the URL.
        body: The value to send as JSON.
        key: The owner's key, empty to send none.
        **query: The query parameters; empty and zero values are left out.

    Raises:
        CommandError: No node answered, or no node was given.
    """
    if node is None:
        raise CommandError(Exit.USAGE, "no node given: use --node or AGATERELAY_NODE")
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        response = asyncio.run(_send_once(node, method, path, body, key, query))
        if response.body.get("error") != NOT_READY:
            return response
        if time.monotonic() > deadline_s:
            raise NodeUnreachableError(node, response.message)
        time.sleep(READY_POLL_PERIOD_S)


async def _send_once(
    node: str, method: str, path: str, body: Any, key: str, query: dict[str, Any]
) -> ApiResponse:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    params = {name: str(value) for name, value in query.items() if value}
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                f"http://{node}{path}",
                json=body,
                headers=headers,
                params=params,
            ) as response,
        ):
            content = await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as error:
        raise NodeUnreachableError(node, type(error).__name__) from error
    if not isinstance(content, dict):
        raise NodeUnreachableError(node, "expected a JSON object as response body")
    return ApiResponse(response.status, content)


def fetch_body(node: str, path: str, **query: str | int) -> dict[str, Any]:
    """Return the body of a node's response to a GET request.

    Raises:
        CommandError: No node answered, or its status is not 200.
    """
    response = send_request(node, "GET", path, **query)
    if response.status == 200:
        return response.body
    raise error_from_response(response)


_EXIT_BY_HTTP_STATUS = {
    400: Exit.USAGE,
    403: Exit.FORBIDDEN,
    404: Exit.NOT_FOUND,
    409: Exit.LOST_RACE,
    422: Exit.FINDINGS,
    503: Exit.PLATFORM_UNREACHABLE,
}


def error_from_response(response: ApiResponse, prefix: str = "") -> CommandError:
    """Return the error, with its exit status, for a response other than 200."""
    code = _EXIT_BY_HTTP_STATUS.get(response.status, Exit.FAILED)
    return CommandError(code, prefix + response.message, response.body)
