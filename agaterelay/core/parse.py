"""Parse the document: a YAML stream with one mapping a section.

Only the node graph of the YAML library is used, since it alone keeps the place of
every key. Aliases are refused, which bounds the work by the length of the text.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import Any

import attrs
import yaml

from agaterelay.core.model import (
    Finding,
    Move,
    Owner,
    Place,
    Priority,
    Route,
    Section,
    Service,
)

MAX_DOCUMENT_BYTES = 1 << 20
MAX_NAME_LENGTH = 63
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]*[a-z0-9])?")
VERSION_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?")
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
SAFE_METHODS = frozenset({"GET", "HEAD"})

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@attrs.define
class _Context:
    """The findings of one text and what is needed to give them a place."""

    filename: str
    section: str = ""
    findings: list[Finding] = attrs.field(factory=list)

    def place(self, node: yaml.Node) -> Place:
        mark = node.start_mark
        return Place(self.filename, mark.line + 1, mark.column + 1)

    def add(self, node: yaml.Node, message: str) -> None:
        self.findings.append(Finding(self.place(node), message, self.section))


def parse_document(
    text: str, filename: str
) -> tuple[tuple[Section, ...], tuple[Finding, ...]]:
    """Parse a whole document.

    Args:
        text: The document, one YAML mapping a section.
        filename: What findings name as the source.

    Returns:
        The sections that could be read and all findings. With any finding the
        sections are incomplete and must not be used.
    """
    context = _Context(filename)
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_DOCUMENT_BYTES:
        message = f"the document has {size_bytes} bytes, at most {MAX_DOCUMENT_BYTES}"
        return (), (Finding(Place(filename), message),)
    nodes = _compose(text, context)
    sections = []
    for node in nodes:
        context.section = ""
        section = _parse_section(node, text, context)
        if section is not None:
            sections.append(section)
    if not nodes and not context.findings:
        context.findings.append(Finding(Place(filename), "the document is empty"))
    return tuple(sections), tuple(context.findings)


def _compose(text: str, context: _Context) -> list[yaml.Node]:
    try:
        for event in yaml.parse(text, Loader=_LOADER):
            if isinstance(event, yaml.AliasEvent):
                place = Place(
                    context.filename,
                    event.start_mark.line + 1,
                    event.start_mark.column + 1,
                )
                context.findings.append(Finding(place, "aliases are not allowed"))
                return []
        nodes = list(yaml.compose_all(text, Loader=_LOADER))
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None) or getattr(
            error, "context_mark", None
        )
        line = mark.line + 1 if mark else 1
        column = mark.column + 1 if mark else 1
        problem = getattr(error, "problem", None) or str(error)
        place = Place(context.filename, line, column)
        context.findings.append(Finding(place, f"not readable as YAML: {problem}"))
        return []
    return [node for node in nodes if node is not None]


def _fields(
    node: yaml.Node, known: frozenset[str], what: str, context: _Context
) -> dict[str, yaml.Node] | None:
    """Return the mapping's values by key; unknown and doubled keys are findings."""
    if not isinstance(node, yaml.MappingNode):
        context.add(node, f"expected a mapping for {what}")
        return None
    fields: dict[str, yaml.Node] = {}
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, yaml.ScalarNode) else None
        if key is None or key not in known:
            expected = ", ".join(sorted(known))
            context.add(key_node, f"unknown key {key!r} in {what}; known: {expected}")
        elif key in fields:
            context.add(key_node, f"key {key!r} stands twice in {what}")
        else:
            fields[key] = value_node
    return fields


def _scalar(node: yaml.Node, key: str, context: _Context) -> str | None:
    if not isinstance(node, yaml.ScalarNode) or not node.value.strip():
        context.add(node, f"expected a value for {key}")
        return None
    return node.value


def _required(
    fields: dict[str, yaml.Node],
    node: yaml.Node,
    key: str,
    context: _Context,
    pattern: re.Pattern[str] = NAME_PATTERN,
) -> str:
    """Return the name under a key, or an empty string after adding a finding."""
    if key not in fields:
        context.add(node, f"missing key {key!r}")
        return ""
    value = _scalar(fields[key], key, context)
    if value is None:
        return ""
    if len(value) > MAX_NAME_LENGTH or not pattern.fullmatch(value):
        context.add(fields[key], f"{key} {value[:80]!r} is not a valid name")
        return ""
    return value


def _integer(
    fields: dict[str, yaml.Node],
    key: str,
    default: int | None,
    low: int,
    high: int,
    context: _Context,
) -> int | None:
    if key not in fields:
        return default
    value = _scalar(fields[key], key, context)
    if value is None:
        return default
    if not re.fullmatch(r"[0-9]{1,9}", value) or not low <= int(value) <= high:
        context.add(
            fields[key],
            f"{key} must be a whole number from {low} to {high}, not {value[:40]!r}",
        )
        return default
    return int(value)


def _boolean(
    fields: dict[str, yaml.Node], key: str, default: bool, context: _Context
) -> bool:
    if key not in fields:
        return default
    value = _scalar(fields[key], key, context)
    if value not in ("true", "false"):
        context.add(fields[key], f"{key} must be true or false")
        return default
    return value == "true"


def _items(
    fields: dict[str, yaml.Node], key: str, context: _Context
) -> list[yaml.Node]:
    if key not in fields:
        return []
    node = fields[key]
    if not isinstance(node, yaml.SequenceNode):
        context.add(node, f"expected a list for {key}")
        return []
    return list(node.value)


_SECTION_KEYS = frozenset({"section", "owner", "owners", "services", "routes", "moves"})


