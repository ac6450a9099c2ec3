"""A call on its way from the entry to the gate of the upstream that is to run it."""

from __future__ import annotations

import attrs

RawHeaders = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Call:
    """One try of a caller's request, for one instance.

    ``deadline_s`` is on the steady clock of the node that holds the call; between
    nodes only the time that is left travels. ``target_s`` is until when an answer is
    of full use to the caller. ``repeat`` tells that another try of it has
    already reached an upstream, ``last_try`` that none would follow if this one failed;
    the latter matters to the entry alone.
    """

    call_id: str
    method: str
    path: str
    headers: RawHeaders
    body: bytes = attrs.field(repr=False)
    route: str
    service: str
    version: str
    instance: str
    caller_service: str
    idempotent: bool
    rank: int
    deadline_s: float
    target_s: float
    repeat: bool = False
    last_try: bool = False
