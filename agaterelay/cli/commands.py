"""The command line's commands, and the exit status for each error."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from agaterelay.cli.apply import Apply, Remove
from agaterelay.cli.check import Check
from agaterelay.cli.diff import Diff
from agaterelay.cli.drain import Drain
from agaterelay.cli.explain import Explain
from agaterelay.cli.key import Key
from agaterelay.cli.move import Move
from agaterelay.cli.outcome import CommandError, Exit
from agaterelay.cli.show import Show
from agaterelay.cli.status import Status
from agaterelay.cli.timeline import Timeline

INTERRUPTED_STATUS = 130


def reject_node_command(command: Node) -> None:
    """Reject ``node`` here; ``agaterelay.cli.main`` starts it without these libraries.

    Raises:
        CommandError: Always, with the usage of the command.
    """
    usage = f"usage: agaterelay node --settings {command.settings}"
    raise CommandError(Exit.USAGE, usage)


@cappa.command(
    invoke=reject_node_command, help="Run a node: agaterelay node --settings FILE."
)
@attrs.define
class Node:
    """The arguments of ``node``, declared for the help text."""

    settings: Annotated[
        Path, cappa.Arg(long="--settings", help="The node's settings, a TOML file.")
    ]


@cappa.command(name="agaterelay", help="Configuration distribution for a mesh.")
@attrs.define
class Agaterelay:
    """The program's commands; ``agaterelay node --settings FILE`` runs a node."""

    command: cappa.Subcommands[
        Check
        | Diff
        | Apply
        | Remove
        | Show
        | Status
        | Move
        | Drain
        | Key
        | Timeline
        | Explain
        | Node
    ]


def run_command(arguments: list[str]) -> int:
    """Parse the arguments, run their command and return its exit status."""
    try:
        cappa.invoke(Agaterelay, argv=arguments)
    except CommandError as error:
        if "--json" in arguments and error.details:
            print(json.dumps(error.details, indent=2))
        print(error.message, file=sys.stderr)
        return int(error.code)
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS
    except BrokenPipeError:
        sys.stderr.close()
        return 0
    return 0
