"""A call from an outbound proxy to the inbound proxy of its upstream."""

from __future__ import annotations

import attrs

RawHeaders = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Call:
    """One attempt of a caller's request, for one instance.

    ``deadline_s`` is on the monotonic clock of the node that holds the call; between
    nodes the remaining time is sent instead. Until ``target_s`` an answer is of full use
    to the caller. ``is_retry`` is set if an earlier attempt has reached an upstream, and
    ``last_attempt`` if no retry would follow a failure; only the outbound proxy uses the
    latter. ``workspace`` is the caller's, empty without one. ``nested`` is set if an
    upstream makes the call for a request that it is running. ``holder`` identifies the
    request where room for its response is taken, None if it is not taken for a request.
    """

    call_id: str
    method: str
    path: str
    headers: RawHeaders
    body: bytes | bytearray = attrs.field(repr=False)
    route: str
    service: str
    version: str
    instance: str
    caller_service: str
    idempotent: bool
    rank: int
    deadline_s: float
    target_s: float
    is_retry: bool = False
    last_attempt: bool = False
    workspace: str = ""
    nested: bool = False
    holder: object = attrs.field(default=None, eq=False, repr=False)
