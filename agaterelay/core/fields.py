"""Read the fields of YAML nodes and collect findings with their places.

Only the node graph of the YAML library is used, since nothing else keeps the place of
every key. Aliases, anchors and tags are refused and the nesting depth is limited, so
that the work is bounded by the length of the text.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime

import attrs
import yaml

from agaterelay.core.model import Finding, Place

MAX_NAME_LENGTH = 63
MAX_NESTING = 16
MAX_ITEMS = 2000
MAX_FINDINGS = 200
MAX_INTEGER_DIGITS = 9
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]*[a-z0-9])?")
VERSION_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?")
BYTE_ORDER_MARK = "\ufeff"

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@attrs.define
class ParseContext:
    """The findings on one text, and its file and section names for their places."""

    filename: str
    section: str = ""
    findings: list[Finding] = attrs.field(factory=list)

    def place(self, node: yaml.Node | yaml.Event) -> Place:
        """Return the place where a node or an event begins."""
        mark = node.start_mark
        return Place(self.filename, mark.line + 1, mark.column + 1)

    def add(self, node: yaml.Node | yaml.Event, message: str) -> None:
        """Add a finding on a node; the first findings are kept, up to a bound."""
        self.add_at(self.place(node), message)

    def add_at(self, place: Place, message: str) -> None:
        """Add a finding at a place; the first findings are kept, up to a bound."""
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(place, message, self.section))


def compose(text: str, context: ParseContext) -> list[yaml.Node]:
    """Return the root nodes of a YAML stream, or add a finding and return none."""
    if text.startswith(BYTE_ORDER_MARK):
        context.add_at(Place(context.filename), "a byte order mark is not allowed")
        return []
    try:
        if not _check_events(text, context):
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
        context.add_at(place, f"invalid YAML: {printable(problem)}")
        return []
    return [node for node in nodes if node is not None]


def _check_events(text: str, context: ParseContext) -> bool:
    """Refuse YAML features that documents don't need, before any node is built."""
    nesting = 0
    for event in yaml.parse(text, Loader=_LOADER):
        if isinstance(event, yaml.AliasEvent):
            context.add(event, "aliases are not allowed")
            return False
        if isinstance(event, yaml.CollectionStartEvent):
            nesting += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            nesting -= 1
        if nesting > MAX_NESTING:
            context.add(event, f"nested deeper than {MAX_NESTING} levels")
            return False
        if isinstance(event, yaml.NodeEvent) and event.anchor is not None:
            context.add(event, "anchors are not allowed")
            return False
        if getattr(event, "tag", None) is not None:
            context.add(event, f"tags are not allowed: {printable(event.tag)}")
            return False
    return True


def printable(text: str, most: int = 80) -> str:
    """Return the beginning of a text with control characters escaped."""
    shown = text[:most]
    return shown if shown.isprintable() else repr(shown)[1:-1]


def read_fields(
    node: yaml.Node, known: frozenset[str], what: str, context: ParseContext
) -> dict[str, yaml.Node] | None:
    """Return the mapping's values by key; unknown and duplicate keys are findings."""
    if not isinstance(node, yaml.MappingNode):
        context.add(node, f"expected a mapping for {what}")
        return None
    fields: dict[str, yaml.Node] = {}
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, yaml.ScalarNode) else None
        if key is None or key not in known:
            expected = ", ".join(sorted(known))
            shown = "that is not a string" if key is None else f"'{printable(key)}'"
            context.add(key_node, f"unknown key {shown} in {what}; known: {expected}")
        elif key in fields:
            context.add(key_node, f"key {key!r} appears twice in {what}")
        else:
            fields[key] = value_node
    return fields


def read_scalar(node: yaml.Node, key: str, context: ParseContext) -> str | None:
    """Return the text of a scalar, or add a finding and return None."""
    if not isinstance(node, yaml.ScalarNode) or not node.value.strip():
        context.add(node, f"expected a value for {key}")
        return None
    return node.value


def read_name(
    fields: dict[str, yaml.Node],
    node: yaml.Node,
    key: str,
    context: ParseContext,
    pattern: re.Pattern[str] = NAME_PATTERN,
) -> str:
    """Return the name under a key, or add a finding and return an empty string."""
    if key not in fields:
        context.add(node, f"missing key {key!r}")
        return ""
    value = read_scalar(fields[key], key, context)
    if value is None:
        return ""
    if len(value) > MAX_NAME_LENGTH or not pattern.fullmatch(value):
        context.add(fields[key], f"{key} '{printable(value)}' is not a valid name")
        return ""
    return value


def read_integer(
    fields: dict[str, yaml.Node],
    key: str,
    default: int | None,
    low: int,
    high: int,
    context: ParseContext,
) -> int | None:
    """Return the integer under a key, or the default if there is no valid one."""
    if key not in fields:
        return default
    value = read_scalar(fields[key], key, context)
    if value is None:
        return default
    digits = re.fullmatch(r"[0-9]+", value) and len(value) <= MAX_INTEGER_DIGITS
    if not digits or not low <= int(value) <= high:
        context.add(
            fields[key],
            f"{key} must be a whole number from {low} to {high}, "
            f"not '{printable(value, 40)}'",
        )
        return default
    return int(value)


def read_boolean(
    fields: dict[str, yaml.Node], key: str, default: bool, context: ParseContext
) -> bool:
    """Return the boolean under a key, or the default if there is no valid one."""
    if key not in fields:
        return default
    value = read_scalar(fields[key], key, context)
    if value not in ("true", "false"):
        context.add(fields[key], f"{key} must be true or false")
        return default
    return value == "true"


def read_items(
    fields: dict[str, yaml.Node], key: str, context: ParseContext
) -> list[yaml.Node]:
    """Return the items of the list under a key, up to a bound."""
    if key not in fields:
        return []
    node = fields[key]
    if not isinstance(node, yaml.SequenceNode):
        context.add(node, f"expected a list for {key}")
        return []
    if len(node.value) > MAX_ITEMS:
        context.add(node, f"{key} has {len(node.value)} items, at most {MAX_ITEMS}")
    return node.value[:MAX_ITEMS]


def read_time(
    fields: dict[str, yaml.Node], key: str, context: ParseContext
) -> datetime | None:
    """Return the time under a key in UTC, or None if there is no valid one."""
    if key not in fields:
        return None
    value = read_scalar(fields[key], key, context)
    if value is None:
        return None
    try:
        time = datetime.fromisoformat(value)
        if time.tzinfo is not None:
            return time.astimezone(UTC)
    except (ValueError, OverflowError):
        pass
    context.add(fields[key], f"{key} must be an ISO 8601 time with a UTC offset")
    return None
