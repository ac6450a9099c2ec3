"""A stand-in for the platform's metadata store, with faults to inject.

It implements the published row protocol: conditional transactions, range reads and
change feeds. Tests set its faults and read which paths were requested.

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
MAX_PAGE_ROWS = 500


@attrs.define
class Faults:
    """The faults that are injected into the store.

    ``down`` answers every request with 503, ``silent`` never answers, ``delay_s`` is added
    to every answer, ``lose_answers`` applies writes without answering, ``write_delay_s``
    applies a write only after this delay, if its condition still holds, without
    answering, ``late_answer_s`` is how long finished answers wait before they are sent,
    also when the store is restored meanwhile, and ``feeds_miss_changes`` keeps all changes from feeds.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    write_delay_s: float = 0.0
    late_answer_s: float = 0.0
    feeds_miss_changes: bool = False


@attrs.define
class StandInStore:
    """The rows of all tables, the log of changes, and the requested paths.

    Feeds can start only at versions from ``compacted_version`` on. ``era`` is the number
    in the header ``Store-Era`` of all responses, which lack it while it is None.
    """

    rows: dict[tuple[str, str, str], dict[str, Any]] = attrs.field(factory=dict)
    log: list[dict[str, Any]] = attrs.field(factory=list)
    version: int = 0
    compacted_version: int = 0
    era: int | None = None
    faults: Faults = attrs.field(factory=Faults)
    calls: list[str] = attrs.field(factory=list)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)


def row_value(store: StandInStore, table: str, key: str) -> bytes | None:
    """Return the value of a row, None where the row does not exist."""
    row = store.rows.get((table, "", key))
    return base64.b64decode(row["value"]) if row else None


async def put_row(store: StandInStore, table: str, key: str, value: bytes) -> None:
    """Write a row without a condition, also in a table that is read-only for nodes."""
    entry = {"table": table, "part": "", "key": key}
    entry["value"] = base64.b64encode(value).decode()
    _apply(store, [entry], [])
    await _notify_feeds(store)


def compact_history(store: StandInStore) -> None:
    """Drop the log of changes; feeds that start before this point are answered 410."""
    store.log.clear()
    store.compacted_version = store.version


@attrs.frozen
class Copy:
    """The store's state at one moment."""

    rows: dict[tuple[str, str, str], dict[str, Any]]
    log: list[dict[str, Any]]
    version: int


def copy_store(store: StandInStore) -> Copy:
    """Return a copy of the store's present state."""
    return Copy(dict(store.rows), list(store.log), store.version)


async def restore_store(store: StandInStore, copy: Copy) -> None:
    """Go back to a copy and begin a new era; versions after it are given out again."""
    store.rows, store.log = dict(copy.rows), list(copy.log)
    store.version = copy.version
    store.era = (store.era or 0) + 1
    await _notify_feeds(store)


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
            tombstone = {**entry, "ver": store.version, "deleted": True}
            store.log.append(tombstone)


async def _notify_feeds(store: StandInStore) -> None:
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
    if faults.write_delay_s:
        asyncio.get_running_loop().call_later(
            faults.write_delay_s,
            lambda: asyncio.ensure_future(_apply_delayed(store, body)),
        )
        await asyncio.sleep(3600)
    if _conflicts(store, expected):
        rows = [
            store.rows[_key(entry)] for entry in expected if _key(entry) in store.rows
        ]
        return _answer(store, 412, rows=rows)
    _apply(store, writes, removes)
    await _notify_feeds(store)
    if faults.lose_answers:
        await asyncio.sleep(3600)
    return _answer(store)


async def _apply_delayed(store: StandInStore, body: dict[str, Any]) -> None:
    if not _conflicts(store, body.get("expectedRev", [])):
        _apply(store, body.get("writes", []), body.get("remove", []))
        await _notify_feeds(store)


def _read_range(store: StandInStore, query: Any) -> web.Response:
    first, end = query.get("from", ""), query.get("to", "")
    limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
    found = [
        row
        for key, row in sorted(store.rows.items())
        if key[0] == query["table"]
        and key[1] == query.get("part", "")
        and key[2] >= first
        and (not end or key[2] < end)
    ]
    return _answer(store, rows=found[:limit], hasMore=len(found) > limit)


async def _read_feed(store: StandInStore, query: Any) -> web.Response:
    after = int(query["after"])
    deadline_s = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
    while True:
        if not store.compacted_version <= after <= store.version:
            return web.json_response({}, status=410)
        rows = [
            row
            for row in store.log
            if row["table"] == query["table"] and row["ver"] > after
        ]
        left_s = deadline_s - time.monotonic()
        if (rows and not store.faults.feeds_miss_changes) or left_s <= 0:
            return _answer(store, rows=[] if store.faults.feeds_miss_changes else rows)
        try:
            async with asyncio.timeout(left_s), store.changed:
                await store.changed.wait()
        except TimeoutError:
            continue


def make_server(store: StandInStore) -> web.Server:
    """Return an HTTP server for a store."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        response = await respond(request)
        if store.era is not None:
            response.headers["Store-Era"] = str(store.era)
        if store.faults.late_answer_s:
            await asyncio.sleep(store.faults.late_answer_s)
        return response

    async def respond(request: web.BaseRequest) -> web.StreamResponse:
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
            return _read_range(store, request.query)
        if request.path == "/v1/rows-feed":
            return await _read_feed(store, request.query)
        return web.json_response({}, status=404)

    return web.Server(handle, handler_cancellation=True, access_log=None)


async def start_store(store: StandInStore, address: str) -> web.ServerRunner:
    """Serve a store on an address until the returned runner is cleaned up.

    Raises:
        OSError: The address cannot be bound.
    """
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
