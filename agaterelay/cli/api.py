"""Ask a node over its operators' address."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from agaterelay.cli.outcome import CommandError, Exit

REQUEST_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.2
NOT_READY = "not-ready"


class NodeUnreachableError(CommandError):
    """No node answered at the address; a request may still have had its effect."""

    def __init__(self, node: str, reason: str) -> None:
        super().__init__(Exit.NODE_UNREACHABLE, f"no node answers at {node}: {reason}")


@dataclass(frozen=True)
class Answer:
    """A node's answer: its HTTP status and its JSON body."""

    status: int
    body: dict[str, Any]

    @property
    def message(self) -> str:
        """What the node said about an error."""
        return str(self.body.get("message", f"status {self.status}"))


def ask(
    node: str | None,
    method: str,
    path: str,
    body: Any = None,
    key: str = "",
    **query: str | int,
) -> Answer:
    """Send one request to a node.

    A node that has just started may not know the document yet; it is asked again for
    a while.

    Raises:
        CommandError: No node answered, or none was named.
    """
    if node is None:
        raise CommandError(Exit.USAGE, "name a node by --node or AGATERELAY_NODE")
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        answer = asyncio.run(_ask(node, method, path, body, key, query))
        if answer.body.get("error") != NOT_READY:
            return answer
        if time.monotonic() > give_up_s:
            raise NodeUnreachableError(node, answer.message)
        time.sleep(READY_POLL_S)


async def _ask(
    node: str, method: str, path: str, body: Any, key: str, query: dict[str, Any]
) -> Answer:
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
        raise NodeUnreachableError(node, "its answer is not a JSON object")
    return Answer(response.status, content)


def read(node: str, path: str, **query: str | int) -> dict[str, Any]:
    """Return what a node shows at a path.

    Raises:
        CommandError: No node answered, or it knows nothing of that name.
    """
    answer = ask(node, "GET", path, **query)
    if answer.status == 200:
        return answer.body
    raise refusal(answer)


_EXITS = {
    400: Exit.USAGE,
    403: Exit.FORBIDDEN,
    404: Exit.NOT_FOUND,
    409: Exit.LOST_RACE,
    422: Exit.FINDINGS,
    503: Exit.PLATFORM_UNREACHABLE,
}


def refusal(answer: Answer, prefix: str = "") -> CommandError:
    """Return the error that a node's refusal stands for."""
    code = _EXITS.get(answer.status, Exit.FAILED)
    return CommandError(code, prefix + answer.message, answer.body)
