"""HTTP requests and responses of the deployed node's callers, and how heads are written."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from agaterelay.core.call import RawHeaders

if TYPE_CHECKING:
    from agaterelay.adapters.server_connection import ServerConnection

# Statuses whose answers have no body and no Content-Length.
BODILESS_STATUSES = frozenset({204, 304})
PHRASES = {status.value: status.phrase for status in HTTPStatus}
_FRAMING_HEADERS = frozenset({"content-length", "connection", "transfer-encoding"})


@attrs.frozen(eq=False)
class HttpRequest:
    """A complete request.

    Attributes:
        received_s: When its last byte was received, on the event loop's clock.
        keep_alive: Whether the caller allows further requests on the connection.
        holder: Identifies the request where room for it is reserved.
    """

    method: str
    target: str
    headers: RawHeaders
    body: bytes | bytearray = attrs.field(repr=False)
    received_s: float
    keep_alive: bool
    version: str
    connection: ServerConnection = attrs.field(repr=False)
    holder: Holder = attrs.field(repr=False)

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, given in lower case, or None."""
        return find_header(self.headers, name)


@attrs.frozen
class HttpResponse:
    """A response.

    Attributes:
        closes: Whether the connection is closed after it.
        pause_s: How long requests that were sent ahead on the connection wait after it.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = attrs.field(default=b"", repr=False)
    closes: bool = False
    pause_s: float = 0.0


@attrs.frozen
class Refusal:
    """A request that is refused before it is complete; the connection is closed.

    ``headers`` are those that were received, ``retry_after_s`` is when the caller should
    come back, None if that makes no difference.
    """

    status: int
    reason: str
    headers: RawHeaders = ()
    retry_after_s: float | None = None


class Holder:
    """Identifies a request where room for it is reserved."""

    __slots__ = ("_connection",)

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection

    def give_way(self) -> bool:
        """Refuse the request, as it makes no progress and others need its room.

        Returns:
            False if it is the node that has to go on first.
        """
        return self._connection.give_way(self)


@attrs.frozen
class RequestRoom:
    """Functions that reserve memory for requests.

    Attributes:
        reserve: Reserves room for a request, given its size in memory as far as it is
            known; returns whether there is room.
        release: Releases the room of a request that is no longer needed.
        note_received: Called with what has been received of an incomplete request.
        finish_receiving: Called when a request is complete.
    """

    reserve: Callable[[Holder, int], bool] = lambda holder, size_bytes: True
    release: Callable[[Holder], None] = lambda holder: None
    note_received: Callable[[Holder, int], None] = lambda holder, received_bytes: None
    finish_receiving: Callable[[Holder], None] = lambda holder: None


UNLIMITED_ROOM = RequestRoom()

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def find_header(headers: RawHeaders, name: bytes) -> str | None:
    """Return the first value of a header, given in lower case, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def render_response(
    response: HttpResponse, closes: bool, version: str, head_only: bool
) -> bytes:
    """Return the bytes of a response.

    Args:
        response: The response.
        closes: Whether the connection is closed after it.
        version: The HTTP version of the request.
        head_only: Whether the body is left out (method HEAD).
    """
    status = response.status
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, '')}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers
        if name.lower() not in _FRAMING_HEADERS
    ]
    if status not in BODILESS_STATUSES:
        lines.append(f"Content-Length: {len(response.body)}")
    if closes:
        lines.append("Connection: close")
    elif version == "1.0":
        lines.append("Connection: keep-alive")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    if head_only or status in BODILESS_STATUSES:
        return head
    return head + response.body


def render_body_head(headers: Iterable[tuple[bytes, bytes]], version: str) -> bytes:
    """Return the head of a request with just the headers that say how its body ends.

    Returns:
        Empty if the headers announce no body.
    """
    framing = [
        name + b": " + value
        for name, value in headers
        if name.lower() in (b"content-length", b"transfer-encoding")
    ]
    if not framing:
        return b""
    closes = any(
        name.lower() == b"connection" and b"close" in value.lower()
        for name, value in headers
    )
    first = f"POST / HTTP/{version}".encode()
    lines = [first, *framing, *([b"Connection: close"] if closes else [])]
    return b"\r\n".join(lines) + b"\r\n\r\n"
