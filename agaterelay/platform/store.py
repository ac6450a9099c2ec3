"""The client of the platform's store: rows, conditional transactions, change feeds."""

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

# The store answers within 10 ms when it is well; more than this helps nobody.
CALL_TIMEOUT_S = 1.5
# How much later than asked the answer to a waiting call may come.
WAIT_MARGIN_S = 1.2
# A connection that fell silent is given up after about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000
# One page; larger tables are read page by page.
PAGE_ROWS = 500


def _make_socket(info: Any) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return made


def _row(plain: Any) -> StoredRow | None:
    """Decode a row; None where another writer left something unreadable."""
    try:
        deleted = bool(plain.get("deleted"))
        value = b"" if deleted else base64.b64decode(plain.get("value") or "")
        # "ver" is the row's own version here, and the whole store's one level up.
        return StoredRow(
            str(plain["table"]), str(plain["key"]), value, int(plain["ver"]), deleted
        )
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error):
        return None


def _rows(plain: Any) -> tuple[StoredRow, ...]:
    decoded = (_row(item) for item in plain.get("rows") or ())
    return tuple(row for row in decoded if row is not None)


class StoreClient:
    """Speaks to the store; one session a process."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        # Told the name and the result of every call.
        self.count: Callable[[str, str], None] = lambda call, result: None

    async def open(self) -> None:
        """Open the session; nothing is sent yet."""
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
            raise PlatformError("the session is not open")
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
            raise PlatformError(f"{path}: the answer is not JSON") from error

    async def read_table(self, table: str, first: str = "", end: str = "") -> Changes:
        """Return the rows of a table, as of one moment a page.

        Raises:
            PlatformError: The store did not answer.
        """
        rows: list[StoredRow] = []
        version = 0
        while True:
            params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if first:
                params["from"] = first
            if end:
                params["to"] = end
            _, plain = await self._call(
                "GET", "/v1/rows-get", CALL_TIMEOUT_S, params=params
            )
            page = _rows(plain)
            rows += page
            # Changes after the first page are seen again in the feed from there.
            version = version or int(plain["ver"])
            if not plain.get("hasMore") or not page:
                return Changes(tuple(rows), version)
            first = page[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Changes:
        """Return what changed in a table after a version, when there is something.

        Raises:
            HistoryLostError: The store no longer has the changes.
            PlatformError: The store did not answer.
        """
        params = {
            "table": table,
            "after": str(after_version),
            "waitMs": str(int(wait_s * 1000)),
        }
        status, plain = await self._call(
            "GET", "/v1/rows-feed", wait_s + WAIT_MARGIN_S, params=params
        )
        if status == 410:
            raise HistoryLostError(f"{table} after {after_version}")
        return Changes(_rows(plain), int(plain["ver"]))

    async def write(
        self, writes: Iterable[StoredRow], removes: Iterable[StoredRow] = ()
    ) -> Conflict | None:
        """Write or remove rows together, if each still has the version it names.

        Returns:
            None where all was done, else the present rows.

        Raises:
            PlatformError: Nobody knows whether it was done, or will be.
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
        status, plain = await self._call(
            "POST", "/v1/rows-tx", CALL_TIMEOUT_S, json=body
        )
        if status == 412:
            return Conflict(_rows(plain))
        return None
