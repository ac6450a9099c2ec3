"""``agaterelay check``: validates a file locally, without a node."""

from __future__ import annotations

import attrs
import cappa

from agaterelay.cli.options import AsJson, DocumentFile, read_bytes, read_sections
from agaterelay.cli.outcome import FindingsError, print_result
from agaterelay.core.snapshot import validate_sections
from agaterelay.platform_check import check_platform_file

PLATFORM_SUFFIXES = (".toml", ".json")


def run_check(command: Check) -> None:
    """Print the findings on a document, or on a deploy file or saved row."""
    if command.file.suffix in PLATFORM_SUFFIXES:
        _check_platform_file(command)
        return
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
    print_result({"sections": summary, "findings": []}, command.json, [text])


def _check_platform_file(command: Check) -> None:
    body = read_bytes(command.file)
    content_type, findings = check_platform_file(body, str(command.file))
    if findings:
        raise FindingsError(findings, f"in {command.file}, {content_type}")
    result = {"what": content_type, "findings": []}
    print_result(result, command.json, [f"{command.file}: {content_type}, no findings"])


@cappa.command(
    invoke=run_check,
    help="Check a document, a deploy file or a saved row; nothing is sent.",
)
@attrs.define
class Check:
    """The arguments of ``check``."""

    file: DocumentFile
    json: AsJson = False
