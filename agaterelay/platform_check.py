"""Validation of the platform's files: deploy files and saved configuration rows."""

from __future__ import annotations

import attrs

from agaterelay.core.model import Finding, Place, RouteTable
from agaterelay.core.route_checks import check_route_table, note_routes
from agaterelay.core.table_diff import Difference, compare_tables
from agaterelay.core.workspace_checks import check_workspaces, note_workspaces
from agaterelay.platform.config import CONFIG_KEY, decode_config
from agaterelay.platform.config_check import FIELD_NAMES, check_keys
from agaterelay.platform.deploy_file import check_deploy_file
from agaterelay.platform.orders import OPERATOR_TABLE
from agaterelay.platform.store import StoreClient
from agaterelay.ports import PlatformError


@attrs.frozen
class Document:
    """A configuration row, and what it is called in findings."""

    value: bytes = attrs.field(repr=False)
    filename: str


@attrs.frozen
class Report:
    """What a check of a file has shown.

    Attributes:
        description: The file's kind.
        findings: What no operator can want.
        notes: What is legitimate, but may be an oversight.
        differences: What differs from the version in force, None if there is none to
            compare with.
    """

    description: str
    findings: tuple[Finding, ...] = ()
    notes: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] | None = None


def check_platform_file(body: bytes, filename: str) -> tuple[str, tuple[Finding, ...]]:
    """Check a deploy file or a configuration row.

    Args:
        body: The content of the file.
        filename: The file's name; a name that ends in ``.toml`` is a deploy file.

    Returns:
        A description of the file's kind, and all findings on it.
    """
    if filename.endswith(".toml"):
        try:
            return "a deploy file", check_deploy_file(body.decode(), filename)
        except UnicodeDecodeError as error:
            return "a deploy file", (
                Finding(Place(filename), f"is not UTF-8 text: {error}"),
            )
    report = check_configuration(Document(body, filename))
    return report.description, report.findings


def check_configuration(
    document: Document,
    active: Document | None = None,
    capacity_per_s: float | None = None,
) -> Report:
    """Check a configuration row, and compare it with the one in force.

    Args:
        document: The configuration.
        active: The configuration in force, None if it is not known.
        capacity_per_s: The requests per second that all upstreams can run, None if it
            is not known.
    """
    filename = document.filename
    table, findings = decode_config(document.value, filename)
    if table is None:
        return Report("a configuration row", findings)
    description = (
        f"a configuration row, revision {table.revision}, {len(table.routes)} routes"
    )
    findings = (
        *check_route_table(table, filename),
        *check_workspaces(table, filename, capacity_per_s),
        *check_keys(document.value, filename),
    )
    notes = (*note_routes(table, filename), *note_workspaces(table, filename))
    if active is None:
        return Report(description, findings, notes)
    in_force, active_findings = decode_config(active.value, active.filename)
    if in_force is None:
        return Report(description, (*findings, *active_findings), notes)
    return Report(
        description,
        (*findings, *_check_revision(table, in_force, filename)),
        notes,
        compare_tables(in_force, table, FIELD_NAMES),
    )


def _check_revision(
    table: RouteTable, in_force: RouteTable, filename: str
) -> tuple[Finding, ...]:
    if table.revision > in_force.revision or table.source == in_force.source:
        return ()
    message = (
        f"the version is {table.revision:x}, not above {in_force.revision:x}, which is "
        "in force: nodes ignore the document"
    )
    return (Finding(Place(filename), message, "version"),)


async def read_active_document(address: str) -> Document:
    """Return the configuration row of a store.

    Args:
        address: The address of the store.

    Raises:
        PlatformError: The store did not answer, or has no such row.
    """
    client = StoreClient(address)
    await client.open()
    try:
        changes = await client.read_table(OPERATOR_TABLE)
    finally:
        await client.close()
    name = f"{OPERATOR_TABLE}/{CONFIG_KEY}"
    for row in changes.rows:
        if row.key == CONFIG_KEY and not row.deleted:
            return Document(row.value, name)
    raise PlatformError(f"there is no row {name}")
