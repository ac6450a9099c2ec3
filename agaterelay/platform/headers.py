"""The platform's HTTP headers on calls between callers, nodes and upstreams."""

from __future__ import annotations

import re
from collections.abc import Iterable

from agaterelay.core.call import Call, RawHeaders
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.signals import NO_SIGNALS, UpstreamSignals
from agaterelay.core.workspaces import NO_CREDENTIAL, Credential, digest_key

ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Request-Deadline"
EXPECT_INSTANCE = "X-Expect-Instance"
CALLER_SERVICE = "X-Caller-Service"
WORKSPACE = "X-Tenant"
AUTHORIZATION_KEY = b"authorization"
KEY_SCHEME = b"token"
# What a caller without a usable key is told to send.
KEY_CHALLENGE = (("WWW-Authenticate", "Token"),)
# Longer keys are refused before they are digested.
MAX_KEY_BYTES = 1024
SEAL = b"x-server-seal"
NOT_EXECUTED = b"x-not-executed"
ATTEMPT_ID_KEY = b"x-attempt-id"
DEADLINE_KEY = b"x-request-deadline"
INSTANCE_ID_KEY = b"x-instance-id"
RATE_LIMIT_KEY = b"server-limit"
LEAVING_KEY = b"server-leaving"
COLD_KEY = b"x-cold-ms"
MISDIRECTED = 421
# A final response has no other statuses.
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599
MAX_RETRY_AFTER_S = 30.0
_MAX_NUMBER_LENGTH = 32
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f\x7f]")
_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]*)?|\.[0-9]+")
# Hop-by-hop headers, and headers that the node sets itself.
_NOT_FORWARDED = frozenset(
    {b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"te",
     b"upgrade", b"trailer", b"expect", b"content-length", b"proxy-authenticate",
     b"proxy-authorization", DEADLINE.lower().encode(),
     EXPECT_INSTANCE.lower().encode(), CALLER_SERVICE.lower().encode()}
)  # fmt: skip
# Headers that say whose a request is.
_IDENTIFYING = frozenset({AUTHORIZATION_KEY, WORKSPACE.lower().encode()})


def forwarded_headers(headers: Iterable[tuple[bytes, bytes]]) -> RawHeaders:
    """Return the end-to-end headers, without those that ``Connection`` lists."""
    pairs = [(bytes(name), bytes(value)) for name, value in headers]
    connection_headers = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == b"connection"
        for token in value.split(b",")
    } - {b"host", ATTEMPT_ID_KEY}
    return tuple(
        pair
        for pair in pairs
        if pair[0].lower() not in _NOT_FORWARDED
        and pair[0].lower() not in connection_headers
    )


def without_identity(headers: RawHeaders) -> RawHeaders:
    """Return headers without those that say whose the request is."""
    return tuple(pair for pair in headers if pair[0].lower() not in _IDENTIFYING)


def parse_credential(headers: RawHeaders) -> Credential:
    """Return what a request's ``Authorization`` header says about its workspace.

    The scheme's name is not case-sensitive (RFC 9110, section 11.1).
    """
    values = [value for name, value in headers if name.lower() == AUTHORIZATION_KEY]
    if not values:
        return NO_CREDENTIAL
    if len(values) > 1:
        return Credential(fault="there are several Authorization headers")
    scheme, _, rest = values[0].strip(b" \t").partition(b" ")
    if scheme.lower() != KEY_SCHEME:
        return Credential(fault="the scheme of the Authorization header is another one")
    key = rest.strip(b" \t")
    fault = find_key_fault(key)
    return Credential(fault=fault) if fault else Credential(digest_key(key))


def find_key_fault(key: bytes) -> str:
    """Return why a key is not accepted in a request, empty if it is."""
    if not key:
        return "the key is empty"
    if len(key) > MAX_KEY_BYTES:
        return "the key is too long"
    if _CONTROL_CHARACTER.search(key):
        return "the key has control characters"
    return ""


