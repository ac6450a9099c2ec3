"""Comparison of a document file with the document in force."""

from __future__ import annotations

import difflib
from typing import Any

import attrs

from agaterelay.cli.outcome import CommandError, Exit
from agaterelay.core.model import Finding, Section
from agaterelay.core.parse import parse_document
from agaterelay.core.snapshot import validate_sections


@attrs.frozen
class SectionChange:
    """A section of a file and its version in force, None for a new section."""

    section: Section
    in_force: dict[str, Any] | None

    @property
    def kind(self) -> str:
        """One of ``new``, ``changed`` and ``same``."""
        if self.in_force is None:
            return "new"
        same = self.in_force["text"] == self.section.text
        return "same" if same else "changed"


def compare_sections(
    sections: tuple[Section, ...], document: dict[str, Any], only: list[str]
) -> list[SectionChange]:
    """Pair the sections of a file with their versions in force.

    Args:
        sections: The sections of a file.
        document: The document in force, as a node returns it.
        only: The names of the sections to compare, empty for all.

    Raises:
        CommandError: A name in ``only`` is not in the file.
    """
    names = {section.name for section in sections}
    missing = [name for name in only if name not in names]
    if missing:
        message = f"the file has no section {', '.join(missing)}"
        raise CommandError(Exit.USAGE, message)
    in_force = {item["name"]: item for item in document["sections"]}
    return [
        SectionChange(section, in_force.get(section.name))
        for section in sections
        if not only or section.name in only
    ]


def parse_in_force(document: dict[str, Any]) -> tuple[Section, ...]:
    """Parse the sections of the document in force."""
    sections: list[Section] = []
    for item in document["sections"]:
        parsed, _ = parse_document(item["text"], f"in force: {item['name']}")
        sections.extend(parsed)
    return tuple(sections)


def validate_changes(
    changes: list[SectionChange], document: dict[str, Any]
) -> tuple[Finding, ...]:
    """Return the findings on the document in force with the changes applied."""
    merged = {section.name: section for section in parse_in_force(document)}
    merged.update({change.section.name: change.section for change in changes})
    return validate_sections(merged.values())


def unified_diff(change: SectionChange, revision: int) -> list[str]:
    """Return the lines of a unified diff from the section in force to the file's."""
    old = change.in_force["text"] if change.in_force else ""
    name = change.section.name
    return list(
        difflib.unified_diff(
            old.splitlines(),
            change.section.text.splitlines(),
            f"{name} in force (revision {revision})",
            f"{name} in {change.section.place}",
            lineterm="",
        )
    )
