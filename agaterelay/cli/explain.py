"""``agaterelay explain``: prints the trace of a request from the logs of hosts."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import attrs
import cappa

from agaterelay.cli.options import AsJson
from agaterelay.cli.outcome import CommandError, Exit, print_result
from agaterelay.core.request_trace import (
    LogLine,
    find_crashes,
    find_host_context,
    find_request_trace,
    format_line,
    parse_lines,
)


def run_explain(command: Explain) -> None:
    """Print a request's trace, and the state of its hosts when it arrived."""
    lines: list[LogLine] = []
    for path in command.files:
        try:
            lines += parse_lines(path.read_text(errors="replace").splitlines())
        except OSError as error:
            message = f"{path} cannot be read: {error.strerror}"
            raise CommandError(Exit.USAGE, message) from error
    trace = find_request_trace(lines, command.request_id)
    if not trace:
        message = (
            f"no log line has request {command.request_id}; successful requests are "
            "sampled, and bursts of others are limited (the lines then give the number "
            "suppressed)"
        )
        raise CommandError(Exit.NOT_FOUND, message)
    host_context = find_host_context(lines, trace)
    texts = [f"request {command.request_id}"]
    texts += [f"  {format_line(line)}" for line in trace]
    texts += ["state of these hosts when the request arrived"]
    texts += [f"  {format_line(line)}" for line in host_context]
    crashes = find_crashes(lines, trace)
    if crashes:
        texts += ["why such a request is held back"]
        texts += [f"  {format_line(line)}" for line in crashes]
    value = {
        "story": [line.fields for line in trace],
        "beliefs": [line.fields for line in host_context],
        "crashes": [line.fields for line in crashes],
    }
    print_result(value, command.json, texts)


@cappa.command(invoke=run_explain, help="Show the trace of one request, from logs.")
@attrs.define
class Explain:
    """The arguments of ``explain``."""

    request_id: Annotated[str, cappa.Arg(help="The request's id.")]
    files: Annotated[
        list[Path],
        cappa.Arg(
            num_args=-1, required=True, help="Files with the log output of any hosts."
        ),
    ]
    json: AsJson = False
