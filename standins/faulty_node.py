"""Run the product's node with faults at its ports, as a process of its own.

``PUT /cuts`` on the fault address takes a list of address prefixes that this node
cannot reach; every connection to them fails, and calls under way to them are lost.
Both ends of a full cut are told; telling one end alone makes an asymmetric cut.
``PUT /lost-answers`` takes a number of answers over HTTP that will be lost.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from agaterelay.adapters.clock import SystemClock
from agaterelay.adapters.log import configure_log
from agaterelay.adapters.settings import Settings, load_settings
from agaterelay.node import Ports, run_node
from agaterelay.ports import PeerError, PlatformError

FAULT_PORT = 7003


class Cuts:
    """The address prefixes that are out of reach, and how many answers to lose."""

    def __init__(self) -> None:
        self.prefixes: tuple[str, ...] = ()
        self.lost_answers = 0

    def covers(self, address: str) -> bool:
        """Return whether an address is out of reach."""
        return any(address.startswith(prefix) for prefix in self.prefixes)


class CutPeers:
    """The peers' port, where some hosts do not answer."""

    def __init__(self, peers: Any, cuts: Cuts) -> None:
        self._peers = peers
        self._cuts = cuts

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._peers, name)

        async def call(host: str, *arguments: Any) -> Any:
            if self._cuts.covers(host):
                raise PeerError(f"{name} to {host}: cut")
            answer = await method(host, *arguments)
            if self._cuts.covers(host):
                raise PeerError(f"{name} to {host}: cut")
            return answer

        return call


class CutPlatform:
    """A port of the platform, which is sometimes out of reach."""

    def __init__(self, platform: Any, address: str, cuts: Cuts) -> None:
        self._platform = platform
        self._address = address
        self._cuts = cuts

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._platform, name)

        async def call(*arguments: Any) -> Any:
            if self._cuts.covers(self._address):
                raise PlatformError("cut")
            answer = await method(*arguments)
            if self._cuts.covers(self._address):
                raise PlatformError("cut")
            return answer

        return call


class CutSession:
    """The HTTP session, where some addresses do not answer."""

    def __init__(self, session: aiohttp.ClientSession, cuts: Cuts) -> None:
        self._session = session
        self._cuts = cuts

    def request(self, method: str, url: object, **options: Any) -> Any:
        """Start a request; the answer of one that is cut half-way is lost."""
        return _CutRequest(self._session, self._cuts, method, url, options)


class _CutRequest:
    def __init__(
        self,
        session: aiohttp.ClientSession,
        cuts: Cuts,
        method: str,
        url: object,
        options: dict[str, Any],
    ) -> None:
        self._cuts = cuts
        self._address = str(url).partition("://")[2].partition("/")[0]
        self._request = session.request(method, url, **options)

    async def __aenter__(self) -> aiohttp.ClientResponse:
        if self._cuts.covers(self._address):
            self._request.close()
            # A dropped connection attempt gives no answer until its timeout.
            await asyncio.sleep(1.0)
            raise aiohttp.ServerTimeoutError("cut")
        response = await self._request.__aenter__()
        lost = self._cuts.lost_answers > 0
        self._cuts.lost_answers -= lost
        if lost or self._cuts.covers(self._address):
            response.close()
            raise aiohttp.ServerDisconnectedError("cut")
        return response

    async def __aexit__(self, *error: object) -> None:
        await self._request.__aexit__(*error)


class LateClock(SystemClock):
    """The system's clock, whose wall time is behind."""

    def __init__(self, behind_s: float) -> None:
        self._behind = timedelta(seconds=behind_s)

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return super().now() - self._behind


def wrap_ports(
    ports: Ports, settings: Settings, cuts: Cuts, clock_behind_s: float
) -> Ports:
    """Return the ports with cuts in them."""
    table = settings.table_url.partition("://")[2]
    objects = settings.objects_url.partition("://")[2]
    return Ports(
        table=CutPlatform(ports.table, table, cuts),
        objects=CutPlatform(ports.objects, objects, cuts),
        peers=CutPeers(ports.peers, cuts),
        session=CutSession(ports.session, cuts),
        clock=LateClock(clock_behind_s),
    )


async def serve_faults(settings: Settings, cuts: Cuts) -> None:
    """Serve the fault address on the node's own IP number."""

    async def set_cuts(request: web.Request) -> web.Response:
        cuts.prefixes = tuple(await request.json())
        return web.json_response({})

    async def set_lost_answers(request: web.Request) -> web.Response:
        cuts.lost_answers = await request.json()
        return web.json_response({})

    application = web.Application()
    application.router.add_put("/cuts", set_cuts)
    application.router.add_put("/lost-answers", set_lost_answers)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host = settings.peers_address.rsplit(":", 1)[0]
    await web.TCPSite(runner, host, FAULT_PORT).start()


async def run(settings: Settings, clock_behind_s: float) -> None:
    """Run the node and its fault address."""
    cuts = Cuts()
    await serve_faults(settings, cuts)
    await run_node(
        settings, lambda ports: wrap_ports(ports, settings, cuts, clock_behind_s)
    )


def main() -> None:
    """Read the settings and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--clock-behind-s", type=float, default=0.0)
    arguments = parser.parse_args()
    settings, findings = load_settings(arguments.settings)
    if settings is None:
        sys.exit("\n".join(map(str, findings)))
    configure_log()
    asyncio.run(run(settings, arguments.clock_behind_s))


if __name__ == "__main__":
    main()
