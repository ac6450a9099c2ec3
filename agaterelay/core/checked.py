"""Check values that were decoded from another writer's bytes.

Rows, frames and documents may come from another version of the node or from another
program. Every decoder takes their fields through these checks, and raises only
``DecodeError`` whatever the bytes are.
"""

from __future__ import annotations

import functools
import json
import math
from collections.abc import Callable
from typing import Any, ParamSpec, TypeVar

# Above any time in milliseconds since 1970 that a clock shows, and exact as a float.
MAX_WHOLE = 10**15
MAX_PORT = 65_535
# Two names and a prefix fit into the key of a row.
MAX_NAME_BYTES = 96

# What code raises that takes apart a value of an unexpected shape.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

Arguments = ParamSpec("Arguments")
Decoded = TypeVar("Decoded")


class DecodeError(ValueError):
    """The bytes or fields are not what they should be; ``args`` says what is expected."""


def raises_decode_error(
    decode: Callable[Arguments, Decoded],
) -> Callable[Arguments, Decoded]:
    """Let a decoder raise only ``DecodeError``, also for shapes that it doesn't check."""

    @functools.wraps(decode)
    def checked(*args: Arguments.args, **options: Arguments.kwargs) -> Decoded:
        try:
            return decode(*args, **options)
        except DecodeError:
            raise
        except MALFORMED as error:
            raise DecodeError(f"{type(error).__name__}: {error}") from error

    return checked


@raises_decode_error
def load_json(text: bytes) -> Any:
    """Parse JSON; numbers that are not finite are refused.

    Raises:
        DecodeError: The text is not JSON in UTF-8, or nested too deeply.
    """
    # Given bytes, the parser accepts halves of characters, which cannot be written again.
    return json.loads(
        text.decode(), parse_constant=_refuse_constant, parse_float=_finite
    )


def _refuse_constant(name: str) -> None:
    raise DecodeError(f"{name} is no number")


def _finite(text: str) -> float:
    return check_number(float(text))


def check_text(value: Any) -> str:
    """Return a value that is a text and can be encoded.

    Raises:
        DecodeError: It is not; an escape in JSON may stand for half a character.
    """
    if not isinstance(value, str):
        raise DecodeError(f"must be a text, not {type(value).__name__}")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise DecodeError("must not contain halves of characters") from None
    return value


def check_name(value: Any) -> str:
    """Return a value that is a name, such as that of a service, version or instance.

    A name can be passed on in every format that the node writes: messages and rows,
    headers, paths, keys of rows, logs and metrics.

    Raises:
        DecodeError: It is not.
    """
    name = check_text(value)
    if not name or len(name.encode()) > MAX_NAME_BYTES:
        raise DecodeError(f"must be a name of 1 to {MAX_NAME_BYTES} bytes")
    if not name.isprintable() or name != name.strip():
        raise DecodeError("must be a name of printable characters")
    return name


def check_path(value: Any) -> str:
    """Return a value that can be the target of a request.

    Raises:
        DecodeError: It is not.
    """
    path = check_text(value)
    if not path or not path.isascii() or not path.isprintable() or " " in path:
        raise DecodeError("must be a path of visible ASCII characters")
    return path


def check_flag(value: Any) -> bool:
    """Return a value that is true or false.

    Raises:
        DecodeError: It is not.
    """
    if not isinstance(value, bool):
        raise DecodeError(f"must be true or false, not {type(value).__name__}")
    return value


def check_whole(value: Any, least: int = 0, most: int = MAX_WHOLE) -> int:
    """Return a value that is a whole number within a range.

    Raises:
        DecodeError: It is not.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise DecodeError(f"must be a whole number, not {type(value).__name__}")
    if not least <= value <= most:
        raise DecodeError(f"must be between {least} and {most}")
    return value


def check_number(value: Any) -> float:
    """Return a value that is a finite number of usual size.

    Raises:
        DecodeError: It is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"must be a number, not {type(value).__name__}")
    if not math.isfinite(value) or abs(value) > MAX_WHOLE:
        raise DecodeError("must be a finite number")
    return value


def check_address(value: Any) -> str:
    """Return a value that is a host and a port that can be connected to.

    Raises:
        DecodeError: It is not.
    """
    host, _, port = check_text(value).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or len(port) > 5:
        raise DecodeError("must be an address like 10.0.0.1:7000")
    check_whole(int(port), 1, MAX_PORT)
    return value


def check_list(value: Any, most: int) -> list[Any]:
    """Return a value that is a list of a limited length.

    Raises:
        DecodeError: It is not.
    """
    if not isinstance(value, list) or len(value) > most:
        raise DecodeError(f"must be a list of at most {most} items")
    return value
