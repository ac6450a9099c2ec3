"""``agaterelay key``: mint an owner's key and print the hash for the document."""

from __future__ import annotations

import hashlib
import os
import secrets
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from agaterelay.cli.options import AsJson, read_key
from agaterelay.cli.outcome import CommandError, Exit, show

KEY_BYTES = 32
OWNER_ONLY = 0o600


def run_new(command: KeyNew) -> None:
    """Write a new key to a file that only its owner can read; print the hash."""
    key = secrets.token_urlsafe(KEY_BYTES)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(command.file, flags, OWNER_ONLY), "w") as file:
            file.write(f"{key}\n")
    except OSError as error:
        message = f"{command.file}: cannot be written: {error.strerror}"
        raise CommandError(Exit.USAGE, message) from error
    _show_hash(key, command.json)


def run_hash(command: KeyHash) -> None:
    """Print the hash of a key that exists."""
    _show_hash(read_key(command.file), command.json)


def _show_hash(key: str, as_json: bool) -> None:
    digest = hashlib.sha256(key.encode()).hexdigest()
    show({"key_sha256": digest}, as_json, [f"key_sha256: {digest}"])


@cappa.command(name="new", invoke=run_new, help="Write a new key to a new file.")
@attrs.define
class KeyNew:
    """The arguments of ``key new``."""

    file: Annotated[Path, cappa.Arg(help="The file to write; it must not exist.")]
    json: AsJson = False


@cappa.command(name="hash", invoke=run_hash, help="Print the hash of a key.")
@attrs.define
class KeyHash:
    """The arguments of ``key hash``."""

    file: Annotated[Path, cappa.Arg(help="The file with the key.")]
    json: AsJson = False


@cappa.command(name="key", help="Mint an owner's key, or print a key's hash.")
@attrs.define
class Key:
    """The arguments of ``key``."""

    action: cappa.Subcommands[KeyNew | KeyHash]
