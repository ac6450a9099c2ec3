"""``agaterelay key``: generates an owner's key and prints its hash for the document."""

from __future__ import annotations

import hashlib
import os
import secrets
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from agaterelay.cli.options import AsJson, read_key
from agaterelay.cli.outcome import CommandError, Exit, print_result

KEY_BYTES = 32
KEY_FILE_MODE = 0o600


def run_key_new(command: KeyNew) -> None:
    """Write a new key to a file that only its owner can read, and print its hash."""
    key = secrets.token_urlsafe(KEY_BYTES)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(command.file, flags, KEY_FILE_MODE), "w") as file:
            file.write(f"{key}\n")
    except OSError as error:
        message = f"{command.file}: cannot be written: {error.strerror}"
        raise CommandError(Exit.USAGE, message) from error
    _print_hash(key, command.json)


def run_key_hash(command: KeyHash) -> None:
    """Print the hash of an existing key."""
    _print_hash(read_key(command.file), command.json)


def _print_hash(key: str, as_json: bool) -> None:
    digest = hashlib.sha256(key.encode()).hexdigest()
    print_result({"key_sha256": digest}, as_json, [f"key_sha256: {digest}"])


@cappa.command(name="new", invoke=run_key_new, help="Write a new key to a new file.")
@attrs.define
class KeyNew:
    """The arguments of ``key new``."""

    file: Annotated[Path, cappa.Arg(help="The file to write; it must not exist.")]
    json: AsJson = False


@cappa.command(name="hash", invoke=run_key_hash, help="Print the hash of a key.")
@attrs.define
class KeyHash:
    """The arguments of ``key hash``."""

    file: Annotated[Path, cappa.Arg(help="The file with the key.")]
    json: AsJson = False


@cappa.command(name="key", help="Generate an owner's key, or print a key's hash.")
@attrs.define
class Key:
    """The arguments of ``key``."""

    action: cappa.Subcommands[KeyNew | KeyHash]
