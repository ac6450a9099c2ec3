"""Ask a node over its operators' address."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp

REQUEST_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.2


class NodeUnreachableError(Exception):
    """No node answered at the address."""


def call(
    node: str, method: str, path: str, body: Any = None, key: str = ""
) -> tuple[int, Any]:
    """Send one request to a node.

    A node that has just started may not know the document yet; it is asked again for
    a while.

    Returns:
        The answer's status and its JSON body.

    Raises:
        NodeUnreachableError: No node answered.
    """
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        status, answer = asyncio.run(_call(node, method, path, body, key))
        if status != 503 or answer.get("error") != "not-ready":
            return status, answer
        if time.monotonic() > give_up_s:
            raise NodeUnreachableError(f"{node}: {answer['message']}")
        time.sleep(READY_POLL_S)


async def _call(
    node: str, method: str, path: str, body: Any, key: str
) -> tuple[int, Any]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, f"http://{node}{path}", json=body, headers=headers
            ) as response,
        ):
            return response.status, await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise NodeUnreachableError(f"{node}: {type(error).__name__}") from error
