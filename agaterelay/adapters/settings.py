"""Parsing and validation of a node's TOML settings file before the node starts."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import attrs

from agaterelay.adapters.tls import TlsFiles, find_tls_problems
from agaterelay.core.fields import printable
from agaterelay.core.model import Finding, Place

MAX_SETTINGS_BYTES = 64 << 10
MAX_LIST_ITEMS = 64
MAX_PRINTED_INTEGER = 10**18

_ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})")
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_HASH = re.compile(r"[0-9a-f]{64}")
_URL = re.compile(r"http://[A-Za-z0-9.-]{1,253}(:[0-9]{1,5})?(/[!-~]*)?")

# Returns a description of the expected value, or None if the value is valid.
Check = Callable[[Any], str | None]


@attrs.frozen
class Settings:
    """The settings of a node."""

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
    tls: TlsFiles | None = None


def _address(value: Any) -> str | None:
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[2]) < 65536:
        return "an address like 127.0.1.1:7000"
    if any(int(part) > 255 for part in match[1].split(".")):
        return "an address like 127.0.1.1:7000"
    return None


def _pattern(pattern: re.Pattern[str], expected: str) -> Check:
    def check(value: Any) -> str | None:
        matches = isinstance(value, str) and pattern.fullmatch(value)
        return None if matches else expected

    return check


def _seconds(low: float, high: float) -> Check:
    def check(value: Any) -> str | None:
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if number and low <= value <= high:
            return None
        return f"a number of seconds from {low} to {high}"

    return check


def _list_of(check_item: Check) -> Check:
    def check(value: Any) -> str | None:
        if not isinstance(value, list) or len(value) > MAX_LIST_ITEMS:
            return f"a list of at most {MAX_LIST_ITEMS} items"
        for item in value:
            expected = check_item(item)
            if expected is not None:
                return f"a list, each item {expected}"
        return None

    return check


def _path(value: Any) -> str | None:
    good = isinstance(value, str) and value.isprintable() and 0 < len(value) < 4096
    return None if good else "the path of a file"


_name = _pattern(_NAME, "a name of lower-case letters, digits and hyphens")
_url = _pattern(_URL, "an http:// address")
_hash = _pattern(_HASH, "64 hexadecimal digits")

# For each key its table, the check of its value, and whether it is required.
_KEYS: dict[str, tuple[str, Check, bool]] = {
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
    "admin_key_sha256": ("operators", _hash, True),
    "head_poll_s": ("timing", _seconds(0.1, 60), False),
    "probe_period_s": ("timing", _seconds(0.1, 60), False),
    "move_step_s": ("timing", _seconds(0.2, 3600), False),
    "drain_s": ("timing", _seconds(0, 3600), False),
    "ca": ("tls", _path, False),
    "certificate": ("tls", _path, False),
    "key": ("tls", _path, False),
}
_TLS_KEYS = ("ca", "certificate", "key")
_ADDRESS_KEYS = ("peers_address", "calls_address", "operators_address")


def load_settings(path: Path) -> tuple[Settings | None, tuple[Finding, ...]]:
    """Read and check a settings file and the files that it names.

    Returns:
        The settings and no findings, or None and every finding.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_SETTINGS_BYTES + 1)
        text = content.decode()
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        return None, (Finding(Place(str(path)), message),)
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        return None, (Finding(Place(str(path), line), "is not UTF-8 text"),)
    if len(content) > MAX_SETTINGS_BYTES:
        message = f"has more than {MAX_SETTINGS_BYTES} bytes"
        return None, (Finding(Place(str(path)), message),)
    settings, findings = parse_settings(text, str(path))
    if settings is None or settings.tls is None:
        return settings, findings
    problems = find_tls_problems(
        settings.tls, settings.peers_address, datetime.now(UTC)
    )
    findings = tuple(
        Finding(
            _find_place(text, str(path), "tls", problem.key),
            f"tls.{problem.key}: {problem.message}",
        )
        for problem in problems
    )
    return (None if findings else settings), findings