def _parse_section(node: yaml.Node, text: str, context: _Context) -> Section | None:
    fields = _fields(node, _SECTION_KEYS, "a section", context)
    if fields is None:
        return None
    name = _required(fields, node, "section", context)
    context.section = name
    owner = _required(fields, node, "owner", context)
    parse_items = {
        "owners": _parse_owner,
        "services": _parse_service,
        "routes": _parse_route,
        "moves": _parse_move,
    }
    parts: dict[str, Any] = {}
    for key, parse_item in parse_items.items():
        items = [parse_item(item, context) for item in _items(fields, key, context)]
        parts[key] = tuple(item for item in items if item is not None)
    body = text[node.start_mark.index : node.end_mark.index].strip() + "\n"
    return Section(
        name=name, owner=owner, place=context.place(node), text=body, **parts
    )


def _parse_owner(node: yaml.Node, context: _Context) -> Owner | None:
    fields = _fields(node, frozenset({"name", "key_sha256"}), "an owner", context)
    if fields is None:
        return None
    name = _required(fields, node, "name", context)
    key_node = fields.get("key_sha256", node)
    key = key_node.value if isinstance(key_node, yaml.ScalarNode) else ""
    if not re.fullmatch("[0-9a-f]{64}", key):
        context.add(key_node, "key_sha256 must be 64 hexadecimal digits")
    return Owner(name=name, key_sha256=key, place=context.place(node))


def _parse_service(node: yaml.Node, context: _Context) -> Service | None:
    fields = _fields(node, frozenset({"name", "version"}), "a service", context)
    if fields is None:
        return None
    return Service(
        name=_required(fields, node, "name", context),
        version=_required(fields, node, "version", context, VERSION_PATTERN),
        place=context.place(node),
    )


_ROUTE_KEYS = frozenset(
    {"name", "path", "service", "methods", "idempotent", "timeout_ms", "priority"}
)


def _parse_route(node: yaml.Node, context: _Context) -> Route | None:
    fields = _fields(node, _ROUTE_KEYS, "a route", context)
    if fields is None:
        return None
    path = _parse_path(fields, node, context)
    methods = _parse_methods(fields, context)
    safe = all(method in SAFE_METHODS for method in methods)
    priority = Priority.INTERACTIVE
    if "priority" in fields:
        value = _scalar(fields["priority"], "priority", context)
        if value in tuple(Priority):
            priority = Priority(value)
        elif value is not None:
            context.add(fields["priority"], "priority must be interactive or bulk")
    return Route(
        name=_required(fields, node, "name", context),
        path=path,
        service=_required(fields, node, "service", context),
        place=context.place(node),
        methods=methods,
        idempotent=_boolean(fields, "idempotent", safe, context),
        timeout_ms=_integer(fields, "timeout_ms", 2000, 1, 600_000, context) or 2000,
        priority=priority,
    )


def _parse_path(
    fields: dict[str, yaml.Node], node: yaml.Node, context: _Context
) -> str:
    if "path" not in fields:
        context.add(node, "missing key 'path'")
        return ""
    path = _scalar(fields["path"], "path", context)
    if path is None:
        return ""
    if not re.fullmatch(r"/[A-Za-z0-9._~/-]{0,254}", path):
        context.add(fields["path"], f"path {path[:80]!r} is not a valid path prefix")
        return ""
    return path


def _parse_methods(fields: dict[str, yaml.Node], context: _Context) -> tuple[str, ...]:
    if "methods" not in fields:
        return ("GET",)
    methods = []
    for item in _items(fields, "methods", context):
        value = _scalar(item, "methods", context)
        if value in METHODS:
            methods.append(value)
        elif value is not None:
            known = ", ".join(sorted(METHODS))
            context.add(item, f"unknown method {value[:40]!r}; known: {known}")
    if not methods:
        context.add(fields["methods"], "methods must name at least one method")
    return tuple(methods)


_MOVE_KEYS = frozenset(
    {"name", "service", "from", "to", "finish_by", "finish_within_s", "bake_s"}
)


def _parse_move(node: yaml.Node, context: _Context) -> Move | None:
    fields = _fields(node, _MOVE_KEYS, "a move", context)
    if fields is None:
        return None
    finish_by = _parse_time(fields, "finish_by", context)
    finish_within_s = _integer(fields, "finish_within_s", None, 1, 31_536_000, context)
    if ("finish_by" in fields) == ("finish_within_s" in fields):
        context.add(node, "a move needs either finish_by or finish_within_s")
    move = Move(
        name=_required(fields, node, "name", context),
        service=_required(fields, node, "service", context),
        from_version=_required(fields, node, "from", context, VERSION_PATTERN),
        to_version=_required(fields, node, "to", context, VERSION_PATTERN),
        place=context.place(node),
        finish_by=finish_by,
        finish_within_s=finish_within_s,
        bake_s=_integer(fields, "bake_s", 30, 0, 86_400, context) or 0,
    )
    if move.from_version and move.from_version == move.to_version:
        context.add(node, "a move needs two different versions")
    return move


def _parse_time(
    fields: dict[str, yaml.Node], key: str, context: _Context
) -> datetime | None:
    if key not in fields:
        return None
    value = _scalar(fields[key], key, context)
    if value is None:
        return None
    try:
        time = datetime.fromisoformat(value)
    except ValueError:
        time = None
    if time is None or time.tzinfo is None:
        context.add(fields[key], f"{key} must be an ISO 8601 time with its offset")
        return None
    return time.astimezone(UTC)
