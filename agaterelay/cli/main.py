"""The program's entry point.

A node starts without importing the command line's libraries, since every host would
pay for their memory without using them.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

NODE_USAGE = "usage: agaterelay node --settings FILE"


def main() -> None:
    """Start a node or run another command, and exit with its status."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["node"] and not {"--help", "-h"} & set(arguments):
        sys.exit(run_node_command(arguments[1:]))
    from agaterelay.cli.commands import run_command

    sys.exit(run_command(arguments))


def run_node_command(arguments: list[str]) -> int:
    """Run a node until it stops and return its exit status."""
    if len(arguments) != 2 or arguments[0] != "--settings":
        print(NODE_USAGE, file=sys.stderr)
        return 2
    # The RPC library would otherwise write lines to standard error that are not
    # numbered events.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    from agaterelay.node import run

    return run(Path(arguments[1]))


if __name__ == "__main__":
    main()
