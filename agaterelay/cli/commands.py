"""The operators' commands: parse the arguments, call the library, render."""

from __future__ import annotations

import json
import sys
import time
import uuid
from pathlib import Path
from typing import Annotated, Any

import attrs
import cappa

from agaterelay.cli.api import NodeUnreachableError, call
from agaterelay.core.model import Finding, Section
from agaterelay.core.parse import parse_document
from agaterelay.core.snapshot import validate_sections

EXIT_FINDINGS = 3
EXIT_FORBIDDEN = 4
EXIT_LOST_RACE = 5
EXIT_PLATFORM = 6
EXIT_UNREACHABLE = 7
EXIT_NOT_IN_FORCE = 8
WAIT_POLL_S = 0.25

NodeAddress = Annotated[
    str, cappa.Arg(long="--node", help="operators' address of any node")
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="print JSON")]
File = Annotated[Path, cappa.Arg(help="the document, or a part of it")]


def _print(value: Any, as_json: bool, text: str) -> None:
    print(json.dumps(value, indent=2) if as_json else text)


def _read_sections(path: Path) -> tuple[Section, ...]:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise cappa.Exit(f"{path}: {type(error).__name__}", code=2) from error
    sections, findings = parse_document(text, str(path))
    if findings:
        _exit_with(findings)
    return sections


def _exit_with(findings: tuple[Finding, ...]) -> None:
    for finding in findings:
        print(finding, file=sys.stderr)
    raise cappa.Exit(f"{len(findings)} finding(s); nothing sent", code=EXIT_FINDINGS)


def run_check(command: Check) -> None:
    """Check a whole document without a node."""
    sections = _read_sections(command.file)
    findings = validate_sections(sections)
    if findings:
        _exit_with(findings)
    print(f"{len(sections)} section(s), no findings")


@cappa.command(invoke=run_check, help="Check a whole document; nothing is sent.")
@attrs.define
class Check:
    """The arguments of ``check``."""

    file: File


def run_apply(command: Apply) -> None:
    """Send the changed sections of one owner."""
    sections = _read_sections(command.file)
    key = command.key_file.read_text().strip()
    _, document = call(command.node, "GET", "/v1/document")
    in_force = {item["name"]: item for item in document["sections"]}
    applied = []
    for section in sections:
        if command.section and section.name not in command.section:
            continue
        current = in_force.get(section.name)
        if current is not None and current["text"] == section.text:
            continue
        applied.append(_apply_section(command, section, current, key))
    if not applied:
        _print([], command.json, "nothing to change")
    for record in applied:
        if command.wait:
            record["converged_s"] = _wait_in_force(command, record["revision"])
    lines = [_change_line(record) for record in applied]
    if applied:
        _print(applied, command.json, "\n".join(lines))


def _change_line(record: dict[str, Any]) -> str:
    line = (
        f"section {record['section']}: revision {record['revision']}, "
        f"change {record['change_id']}"
    )
    if "converged_s" in record:
        line += f", in force everywhere after {record['converged_s']:.2f} s"
    return line


def _apply_section(
    command: Apply, section: Section, current: dict[str, Any] | None, key: str
) -> dict[str, Any]:
    body = {
        "change_id": f"change-{uuid.uuid4()}",
        "filename": section.place.filename,
        "text": "\n" * (section.place.line - 1) + section.text,
        "base_digest": current["digest"] if current else "",
    }
    status, answer = call(command.node, "POST", "/v1/changes", body, key)
    if status == 200:
        return answer
    for finding in answer.get("findings", ()):
        place = f"{finding['filename']}:{finding['line']}:{finding['column']}"
        print(f"{place}: [{finding['section']}] {finding['message']}", file=sys.stderr)
    codes = {
        403: EXIT_FORBIDDEN,
        409: EXIT_LOST_RACE,
        422: EXIT_FINDINGS,
        503: EXIT_PLATFORM,
    }
    message = f"section {section.name}: {answer.get('message', answer)}"
    raise cappa.Exit(message, code=codes.get(status, 1))


def _wait_in_force(command: Apply, revision: int) -> float:
    """Wait until every node serves a revision; return the seconds since its commit."""
    give_up_s = time.monotonic() + command.timeout_s
    while time.monotonic() < give_up_s:
        _, status = call(command.node, "GET", "/v1/status")
        nodes = status["nodes"]
        behind = [node for node in nodes if node["active_revision"] < revision]
        if not behind and not status["unreachable"]:
            newest_ms = max(node["activated_ms"] for node in nodes)
            _, changes = call(command.node, "GET", "/v1/document")
            committed_ms = changes.get("committed_ms", newest_ms)
            return max(newest_ms - committed_ms, 0) / 1000
        time.sleep(WAIT_POLL_S)
    raise cappa.Exit("not in force everywhere in time", code=EXIT_NOT_IN_FORCE)


