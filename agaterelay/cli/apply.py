"""``agaterelay apply`` and ``agaterelay remove``: change an owner's sections."""

from __future__ import annotations

import hashlib
import hmac
import time
import uuid
from datetime import datetime
from typing import Annotated, Any

import attrs
import cappa

from agaterelay.cli.api import Answer, NodeUnreachableError, ask, read, refusal
from agaterelay.cli.document import (
    SectionChange,
    compare,
    find_problems,
    parse_in_force,
)
from agaterelay.cli.options import (
    AsJson,
    DocumentFile,
    KeyFile,
    NodeAddress,
    read_key,
    read_sections,
)
from agaterelay.cli.outcome import (
    CommandError,
    Exit,
    FindingsError,
    report_progress,
    show,
)
from agaterelay.cli.wait import wait_in_force
from agaterelay.core.model import Finding, Place

ASK_AGAIN_S = 0.5
DEFAULT_TIMEOUT_S = 30.0

Wait = Annotated[bool, cappa.Arg(long="--wait", help="Wait until in force everywhere.")]
Base = Annotated[
    str | None,
    cappa.Arg(
        long="--base",
        help="Revision or digest that the edit is based on; a later change of the "
        "section is a lost race.",
    ),
]
Timeout = Annotated[
    float,
    cappa.Arg(long="--timeout-s", help="How long to wait, and to ask again on doubt."),
]


def run_apply(command: Apply) -> None:
    """Send the changed sections of one owner, in the file's order."""
    key = read_key(command.key_file)
    sections, header_revision = read_sections(command.file)
    document = read(command.node, "/v1/document")
    changes = compare(sections, document, command.section)
    changes = [change for change in changes if change.kind != "same"]
    base = command.base or (str(header_revision) if header_revision else "")
    bases = [_base_digest(change.in_force, base, document) for change in changes]
    _check_owner(changes, document, key)
    findings = find_problems(changes, document)
    if findings:
        raise FindingsError(findings, "after this change")
    records: list[dict[str, Any]] = []
    try:
        for change, base_digest in zip(changes, bases, strict=True):
            body = _body_of(change, base_digest)
            records.append(_send(command.node, body, key, command.timeout_s))
        if command.wait:
            _wait_for(command.node, records, command.timeout_s)
    except CommandError:
        if records:
            _show_records(records, command.json)
        raise
    _show_records(records, command.json)


def _show_records(records: list[dict[str, Any]], as_json: bool) -> None:
    lines = [_change_line(record) for record in records] or ["nothing to change"]
    show(records, as_json, lines)


def _body_of(change: SectionChange, base_digest: str) -> dict[str, Any]:
    section = change.section
    # Blank lines in front keep the places of the node's findings right.
    return {
        "change_id": f"change-{uuid.uuid4()}",
        "filename": section.place.filename[-200:],
        "text": "\n" * (section.place.line - 1) + section.text,
        "base_digest": base_digest,
    }


def _base_digest(
    in_force: dict[str, Any] | None, base: str, document: dict[str, Any]
) -> str:
    """Return the digest of the text that an edit is based on.

    Raises:
        CommandError: The section was changed after the revision that was named, or
            nobody remembers so far back.
    """
    current = in_force["digest"] if in_force else ""
    if not base:
        return current
    if not (base.isascii() and base.isdecimal() and len(base) < 16):
        return base
    revision = int(base)
    if in_force is None:
        return current
    name = in_force["name"]
    if in_force["changed_in"] > revision:
        message = (
            f"section {name!r} was changed meanwhile: by revision "
            f"{in_force['changed_in']}, after revision {revision}"
        )
        raise CommandError(Exit.LOST_RACE, message)
    if not in_force["changed_in"] and revision < document["known_since"] - 1:
        message = (
            f"revision {revision} is older than the changes that are kept; "
            f"start again from `agaterelay show section {name}`"
        )
        raise CommandError(Exit.LOST_RACE, message)
    return current


def _check_owner(
    changes: list[SectionChange], document: dict[str, Any], key: str
) -> None:
    """Refuse a key that cannot be the owner's before anything is sent.

    The administrators' key is known to the nodes alone, who check every key again.
    """
    sections = [change.section for change in changes]
    hashes = {
        owner.name: owner.key_sha256
        for section in (*sections, *parse_in_force(document))
        for owner in section.owners
    }
    own_hash = hashlib.sha256(key.encode()).hexdigest()
    for change in changes:
        owner = change.in_force["owner"] if change.in_force else change.section.owner
        expected = hashes.get(owner)
        if expected and not hmac.compare_digest(expected, own_hash):
            message = (
                f"section {change.section.name!r} belongs to owner {owner!r}, and the "
                "key is not theirs; nothing was sent"
            )
            raise CommandError(Exit.FORBIDDEN, message)


