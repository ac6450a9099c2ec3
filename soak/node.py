"""The deployed node, with what it dials led through the soak's proxy.

Nodes are known by the addresses that they listen on; to be between two of them the
proxy is dialled in place of the other. Nothing else of the node is changed.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from agaterelay.start import main
from soak.addresses import LINK_PORT, proxied_link

_create_connection = asyncio.BaseEventLoop.create_connection


async def create_connection(
    loop: asyncio.BaseEventLoop,
    factory: Any,
    host: str | None = None,
    port: int | None = None,
    **options: Any,
) -> Any:
    """Dial another node by way of the proxy, and everything else as asked."""
    if port == LINK_PORT and host is not None:
        host = proxied_link(sys.argv[1], host)
    return await _create_connection(loop, factory, host, port, **options)


if __name__ == "__main__":
    asyncio.BaseEventLoop.create_connection = create_connection
    sys.exit(main())
