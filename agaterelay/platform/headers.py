"""The headers of calls, from callers, to upstreams and back."""

from __future__ import annotations

from collections.abc import Iterable

from agaterelay.core.call import Call, RawHeaders
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown

ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Request-Deadline"
EXPECT_INSTANCE = "X-Expect-Instance"
CALLER_SERVICE = "X-Caller-Service"
SEAL = b"x-server-seal"
NOT_EXECUTED = b"x-not-executed"
ATTEMPT_ID_KEY = b"x-attempt-id"
INSTANCE_ID_KEY = b"x-instance-id"
MISDIRECTED = 421
# Headers that concern one connection only, and those that the node sets itself.
_NOT_FORWARDED = frozenset(
    {b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"te",
     b"upgrade", b"trailer", b"expect", b"content-length", b"proxy-authenticate",
     b"proxy-authorization", DEADLINE.lower().encode(),
     EXPECT_INSTANCE.lower().encode(), CALLER_SERVICE.lower().encode()}
)  # fmt: skip


def forwarded_headers(headers: Iterable[tuple[bytes, bytes]]) -> RawHeaders:
    """Return the headers that go on, less those that ``Connection`` names."""
    pairs = [(bytes(name), bytes(value)) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == b"connection"
        for token in value.split(b",")
    } - {b"host", ATTEMPT_ID_KEY}
    return tuple(
        pair
        for pair in pairs
        if pair[0].lower() not in _NOT_FORWARDED and pair[0].lower() not in named
    )


def parse_deadline_ms(text: str | None) -> int | None:
    """Return how long the caller waits, None where it does not say it readably."""
    if text is None or not text.isdecimal() or len(text) > 9:
        return None
    return int(text)


def upstream_headers(call: Call, left_ms: int) -> RawHeaders:
    """Return the headers of a call as the upstream gets them."""
    return (
        *call.headers,
        (DEADLINE.encode(), str(left_ms).encode()),
        (EXPECT_INSTANCE.encode(), call.instance.encode()),
        (CALLER_SERVICE.encode(), call.caller_service.encode()),
    )


def answer_of(status: int, headers: RawHeaders, body: bytes, call_id: str) -> Outcome:
    """Return how a call ended by what the upstream sent.

    Another call's answer, or a success that is not the upstream's own, counts as lost.
    """
    keys = {name.lower(): value for name, value in headers}
    if NOT_EXECUTED in keys or status == MISDIRECTED:
        reason = "another instance is there" if status == MISDIRECTED else "shed"
        return NotRun(reason)
    if keys.get(ATTEMPT_ID_KEY) != call_id.encode():
        return Unknown("the answer is of another call")
    if b"content-encoding" in keys:
        return Unknown("the answer is encoded")
    if 200 <= status < 300 and not keys.get(SEAL):
        return Unknown("the answer has no seal")
    kept = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in forwarded_headers(headers)
    )
    return Answered(status, kept, body)
