"""Exit statuses and errors of commands, and the printing of their results."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Any

from agaterelay.core.manifest import finding_to_json_value
from agaterelay.core.model import Finding


class Exit(IntEnum):
    """The exit statuses of all commands; ``docs/OPERATORS.md`` explains them."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    FORBIDDEN = 4
    LOST_RACE = 5
    PLATFORM_UNREACHABLE = 6
    NODE_UNREACHABLE = 7
    NOT_IN_FORCE = 8
    NOT_FOUND = 9


class CommandError(Exception):
    """A command failed with an exit status.

    ``details`` is the machine-readable result that ``--json`` prints.
    """

    def __init__(
        self, code: Exit, message: str, details: dict[str, Any] | None = None
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.details = details or {}


def format_findings(findings: Sequence[Finding], where: str) -> str:
    """Return findings as lines of text, with a line that counts them."""
    lines = "\n".join(map(str, findings))
    return f"{lines}\n{len(findings)} finding(s) {where}; nothing was sent"


class FindingsError(CommandError):
    """The document has findings; nothing was sent."""

    def __init__(self, findings: Iterable[Finding], where: str) -> None:
        findings = tuple(findings)
        message = format_findings(findings, where)
        details = {"findings": [finding_to_json_value(finding) for finding in findings]}
        super().__init__(Exit.FINDINGS, message, details)


def print_result(value: Any, as_json: bool, lines: Iterable[str]) -> None:
    """Print a result, as JSON or as lines of text."""
    if as_json:
        print(json.dumps(value, indent=2))
        return
    for line in lines:
        print(line)


def report_progress(text: str) -> None:
    """Print a progress line to standard error, apart from the command's result."""
    print(text, file=sys.stderr, flush=True)


def format_table(rows: Iterable[tuple[Any, ...]]) -> list[str]:
    """Return rows as lines with aligned columns."""
    texts = [tuple(str(cell) for cell in row) for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]
