"""Run a node as a process, with network faults injected into its ports.

``PUT /cuts`` on the fault address sets the list of address prefixes that this node
cannot reach: every connection to them fails, and calls in flight to them are lost.
A cut is set on both ends for a full partition, and on one end for an asymmetric one.
``PUT /lost-answers`` sets how many of the next HTTP answers are lost.
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


class NetworkFaults:
    """The unreachable address prefixes, and how many HTTP answers are still to be lost."""

    def __init__(self) -> None:
        self.prefixes: tuple[str, ...] = ()
        self.lost_answers = 0

    def covers(self, address: str) -> bool:
        """Return whether an address is unreachable."""
        return any(address.startswith(prefix) for prefix in self.prefixes)


class FaultyPeers:
    """The peers port, with some hosts unreachable."""

    def __init__(self, peers: Any, cuts: NetworkFaults) -> None:
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


class FaultyPlatform:
    """A port of the platform, which can be made unreachable."""

    def __init__(self, platform: Any, address: str, cuts: NetworkFaults) -> None:
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


class FaultySession:
    """The HTTP session, with some addresses unreachable."""

    def __init__(self, session: aiohttp.ClientSession, cuts: NetworkFaults) -> None:
        self._session = session
        self._cuts = cuts

    def request(self, method: str, url: object, **options: Any) -> Any:
        """Start a request; its answer is lost where a cut begins in the meantime."""
        return _FaultyRequest(self._session, self._cuts, method, url, options)


class _FaultyRequest:
    def __init__(
        self,
        session: aiohttp.ClientSession,
        cuts: NetworkFaults,
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
            # A connection attempt whose packets are dropped ends only by its timeout.
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


class SkewedClock(SystemClock):
    """The system clock, with its wall time set back."""

    def __init__(self, behind_s: float) -> None:
        self._behind = timedelta(seconds=behind_s)

    def now(self) -> datetime:
        """Return the skewed wall time, in UTC."""
        return super().now() - self._behind


def inject_faults(
    ports: Ports, settings: Settings, cuts: NetworkFaults, clock_behind_s: float
) -> Ports:
    """Return the ports with injected faults.

    Args:
        ports: The ports of the unchanged node.
        settings: The settings of the node.
        cuts: The network faults, which may change while the node runs.
        clock_behind_s: How far the wall time is set back.
    """
    table = settings.table_url.partition("://")[2]
    objects = settings.objects_url.partition("://")[2]
    return Ports(
        table=FaultyPlatform(ports.table, table, cuts),
        objects=FaultyPlatform(ports.objects, objects, cuts),
        peers=FaultyPeers(ports.peers, cuts),
        session=FaultySession(ports.session, cuts),
        clock=SkewedClock(clock_behind_s),
    )


async def serve_faults(settings: Settings, cuts: NetworkFaults) -> None:
    """Serve the fault address on the IP address of the node."""

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
    """Serve the fault address and run the node."""
    cuts = NetworkFaults()
    await serve_faults(settings, cuts)
    await run_node(
        settings, lambda ports: inject_faults(ports, settings, cuts, clock_behind_s)
    )


def main() -> None:
    """Parse the arguments, load the settings and run the node."""
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
