"""Where everything of a soak listens: one network of 127.0.0.0/8 a run.

Host ``n`` has the address ``127.NET.1.n``. What it dials is led through the proxy: to
the store at ``127.NET.2.n``, to its instance at ``127.NET.3.n``, and to host ``m`` at
``127.NET.(100 + n).m``.
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
FIRST_LINK_PART = 100
FIRST_NET = 130
LAST_NET = 250


def free_nets(count: int) -> list[int]:
    """Return networks in which nothing of another soak listens.

    Where to begin hangs on the process, so that soaks that start together differ.
    """
    span = LAST_NET - FIRST_NET
    found: list[int] = []
    for step in range(span):
        net = FIRST_NET + (os.getpid() * 13 + step) % span
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
    """Return a host's own address."""
    return f"127.{net}.1.{number}"


def store_address(net: int) -> str:
    """Return where the store listens."""
    return f"127.{net}.9.1:{STORE_PORT}"


def proxied_store(net: int, number: int) -> str:
    """Return where a host finds the store."""
    return f"127.{net}.2.{number}:{STORE_PORT}"


def proxied_instance(net: int, number: int) -> str:
    """Return where a host finds its instance."""
    return f"127.{net}.3.{number}:{INSTANCE_PORT}"


def proxied_link(own_ip: str, other_ip: str) -> str:
    """Return the address by which one host dials another."""
    _, net, _, number = own_ip.split(".")
    other = other_ip.rsplit(".", 1)[1]
    return f"127.{net}.{FIRST_LINK_PART + int(number)}.{other}"
