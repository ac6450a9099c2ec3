"""A stand-in for an upstream with slots, draining, and good and faulty versions.

It announces itself to the node of its host, and appends a record of every call that it
runs to a file, which tests compare with the callers' records. The file outlives the
process.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import time
from pathlib import Path
from typing import TextIO

import aiohttp
import attrs
from aiohttp import web

HEARTBEAT_S = 1.0
WITHDRAW_TIMEOUT_S = 10.0


@attrs.define
class Behaviour:
    """How this version of the upstream behaves; the fields are command line options.

    A faulty version fails ``fail_permille`` of the calls, is slower by
    ``slow_ms``, and closes the connection in the middle of ``cut_permille`` of the
    answers. These faults apply from ``fail_after_s`` after the start, above
    ``fail_above_load`` calls in flight, and only on paths that start with
    ``fail_path``.
    """

    work_ms: float = 5.0
    cold_start_s: float = 0.0
    fail_permille: int = 0
    fail_after_s: float = 0.0
    fail_above_load: int = 0
    fail_path: str = "/"
    slow_ms: float = 0.0
    cut_permille: int = 0


@attrs.define
class Upstream:
    """The state of one instance.

    ``draining`` refuses new calls; ``leaving`` announces a drain but still runs calls.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int
    behaviour: Behaviour
    started_s: float = attrs.field(factory=time.monotonic)
    in_flight: int = 0
    draining: bool = False
    leaving: bool = False
    records: TextIO | None = None


def is_fault_active(upstream: Upstream, path: str) -> bool:
    """Return whether the fault of the version applies to a call now."""
    behaviour = upstream.behaviour
    age_s = time.monotonic() - upstream.started_s
    return (
        age_s >= behaviour.fail_after_s
        and upstream.in_flight > behaviour.fail_above_load
        and path.startswith(behaviour.fail_path)
    )


async def run_call(
    upstream: Upstream, request: web.Request, generator: random.Random
) -> web.StreamResponse:
    """Run a call in a slot and record it; 503 where it is draining or no slot is free."""
    if upstream.draining or upstream.in_flight >= upstream.slots:
        reason = "draining" if upstream.draining else "full"
        return web.Response(status=503, headers={"Not-Run": reason})
    body = await request.read()
    upstream.in_flight += 1
    record = {
        "path": request.path,
        "method": request.method,
        "key": request.headers.get("Idempotency-Key", ""),
        "request_id": request.headers.get("Request-Id", ""),
        "at": time.time(),
        "version": upstream.version,
    }
    if upstream.records is not None:
        upstream.records.write(json.dumps(record) + "\n")
        upstream.records.flush()
    try:
        return await answer_call(upstream, request, body, generator)
    finally:
        upstream.in_flight -= 1


async def answer_call(
    upstream: Upstream, request: web.Request, body: bytes, generator: random.Random
) -> web.StreamResponse:
    """Wait for the service time of a call and answer it as the behaviour says."""
    behaviour = upstream.behaviour
    age_s = time.monotonic() - upstream.started_s
    delay_ms = behaviour.work_ms * generator.uniform(0.8, 1.4)
    if age_s < behaviour.cold_start_s:
        delay_ms *= 4
    faulty = is_fault_active(upstream, request.path)
    if faulty:
        delay_ms += behaviour.slow_ms
    await asyncio.sleep(delay_ms / 1000)
    if faulty and generator.randrange(1000) < behaviour.fail_permille:
        return web.Response(status=500, text="failed")
    answer = {
        "service": upstream.service,
        "version": upstream.version,
        "path": request.path,
        "request_id": request.headers.get("Request-Id", ""),
        "echo": body.decode("utf-8", "replace"),
    }
    if faulty and generator.randrange(1000) < behaviour.cut_permille:
        response = web.StreamResponse(headers={"Content-Length": "4096"})
        await response.prepare(request)
        await response.write(b"{")
        if request.transport is not None:
            request.transport.close()
        return response
    return web.json_response(answer)


async def announce(upstream: Upstream, node: str) -> None:
    """Announce the upstream to the node of its host every HEARTBEAT_S until cancelled."""
    url = f"http://{node}/v1/upstreams/{upstream.address}"
    timeout = aiohttp.ClientTimeout(total=2)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            body = {
                "service": upstream.service,
                "version": upstream.version,
                "slots": upstream.slots,
                "connections": upstream.connections,
                "draining": upstream.draining or upstream.leaving,
            }
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.put(url, json=body) as response:
                    await response.read()
            await asyncio.sleep(HEARTBEAT_S)


async def withdraw(upstream: Upstream, node: str) -> None:
    """Withdraw the upstream from the node, which answers once its calls have ended.

    A node that cannot be reached or does not answer in time is ignored.
    """
    url = f"http://{node}/v1/upstreams/{upstream.address}"
    timeout = aiohttp.ClientTimeout(total=WITHDRAW_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.delete(url) as response:
                await response.read()


def build_application(upstream: Upstream, seed: int) -> web.Application:
    """Return the HTTP application of the upstream.

    Args:
        upstream: The state of the upstream.
        seed: The seed of service times and failures.
    """
    generator = random.Random(seed)

    async def handle(request: web.Request) -> web.StreamResponse:
        return await run_call(upstream, request, generator)

    async def set_behaviour(request: web.Request) -> web.Response:
        upstream.behaviour = Behaviour(**await request.json())
        upstream.started_s = time.monotonic()
        return web.Response()

    async def leave(_: web.Request) -> web.Response:
        # The upstream announces a drain but still runs calls, so that its record shows
        # those that reach it afterwards.
        upstream.leaving = True
        return web.Response()

    async def show_health(_: web.Request) -> web.Response:
        return web.json_response({"healthy": True, "load": 0.0})

    application = web.Application(client_max_size=8 << 20)
    application.router.add_put("/-/behaviour", set_behaviour)
    application.router.add_put("/-/leave", leave)
    application.router.add_get("/-/health", show_health)
    application.router.add_route("*", "/{path:.*}", handle)
    return application


async def serve(upstream: Upstream, node: str, seed: int) -> None:
    """Serve until SIGTERM or SIGINT; then withdraw, finish calls in flight and stop."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    runner = web.AppRunner(build_application(upstream, seed), access_log=None)
    await runner.setup()
    host, port = upstream.address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    announcer = asyncio.create_task(announce(upstream, node))
    await stopping.wait()
    announcer.cancel()
    await withdraw(upstream, node)
    upstream.draining = True
    while upstream.in_flight:
        await asyncio.sleep(0.02)
    await runner.cleanup()


def main() -> None:
    """Parse the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="address as HOST:PORT")
    parser.add_argument(
        "--node", required=True, help="the address of the node for operators"
    )
    parser.add_argument("--service", required=True)
    parser.add_argument("--version", required=True)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--connections", type=int, default=130)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--records", type=Path, help="file to append a record of each call to"
    )
    for field in attrs.fields(Behaviour):
        option = "--" + field.name.replace("_", "-")
        parser.add_argument(option, type=type(field.default), default=field.default)
    arguments = parser.parse_args()
    behaviour = Behaviour(
        **{
            field.name: getattr(arguments, field.name)
            for field in attrs.fields(Behaviour)
        }
    )
    upstream = Upstream(
        service=arguments.service,
        version=arguments.version,
        address=arguments.listen,
        slots=arguments.slots,
        connections=arguments.connections,
        behaviour=behaviour,
        records=arguments.records.open("a") if arguments.records else None,
    )
    asyncio.run(serve(upstream, arguments.node, arguments.seed))


if __name__ == "__main__":
    main()