def parse_deadline_ms(text: str | None) -> int | None:
    """Return the caller's time budget in milliseconds, or None if absent or invalid."""
    if text is None or not text.isdecimal() or len(text) > 9:
        return None
    return int(text)


def upstream_headers(call: Call, remaining_ms: int) -> RawHeaders:
    """Return the headers of a call to its upstream.

    Args:
        call: The call.
        remaining_ms: The remaining time until the call's deadline, in milliseconds.
    """
    workspace = (
        ((WORKSPACE.encode(), call.workspace.encode()),) if call.workspace else ()
    )
    return (
        *call.headers,
        *workspace,
        (DEADLINE.encode(), str(remaining_ms).encode()),
        (EXPECT_INSTANCE.encode(), call.instance.encode()),
        (CALLER_SERVICE.encode(), call.caller_service.encode()),
    )


def decode_upstream_outcome(
    status: int, headers: RawHeaders, body: bytes, call_id: str
) -> Outcome:
    """Return the outcome of a call from the upstream's response.

    The outcome is Unknown if the response has a status that HTTP does not have, belongs to
    another call, is encoded, or is a success without the seal that the upstream itself
    sets. A refusal of another call says
    nothing about this one, so it is believed only with this call's id.
    """
    if not MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS:
        return Unknown("the answer has an invalid status")
    keys = {name.lower(): value for name, value in headers}
    if keys.get(ATTEMPT_ID_KEY, b"") != call_id.encode():
        return Unknown("the answer is of another call")
    if NOT_EXECUTED in keys or status == MISDIRECTED:
        reason = "another instance is there" if status == MISDIRECTED else "shed"
        return NotRun(reason, _parse_retry_after_s(keys.get(b"retry-after", b"")))
    if b"content-encoding" in keys:
        return Unknown("the answer is encoded")
    if 200 <= status < 300 and not keys.get(SEAL):
        return Unknown("the answer has no seal")
    forwarded = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in forwarded_headers(headers)
    )
    return Answered(status, forwarded, body)


def _parse_retry_after_s(text: bytes) -> float:
    """Return the seconds of a Retry-After header, 0 if it is absent, a date or invalid."""
    if len(text) > _MAX_NUMBER_LENGTH or not _DECIMAL_NUMBER.fullmatch(text):
        return 0.0
    return min(float(text), MAX_RETRY_AFTER_S)


def decode_upstream_signals(status: int, headers: RawHeaders) -> UpstreamSignals | None:
    """Return what an upstream's answer says about the upstream.

    Returns:
        None for the answer of another instance than the expected one.
    """
    if status == MISDIRECTED:
        return None
    limits = [
        value.strip() for name, value in headers if name.lower() == RATE_LIMIT_KEY
    ]
    leaving = any(
        value.strip() == b"1" for name, value in headers if name.lower() == LEAVING_KEY
    )
    if not limits:
        return UpstreamSignals(leaving=True) if leaving else NO_SIGNALS
    text = limits[0]
    if (
        len(limits) > 1
        or len(text) > _MAX_NUMBER_LENGTH
        or not _DECIMAL_NUMBER.fullmatch(text)
    ):
        invalid = b", ".join(limits)[:_MAX_NUMBER_LENGTH].decode("latin-1")
        return UpstreamSignals(invalid_limit=invalid or "(empty)", leaving=leaving)
    return UpstreamSignals(rate_limit_per_s=float(text), leaving=leaving)


def decode_cold_left_s(headers: RawHeaders) -> float | None:
    """Return how long an upstream stays cold, in seconds, by its health check.

    Returns:
        None if the header is absent, given twice or invalid.
    """
    values = [value.strip() for name, value in headers if name.lower() == COLD_KEY]
    if len(values) != 1 or len(values[0]) > _MAX_NUMBER_LENGTH:
        return None
    if not _DECIMAL_NUMBER.fullmatch(values[0]):
        return None
    return float(values[0]) / 1000
