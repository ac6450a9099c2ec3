"""``agaterelay drain``: send an upstream or a whole host no new work, or undo that."""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import quote

import attrs
import cappa

from agaterelay.cli.api import ask, read, refusal
from agaterelay.cli.options import AsJson, KeyFile, NodeAddress, read_key
from agaterelay.cli.outcome import CommandError, Exit, show

Undo = Annotated[bool, cappa.Arg(long="--undo", help="End the drain.")]


def run_upstream(command: DrainUpstream) -> None:
    """Drain the upstream at an address, through the node of its host."""
    status = read(command.node, "/v1/status")
    hosts = {item["address"]: item["host"] for item in status["upstreams"]}
    if command.address not in hosts:
        raise CommandError(Exit.NOT_FOUND, f"there is no upstream {command.address}")
    node = _operators_address(status, hosts[command.address])
    path = f"/v1/upstreams/{quote(command.address, safe=':')}/drain"
    _send(command, node, path, f"upstream {command.address}")


def run_host(command: DrainHost) -> None:
    """Drain all upstreams of a host, through its node."""
    status = read(command.node, "/v1/status")
    node = _operators_address(status, command.host)
    _send(command, node, "/v1/drain", f"host {command.host}")


def _operators_address(status: dict[str, Any], host: str) -> str:
    for item in status["nodes"]:
        if host in (item["host"], item["host"].rsplit(":", 1)[0]):
            return item["operators_address"]
    if host in status["unreachable"] + status["lost"]:
        message = f"the node of host {host} does not answer"
        raise CommandError(Exit.NODE_UNREACHABLE, message)
    raise CommandError(Exit.NOT_FOUND, f"there is no host {host}")


def _send(command: DrainUpstream | DrainHost, node: str, path: str, what: str) -> None:
    key = read_key(command.key_file)
    answer = ask(node, "DELETE" if command.undo else "POST", path, key=key)
    if answer.status != 200:
        raise refusal(answer)
    in_flight = answer.body["in_flight"]
    text = f"{what} takes no new work; {in_flight} call(s) in flight"
    if command.undo:
        text = f"{what} takes new work again with its next heartbeat"
    show(answer.body, command.json, [text])


@cappa.command(name="upstream", invoke=run_upstream, help="Drain one upstream.")
@attrs.define
class DrainUpstream:
    """The arguments of ``drain upstream``."""

    address: Annotated[str, cappa.Arg(help="The upstream's address.")]
    node: NodeAddress
    key_file: KeyFile
    undo: Undo = False
    json: AsJson = False


@cappa.command(name="host", invoke=run_host, help="Drain all upstreams of a host.")
@attrs.define
class DrainHost:
    """The arguments of ``drain host``."""

    host: Annotated[str, cappa.Arg(help="The host, as status names it.")]
    node: NodeAddress
    key_file: KeyFile
    undo: Undo = False
    json: AsJson = False


@cappa.command(name="drain", help="Send an upstream or a host no new work.")
@attrs.define
class Drain:
    """The arguments of ``drain``."""

    what: cappa.Subcommands[DrainUpstream | DrainHost]
