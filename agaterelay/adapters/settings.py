"""Read a node's settings from TOML and check them whole before anything starts."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import attrs

from agaterelay.core.model import Finding, Place

_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_HASH = re.compile(r"[0-9a-f]{64}")
_URL = re.compile(r"http://[^\s/]+(/.*)?")


@attrs.frozen
class Settings:
    """What a node learns from its settings."""

    zone: str
    region: str
    peers_address: str
    calls_address: str
    operators_address: str
    table_url: str
    objects_url: str
    admin_key_sha256: str
    seeds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    head_poll_s: float = 1.0
    probe_period_s: float = 1.0
    move_step_s: float = 3.0
    drain_s: float = 30.0
    platform_timeout_s: float = 2.0


def _address(value: Any) -> str | None:
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[2]) < 65536:
        return "an address like 127.0.1.1:7000"
    if any(int(part) > 255 for part in match[1].split(".")):
        return "an address like 127.0.1.1:7000"
    return None


def _pattern(pattern: re.Pattern[str], expected: str) -> Any:
    def check(value: Any) -> str | None:
        matches = isinstance(value, str) and pattern.fullmatch(value)
        return None if matches else expected

    return check


def _seconds(low: float, high: float) -> Any:
    def check(value: Any) -> str | None:
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if number and low <= value <= high:
            return None
        return f"a number of seconds from {low} to {high}"

    return check


def _list_of(check_item: Any) -> Any:
    def check(value: Any) -> str | None:
        if not isinstance(value, list) or len(value) > 64:
            return "a list of at most 64 items"
        for item in value:
            expected = check_item(item)
            if expected is not None:
                return f"a list, each item {expected}"
        return None

    return check


_name = _pattern(_NAME, "a name of lower-case letters, digits and hyphens")
_url = _pattern(_URL, "an http:// address")

# Table and key in the file, the check, and whether it must be there.
_KEYS: dict[str, tuple[str, Any, bool]] = {
    "zone": ("node", _name, True),
    "region": ("node", _name, True),
    "peers_address": ("node", _address, True),
    "calls_address": ("node", _address, True),
    "operators_address": ("node", _address, True),
    "seeds": ("node", _list_of(_address), False),
    "zones": ("node", _list_of(_name), False),
    "table_url": ("platform", _url, True),
    "objects_url": ("platform", _url, True),
    "platform_timeout_s": ("platform", _seconds(0.1, 60), False),
    "admin_key_sha256": ("operators", _pattern(_HASH, "64 hexadecimal digits"), True),
    "head_poll_s": ("timing", _seconds(0.1, 60), False),
    "probe_period_s": ("timing", _seconds(0.1, 60), False),
    "move_step_s": ("timing", _seconds(0.2, 3600), False),
    "drain_s": ("timing", _seconds(0, 3600), False),
}


def load_settings(path: Path) -> tuple[Settings | None, tuple[Finding, ...]]:
    """Read and check a settings file.

    Returns:
        The settings and no findings, or None and all findings.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        message = f"cannot be read: {type(error).__name__}"
        return None, (Finding(Place(str(path)), message),)
    return parse_settings(text, str(path))


def parse_settings(
    text: str, filename: str
) -> tuple[Settings | None, tuple[Finding, ...]]:
    """Check the text of a settings file.

    Returns:
        The settings and no findings, or None and all findings.
    """
    try:
        tables = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        match = re.search(r"line (\d+), column (\d+)", str(error))
        line, column = (int(match[1]), int(match[2])) if match else (1, 1)
        place = Place(filename, line, column)
        return None, (Finding(place, f"not readable as TOML: {error}"),)
    findings = list(_find_unknown(tables, text, filename))
    values: dict[str, Any] = {}
    for key, (table, check, required) in _KEYS.items():
        content = tables.get(table)
        if not isinstance(content, dict) or key not in content:
            if required:
                place = _place_of(text, filename, table, None)
                findings.append(Finding(place, f"missing key {table}.{key}"))
            continue
        value = content[key]
        expected = check(value)
        if expected is not None:
            place = _place_of(text, filename, table, key)
            message = f"{table}.{key} must be {expected}, not {value!r}"
            findings.append(Finding(place, message))
        values[key] = tuple(value) if isinstance(value, list) else value
    if findings:
        findings.sort(key=lambda finding: finding.place.line)
        return None, tuple(findings)
    return Settings(**values), ()


def _find_unknown(tables: dict[str, Any], text: str, filename: str) -> Any:
    known_tables = {table for table, _, _ in _KEYS.values()}
    for table, content in tables.items():
        if table not in known_tables or not isinstance(content, dict):
            place = _place_of(text, filename, table, None)
            known = ", ".join(sorted(known_tables))
            yield Finding(place, f"unknown table {table!r}; known: {known}")
            continue
        for key in content:
            if key not in _KEYS or _KEYS[key][0] != table:
                place = _place_of(text, filename, table, key)
                yield Finding(place, f"unknown key {table}.{key}")


def _place_of(text: str, filename: str, table: str, key: str | None) -> Place:
    """Return where a key stands, or its table's header where there is no such key."""
    header_line = 1
    inside = False
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if re.fullmatch(rf"\[\s*{re.escape(table)}\s*\](\s*#.*)?", stripped):
            inside = True
            header_line = number
        elif stripped.startswith("["):
            inside = False
        elif inside and key and re.match(rf"\"?{re.escape(key)}\"?\s*=", stripped):
            return Place(filename, number, line.index(stripped[0]) + 1)
    return Place(filename, header_line, 1)
