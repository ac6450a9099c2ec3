"""A stand-in for the platform's metadata store, with its faults.

It speaks the published protocol of rows: conditional transactions, ranges, and feeds
of changes. A test sets its faults and reads what it was asked.

    python -m standins.store --listen 127.0.0.1:7200
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import time
from typing import Any

import attrs
from aiohttp import web

READ_ONLY_TABLES = frozenset({"op", "servers"})
PAGE_ROWS = 500


@attrs.define
class Faults:
    """What the store does wrong now.

    ``down`` answers 503 to everybody, ``silent`` never answers, ``delay_s`` is added to
    every answer, ``lose_answers`` does a write and never answers it, ``late_s`` does it
    that much later where its condition still holds, ``deaf`` feeds hear of no change.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    late_s: float = 0.0
    deaf: bool = False


@attrs.define
class StandInStore:
    """The rows of all tables, and every change in order."""

    rows: dict[tuple[str, str, str], dict[str, Any]] = attrs.field(factory=dict)
    log: list[dict[str, Any]] = attrs.field(factory=list)
    version: int = 0
    forgotten_version: int = 0
    faults: Faults = attrs.field(factory=Faults)
    calls: list[str] = attrs.field(factory=list)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)


def row_of(store: StandInStore, table: str, key: str) -> bytes | None:
    """Return a row's value, None where there is none."""
    row = store.rows.get((table, "", key))
    return base64.b64decode(row["value"]) if row else None


async def put_row(store: StandInStore, table: str, key: str, value: bytes) -> None:
    """Write a row as the operator does."""
    entry = {"table": table, "part": "", "key": key}
    entry["value"] = base64.b64encode(value).decode()
    _apply(store, [entry], [])
    await _wake(store)


def forget_history(store: StandInStore) -> None:
    """Drop all changes up to now; feeds that ask for them get 410."""
    store.log.clear()
    store.forgotten_version = store.version


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return (entry["table"], entry.get("part", ""), entry["key"])


def _apply(
    store: StandInStore, writes: list[dict[str, Any]], removes: list[dict[str, Any]]
) -> None:
    store.version += 1
    for entry in writes:
        row = {**entry, "part": entry.get("part", ""), "ver": store.version}
        store.rows[_key(entry)] = row
        store.log.append(row)
    for entry in removes:
        if store.rows.pop(_key(entry), None) is not None:
            gone = {**entry, "ver": store.version, "deleted": True}
            store.log.append(gone)


async def _wake(store: StandInStore) -> None:
    async with store.changed:
        store.changed.notify_all()


def _conflicts(store: StandInStore, expected: list[dict[str, Any]]) -> bool:
    return any(
        store.rows.get(_key(entry), {"ver": 0})["ver"] != entry["ver"]
        for entry in expected
    )


def _answer(store: StandInStore, status: int = 200, **fields: Any) -> web.Response:
    now = f"{int(time.monotonic() * 1000)}ms"
    return web.json_response(
        {**fields, "ver": store.version, "now": now}, status=status
    )


async def _transact(store: StandInStore, body: dict[str, Any]) -> web.Response:
    writes, removes = body.get("writes", []), body.get("remove", [])
    if any(entry["table"] in READ_ONLY_TABLES for entry in (*writes, *removes)):
        return web.json_response({}, status=403)
    expected = body.get("expectedRev", [])
    faults = store.faults
    if faults.late_s:
        asyncio.get_running_loop().call_later(
            faults.late_s, lambda: asyncio.ensure_future(_late(store, body))
        )
        await asyncio.sleep(3600)
    if _conflicts(store, expected):
        rows = [
            store.rows[_key(entry)] for entry in expected if _key(entry) in store.rows
        ]
        return _answer(store, 412, rows=rows)
    _apply(store, writes, removes)
    await _wake(store)
    if faults.lose_answers:
        await asyncio.sleep(3600)
    return _answer(store)


async def _late(store: StandInStore, body: dict[str, Any]) -> None:
    if not _conflicts(store, body.get("expectedRev", [])):
        _apply(store, body.get("writes", []), body.get("remove", []))
        await _wake(store)


def _range(store: StandInStore, query: Any) -> web.Response:
    first, end = query.get("from", ""), query.get("to", "")
    limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
    found = [
        row
        for key, row in sorted(store.rows.items())
        if key[0] == query["table"]
        and key[1] == query.get("part", "")
        and key[2] >= first
        and (not end or key[2] < end)
    ]
    return _answer(store, rows=found[:limit], hasMore=len(found) > limit)


async def _feed(store: StandInStore, query: Any) -> web.Response:
    after = int(query["after"])
    deadline_s = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
    while True:
        if after < store.forgotten_version:
            return web.json_response({}, status=410)
        rows = [
            row
            for row in store.log
            if row["table"] == query["table"] and row["ver"] > after
        ]
        left_s = deadline_s - time.monotonic()
        if (rows and not store.faults.deaf) or left_s <= 0:
            return _answer(store, rows=[] if store.faults.deaf else rows)
        try:
            async with asyncio.timeout(left_s), store.changed:
                await store.changed.wait()
        except TimeoutError:
            continue


def make_server(store: StandInStore) -> web.Server:
    """Return the HTTP server of a store."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        store.calls.append(request.path)
        faults = store.faults
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.down:
            return web.json_response({}, status=503)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if request.path == "/v1/rows-tx":
            return await _transact(store, json.loads(await request.read()))
        if request.path == "/v1/rows-get":
            return _range(store, request.query)
        if request.path == "/v1/rows-feed":
            return await _feed(store, request.query)
        return web.json_response({}, status=404)

    return web.Server(handle, handler_cancellation=True, access_log=None)


async def start_store(store: StandInStore, address: str) -> web.ServerRunner:
    """Serve a store on an address until the runner is cleaned up."""
    runner = web.ServerRunner(make_server(store), shutdown_timeout=0.1)
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def main() -> None:
    """Serve an empty store until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, metavar="ADDRESS")
    await start_store(StandInStore(), parser.parse_args().listen)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
