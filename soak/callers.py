"""The callers of a soak test: they send requests to every host and record the answers."""

from __future__ import annotations

import asyncio
import itertools
import time

import aiohttp
import attrs
import yarl

from soak import addresses
from soak.fleet import CALL_TIMEOUT_S, Fleet, Host
from standins.instance import expected_body

CALLS_PER_HOST_PER_S = 12.0
CALL_KINDS = (("GET", "/read/x"), ("POST", "/fire/x"), ("GET", "/show/x"))
# How long after the deadline of its request a caller gives up on its own.
GIVE_UP_MARGIN_S = 4.0


@attrs.frozen
class Answer:
    """The answer to one request.

    ``status`` is 0 where the connection failed or was closed, and -1 where no answer came
    in time. ``body_matches`` tells whether the body is the complete answer to this call.
    """

    call_id: str
    host: int
    method: str
    path: str
    began_s: float
    ended_s: float
    status: int
    retry_after: str | None
    body_matches: bool


@attrs.define
class Callers:
    """The HTTP sessions of the callers, by host number, and the recorded answers."""

    fleet: Fleet
    answers: list[Answer] = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)
    sessions: dict[int, aiohttp.ClientSession] = attrs.field(factory=dict)


async def call(callers: Callers, host: Host, method: str, path: str) -> Answer:
    """Send one request to a host and return its answer."""
    session = callers.sessions.get(host.number)
    if session is None:
        connector = aiohttp.TCPConnector(limit=0)
        session = aiohttp.ClientSession(connector=connector)
        callers.sessions[host.number] = session
    call_id = f"call-{next(callers.numbers)}"
    headers = {
        "Host": "app.example",
        "X-Attempt-Id": call_id,
        "X-Request-Deadline": str(int(CALL_TIMEOUT_S * 1000)),
    }
    url = yarl.URL(f"http://{host.ip}:{addresses.CALLS_PORT}{path}", encoded=True)
    began_s = time.monotonic()
    status, retry_after, body_matches = -1, None, False
    try:
        async with (
            asyncio.timeout(CALL_TIMEOUT_S + GIVE_UP_MARGIN_S),
            session.request(method, url, headers=headers) as response,
        ):
            body = await response.read()
            status = response.status
            retry_after = response.headers.get("Retry-After")
            body_matches = body == expected_body(call_id)
    except TimeoutError:
        pass
    except (aiohttp.ClientError, OSError):
        status = 0
    ended_s = time.monotonic()
    return Answer(
        call_id,
        host.number,
        method,
        path,
        began_s,
        ended_s,
        status,
        retry_after,
        body_matches,
    )


async def send_calls(callers: Callers) -> None:
    """Send requests to all hosts at a constant rate until cancelled."""
    running: set[asyncio.Task[None]] = set()

    async def send(host: Host, method: str, path: str) -> None:
        callers.answers.append(await call(callers, host, method, path))

    try:
        for number in itertools.count():
            for host in callers.fleet.hosts:
                method, path = CALL_KINDS[(number + host.number) % len(CALL_KINDS)]
                task = asyncio.create_task(send(host, method, path))
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(1 / CALLS_PER_HOST_PER_S)
    finally:
        # Answers to requests that were already sent are checked as well.
        await asyncio.gather(*running)


async def close_sessions(callers: Callers) -> None:
    """Close all HTTP sessions."""
    for session in callers.sessions.values():
        await session.close()
