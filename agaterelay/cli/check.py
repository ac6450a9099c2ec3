"""``agaterelay check``: find what is wrong with a document, without any node."""

from __future__ import annotations

import attrs
import cappa

from agaterelay.cli.options import AsJson, DocumentFile, read_sections
from agaterelay.cli.outcome import FindingsError, show
from agaterelay.core.snapshot import validate_sections


def run_check(command: Check) -> None:
    """Print all findings on a whole document."""
    sections, _ = read_sections(command.file)
    findings = validate_sections(sections)
    if findings:
        raise FindingsError(findings, f"in {command.file}")
    summary = [
        {
            "section": section.name,
            "owner": section.owner,
            "services": len(section.services),
            "routes": len(section.routes),
            "moves": len(section.moves),
        }
        for section in sections
    ]
    text = f"{command.file}: {len(sections)} section(s), no findings"
    show({"sections": summary, "findings": []}, command.json, [text])


@cappa.command(invoke=run_check, help="Check a whole document; nothing is sent.")
@attrs.define
class Check:
    """The arguments of ``check``."""

    file: DocumentFile
    json: AsJson = False
