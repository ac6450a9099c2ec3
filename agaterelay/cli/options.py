"""Options that several commands share, and how their files are read."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated

import cappa

from agaterelay.cli.outcome import CommandError, Exit, FindingsError
from agaterelay.core.model import Section
from agaterelay.core.parse import MAX_DOCUMENT_BYTES, parse_document

MAX_KEY_BYTES = 4096
_NODE = re.compile(r"[A-Za-z0-9.-]{1,253}:[0-9]{1,5}")
_REVISION_HEADER = re.compile(r"# agaterelay revision ([0-9]{1,15})\n")


def parse_node(value: str) -> str:
    """Return a node's address.

    Raises:
        ValueError: The text is no address.
    """
    if not _NODE.fullmatch(value):
        raise ValueError("expected an address like 127.0.1.1:7002")
    return value


NodeAddress = Annotated[
    str,
    cappa.Arg(
        long="--node",
        parse=parse_node,
        default=cappa.Env("AGATERELAY_NODE"),
        help="Operators' address of any node, also from AGATERELAY_NODE.",
    ),
]
KeyFile = Annotated[
    Path,
    cappa.Arg(
        long="--key-file",
        default=cappa.Env("AGATERELAY_KEY_FILE"),
        help="File with the owner's key, also from AGATERELAY_KEY_FILE.",
    ),
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
DocumentFile = Annotated[Path, cappa.Arg(help="The document, or a part of it.")]


def read_key(path: Path | None) -> str:
    """Return the key in a file.

    Raises:
        CommandError: The file cannot be read or holds no key.
    """
    if path is None:
        message = "name the key's file by --key-file or AGATERELAY_KEY_FILE"
        raise CommandError(Exit.USAGE, message)
    try:
        content = path.read_bytes()
        key = content.decode("ascii").strip()
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise CommandError(Exit.USAGE, message) from error
    except UnicodeDecodeError:
        raise CommandError(Exit.USAGE, f"{path}: holds no key") from None
    if not key or len(content) > MAX_KEY_BYTES or not key.isprintable():
        raise CommandError(Exit.USAGE, f"{path}: holds no key")
    return key


def read_bytes(path: Path) -> bytes:
    """Return what stands in a file, as much as a document may hold and a byte more.

    Raises:
        CommandError: The file cannot be read.
    """
    try:
        with path.open("rb") as file:
            return file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise CommandError(Exit.USAGE, message) from error


def read_text(path: Path) -> str:
    """Return the text of a document file.

    Raises:
        CommandError: The file cannot be read, is too large, or is no text.
    """
    content = read_bytes(path)
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        raise CommandError(Exit.USAGE, f"{path}:{line}: is not UTF-8 text") from error


def read_sections(path: Path) -> tuple[tuple[Section, ...], int]:
    """Return a document's sections, and the revision that its first line names.

    The revision is 0 where the first line names none.

    Raises:
        CommandError: The file cannot be read, or has findings.
    """
    text = read_text(path)
    sections, findings = parse_document(text, str(path))
    if findings:
        raise FindingsError(findings, f"in {path}")
    header = _REVISION_HEADER.match(text)
    return sections, int(header[1]) if header else 0
