"""Build a complete revision from its parts, or return all findings on it.

A snapshot is always complete: the digests of all parts are checked, every section is
parsed again, and every reference must resolve within the same snapshot.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from agaterelay.core.manifest import digest_of
from agaterelay.core.model import (
    Finding,
    Manifest,
    Place,
    Route,
    Section,
    Snapshot,
)
from agaterelay.core.parse import parse_document

ADMIN_OWNER = "admin"


def build_snapshot(
    manifest: Manifest, digest: str, bodies: Mapping[str, bytes]
) -> tuple[Snapshot | None, tuple[Finding, ...]]:
    """Build the snapshot of a manifest from the sections' bodies.

    Args:
        manifest: The revision's manifest.
        digest: The manifest's own digest.
        bodies: The sections' bodies by digest; further bodies are ignored.

    Returns:
        The snapshot and no findings, or None and all findings.
    """
    sections: list[Section] = []
    findings: list[Finding] = []
    for reference in manifest.sections:
        section, found = _load_section(reference, bodies.get(reference.digest))
        findings.extend(found)
        if section is not None:
            sections.append(section)
    if findings:
        return None, tuple(findings)
    return assemble(manifest, digest, sections)


def _load_section(
    reference: Any, body: bytes | None
) -> tuple[Section | None, tuple[Finding, ...]]:
    place = Place(reference.name)
    if body is None:
        return None, (Finding(place, "the section's body is missing", reference.name),)
    if digest_of(body) != reference.digest:
        message = "the section's body does not match its digest"
        return None, (Finding(place, message, reference.name),)
    text = body.decode("utf-8", "replace")
    sections, findings = parse_document(text, reference.name)
    if findings:
        return None, findings
    if len(sections) != 1 or sections[0].name != reference.name:
        message = "the body is not the section that the manifest names"
        return None, (Finding(place, message, reference.name),)
    if sections[0].owner != reference.owner:
        message = "the body's owner is not the owner that the manifest names"
        return None, (Finding(place, message, reference.name),)
    return sections[0], ()


def assemble(
    manifest: Manifest, digest: str, sections: Iterable[Section]
) -> tuple[Snapshot | None, tuple[Finding, ...]]:
    """Merge parsed sections into a snapshot and validate it.

    Returns:
        The snapshot and no findings, or None and all findings.
    """
    sections = tuple(sections)
    findings = list(validate_sections(sections))
    if findings:
        return None, tuple(findings)
    routes = [route for section in sections for route in section.routes]
    routes.sort(key=lambda route: (-len(route.path), route.name))
    snapshot = Snapshot(
        manifest=manifest,
        digest=digest,
        sections=sections,
        owners={item.name: item for part in sections for item in part.owners},
        services={item.name: item for part in sections for item in part.services},
        routes=tuple(routes),
        moves={item.name: item for part in sections for item in part.moves},
        progress={progress.name: progress for progress in manifest.moves},
    )
    return snapshot, ()


def validate_sections(sections: Iterable[Section]) -> tuple[Finding, ...]:
    """Return all findings on the merged document, such as duplicate names."""
    sections = tuple(sections)
    findings: list[Finding] = []
    findings.extend(_find_duplicates(sections, "section", lambda part: [part]))
    findings.extend(_find_duplicates(sections, "owner", lambda part: part.owners))
    findings.extend(_find_duplicates(sections, "service", lambda part: part.services))
    findings.extend(_find_duplicates(sections, "route", lambda part: part.routes))
    findings.extend(_find_duplicates(sections, "move", lambda part: part.moves))
    findings.extend(_validate_owners(sections))
    findings.extend(_validate_targets(sections))
    findings.extend(_validate_paths(sections))
    findings.extend(_validate_moves(sections))
    return tuple(findings)


def _find_duplicates(
    sections: tuple[Section, ...], kind: str, items_of: Callable[[Section], Any]
) -> Iterable[Finding]:
    first: dict[str, Place] = {}
    for section in sections:
        for item in items_of(section):
            if item.name in first:
                message = (
                    f"{kind} {item.name!r} is already defined at {first[item.name]}"
                )
                yield Finding(item.place, message, section.name)
            else:
                first[item.name] = item.place


def _validate_owners(sections: tuple[Section, ...]) -> Iterable[Finding]:
    known = {owner.name for section in sections for owner in section.owners}
    for section in sections:
        if section.owner != ADMIN_OWNER and section.owner not in known:
            message = f"owner {section.owner!r} is not in the document"
            yield Finding(section.place, message, section.name)
        if section.owners and section.owner != ADMIN_OWNER:
            message = f"only a section of {ADMIN_OWNER!r} may list owners"
            yield Finding(section.place, message, section.name)


def _validate_targets(sections: tuple[Section, ...]) -> Iterable[Finding]:
    services = {service.name for section in sections for service in section.services}
    for section in sections:
        for item in (*section.routes, *section.moves):
            if item.service not in services:
                kind = "route" if isinstance(item, Route) else "move"
                message = (
                    f"{kind} {item.name!r} points at service {item.service!r}, "
                    "which is not in the document"
                )
                yield Finding(item.place, message, section.name)


def _validate_paths(sections: tuple[Section, ...]) -> Iterable[Finding]:
    first: dict[tuple[str, str], Route] = {}
    for section in sections:
        for route in section.routes:
            for method in route.methods:
                other = first.setdefault((route.path, method), route)
                if other is not route:
                    message = (
                        f"{method} {route.path} is already used by route "
                        f"{other.name!r} at {other.place}"
                    )
                    yield Finding(route.place, message, section.name)


def _validate_moves(sections: tuple[Section, ...]) -> Iterable[Finding]:
    services = {item.name: item for section in sections for item in section.services}
    moving: dict[str, str] = {}
    for section in sections:
        for move in section.moves:
            service = services.get(move.service)
            if service is None:
                continue
            other = moving.setdefault(move.service, move.name)
            if other != move.name:
                message = f"service {move.service!r} already has the move {other!r}"
                yield Finding(move.place, message, section.name)
            if service.version != move.from_version:
                message = (
                    f"move {move.name!r} starts from version {move.from_version!r}, "
                    f"but the service has version {service.version!r}"
                )
                yield Finding(move.place, message, section.name)
