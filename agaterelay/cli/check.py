"""``agaterelay check``: validates a file locally, without a node."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated, Any

import attrs
import cappa

from agaterelay.cli.options import (
    AsJson,
    DocumentFile,
    parse_node_address,
    read_bytes,
    read_sections,
)
from agaterelay.cli.outcome import (
    CommandError,
    Exit,
    FindingsError,
    format_findings,
    print_result,
)
from agaterelay.core.manifest import finding_to_json_value
from agaterelay.core.snapshot import validate_sections
from agaterelay.platform_check import (
    Document,
    Report,
    check_configuration,
    check_platform_file,
    read_active_document,
)
from agaterelay.ports import PlatformError

DEPLOY_FILE_SUFFIX = ".toml"
CONFIGURATION_SUFFIX = ".json"
# A configuration with 100,000 keys has 4.4 MB.
MAX_CONFIGURATION_BYTES = 64 << 20


def run_check(command: Check) -> None:
    """Print the findings on a document, or on a deploy file or saved row."""
    if command.file.suffix == CONFIGURATION_SUFFIX:
        _check_configuration_file(command)
        return
    if command.against or command.store or command.capacity is not None:
        message = "--against, --store and --capacity need a configuration (.json)"
        raise CommandError(Exit.USAGE, message)
    if command.file.suffix == DEPLOY_FILE_SUFFIX:
        _check_deploy_file(command)
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


def _check_deploy_file(command: Check) -> None:
    body = read_bytes(command.file)
    content_type, findings = check_platform_file(body, str(command.file))
    if findings:
        raise FindingsError(findings, f"in {command.file}, {content_type}")
    result = {"what": content_type, "findings": []}
    print_result(result, command.json, [f"{command.file}: {content_type}, no findings"])


def _check_configuration_file(command: Check) -> None:
    document = _read_document(command.file)
    report = check_configuration(
        document, _read_active(command), capacity_per_s=command.capacity
    )
    value = {"what": report.description, **_report_to_json_value(report)}
    lines = [f"note: {note}" for note in report.notes]
    lines += [f"differs: {item}" for item in report.differences or ()]
    if report.differences == ():
        lines.append("differs: in nothing but the version, if at all")
    if report.findings:
        where = f"in {command.file}, {report.description}"
        message = format_findings(report.findings, where)
        raise CommandError(Exit.FINDINGS, "\n".join([*lines, message]), value)
    lines.append(f"{command.file}: {report.description}, no findings")
    print_result(value, command.json, lines)


def _read_document(path: Path) -> Document:
    return Document(read_bytes(path, MAX_CONFIGURATION_BYTES), str(path))


def _read_active(command: Check) -> Document | None:
    """Return the configuration in force, None if none is named.

    Raises:
        CommandError: It cannot be read, or two are named.
    """
    if command.against and command.store:
        raise CommandError(Exit.USAGE, "give only one of --against and --store")
    if command.against:
        return _read_document(command.against)
    if not command.store:
        return None
    try:
        return asyncio.run(read_active_document(command.store))
    except PlatformError as error:
        message = f"the store at {command.store} did not give the version in force"
        raise CommandError(
            Exit.PLATFORM_UNREACHABLE, f"{message}: {error}; nothing was checked"
        ) from error


def _report_to_json_value(report: Report) -> dict[str, Any]:
    differences = report.differences
    return {
        "findings": [finding_to_json_value(item) for item in report.findings],
        "notes": [finding_to_json_value(item) for item in report.notes],
        "differences": None
        if differences is None
        else [attrs.asdict(item) for item in differences],
    }


@cappa.command(
    invoke=run_check,
    help="Check a document, a deploy file or a configuration; nothing is sent.",
)
@attrs.define
class Check:
    """The arguments of ``check``."""

    file: DocumentFile
    against: Annotated[
        Path | None,
        cappa.Arg(long="--against", help="The configuration in force, a file."),
    ] = None
    store: Annotated[
        str | None,
        cappa.Arg(
            long="--store",
            parse=parse_node_address,
            help="The address of the store with the configuration in force.",
        ),
    ] = None
    capacity: Annotated[
        float | None,
        cappa.Arg(long="--capacity", help="Requests a second of all upstreams."),
    ] = None
    json: AsJson = False
