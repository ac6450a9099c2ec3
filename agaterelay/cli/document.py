"""Compare a document file with what is in force."""

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
    """What a file would do to one section; ``in_force`` is None for a new one."""

    section: Section
    in_force: dict[str, Any] | None

    @property
    def kind(self) -> str:
        """Whether the section is new, changed or the same."""
        if self.in_force is None:
            return "new"
        same = self.in_force["text"] == self.section.text
        return "same" if same else "changed"


def compare(
    sections: tuple[Section, ...], document: dict[str, Any], only: list[str]
) -> list[SectionChange]:
    """Return what sections would change of a document in force.

    Args:
        sections: The sections of a file.
        document: What a node shows as in force.
        only: The names of the sections to look at, empty for all.

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
    """Return the sections of a document in force."""
    sections: list[Section] = []
    for item in document["sections"]:
        parsed, _ = parse_document(item["text"], f"in force: {item['name']}")
        sections.extend(parsed)
    return tuple(sections)


def find_problems(
    changes: list[SectionChange], document: dict[str, Any]
) -> tuple[Finding, ...]:
    """Return the findings that the document in force would have after changes."""
    merged = {section.name: section for section in parse_in_force(document)}
    merged.update({change.section.name: change.section for change in changes})
    return validate_sections(merged.values())


def unified_diff(change: SectionChange, revision: int) -> list[str]:
    """Return the lines that a change adds and takes away."""
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
