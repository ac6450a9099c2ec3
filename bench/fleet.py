"""Change the document of a deployment for the benches, and wait for its activation."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Iterable
from typing import Any

import aiohttp

from standins.deployment import ADMIN_KEY, Deployment

POLL_PERIOD_S = 0.05
ACTIVATION_TIMEOUT_S = 60.0
BENCH_KEY = "bench-key"
ZONE_COUNT = 8
SERVICE_COUNT = 32


def distribute_nodes(nodes: int, zones: int = 3) -> dict[str, int]:
    """Return the number of nodes by zone, as evenly distributed as possible."""
    return {
        f"zone-{index + 1}": nodes // zones + (1 if index < nodes % zones else 0)
        for index in range(zones)
    }


def build_document(
    services: int = SERVICE_COUNT, version: str = "v1"
) -> dict[str, str]:
    """Return the sections, by name, of a document with a number of services."""
    key = hashlib.sha256(BENCH_KEY.encode()).hexdigest()
    sections = {
        "owners": f"section: owners\nowner: admin\nowners:\n"
        f"  - name: team\n    key_sha256: {key}\n"
    }
    for index in range(services):
        name = f"service-{index}"
        sections[name] = build_section(name, version)
    return sections


def build_section(name: str, version: str, timeout_ms: int = 1000) -> str:
    """Return the section of one service with four routes."""
    routes = "".join(
        f"  - name: {name}-{route}\n    path: /{name}/{route}\n"
        f"    service: {name}\n    timeout_ms: {timeout_ms}\n"
        for route in ("first", "second", "third", "fourth")
    )
    return (
        f"section: {name}\nowner: team\nservices:\n  - name: {name}\n"
        f"    version: {version}\nroutes:\n{routes}"
    )


class Fleet:
    """An operator's connections to the nodes of a deployment."""

    def __init__(self, running: Deployment) -> None:
        self.running = running
        self.digests: dict[str, str] = {}
        self.changes = 0
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Fleet:
        timeout = aiohttp.ClientTimeout(total=5)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def get(self, url: str) -> Any:
        """Return the JSON at a URL, or None if there is no answer."""
        try:
            async with self._session.get(url) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def change(self, name: str, text: str) -> dict[str, Any]:
        """Change a section through the first node and return its record.

        Raises:
            RuntimeError: The change was refused.
        """
        key = ADMIN_KEY if name == "owners" else BENCH_KEY
        self.changes += 1
        body = {
            "change_id": f"bench-change-{self.changes:06d}",
            "text": text,
            "base_digest": self.digests.get(name, ""),
        }
        url = f"http://{self.running.hosts[0].operators}/v1/changes"
        headers = {"Authorization": f"Bearer {key}"}
        async with self._session.post(url, json=body, headers=headers) as response:
            record = await response.json()
            if response.status != 200:
                raise RuntimeError(str(record))
        self.digests[name] = record["digest"]
        return record

    async def nodes(self, skip: Iterable[str] = ()) -> list[dict[str, Any] | None]:
        """Return the state that each node reports, in the order of the hosts."""
        skipped = set(skip)
        urls = [
            f"http://{host.operators}/v1/node"
            for host in self.running.hosts
            if host.ip not in skipped
        ]
        return list(await asyncio.gather(*(self.get(url) for url in urls)))

    async def wait_for_activations(
        self, revision: int, skip: Iterable[str] = ()
    ) -> list[int]:
        """Wait until all nodes serve a revision.

        Returns:
            When each node activated its revision, in milliseconds since the epoch.

        Raises:
            TimeoutError: Some node did not serve the revision in time.
        """
        deadline_s = time.monotonic() + ACTIVATION_TIMEOUT_S
        while time.monotonic() < deadline_s:
            nodes = await self.nodes(skip)
            if all(node and node["active_revision"] >= revision for node in nodes):
                return [node["activated_ms"] for node in nodes]
            await asyncio.sleep(POLL_PERIOD_S)
        raise TimeoutError(f"some nodes do not serve revision {revision} yet")

    async def commit_document(self, services: int = SERVICE_COUNT) -> int:
        """Commit the whole document, await its activation and return its revision."""
        for name, text in build_document(services).items():
            record = await self.change(name, text)
        await self.wait_for_activations(record["revision"])
        return record["revision"]
