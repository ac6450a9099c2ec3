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

from agaterelay.cli.api import (
    ApiResponse,
    NodeUnreachableError,
    error_from_response,
    fetch_body,
    send_request,
)
from agaterelay.cli.document import (
    SectionChange,
    compare_sections,
    parse_in_force,
    validate_changes,
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
    print_result,
    report_progress,
)
from agaterelay.cli.wait import wait_until_in_force
from agaterelay.core.model import Finding, Place

RETRY_PERIOD_S = 0.5
DEFAULT_TIMEOUT_S = 30.0

Wait = Annotated[
    bool,
    cappa.Arg(long="--wait", help="Wait until the change is in force on every node."),
]
Base = Annotated[
    str | None,
    cappa.Arg(
        long="--base",
        help="Revision or digest that the edit is based on; fails if the section was "
        "changed after it.",
    ),
]
Timeout = Annotated[
    float,
    cappa.Arg(
        long="--timeout-s",
        help="Seconds to retry a change whose result is unclear, and to wait.",
    ),
]


def run_apply(command: Apply) -> None:
    """Send the changed sections of one owner, in the order of the file."""
    key = read_key(command.key_file)
    sections, header_revision = read_sections(command.file)
    document = fetch_body(command.node, "/v1/document")
    changes = compare_sections(sections, document, command.section)
    changes = [change for change in changes if change.kind != "same"]
    base = command.base or (str(header_revision) if header_revision else "")
    bases = [_find_base_digest(change.in_force, base, document) for change in changes]
    _check_owner_key(changes, document, key)
    findings = validate_changes(changes, document)
    if findings:
        raise FindingsError(findings, "after this change")
    records: list[dict[str, Any]] = []
    try:
        for change, base_digest in zip(changes, bases, strict=True):
            body = _build_change_body(change, base_digest)
            records.append(_send_change(command.node, body, key, command.timeout_s))
        if command.wait:
            _wait_for_convergence(command.node, records, command.timeout_s)
    except CommandError:
        if records:
            _print_records(records, command.json)
        raise
    _print_records(records, command.json)


def _print_records(records: list[dict[str, Any]], as_json: bool) -> None:
    lines = [_format_record(record) for record in records] or ["nothing to change"]
    print_result(records, as_json, lines)


def _build_change_body(change: SectionChange, base_digest: str) -> dict[str, Any]:
    section = change.section
    # Leading blank lines make the line numbers of the node's findings match the file.
    return {
        "change_id": f"change-{uuid.uuid4()}",
        "filename": section.place.filename[-200:],
        "text": "\n" * (section.place.line - 1) + section.text,
        "base_digest": base_digest,
    }


def _find_base_digest(
    in_force: dict[str, Any] | None, base: str, document: dict[str, Any]
) -> str:
    """Return the digest of the text that an edit is based on.

    Raises:
        CommandError: The section was changed after the given revision, or the
            revision is older than the change history that the nodes keep.
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
            f"revision {revision} is older than the change history that nodes keep; "
            f"edit the output of `agaterelay show section {name}` instead"
        )
        raise CommandError(Exit.LOST_RACE, message)
    return current


def _check_owner_key(
    changes: list[SectionChange], document: dict[str, Any], key: str
) -> None:
    """Reject a key that is not the owner's before anything is sent.

    Only the nodes know the administrators' key; they check every key again.

    Raises:
        CommandError: The key is not the one of the sections' owner.
    """
    sections = [change.section for change in changes]
    hashes = {
        owner.name: owner.key_sha256
        for section in (*sections, *parse_in_force(document))
        for owner in section.owners
    }
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    for change in changes:
        owner = change.in_force["owner"] if change.in_force else change.section.owner
        expected = hashes.get(owner)
        if expected and not hmac.compare_digest(expected, key_hash):
            message = (
                f"section {change.section.name!r} belongs to owner {owner!r}, and the "
                "key is not that owner's; nothing was sent"
            )
            raise CommandError(Exit.FORBIDDEN, message)


def _send_change(
    node: str, body: dict[str, Any], key: str, timeout_s: float
) -> dict[str, Any]:
    """Send a change, and retry it under the same change id if its result is unclear.

    The change id makes the retries idempotent.

    Raises:
        CommandError: The change was refused, or there was no clear result in time.
    """
    deadline_s = time.monotonic() + timeout_s
    change_id = body["change_id"]
    may_be_made = False
    sent = False
    while True:
        try:
            response: ApiResponse | None = send_request(
                node, "POST", "/v1/changes", body, key
            )
        except NodeUnreachableError as error:
            if not sent:
                _check_reachable(node)
            may_be_made = True
            response, reason, code = None, error.message, Exit.NODE_UNREACHABLE
        sent = True
        if response is not None:
            if response.status == 200:
                return response.body
            if response.status != 503:
                raise _error_from_refusal(response)
            may_be_made = may_be_made or response.body.get("made") is not False
            reason, code = response.message, Exit.PLATFORM_UNREACHABLE
        if time.monotonic() > deadline_s:
            message = f"{reason}\n{_describe_uncertain_change(change_id, may_be_made)}"
            raise CommandError(code, message, {"change_id": change_id})
        report_progress(f"retrying change {change_id}: {reason}")
        time.sleep(RETRY_PERIOD_S)


def _describe_uncertain_change(change_id: str, may_be_made: bool) -> str:
    """Return whether a change that got no clear result in time may have been made."""
    if not may_be_made:
        return f"change {change_id} was not made"
    return (
        f"it is not known whether change {change_id} was made; "
        f"`agaterelay show change {change_id}` shows it once the platform is back"
    )


def _check_reachable(node: str) -> None:
    """Fail without retries if the node does not answer a read either.

    Raises:
        NodeUnreachableError: No node answers.
    """
    fetch_body(node, "/v1/node")


def _error_from_refusal(response: ApiResponse) -> CommandError:
    if response.status != 422:
        return error_from_response(response)
    findings = [
        Finding(
            Place(item["filename"], item["line"], item["column"]),
            item["message"],
            item["section"],
        )
        for item in response.body.get("findings", ())
    ]
    return FindingsError(findings, "by the node's check")


def _wait_for_convergence(
    node: str, records: list[dict[str, Any]], timeout_s: float
) -> None:
    for record in records:
        committed_at = datetime.fromisoformat(record["committed_at"])
        committed_ms = int(committed_at.timestamp() * 1000)
        revision = record["revision"]
        record["converged_s"] = wait_until_in_force(
            node, revision, committed_ms, timeout_s
        )


def _format_record(record: dict[str, Any]) -> str:
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
    document = fetch_body(command.node, "/v1/document")
    sections = {item["name"]: item for item in document["sections"]}
    in_force = sections.get(command.section)
    if in_force is None:
        message = f"there is no section {command.section!r} in force"
        raise CommandError(Exit.NOT_FOUND, message)
    body = {
        "change_id": f"change-{uuid.uuid4()}",
        "remove": True,
        "section": command.section,
        "base_digest": _find_base_digest(in_force, command.base or "", document),
    }
    records = [_send_change(command.node, body, key, command.timeout_s)]
    if command.wait:
        _wait_for_convergence(command.node, records, command.timeout_s)
    _print_records(records, command.json)


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
