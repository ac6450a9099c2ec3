"""``agaterelay diff``: compares a file with the document in force."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from agaterelay.cli.api import fetch_body
from agaterelay.cli.document import (
    SectionChange,
    compare_sections,
    unified_diff,
    validate_changes,
)
from agaterelay.cli.options import AsJson, DocumentFile, NodeAddress, read_sections
from agaterelay.cli.outcome import FindingsError, print_result


def run_diff(command: Diff) -> None:
    """Print the changes by section, and fail if they would cause findings."""
    sections, _ = read_sections(command.file)
    document = fetch_body(command.node, "/v1/document")
    changes = compare_sections(sections, document, command.section)
    changes = [change for change in changes if change.kind != "same"]
    revision = document["revision"]
    lines = [f"against revision {revision}: {len(changes)} section(s) would change"]
    for change in changes:
        lines.append(_format_change(change))
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
    print_result(value, command.json, lines)
    findings = validate_changes(changes, document)
    if findings:
        raise FindingsError(findings, "after this change")


def _format_change(change: SectionChange) -> str:
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
