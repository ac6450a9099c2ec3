"""HTTP client for the platform's table service and object store."""

from __future__ import annotations

import aiohttp

from agaterelay.ports import PlatformError, Row

MAX_BODY_BYTES = 4 << 20


class PlatformClient:
    """Client for both services, with one HTTP session per process."""

    def __init__(self, table_url: str, objects_url: str, timeout_s: float) -> None:
        self._table_url = table_url.rstrip("/")
        self._objects_url = objects_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the session without connecting."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def _request(
        self, method: str, url: str, body: bytes | None = None, **headers: str
    ) -> tuple[int, bytes, str]:
        if self._session is None:
            raise PlatformError("the HTTP session is not open; call open() first")
        try:
            async with self._session.request(
                method, url, data=body, headers=headers
            ) as response:
                content = await response.content.read(MAX_BODY_BYTES + 1)
                version = response.headers.get("Row-Version", "0")
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(f"{method} {url}: {type(error).__name__}") from error
        if response.status >= 500 or response.status == 429:
            raise PlatformError(f"{method} {url}: status {response.status}")
        return response.status, content, version

    async def read(self, name: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        status, body, version = await self._request("GET", f"{self._table_url}/{name}")
        if status == 404:
            return None
        if status != 200:
            raise PlatformError(f"GET {name}: status {status}")
        return Row(body, int(version))

    async def write(self, name: str, value: bytes, expected_version: int) -> bool:
        """Write a row if it has the expected version; return whether it had."""
        headers = {"If-Row-Version": str(expected_version)}
        url = f"{self._table_url}/{name}"
        status, _, _ = await self._request("PUT", url, value, **headers)
        if status not in (200, 412):
            raise PlatformError(f"PUT {name}: status {status}")
        return status == 200

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        status, body, _ = await self._request("GET", f"{self._objects_url}/{name}")
        if status not in (200, 404):
            raise PlatformError(f"GET {name}: status {status}")
        return body if status == 200 else None

    async def put(self, name: str, body: bytes) -> None:
        """Store an object, replacing one of the same name."""
        status, _, _ = await self._request("PUT", f"{self._objects_url}/{name}", body)
        if status != 200:
            raise PlatformError(f"PUT {name}: status {status}")
