"""The addresses of a soak test: each run has its own network in 127.0.0.0/8.

Host ``n`` has the address ``127.NET.1.n``. Its outgoing connections pass through the
proxy: it connects to the store at ``127.NET.2.n``, to its instance at ``127.NET.3.n`` and
to host ``m`` at ``127.NET.(100 + n).m``.
"""

from __future__ import annotations

import os
import socket

LINK_PORT = 7410
CALLS_PORT = 7411
READY_PORT = 7412
ANNOUNCE_PORT = 7413
INSTANCE_PORT = 7414
STORE_PORT = 7415
METRICS_PORT = 7390
FIRST_LINK_OCTET = 100
FIRST_NETWORK = 130
END_NETWORK = 250


def find_free_networks(count: int) -> list[int]:
    """Return up to ``count`` networks that no other soak test uses.

    The search begins at a network that depends on the process id, so that runs that start
    at the same time find different ones.
    """
    span = END_NETWORK - FIRST_NETWORK
    found: list[int] = []
    for step in range(span):
        net = FIRST_NETWORK + (os.getpid() * 13 + step) % span
        host, port = store_address(net).rsplit(":", 1)
        with socket.socket() as probe:
            try:
                probe.bind((host, int(port)))
            except OSError:
                continue
        found.append(net)
        if len(found) == count:
            break
    return found


def host_ip(net: int, number: int) -> str:
    """Return the IP address of a host."""
    return f"127.{net}.1.{number}"


def store_address(net: int) -> str:
    """Return the address on which the store listens."""
    return f"127.{net}.9.1:{STORE_PORT}"


def proxied_store_address(net: int, number: int) -> str:
    """Return the proxy's address through which a host reaches the store."""
    return f"127.{net}.2.{number}:{STORE_PORT}"


def proxied_instance_address(net: int, number: int) -> str:
    """Return the proxy's address through which a host reaches its instance."""
    return f"127.{net}.3.{number}:{INSTANCE_PORT}"


def proxied_link_ip(own_ip: str, other_ip: str) -> str:
    """Return the proxy's IP address through which one host reaches another."""
    _, net, _, number = own_ip.split(".")
    other = other_ip.rsplit(".", 1)[1]
    return f"127.{net}.{FIRST_LINK_OCTET + int(number)}.{other}"
