"""The operators' program: its commands, and how its errors become exit statuses."""

from __future__ import annotations

import json
import sys

import attrs
import cappa

from agaterelay.cli.apply import Apply, Remove
from agaterelay.cli.check import Check
from agaterelay.cli.diff import Diff
from agaterelay.cli.drain import Drain
from agaterelay.cli.key import Key
from agaterelay.cli.move import Move
from agaterelay.cli.outcome import CommandError
from agaterelay.cli.show import Show
from agaterelay.cli.status import Status
from agaterelay.cli.timeline import Timeline

INTERRUPTED = 130


@cappa.command(name="agaterelay", help="Configuration distribution for a mesh.")
@attrs.define
class Agaterelay:
    """The program's commands; ``agaterelay node --settings FILE`` runs a node."""

    command: cappa.Subcommands[
        Check | Diff | Apply | Remove | Show | Status | Move | Drain | Key | Timeline
    ]


def run_command(arguments: list[str]) -> int:
    """Run the command that the arguments name; return its exit status."""
    try:
        cappa.invoke(Agaterelay, argv=arguments)
    except CommandError as error:
        if "--json" in arguments and error.details:
            print(json.dumps(error.details, indent=2))
        print(error.message, file=sys.stderr)
        return int(error.code)
    except KeyboardInterrupt:
        return INTERRUPTED
    except BrokenPipeError:
        sys.stderr.close()
        return 0
    return 0