def _send(
    node: str, body: dict[str, Any], key: str, timeout_s: float
) -> dict[str, Any]:
    """Send a change; on doubt ask again under the same change id.

    Raises:
        CommandError: The change was refused, or its fate is still unknown.
    """
    give_up_s = time.monotonic() + timeout_s
    change_id = body["change_id"]
    in_doubt = False
    sent = False
    while True:
        try:
            answer: Answer | None = ask(node, "POST", "/v1/changes", body, key)
        except NodeUnreachableError as error:
            if not sent:
                _check_reachable(node)
            in_doubt = True
            answer, reason, code = None, error.message, Exit.NODE_UNREACHABLE
        sent = True
        if answer is not None:
            if answer.status == 200:
                return answer.body
            if answer.status != 503:
                raise _refused(answer)
            in_doubt = in_doubt or answer.body.get("made") is not False
            reason, code = answer.message, Exit.PLATFORM_UNREACHABLE
        if time.monotonic() > give_up_s:
            message = f"{reason}\n{_fate(change_id, in_doubt)}"
            raise CommandError(code, message, {"change_id": change_id})
        report_progress(f"asking again for change {change_id}: {reason}")
        time.sleep(ASK_AGAIN_S)


def _fate(change_id: str, in_doubt: bool) -> str:
    """Return what is known of a change that got no clear answer in time."""
    if not in_doubt:
        return f"change {change_id} was not made"
    return (
        f"it is not known whether change {change_id} was made; "
        f"`agaterelay show change {change_id}` tells once the platform is back"
    )


def _check_reachable(node: str) -> None:
    """Fail at once where the node does not answer to anything.

    Raises:
        NodeUnreachableError: No node answers.
    """
    read(node, "/v1/node")


def _refused(answer: Answer) -> CommandError:
    if answer.status != 422:
        return refusal(answer)
    findings = [
        Finding(
            Place(item["filename"], item["line"], item["column"]),
            item["message"],
            item["section"],
        )
        for item in answer.body.get("findings", ())
    ]
    return FindingsError(findings, "by the node's check")


def _wait_for(node: str, records: list[dict[str, Any]], timeout_s: float) -> None:
    for record in records:
        committed_at = datetime.fromisoformat(record["committed_at"])
        committed_ms = int(committed_at.timestamp() * 1000)
        revision = record["revision"]
        record["converged_s"] = wait_in_force(node, revision, committed_ms, timeout_s)


def _change_line(record: dict[str, Any]) -> str:
    verb = "removed" if not record["digest"] else "changed"
    line = (
        f"section {record['section']} {verb}: revision {record['revision']}, "
        f"change {record['change_id']}"
    )
    if "converged_s" in record:
        line += f", in force everywhere after {record['converged_s']:.2f} s"
    return line


@cappa.command(invoke=run_apply, help="Change the sections of one owner.")
@attrs.define
class Apply:
    """The arguments of ``apply``."""

    file: DocumentFile
    node: NodeAddress
    key_file: KeyFile
    section: Annotated[
        list[str], cappa.Arg(long="--section", help="Only this section; repeatable.")
    ] = attrs.field(factory=list)
    base: Base = None
    wait: Wait = False
    timeout_s: Timeout = DEFAULT_TIMEOUT_S
    json: AsJson = False


def run_remove(command: Remove) -> None:
    """Remove one section of an owner."""
    key = read_key(command.key_file)
    document = read(command.node, "/v1/document")
    sections = {item["name"]: item for item in document["sections"]}
    in_force = sections.get(command.section)
    if in_force is None:
        message = f"there is no section {command.section!r} in force"
        raise CommandError(Exit.NOT_FOUND, message)
    body = {
        "change_id": f"change-{uuid.uuid4()}",
        "remove": True,
        "section": command.section,
        "base_digest": _base_digest(in_force, command.base or "", document),
    }
    records = [_send(command.node, body, key, command.timeout_s)]
    if command.wait:
        _wait_for(command.node, records, command.timeout_s)
    _show_records(records, command.json)


@cappa.command(invoke=run_remove, help="Remove a section of one owner.")
@attrs.define
class Remove:
    """The arguments of ``remove``."""

    section: Annotated[str, cappa.Arg(help="The section's name.")]
    node: NodeAddress
    key_file: KeyFile
    base: Base = None
    wait: Wait = False
    timeout_s: Timeout = DEFAULT_TIMEOUT_S
    json: AsJson = False
