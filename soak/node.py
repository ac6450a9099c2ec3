"""The deployed node, with its connections to other nodes routed through the proxy.

Nodes identify each other by the addresses that they listen on. To place the proxy between
two nodes, its address is substituted when a connection is opened; nothing else of the
node is changed.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from agaterelay.start import main
from soak.addresses import LINK_PORT, proxied_link_ip

_connect_directly = asyncio.BaseEventLoop.create_connection


async def create_connection(
    loop: asyncio.BaseEventLoop,
    factory: Any,
    host: str | None = None,
    port: int | None = None,
    **options: Any,
) -> Any:
    """Connect to other nodes through the proxy, and to everything else directly."""
    if port == LINK_PORT and host is not None:
        host = proxied_link_ip(sys.argv[1], host)
    return await _connect_directly(loop, factory, host, port, **options)


if __name__ == "__main__":
    asyncio.BaseEventLoop.create_connection = create_connection
    sys.exit(main())
