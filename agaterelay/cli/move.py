"""``agaterelay move``: lists the moves, shows one or reverts one."""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import quote

import attrs
import cappa

from agaterelay.cli.api import error_from_response, fetch_body, send_request
from agaterelay.cli.options import AsJson, KeyFile, NodeAddress, read_key
from agaterelay.cli.outcome import CommandError, Exit, format_table, print_result

MoveName = Annotated[str, cappa.Arg(help="The move's name.")]
_VERDICT_BY_FINAL_STATE = {"done": "done", "reverted": "reverted"}


def run_move_list(command: MoveList) -> None:
    """Print the moves, one per line."""
    response = fetch_body(command.node, "/v1/moves")
    rows: list[tuple[Any, ...]] = [("move", "verdict", "service", "from", "to",
                                    "share", "finish by", "why")]  # fmt: skip
    for move in response["moves"]:
        rows.append(
            (
                move["name"],
                format_verdict(move),
                move["service"],
                move["from_version"],
                move["to_version"],
                format_share(move),
                move["finish_by"][:19],
                move["reason"],
            )
        )
    lines = format_table(rows) if response["moves"] else ["no moves"]
    print_result(response, command.json, lines)


def format_verdict(move: dict[str, Any]) -> str:
    """Return whether a move is done, reverted or in progress, and whether it is late."""
    state = move["state"]
    verdict = _VERDICT_BY_FINAL_STATE.get(state, f"in progress ({state})")
    return f"{verdict}, late" if move.get("late") else verdict


def format_share(move: dict[str, Any]) -> str:
    """Return the traffic share of the new version as a percentage."""
    return f"{move['share_permille'] / 10:g} %"


def format_move(move: dict[str, Any]) -> list[str]:
    """Return the lines that describe one move."""
    lines = [
        f"move {move['name']}: {format_verdict(move)}",
        f"  {move['service']} {move['from_version']} -> {move['to_version']}, "
        f"share {format_share(move)}",
        f"  started {move['started_at'][:19]}, finish by {move['finish_by'][:19]}",
    ]
    if move.get("late_reason"):
        lines.append(f"  late: {move['late_reason']}")
    if move["finished_at"]:
        lines.append(f"  finished {move['finished_at'][:19]}")
    if move["reason"]:
        lines.append(f"  why: {move['reason']}")
    if move["first_failure_at"]:
        lines.append(
            f"  first failure {move['first_failure_at'][:23]}, "
            f"{move['calls_harmed']} call(s) harmed"
        )
    return lines


@cappa.command(name="list", invoke=run_move_list, help="Show all moves.")
@attrs.define
class MoveList:
    """The arguments of ``move list``."""

    node: NodeAddress
    json: AsJson = False


def run_move_show(command: MoveShow) -> None:
    """Print one move."""
    move = _find_move(command.node, command.name)
    print_result(move, command.json, format_move(move))


def _find_move(node: str, name: str) -> dict[str, Any]:
    for move in fetch_body(node, "/v1/moves")["moves"]:
        if move["name"] == name:
            return move
    raise CommandError(Exit.NOT_FOUND, f"there is no move {name!r}")


@cappa.command(name="show", invoke=run_move_show, help="Show one move.")
@attrs.define
class MoveShow:
    """The arguments of ``move show``."""

    name: MoveName
    node: NodeAddress
    json: AsJson = False


def run_take_back(command: MoveTakeBack) -> None:
    """Revert a move with its owner's key."""
    key = read_key(command.key_file)
    path = f"/v1/moves/{quote(command.name, safe='')}/take-back"
    response = send_request(command.node, "POST", path, {}, key)
    if response.status != 200:
        raise error_from_response(response)
    text = f"move {command.name}: reverted with revision {response.body['revision']}"
    print_result(response.body, command.json, [text])


@cappa.command(name="take-back", invoke=run_take_back, help="Revert a move.")
@attrs.define
class MoveTakeBack:
    """The arguments of ``move take-back``."""

    name: MoveName
    node: NodeAddress
    key_file: KeyFile
    json: AsJson = False


@cappa.command(name="move", help="List moves, show one, or revert one.")
@attrs.define
class Move:
    """The arguments of ``move``."""

    action: cappa.Subcommands[MoveList | MoveShow | MoveTakeBack]
