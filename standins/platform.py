"""A stand-in for the platform: a table service and an object store, both in memory.

It enforces rate limits and counts requests. ``PUT /faults`` makes a service unavailable
or slow, or makes it lose the answers of writes that took effect.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import time

import attrs
from aiohttp import web

READS_PER_S = 2000
WRITES_PER_S = 400
MAX_COUNTED_NAMES = 1000


@attrs.define
class Faults:
    """The faults that are injected into one of the two services."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@attrs.define
class Store:
    """One service: its values with their versions, its faults and its request counts."""

    values: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    faults: Faults = attrs.field(factory=Faults)
    counts: dict[str, int] = attrs.field(
        factory=lambda: {"reads": 0, "writes": 0, "refused": 0}
    )
    reads_by_name: dict[str, int] = attrs.field(factory=dict)
    window_s: int = 0
    window: dict[str, int] = attrs.field(factory=dict)
    peak: dict[str, int] = attrs.field(factory=lambda: {"reads": 0, "writes": 0})


def admit(store: Store, kind: str, limit: int) -> bool:
    """Count a request; return whether it is within the limit of the current second."""
    second = int(time.monotonic())
    if second != store.window_s:
        store.window_s = second
        store.window = {}
    store.window[kind] = store.window.get(kind, 0) + 1
    store.counts[kind] += 1
    store.peak[kind] = max(store.peak[kind], store.window[kind])
    if store.window[kind] > limit:
        store.counts["refused"] += 1
        return False
    return True


async def serve_read(store: Store, name: str) -> web.Response:
    """Answer a read; 429 above the rate limit, 404 for an unknown name."""
    if name in store.reads_by_name or len(store.reads_by_name) < MAX_COUNTED_NAMES:
        store.reads_by_name[name] = store.reads_by_name.get(name, 0) + 1
    if not admit(store, "reads", READS_PER_S):
        return web.Response(status=429)
    if store.faults.delay_ms:
        await asyncio.sleep(store.faults.delay_ms / 1000)
    if store.faults.down:
        return web.Response(status=503)
    if name not in store.values:
        return web.Response(status=404)
    body, version = store.values[name]
    return web.Response(body=body, headers={"Row-Version": str(version)})


async def serve_write(store: Store, name: str, request: web.Request) -> web.Response:
    """Answer a write, conditional where the request names a version.

    A version other than the current one is answered with 412 and the current version.
    """
    body = await request.read()
    if not admit(store, "writes", WRITES_PER_S):
        return web.Response(status=429)
    if store.faults.delay_ms:
        await asyncio.sleep(store.faults.delay_ms / 1000)
    if store.faults.down:
        return web.Response(status=503)
    version = store.values.get(name, (b"", 0))[1]
    expected = request.headers.get("If-Row-Version")
    if expected is not None and int(expected) != version:
        return web.Response(status=412, headers={"Row-Version": str(version)})
    store.values[name] = (body, version + 1)
    if store.faults.lose_answers > 0:
        store.faults.lose_answers -= 1
        return web.Response(status=504)
    return web.Response(headers={"Row-Version": str(version + 1)})


def build_application() -> web.Application:
    """Return the HTTP application of both services and of the fault interface."""
    stores = {"table": Store(), "objects": Store()}

    async def handle(request: web.Request) -> web.Response:
        store = stores[request.match_info["store"]]
        name = request.match_info["name"]
        if request.method == "GET":
            return await serve_read(store, name)
        return await serve_write(store, name, request)

    async def set_faults(request: web.Request) -> web.Response:
        for name, fields in (await request.json()).items():
            stores[name].faults = Faults(**fields)
        return web.Response()

    async def show_counts(_: web.Request) -> web.Response:
        return web.json_response(
            {
                name: {
                    **store.counts,
                    "peak": store.peak,
                    "reads_by_name": store.reads_by_name,
                }
                for name, store in stores.items()
            }
        )

    application = web.Application(client_max_size=8 << 20)
    application.router.add_route("PUT", "/faults", set_faults)
    application.router.add_route("GET", "/counts", show_counts)
    application.router.add_route("GET", "/{store:table|objects}/{name:.+}", handle)
    application.router.add_route("PUT", "/{store:table|objects}/{name:.+}", handle)
    return application


def main() -> None:
    """Parse the arguments and serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="address as HOST:PORT")
    arguments = parser.parse_args()
    host, port = arguments.listen.rsplit(":", 1)
    with contextlib.suppress(KeyboardInterrupt):
        web.run_app(build_application(), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