def parse_settings(
    text: str, filename: str
) -> tuple[Settings | None, tuple[Finding, ...]]:
    """Parse and check the text of a settings file.

    Returns:
        The settings and no findings, or None and every finding.
    """
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        match = re.search(r"line ([0-9]+), column ([0-9]+)", str(error))
        line, column = (int(match[1]), int(match[2])) if match else (1, 1)
        place = Place(filename, line, column)
        message = f"is not valid TOML: {printable(str(error), 200)}"
        return None, (Finding(place, message),)
    findings = list(_find_unknown_keys(tables, text, filename))
    values: dict[str, Any] = {}
    for key, (table, check, required) in _KEYS.items():
        content = tables.get(table)
        if not isinstance(content, dict) or key not in content:
            if required:
                place = _find_place(text, filename, table, None)
                expected = check(None)
                message = f"missing key {table}.{key}: {expected}"
                findings.append(Finding(place, message))
            continue
        value = content[key]
        expected = check(value)
        if expected is not None:
            place = _find_place(text, filename, table, key)
            message = f"{table}.{key} must be {expected}, not {_describe(value)}"
            findings.append(Finding(place, message))
            continue
        values[key] = tuple(value) if isinstance(value, list) else value
    findings.extend(_find_conflicts(values, text, filename))
    if findings:
        findings.sort(key=lambda finding: finding.place.line)
        return None, tuple(findings)
    return _make_settings(values, Path(filename).parent), ()


def _make_settings(values: dict[str, Any], folder: Path) -> Settings:
    paths = {key: folder / values.pop(key) for key in _TLS_KEYS if key in values}
    return Settings(**values, tls=TlsFiles(**paths) if paths else None)


def _describe(value: Any) -> str:
    """Return a bounded description of a value for an error message.

    Python refuses to convert integers with too many digits to text.
    """
    if isinstance(value, int) and abs(value) > MAX_PRINTED_INTEGER:
        return "a number of that size"
    if isinstance(value, list | dict):
        return f"a {'list' if isinstance(value, list) else 'table'}"
    return printable(repr(value))


def _find_conflicts(
    values: dict[str, Any], text: str, filename: str
) -> Iterable[Finding]:
    """Find values that are valid but inconsistent with each other."""
    given = [key for key in _TLS_KEYS if key in values]
    if given and len(given) < len(_TLS_KEYS):
        missing = ", ".join(f"tls.{key}" for key in _TLS_KEYS if key not in values)
        place = _find_place(text, filename, "tls", None)
        yield Finding(place, f"tls needs all of its files; missing: {missing}")
    seen: dict[str, str] = {}
    for key in _ADDRESS_KEYS:
        address = values.get(key)
        if address is not None and address in seen:
            place = _find_place(text, filename, "node", key)
            yield Finding(place, f"node.{key} is the same as node.{seen[address]}")
        elif address is not None:
            seen[address] = key
    zones = values.get("zones")
    if zones and "zone" in values and values["zone"] not in zones:
        place = _find_place(text, filename, "node", "zones")
        yield Finding(place, f"node.zones lacks this node's own {values['zone']!r}")


def _find_unknown_keys(
    tables: dict[str, Any], text: str, filename: str
) -> Iterable[Finding]:
    known_tables = {table for table, _, _ in _KEYS.values()}
    for table, content in tables.items():
        place = _find_place(text, filename, table, None)
        if table not in known_tables:
            known = ", ".join(sorted(known_tables))
            shown = printable(table)
            yield Finding(place, f"unknown table '{shown}'; known: {known}")
            continue
        if not isinstance(content, dict):
            yield Finding(place, f"{table} must be a table, not {_describe(content)}")
            continue
        for key in content:
            if key not in _KEYS or _KEYS[key][0] != table:
                place = _find_place(text, filename, table, key)
                known = ", ".join(name for name in _KEYS if _KEYS[name][0] == table)
                message = f"unknown key {table}.{printable(key)}; known: {known}"
                yield Finding(place, message)


def _find_place(text: str, filename: str, table: str, key: str | None) -> Place:
    """Return the position of a key, or of its table's header if the key is missing."""
    header_line = 1
    inside = False
    for number, line in enumerate(text.split("\n"), start=1):
        stripped = line.strip()
        if re.fullmatch(rf"\[\s*{re.escape(table)}\s*\](\s*#.*)?", stripped):
            inside = True
            header_line = number
        elif stripped.startswith("["):
            inside = False
        elif inside and key and re.match(rf"\"?{re.escape(key)}\"?\s*=", stripped):
            return Place(filename, number, line.index(stripped[0]) + 1)
    return Place(filename, header_line, 1)
