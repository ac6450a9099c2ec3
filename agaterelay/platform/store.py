"""Client of the platform's store: rows, conditional transactions and change feeds."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar
from urllib.parse import urlencode

from agaterelay.adapters.http_pool import (
    AnswerLostError,
    HttpPool,
    NotSentError,
    ReceivedResponse,
    render_head,
)
from agaterelay.core.checked import (
    MALFORMED,
    DecodeError,
    check_text,
    check_whole,
    load_json,
    raises_decode_error,
)
from agaterelay.ports import (
    Changes,
    Conflict,
    EraPassedError,
    HistoryLostError,
    PlatformError,
    StoredRow,
)

# A healthy store responds within 10 ms, so waiting longer than this does not help. An
# answer that arrives may take longer, since a large row fills a narrow link for seconds.
REQUEST_TIMEOUT_S = 1.5
MAX_TRANSFER_S = 10.0
# How much longer than the requested wait a long-polling call may take.
LONG_POLL_MARGIN_S = 1.2
# The kernel closes a connection whose sent data is not acknowledged for this long.
USER_TIMEOUT_MS = 2000
# Larger tables are read page by page.
PAGE_SIZE_ROWS = 500

# Numbers the states of the store between two restores from a copy.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 9

Decoded = TypeVar("Decoded")


def _row(encoded: Any) -> StoredRow | None:
    """Decode a row; return None if another writer stored an invalid one."""
    try:
        deleted = bool(encoded.get("deleted"))
        value = b"" if deleted else base64.b64decode(encoded.get("value") or "")
        # In a row, "ver" is its own version; one level up it is that of the store.
        return StoredRow(
            check_text(encoded["table"]),
            check_text(encoded["key"]),
            value,
            check_whole(encoded["ver"]),
            deleted,
        )
    except MALFORMED:
        return None


@raises_decode_error
def _rows(encoded: Any) -> tuple[StoredRow, ...]:
    decoded = (_row(item) for item in encoded.get("rows") or ())
    return tuple(row for row in decoded if row is not None)


@raises_decode_error
def _changes(encoded: Any) -> Changes:
    return Changes(_rows(encoded), check_whole(encoded["ver"]))


def _decode_answer(decode: Callable[[Any], Decoded], encoded: Any) -> Decoded:
    """Decode an answer of the store.

    Raises:
        PlatformError: The answer is not what the store gives.
    """
    try:
        return decode(encoded)
    except DecodeError as error:
        raise PlatformError(f"unreadable answer: {error}") from error


def _decode_era(response: ReceivedResponse) -> int | None:
    """Return the era that a response names, None if it names no valid one."""
    for name, value in response.headers:
        if name.lower() == ERA_HEADER:
            text = value.strip()
            return int(text) if text.isdigit() and len(text) <= MAX_ERA_DIGITS else None
    return None


class StoreClient:
    """Client for the store, with one pool of connections per process."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool: HttpPool | None = None
        # Called for every request with its path and its status or exception type.
        self.count: Callable[[str, str], None] = lambda call, result: None
        # Called with the table of a read when a part of the answer has arrived.
        self.on_receiving: Callable[[str], None] = lambda table: None
        # Called with the era of every response; returns whether it may be used.
        self.admit_era: Callable[[int | None], bool] = lambda era: True

    async def open(self) -> None:
        """Prepare the pool without connecting."""
        self._pool = HttpPool(
            self._address,
            connect_timeout_s=REQUEST_TIMEOUT_S,
            user_timeout_ms=USER_TIMEOUT_MS,
        )

    async def close(self) -> None:
        """Close the idle connections."""
        if self._pool is not None:
            self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        params: Mapping[str, str] | None = None,
        content: Any = None,
    ) -> tuple[int, Any]:
        if self._pool is None:
            raise PlatformError("the client is not open; call open() first")
        target = f"{path}?{urlencode(params)}" if params else path
        body = b"" if content is None else json.dumps(content).encode()
        headers = [(b"Host", self._address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        head = render_head(method, target, tuple(headers), body)
        loop = asyncio.get_running_loop()
        last_s = loop.time() + timeout_s + MAX_TRANSFER_S
        table = (params or {}).get("table", "")
        try:
            async with asyncio.timeout(timeout_s) as timeout:

                def extend() -> None:
                    if timeout.expired():
                        return
                    due_s = max(timeout.when(), loop.time() + REQUEST_TIMEOUT_S)
                    timeout.reschedule(min(due_s, last_s))
                    self.on_receiving(table)

                response = await self._send(method, head, body, extend)
        except (NotSentError, AnswerLostError, TimeoutError) as error:
            self.count(path, type(error).__name__)
            raise PlatformError(f"{path}: {type(error).__name__} {error}") from error
        self.count(path, str(response.status))
        era = _decode_era(response)
        if not self.admit_era(era):
            raise EraPassedError(f"{path}: the response is of the past era {era}")
        if response.status not in (200, 410, 412):
            raise PlatformError(f"{path}: status {response.status}")
        try:
            return response.status, load_json(response.body)
        except DecodeError as error:
            if response.status == 410:
                return 410, {}
            raise PlatformError(f"{path}: the response is not JSON") from error

    async def _send(
        self, method: str, head: bytes, body: bytes, on_data: Callable[[], None]
    ) -> ReceivedResponse:
        """Send a request and return its response.

        A read is sent again on a new connection if the store closed a kept one meanwhile.
        """
        now_s = asyncio.get_running_loop().time
        while True:
            connection = await self._pool.acquire(now_s())
            connection.on_data = on_data
            try:
                response = await connection.send(head, body, b"", False)
            except (NotSentError, AnswerLostError):
                connection.close()
                if method == "GET" and connection.was_used:
                    continue
                raise
            except BaseException:
                connection.close()
                raise
            self._pool.release(connection, now_s())
            return response

    async def read_table(self, table: str, first: str = "", end: str = "") -> Changes:
        """Return the rows of a table; each page is a consistent snapshot.

        Raises:
            PlatformError: The store did not answer.
        """
        rows: list[StoredRow] = []
        version = 0
        while True:
            params = {"table": table, "part": "", "limit": str(PAGE_SIZE_ROWS)}
            if first:
                params["from"] = first
            if end:
                params["to"] = end
            _, encoded = await self._call(
                "GET", "/v1/rows-get", REQUEST_TIMEOUT_S, params=params
            )
            page = _decode_answer(_changes, encoded)
            rows += page.rows
            # The first page's version makes the change feed repeat all changes since then.
            version = version or page.version
            if not encoded.get("hasMore") or not page.rows:
                return Changes(tuple(rows), version)
            first = page.rows[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Changes:
        """Wait for changes of a table after a version and return them.

        Raises:
            HistoryLostError: The store no longer has the changes.
            PlatformError: The store did not answer.
        """
        params = {
            "table": table,
            "after": str(after_version),
            "waitMs": str(int(wait_s * 1000)),
        }
        status, encoded = await self._call(
            "GET", "/v1/rows-feed", wait_s + LONG_POLL_MARGIN_S, params=params
        )
        if status == 410:
            raise HistoryLostError(
                f"{table}: the store no longer has changes after version {after_version}"
            )
        return _decode_answer(_changes, encoded)

    async def write(
        self, writes: Iterable[StoredRow], removes: Iterable[StoredRow] = ()
    ) -> Conflict | None:
        """Write and remove rows atomically if each still has its stated version.

        Returns:
            None if the transaction was applied, otherwise the current rows.

        Raises:
            PlatformError: It is unknown whether the transaction was or will be applied.
        """
        writes, removes = tuple(writes), tuple(removes)
        body = {
            "expectedRev": [
                {"table": row.table, "part": "", "key": row.key, "ver": row.version}
                for row in (*writes, *removes)
            ],
            "writes": [
                {
                    "table": row.table,
                    "part": "",
                    "key": row.key,
                    "value": base64.b64encode(row.value).decode(),
                }
                for row in writes
            ],
            "remove": [
                {"table": row.table, "part": "", "key": row.key} for row in removes
            ],
        }
        status, encoded = await self._call(
            "POST", "/v1/rows-tx", REQUEST_TIMEOUT_S, content=body
        )
        if status == 412:
            return Conflict(_decode_answer(_rows, encoded))
        return None
