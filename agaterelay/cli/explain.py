"""``agaterelay explain``: what became of one request, from the output of any hosts."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import attrs
import cappa

from agaterelay.cli.options import AsJson
from agaterelay.cli.outcome import CommandError, Exit, show
from agaterelay.core.story import (
    LogLine,
    find_host_context,
    find_request_trace,
    format_line,
    parse_lines,
)


def run_explain(command: Explain) -> None:
    """Print the story of a request, and what its hosts believed when it came."""
    lines: list[LogLine] = []
    for path in command.files:
        try:
            lines += parse_lines(path.read_text(errors="replace").splitlines())
        except OSError as error:
            message = f"{path} cannot be read: {error.strerror}"
            raise CommandError(Exit.USAGE, message) from error
    story = find_request_trace(lines, command.request_id)
    if not story:
        message = (
            f"no line names request {command.request_id}; good ones are sampled, and "
            "floods of others are cut (the lines then say how many were suppressed)"
        )
        raise CommandError(Exit.NOT_FOUND, message)
    beliefs = find_host_context(lines, story)
    texts = [f"request {command.request_id}"]
    texts += [f"  {format_line(line)}" for line in story]
    texts += ["what these hosts believed when it came to them"]
    texts += [f"  {format_line(line)}" for line in beliefs]
    plain = {
        "story": [line.fields for line in story],
        "beliefs": [line.fields for line in beliefs],
    }
    show(plain, command.json, texts)


@cappa.command(invoke=run_explain, help="What became of one request, from logs.")
@attrs.define
class Explain:
    """The arguments of ``explain``."""

    request_id: Annotated[str, cappa.Arg(help="The request's id.")]
    files: Annotated[
        list[Path],
        cappa.Arg(num_args=-1, required=True, help="Output of any hosts."),
    ]
    json: AsJson = False
