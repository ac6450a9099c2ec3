"""Client of the platform's store: rows, conditional transactions and change feeds."""

from __future__ import annotations

import base64
import binascii
import json
import socket
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp

from agaterelay.ports import (
    Changes,
    Conflict,
    HistoryLostError,
    PlatformError,
    StoredRow,
)

# A healthy store responds within 10 ms, so waiting longer than this does not help.
REQUEST_TIMEOUT_S = 1.5
# How much longer than the requested wait a long-polling call may take.
LONG_POLL_MARGIN_S = 1.2
# These values close a dead connection after about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000
# Larger tables are read page by page.
PAGE_SIZE_ROWS = 500


def _make_socket(info: Any) -> socket.socket:
    family, kind, protocol, _, _ = info
    tcp_socket = socket.socket(family=family, type=kind, proto=protocol)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return tcp_socket


def _row(encoded: Any) -> StoredRow | None:
    """Decode a row; return None if another writer stored an invalid one."""
    try:
        deleted = bool(encoded.get("deleted"))
        value = b"" if deleted else base64.b64decode(encoded.get("value") or "")
        # In a row, "ver" is its own version; one level up it is that of the store.
        return StoredRow(
            str(encoded["table"]),
            str(encoded["key"]),
            value,
            int(encoded["ver"]),
            deleted,
        )
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error):
        return None


def _rows(encoded: Any) -> tuple[StoredRow, ...]:
    decoded = (_row(item) for item in encoded.get("rows") or ())
    return tuple(row for row in decoded if row is not None)


class StoreClient:
    """Client for the store, with one HTTP session per process."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        # Called for every request with its path and its status or exception type.
        self.count: Callable[[str, str], None] = lambda call, result: None

    async def open(self) -> None:
        """Open the session without connecting."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=8, keepalive_timeout=10, socket_factory=_make_socket
            )
        )

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, method: str, path: str, timeout_s: float, **options: Any
    ) -> tuple[int, Any]:
        if self._session is None:
            raise PlatformError("the HTTP session is not open; call open() first")
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, self._base + path, timeout=timeout, **options
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.count(path, type(error).__name__)
            raise PlatformError(f"{path}: {type(error).__name__}") from error
        self.count(path, str(response.status))
        if response.status not in (200, 410, 412):
            raise PlatformError(f"{path}: status {response.status}")
        try:
            return response.status, json.loads(body)
        except ValueError as error:
            if response.status == 410:
                return 410, {}
            raise PlatformError(f"{path}: the response is not JSON") from error

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
            page = _rows(encoded)
            rows += page
            # The first page's version makes the change feed repeat all changes since then.
            version = version or int(encoded["ver"])
            if not encoded.get("hasMore") or not page:
                return Changes(tuple(rows), version)
            first = page[-1].key + "\0"

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
        return Changes(_rows(encoded), int(encoded["ver"]))

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
            "POST", "/v1/rows-tx", REQUEST_TIMEOUT_S, json=body
        )
        if status == 412:
            return Conflict(_rows(encoded))
        return None
