"""Parse the document, a YAML stream with one mapping per section."""

from __future__ import annotations

import re
from typing import Any

import yaml

from agaterelay.core.fields import (
    VERSION_PATTERN,
    ParseContext,
    compose,
    printable,
    read_boolean,
    read_fields,
    read_integer,
    read_items,
    read_name,
    read_scalar,
    read_time,
)
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
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
SAFE_METHODS = frozenset({"GET", "HEAD"})


def parse_document(
    text: str, filename: str
) -> tuple[tuple[Section, ...], tuple[Finding, ...]]:
    """Parse a whole document.

    Args:
        text: The document, with one YAML mapping per section.
        filename: The name of the source in findings.

    Returns:
        The parsed sections and all findings, up to a bound. If there are findings, the
        sections are incomplete and must not be used.
    """
    context = ParseContext(filename)
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_DOCUMENT_BYTES:
        message = f"the document has {size_bytes} bytes, more than {MAX_DOCUMENT_BYTES}"
        return (), (Finding(Place(filename), message),)
    nodes = compose(text, context)
    sections = []
    for node in nodes:
        context.section = ""
        section = _parse_section(node, text, context)
        if section is not None:
            sections.append(section)
    if not nodes and not context.findings:
        context.findings.append(Finding(Place(filename), "the document is empty"))
    return tuple(sections), tuple(context.findings)


_SECTION_KEYS = frozenset({"section", "owner", "owners", "services", "routes", "moves"})


def _parse_section(node: yaml.Node, text: str, context: ParseContext) -> Section | None:
    context.section = _read_section_name(node)
    fields = read_fields(node, _SECTION_KEYS, "a section", context)
    if fields is None:
        return None
    name = read_name(fields, node, "section", context)
    owner = read_name(fields, node, "owner", context)
    parse_items = {
        "owners": _parse_owner,
        "services": _parse_service,
        "routes": _parse_route,
        "moves": _parse_move,
    }
    parts: dict[str, Any] = {}
    for key, parse_item in parse_items.items():
        items = [parse_item(item, context) for item in read_items(fields, key, context)]
        parts[key] = tuple(item for item in items if item is not None)
    body = _section_text(node, text)
    return Section(
        name=name, owner=owner, place=context.place(node), text=body, **parts
    )


def _read_section_name(node: yaml.Node) -> str:
    """Return a section's name, which findings on its other keys contain."""
    for key, value in node.value if isinstance(node, yaml.MappingNode) else ():
        if key.value == "section" and isinstance(value, yaml.ScalarNode):
            return printable(value.value)
    return ""


def _section_text(node: yaml.Node, text: str) -> str:
    """Return a section's own text, which parses to the same section by itself."""
    start = node.start_mark.index
    indent = node.start_mark.column
    # The first line keeps its indentation, since the following lines have it too.
    if text[start - indent : start].isspace():
        start -= indent
    return text[start : node.end_mark.index].rstrip() + "\n"


def _parse_owner(node: yaml.Node, context: ParseContext) -> Owner | None:
    fields = read_fields(node, frozenset({"name", "key_sha256"}), "an owner", context)
    if fields is None:
        return None
    name = read_name(fields, node, "name", context)
    key_node = fields.get("key_sha256", node)
    key = key_node.value if isinstance(key_node, yaml.ScalarNode) else ""
    if not re.fullmatch("[0-9a-f]{64}", key):
        context.add(key_node, "key_sha256 must be 64 hexadecimal digits")
    return Owner(name=name, key_sha256=key, place=context.place(node))


def _parse_service(node: yaml.Node, context: ParseContext) -> Service | None:
    fields = read_fields(node, frozenset({"name", "version"}), "a service", context)
    if fields is None:
        return None
    return Service(
        name=read_name(fields, node, "name", context),
        version=read_name(fields, node, "version", context, VERSION_PATTERN),
        place=context.place(node),
    )


_ROUTE_KEYS = frozenset(
    {"name", "path", "service", "methods", "idempotent", "timeout_ms", "priority"}
)


def _parse_route(node: yaml.Node, context: ParseContext) -> Route | None:
    fields = read_fields(node, _ROUTE_KEYS, "a route", context)
    if fields is None:
        return None
    path = _parse_path(fields, node, context)
    methods = _parse_methods(fields, context)
    safe = all(method in SAFE_METHODS for method in methods)
    priority = Priority.INTERACTIVE
    if "priority" in fields:
        value = read_scalar(fields["priority"], "priority", context)
        if value in tuple(Priority):
            priority = Priority(value)
        elif value is not None:
            context.add(fields["priority"], "priority must be interactive or bulk")
    return Route(
        name=read_name(fields, node, "name", context),
        path=path,
        service=read_name(fields, node, "service", context),
        place=context.place(node),
        methods=methods,
        idempotent=read_boolean(fields, "idempotent", safe, context),
        timeout_ms=read_integer(fields, "timeout_ms", 2000, 1, 600_000, context)
        or 2000,
        priority=priority,
    )


def _parse_path(
    fields: dict[str, yaml.Node], node: yaml.Node, context: ParseContext
) -> str:
    if "path" not in fields:
        context.add(node, "missing key 'path'")
        return ""
    path = read_scalar(fields["path"], "path", context)
    if path is None:
        return ""
    if not re.fullmatch(r"/[A-Za-z0-9._~/-]{0,254}", path):
        context.add(
            fields["path"], f"path '{printable(path)}' is not a valid path prefix"
        )
        return ""
    return path


def _parse_methods(
    fields: dict[str, yaml.Node], context: ParseContext
) -> tuple[str, ...]:
    if "methods" not in fields:
        return ("GET",)
    methods = []
    for item in read_items(fields, "methods", context):
        value = read_scalar(item, "methods", context)
        if value in METHODS:
            methods.append(value)
        elif value is not None:
            known = ", ".join(sorted(METHODS))
            context.add(
                item, f"unknown method '{printable(value, 40)}'; known: {known}"
            )
    if not methods:
        context.add(fields["methods"], "methods must name at least one method")
    return tuple(methods)


_MOVE_KEYS = frozenset(
    {"name", "service", "from", "to", "finish_by", "finish_within_s", "bake_s"}
)


def _parse_move(node: yaml.Node, context: ParseContext) -> Move | None:
    fields = read_fields(node, _MOVE_KEYS, "a move", context)
    if fields is None:
        return None
    finish_by = read_time(fields, "finish_by", context)
    finish_within_s = read_integer(
        fields, "finish_within_s", None, 1, 31_536_000, context
    )
    if ("finish_by" in fields) == ("finish_within_s" in fields):
        context.add(node, "a move needs either finish_by or finish_within_s")
    move = Move(
        name=read_name(fields, node, "name", context),
        service=read_name(fields, node, "service", context),
        from_version=read_name(fields, node, "from", context, VERSION_PATTERN),
        to_version=read_name(fields, node, "to", context, VERSION_PATTERN),
        place=context.place(node),
        finish_by=finish_by,
        finish_within_s=finish_within_s,
        bake_s=read_integer(fields, "bake_s", 30, 0, 86_400, context) or 0,
    )
    if move.from_version and move.from_version == move.to_version:
        context.add(node, "a move needs two different versions")
    return move
