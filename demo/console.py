"""Run operators' commands as an operator would, and show what they print."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

_CONVERGED = re.compile(r"in force everywhere after ([0-9.]+) s")


class DemoError(Exception):
    """The deployment did not do what it should; the message says what."""


def say(text: str) -> None:
    """Print a line of the story."""
    print(f"\n{text}", flush=True)


def run_command(*arguments: str | Path, last_lines: int = 0) -> str:
    """Run an operators' command and show it with its output.

    Args:
        arguments: The command and its arguments; paths are shown by their names.
        last_lines: How many lines of the output to show, 0 for all.

    Returns:
        The whole output.

    Raises:
        DemoError: The command failed.
    """
    shown = " ".join(
        item.name if isinstance(item, Path) else item for item in arguments
    )
    print(f"$ agaterelay {shown}")
    command = [sys.executable, "-m", "agaterelay.cli.main", *map(str, arguments)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    lines = done.stdout.splitlines()
    if last_lines and len(lines) > last_lines:
        print(f"  ... {len(lines) - last_lines} earlier line(s)")
    for line in lines[-last_lines:]:
        print(f"  {line}")
    sys.stdout.flush()
    if done.returncode:
        raise DemoError(f"exit status {done.returncode}: {done.stderr.strip()}")
    return done.stdout


def converged_s(output: str) -> list[float]:
    """Return the convergence times that ``apply --wait`` printed."""
    return [float(text) for text in _CONVERGED.findall(output)]