@cappa.command(invoke=run_apply, help="Change the sections of one owner.")
@attrs.define
class Apply:
    """The arguments of ``apply``."""

    file: File
    node: NodeAddress
    key_file: Annotated[Path, cappa.Arg(long="--key-file", help="the owner's key")]
    section: Annotated[
        list[str], cappa.Arg(long="--section", help="only this section (repeatable)")
    ] = attrs.field(factory=list)
    wait: Annotated[
        bool, cappa.Arg(long="--wait", help="wait until in force everywhere")
    ] = False
    timeout_s: Annotated[float, cappa.Arg(long="--timeout-s")] = 30.0
    json: AsJson = False


def run_show(command: Show) -> None:
    """Print the document in force."""
    _, document = call(command.node, "GET", "/v1/document")
    text = "---\n".join(item["text"] for item in document["sections"])
    _print(document, command.json, f"# revision {document['revision']}\n{text}")


@cappa.command(invoke=run_show, help="Show the document in force.")
@attrs.define
class Show:
    """The arguments of ``show``."""

    node: NodeAddress
    json: AsJson = False


def run_status(command: Status) -> None:
    """Print every node's revision."""
    _, status = call(command.node, "GET", "/v1/status")
    newest = max(node["held_revision"] for node in status["nodes"])
    lines = [f"{'host':22} {'zone':12} revision  behind"]
    for node in status["nodes"]:
        behind = newest - node["active_revision"]
        lines.append(
            f"{node['host']:22} {node['zone']:12} {node['active_revision']:8}  {behind}"
        )
    lines.extend(f"{host:22} unreachable" for host in status["unreachable"])
    _print(status, command.json, "\n".join(lines))


@cappa.command(invoke=run_status, help="Show every node and its revision.")
@attrs.define
class Status:
    """The arguments of ``status``."""

    node: NodeAddress
    json: AsJson = False


def run_move(command: Move) -> None:
    """Print the moves, or take one back."""
    if command.take_back:
        key = command.key_file.read_text().strip() if command.key_file else ""
        path = f"/v1/moves/{command.take_back}/take-back"
        status, answer = call(command.node, "POST", path, {}, key)
        if status != 200:
            code = EXIT_FORBIDDEN if status == 403 else 1
            raise cappa.Exit(str(answer), code=code)
        print(f"move {command.take_back}: taken back")
        return
    _, answer = call(command.node, "GET", "/v1/moves")
    lines = [_move_line(move) for move in answer["moves"]]
    _print(answer, command.json, "\n".join(lines) or "no moves")


def _move_line(move: dict[str, Any]) -> str:
    line = (
        f"{move['name']}: {move['state']}, {move['service']} "
        f"{move['from_version']} -> {move['to_version']}, "
        f"share {move['share_permille'] / 10:.1f} %"
    )
    return line + (f", {move['reason']}" if move["reason"] else "")


@cappa.command(invoke=run_move, help="Show the moves, or take one back.")
@attrs.define
class Move:
    """The arguments of ``move``."""

    node: NodeAddress
    take_back: Annotated[
        str | None, cappa.Arg(long="--take-back", help="the move to take back")
    ] = None
    key_file: Annotated[Path | None, cappa.Arg(long="--key-file")] = None
    json: AsJson = False


def run_timeline(command: Timeline) -> None:
    """Print the events of all processes in causal order."""
    _, answer = call(command.node, "GET", "/v1/timeline")
    events = answer["events"]
    lines = [_event_line(event) for event in events]
    _print(answer, command.json, "\n".join(lines))


def _event_line(event: dict[str, Any]) -> str:
    stamp = event["stamp"]
    fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
    when = f"{stamp['wall_us'] / 1_000_000:.6f}+{stamp['counter']}"
    return f"{when} {event['host']} {event['number']} {event['name']} {fields}"


@cappa.command(invoke=run_timeline, help="Show the events of all processes.")
@attrs.define
class Timeline:
    """The arguments of ``timeline``."""

    node: NodeAddress
    json: AsJson = False


@cappa.command(name="agaterelay", help="Configuration distribution for a mesh.")
@attrs.define
class Agaterelay:
    """The program's commands."""

    command: cappa.Subcommands[Check | Apply | Show | Status | Move | Timeline]


def run_command(arguments: list[str]) -> None:
    """Run the command that the arguments name; exits the process."""
    try:
        cappa.invoke(Agaterelay, argv=arguments)
    except NodeUnreachableError as error:
        print(f"unreachable: {error}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)
