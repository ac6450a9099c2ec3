"""``agaterelay drain``: starts or ends the drain of an upstream or a host."""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import quote

import attrs
import cappa

from agaterelay.cli.api import error_from_response, fetch_body, send_request
from agaterelay.cli.options import AsJson, KeyFile, NodeAddress, read_key
from agaterelay.cli.outcome import CommandError, Exit, print_result

Undo = Annotated[bool, cappa.Arg(long="--undo", help="End the drain.")]


def run_drain_upstream(command: DrainUpstream) -> None:
    """Drain the upstream at an address, through the node of its host."""
    status = fetch_body(command.node, "/v1/status")
    hosts = {item["address"]: item["host"] for item in status["upstreams"]}
    if command.address not in hosts:
        raise CommandError(Exit.NOT_FOUND, f"there is no upstream {command.address}")
    node = _find_operators_address(status, hosts[command.address])
    path = f"/v1/upstreams/{quote(command.address, safe=':')}/drain"
    _send_drain(command, node, path, f"upstream {command.address}")


def run_drain_host(command: DrainHost) -> None:
    """Drain all upstreams of a host, through its node."""
    status = fetch_body(command.node, "/v1/status")
    node = _find_operators_address(status, command.host)
    _send_drain(command, node, "/v1/drain", f"host {command.host}")


def _find_operators_address(status: dict[str, Any], host: str) -> str:
    """Return the operators' address of a host's node.

    Args:
        status: The nodes' status.
        host: The host as ``status`` shows it, with or without its port.

    Raises:
        CommandError: The host is not known, or its node does not answer.
    """
    for item in status["nodes"]:
        if host in (item["host"], item["host"].rsplit(":", 1)[0]):
            return item["operators_address"]
    if host in status["unreachable"] + status["lost"]:
        message = f"the node of host {host} does not answer"
        raise CommandError(Exit.NODE_UNREACHABLE, message)
    raise CommandError(Exit.NOT_FOUND, f"there is no host {host}")


def _send_drain(
    command: DrainUpstream | DrainHost, node: str, path: str, target: str
) -> None:
    key = read_key(command.key_file)
    response = send_request(node, "DELETE" if command.undo else "POST", path, key=key)
    if response.status != 200:
        raise error_from_response(response)
    in_flight = response.body["in_flight"]
    text = f"{target} takes no new work; {in_flight} call(s) in flight"
    if command.undo:
        text = f"{target} takes new work again with its next heartbeat"
    print_result(response.body, command.json, [text])


@cappa.command(name="upstream", invoke=run_drain_upstream, help="Drain one upstream.")
@attrs.define
class DrainUpstream:
    """The arguments of ``drain upstream``."""

    address: Annotated[str, cappa.Arg(help="The upstream's address.")]
    node: NodeAddress
    key_file: KeyFile
    undo: Undo = False
    json: AsJson = False


@cappa.command(
    name="host", invoke=run_drain_host, help="Drain all upstreams of a host."
)
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
