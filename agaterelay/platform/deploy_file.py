"""Validation of the file that defines how the platform builds and starts the node."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from typing import Any

from agaterelay.core.model import Finding, Place

MAX_ROLES_PER_MACHINE = 2
_METRICS = re.compile(r"[0-9]{1,5}/\S*")
_SHELL_WORDS = frozenset({"&&", "||", ";", "|", ">", "<", "env", "npx"})


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and bool(value.strip())


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


# For each field of a role, the check of its value and a description of a valid one.
_ROLE_FIELDS: dict[str, tuple[Callable[[Any], bool], str]] = {
    "run": (_is_text, "a program and its arguments"),
    "on": (_is_text, "a class of machines"),
    "serves": (
        lambda value: isinstance(value, list) and all(map(_is_text, value)),
        "a list of names",
    ),
    "metrics": (
        lambda value: _is_text(value) and bool(_METRICS.fullmatch(value)),
        "a port and a path, like 7390/metrics",
    ),
    "share": (
        lambda value: _is_number(value) and 0 < value <= 1,
        "a number over 0 and up to 1",
    ),
    "count": (
        lambda value: _is_number(value) and isinstance(value, int) and value > 0,
        "a whole number from 1",
    ),
    "apart": (lambda value: isinstance(value, bool), "true or false"),
}
_REQUIRED = ("run", "on")


def check_deploy_file(text: str, filename: str) -> tuple[Finding, ...]:
    """Return all findings on a deploy file."""
    place = Place(filename)
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (Finding(place, f"is not TOML: {error}"),)
    findings = []
    if not _is_text(tree.get("build")):
        findings.append(Finding(place, "build: must be a command"))
    roles = tree.get("roles")
    if not isinstance(roles, dict) or not roles:
        return (*findings, Finding(place, "roles: there is none, so nothing runs"))
    for name, role in roles.items():
        findings.extend(
            Finding(place, message, f"role {name}") for message in _check_role(role)
        )
    tables = [role for role in roles.values() if isinstance(role, dict)]
    findings.extend(Finding(place, message) for message in _check_machines(tables))
    return tuple(findings)


def _check_role(role: Any) -> list[str]:
    if not isinstance(role, dict):
        return [f"must be a table, not {role!r}"]
    problems = [f"{name}: is missing" for name in _REQUIRED if name not in role]
    for name, value in role.items():
        if name not in _ROLE_FIELDS:
            problems.append(f"{name}: is not known")
            continue
        is_valid, expected = _ROLE_FIELDS[name]
        if not is_valid(value):
            problems.append(f"{name}: must be {expected}, not {value!r}")
    run = role.get("run")
    if _is_text(run):
        problems.extend(
            f"run: {word!r} needs a shell or a wrapper, and the platform runs none"
            for word in run.split()
            if word in _SHELL_WORDS
        )
    if "share" in role and "count" in role:
        problems.append("share and count: give only one of them")
    return problems


def _check_machines(roles: list[dict[str, Any]]) -> list[str]:
    """Return the conflicts between roles on the same class of machines."""
    problems = []
    by_class: dict[str, list[dict[str, Any]]] = {}
    for role in roles:
        by_class.setdefault(str(role.get("on")), []).append(role)
    for name, class_roles in by_class.items():
        if len(class_roles) > MAX_ROLES_PER_MACHINE:
            problems.append(
                f"{len(class_roles)} roles run on {name}; a machine runs "
                f"{MAX_ROLES_PER_MACHINE} at most"
            )
        served = [item for role in class_roles for item in role.get("serves") or []]
        problems.extend(
            f"two roles on {name} serve {item}"
            for item in sorted({item for item in served if served.count(item) > 1})
        )
    return problems
