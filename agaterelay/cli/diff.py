"""``agaterelay diff``: what a file would change against what is in force."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from agaterelay.cli.api import read
from agaterelay.cli.document import (
    SectionChange,
    compare,
    find_problems,
    unified_diff,
)
from agaterelay.cli.options import AsJson, DocumentFile, NodeAddress, read_sections
from agaterelay.cli.outcome import FindingsError, show


def run_diff(command: Diff) -> None:
    """Print the changes by section, and the findings that they would cause."""
    sections, _ = read_sections(command.file)
    document = read(command.node, "/v1/document")
    changes = compare(sections, document, command.section)
    changes = [change for change in changes if change.kind != "same"]
    revision = document["revision"]
    lines = [f"against revision {revision}: {len(changes)} section(s) would change"]
    for change in changes:
        lines.append(_summary(change))
        lines.extend(unified_diff(change, revision))
    value = {
        "revision": revision,
        "sections": [
            {
                "section": change.section.name,
                "owner": change.section.owner,
                "kind": change.kind,
                "diff": unified_diff(change, revision),
            }
            for change in changes
        ],
    }
    show(value, command.json, lines)
    findings = find_problems(changes, document)
    if findings:
        raise FindingsError(findings, "after this change")


def _summary(change: SectionChange) -> str:
    return f"section {change.section.name} ({change.section.owner}): {change.kind}"


@cappa.command(invoke=run_diff, help="Show what a file would change; nothing is sent.")
@attrs.define
class Diff:
    """The arguments of ``diff``."""

    file: DocumentFile
    node: NodeAddress
    section: Annotated[
        list[str], cappa.Arg(long="--section", help="Only this section; repeatable.")
    ] = attrs.field(factory=list)
    json: AsJson = False
