"""``agaterelay move``: list the moves, show one, take one back."""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import quote

import attrs
import cappa

from agaterelay.cli.api import ask, read, refusal
from agaterelay.cli.options import AsJson, KeyFile, NodeAddress, read_key
from agaterelay.cli.outcome import CommandError, Exit, show, table

MoveName = Annotated[str, cappa.Arg(help="The move's name.")]
_VERDICTS = {"done": "done", "reverted": "reverted"}


def run_list(command: MoveList) -> None:
    """Print a line a move."""
    answer = read(command.node, "/v1/moves")
    rows: list[tuple[Any, ...]] = [("move", "verdict", "service", "from", "to",
                                    "share", "finish by", "why")]  # fmt: skip
    for move in answer["moves"]:
        rows.append(
            (
                move["name"],
                verdict_of(move),
                move["service"],
                move["from_version"],
                move["to_version"],
                share_of(move),
                move["finish_by"][:19],
                move["reason"],
            )
        )
    lines = table(rows) if answer["moves"] else ["no moves"]
    show(answer, command.json, lines)


def verdict_of(move: dict[str, Any]) -> str:
    """Return whether a move is done, reverted, or in progress and how."""
    state = move["state"]
    verdict = _VERDICTS.get(state, f"in progress ({state})")
    return f"{verdict}, late" if move.get("late") else verdict


def share_of(move: dict[str, Any]) -> str:
    """Return the share of the new version, in percent."""
    return f"{move['share_permille'] / 10:g} %"


def move_lines(move: dict[str, Any]) -> list[str]:
    """Return what there is to say on one move."""
    lines = [
        f"move {move['name']}: {verdict_of(move)}",
        f"  {move['service']} {move['from_version']} -> {move['to_version']}, "
        f"share {share_of(move)}",
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


@cappa.command(name="list", invoke=run_list, help="Show all moves.")
@attrs.define
class MoveList:
    """The arguments of ``move list``."""

    node: NodeAddress
    json: AsJson = False


def run_show(command: MoveShow) -> None:
    """Print one move."""
    move = _find_move(command.node, command.name)
    show(move, command.json, move_lines(move))


def _find_move(node: str, name: str) -> dict[str, Any]:
    for move in read(node, "/v1/moves")["moves"]:
        if move["name"] == name:
            return move
    raise CommandError(Exit.NOT_FOUND, f"there is no move {name!r}")


@cappa.command(name="show", invoke=run_show, help="Show one move.")
@attrs.define
class MoveShow:
    """The arguments of ``move show``."""

    name: MoveName
    node: NodeAddress
    json: AsJson = False


def run_take_back(command: MoveTakeBack) -> None:
    """Take a move back with its owner's key."""
    key = read_key(command.key_file)
    path = f"/v1/moves/{quote(command.name, safe='')}/take-back"
    answer = ask(command.node, "POST", path, {}, key)
    if answer.status != 200:
        raise refusal(answer)
    text = f"move {command.name}: reverted with revision {answer.body['revision']}"
    show(answer.body, command.json, [text])


@cappa.command(name="take-back", invoke=run_take_back, help="Take a move back.")
@attrs.define
class MoveTakeBack:
    """The arguments of ``move take-back``."""

    name: MoveName
    node: NodeAddress
    key_file: KeyFile
    json: AsJson = False


@cappa.command(name="move", help="List moves, show one, or take one back.")
@attrs.define
class Move:
    """The arguments of ``move``."""

    action: cappa.Subcommands[MoveList | MoveShow | MoveTakeBack]
