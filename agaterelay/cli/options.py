"""Options that several commands share, and readers for the files they name."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated

import cappa

from agaterelay.cli.outcome import CommandError, Exit, FindingsError
from agaterelay.core.model import Section
from agaterelay.core.parse import MAX_DOCUMENT_BYTES, parse_document

MAX_KEY_BYTES = 4096
_NODE_ADDRESS_PATTERN = re.compile(r"[A-Za-z0-9.-]{1,253}:[0-9]{1,5}")
_REVISION_HEADER_PATTERN = re.compile(r"# agaterelay revision ([0-9]{1,15})\n")


def parse_node_address(value: str) -> str:
    """Return the value if it is a node's address.

    Raises:
        ValueError: The value is not ``host:port``.
    """
    if not _NODE_ADDRESS_PATTERN.fullmatch(value):
        raise ValueError("expected an address like 127.0.1.1:7002")
    return value


NodeAddress = Annotated[
    str,
    cappa.Arg(
        long="--node",
        parse=parse_node_address,
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
DocumentFile = Annotated[
    Path, cappa.Arg(help="A file with the document or some of its sections.")
]


def read_key(path: Path | None) -> str:
    """Return the key in a file.

    Raises:
        CommandError: No file was given, it cannot be read, or it holds no key.
    """
    if path is None:
        message = "no key file given: use --key-file or AGATERELAY_KEY_FILE"
        raise CommandError(Exit.USAGE, message)
    try:
        content = path.read_bytes()
        key = content.decode("ascii").strip()
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise CommandError(Exit.USAGE, message) from error
    except UnicodeDecodeError:
        raise CommandError(Exit.USAGE, f"{path}: expected an ASCII key") from None
    if not key or len(content) > MAX_KEY_BYTES or not key.isprintable():
        raise CommandError(Exit.USAGE, f"{path}: expected one line with a key")
    return key


def read_bytes(path: Path, most_bytes: int = MAX_DOCUMENT_BYTES) -> bytes:
    """Return the content of a file, up to one byte more than it may have.

    The extra byte lets the parser find that a document is too large.

    Raises:
        CommandError: The file cannot be read.
    """
    try:
        with path.open("rb") as file:
            return file.read(most_bytes + 1)
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise CommandError(Exit.USAGE, message) from error


def read_text(path: Path) -> str:
    """Return the text of a document file.

    Raises:
        CommandError: The file cannot be read or is not UTF-8 text.
    """
    content = read_bytes(path)
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        raise CommandError(Exit.USAGE, f"{path}:{line}: is not UTF-8 text") from error


def read_sections(path: Path) -> tuple[tuple[Section, ...], int]:
    """Return a document's sections, and the revision in its header line.

    The revision is 0 if the first line is not a revision header.

    Raises:
        CommandError: The file cannot be read, or has findings.
    """
    text = read_text(path)
    sections, findings = parse_document(text, str(path))
    if findings:
        raise FindingsError(findings, f"in {path}")
    header = _REVISION_HEADER_PATTERN.match(text)
    return sections, int(header[1]) if header else 0
