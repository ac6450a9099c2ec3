"""Ask a node over its operators' address."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

REQUEST_TIMEOUT_S = 15.0


class NodeUnreachableError(Exception):
    """No node answered at the address."""


def call(
    node: str, method: str, path: str, body: Any = None, key: str = ""
) -> tuple[int, Any]:
    """Send one request to a node.

    Returns:
        The answer's status and its JSON body.

    Raises:
        NodeUnreachableError: No node answered.
    """
    return asyncio.run(_call(node, method, path, body, key))


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
