"""The callers of a soak: they send to every host and note what they got."""

from __future__ import annotations

import asyncio
import itertools
import time

import aiohttp
import attrs
import yarl

from soak import addresses
from soak.fleet import WAIT_S, Fleet, Host
from standins.instance import body_of

RATE_PER_S = 12.0
PATHS = (("GET", "/read/x"), ("POST", "/fire/x"), ("GET", "/show/x"))
# How much longer than its time a caller waits before it gives up by itself.
PATIENCE_S = 4.0


@attrs.frozen
class Answer:
    """What a caller got; status 0 where its connection ended, -1 where nothing came."""

    call_id: str
    host: int
    method: str
    path: str
    began_s: float
    ended_s: float
    status: int
    retry_after: str | None
    whole: bool


@attrs.define
class Callers:
    """The callers' connections and what they got."""

    fleet: Fleet
    answers: list[Answer] = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)
    sessions: dict[int, aiohttp.ClientSession] = attrs.field(factory=dict)


async def call(callers: Callers, host: Host, method: str, path: str) -> Answer:
    """Send one request and return what came of it."""
    session = callers.sessions.get(host.number)
    if session is None:
        connector = aiohttp.TCPConnector(limit=0)
        session = aiohttp.ClientSession(connector=connector)
        callers.sessions[host.number] = session
    call_id = f"call-{next(callers.numbers)}"
    headers = {
        "Host": "app.example",
        "X-Attempt-Id": call_id,
        "X-Request-Deadline": str(int(WAIT_S * 1000)),
    }
    url = yarl.URL(f"http://{host.ip}:{addresses.CALLS_PORT}{path}", encoded=True)
    began_s = time.monotonic()
    status, retry_after, whole = -1, None, False
    try:
        async with (
            asyncio.timeout(WAIT_S + PATIENCE_S),
            session.request(method, url, headers=headers) as response,
        ):
            body = await response.read()
            status = response.status
            retry_after = response.headers.get("Retry-After")
            whole = body == body_of(call_id)
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
        whole,
    )


async def keep_calling(callers: Callers) -> None:
    """Send requests to all hosts at a steady rate, until cancelled."""
    running: set[asyncio.Task[None]] = set()

    async def send(host: Host, method: str, path: str) -> None:
        callers.answers.append(await call(callers, host, method, path))

    try:
        for number in itertools.count():
            for host in callers.fleet.hosts:
                method, path = PATHS[(number + host.number) % len(PATHS)]
                task = asyncio.create_task(send(host, method, path))
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(1 / RATE_PER_S)
    finally:
        # What was asked is still waited for: its answer counts.
        await asyncio.gather(*running)


async def close(callers: Callers) -> None:
    """Close all connections."""
    for session in callers.sessions.values():
        await session.close()
