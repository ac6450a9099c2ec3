"""Validation of the platform's files: deploy files and saved configuration rows."""

from __future__ import annotations

from agaterelay.core.model import Finding, Place
from agaterelay.core.route_checks import check_route_table
from agaterelay.platform.config import decode_config
from agaterelay.platform.deploy_file import check_deploy_file


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
    table, findings = decode_config(body, filename)
    if table is None:
        return "a configuration row", findings
    description = (
        f"a configuration row, revision {table.revision}, {len(table.routes)} routes"
    )
    return description, check_route_table(table, filename)
