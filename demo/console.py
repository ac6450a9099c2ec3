"""Run operators' commands in processes, and print them with their output."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

_CONVERGED = re.compile(r"in force everywhere after ([0-9.]+) s")


class DemoError(Exception):
    """The deployment did not behave as expected; the message describes how."""


def print_step(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n{text}", flush=True)


def run_command(*arguments: str | Path, last_lines: int = 0) -> str:
    """Run an operators' command and print it with its output.

    Args:
        arguments: The command and its arguments; of paths only the file name is printed.
        last_lines: How many lines at the end of the output to print, 0 for all.

    Returns:
        The complete standard output.

    Raises:
        DemoError: The command ended with an exit status other than 0.
    """
    command_line = " ".join(
        item.name if isinstance(item, Path) else item for item in arguments
    )
    print(f"$ agaterelay {command_line}")
    command = [sys.executable, "-m", "agaterelay.cli.main", *map(str, arguments)]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    lines = completed.stdout.splitlines()
    if last_lines and len(lines) > last_lines:
        print(f"  ... {len(lines) - last_lines} earlier line(s)")
    for line in lines[-last_lines:]:
        print(f"  {line}")
    sys.stdout.flush()
    if completed.returncode:
        raise DemoError(
            f"exit status {completed.returncode}: {completed.stderr.strip()}"
        )
    return completed.stdout


def converged_s(output: str) -> list[float]:
    """Return the convergence times, in seconds, that ``apply --wait`` printed."""
    return [float(text) for text in _CONVERGED.findall(output)]
