"""What links carry, as lists and back; positions are fixed, so that frames are short."""

from __future__ import annotations

from typing import Any

import attrs

from agaterelay.core.call import Call
from agaterelay.core.evidence import Tally
from agaterelay.core.membership import Member, MemberState, UpstreamInfo
from agaterelay.core.model import MoveState
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.placing import LoadReport
from agaterelay.core.trial import MoveRecord, Order, RouteTallies
from agaterelay.mesh.gate import Ran

_ANSWERED, _NOT_RUN, _UNKNOWN = 0, 1, 2


def call_to_wire(call: Call, now_s: float) -> list[Any]:
    """Return a call with the time that is left in milliseconds."""
    return [
        call.call_id,
        call.method,
        call.path,
        call.headers,
        call.body,
        call.route,
        call.service,
        call.version,
        call.instance,
        call.caller_service,
        call.idempotent,
        call.rank,
        max(int((call.deadline_s - now_s) * 1000), 0),
        int((call.target_s - now_s) * 1000),
        call.is_retry,
    ]


def call_from_wire(plain: list[Any], now_s: float) -> Call:
    """Return a call whose times are on this node's clock."""
    return Call(
        call_id=plain[0],
        method=plain[1],
        path=plain[2],
        headers=tuple((name, value) for name, value in plain[3]),
        body=plain[4],
        route=plain[5],
        service=plain[6],
        version=plain[7],
        instance=plain[8],
        caller_service=plain[9],
        idempotent=plain[10],
        rank=plain[11],
        deadline_s=now_s + plain[12] / 1000,
        target_s=now_s + plain[13] / 1000,
        is_retry=plain[14],
    )


def ran_to_wire(ran: Ran) -> list[Any]:
    """Return how a call ended at a gate."""
    return [
        _outcome_to_wire(ran.outcome),
        ran.arrived,
        attrs.astuple(ran.report),
        ran.ran_ms,
    ]


def ran_from_wire(plain: list[Any]) -> Ran:
    """Return how a call ended at a gate."""
    return Ran(_outcome_from_wire(plain[0]), plain[1], LoadReport(*plain[2]), plain[3])


def _outcome_to_wire(outcome: Outcome) -> list[Any]:
    if isinstance(outcome, Answered):
        return [_ANSWERED, outcome.status, outcome.headers, outcome.body]
    if isinstance(outcome, NotRun):
        return [_NOT_RUN, outcome.reason, outcome.retry_after_s]
    return [_UNKNOWN, outcome.reason, outcome.sent, outcome.timed_out]


def _outcome_from_wire(plain: list[Any]) -> Outcome:
    kind = plain[0]
    if kind == _ANSWERED:
        headers = tuple((name, value) for name, value in plain[2])
        return Answered(plain[1], headers, plain[3])
    if kind == _NOT_RUN:
        return NotRun(plain[1], plain[2])
    return Unknown(plain[1], plain[2], plain[3])


def member_to_wire(member: Member) -> list[Any]:
    """Return a host's entry."""
    return [
        member.host,
        member.zone,
        member.incarnation,
        member.sequence,
        int(member.state),
        [list(attrs.astuple(upstream)) for upstream in member.upstreams],
        member.link_mbps,
    ]


def member_from_wire(plain: list[Any]) -> Member:
    """Return a host's entry.

    Raises:
        ValueError: It is none.
    """
    try:
        host, zone, incarnation, sequence, state, upstreams, *rest = plain
        return Member(
            host=str(host),
            zone=str(zone),
            incarnation=int(incarnation),
            sequence=int(sequence),
            state=MemberState(state),
            upstreams=tuple(UpstreamInfo(*item) for item in upstreams),
            link_mbps=int(rest[0]) if rest else 0,
        )
    except TypeError as error:
        raise ValueError(f"not a host's entry: {error}") from error


def move_to_wire(record: MoveRecord) -> list[Any]:
    """Return how far a move has come."""
    return [
        record.service,
        record.to_version,
        record.number,
        str(record.state),
        record.reason,
    ]


def move_from_wire(plain: list[Any]) -> MoveRecord:
    """Return how far a move has come.

    Raises:
        ValueError: It is none.
    """
    try:
        service, to_version, number, state, reason = plain
        return MoveRecord(service, to_version, int(number), MoveState(state), reason)
    except TypeError as error:
        raise ValueError(f"not a move: {error}") from error


def order_to_wire(order: Order) -> list[Any]:
    """Return an operator's order of a move."""
    return [order.service, order.to_version, order.duration_s, order.number]


def order_from_wire(plain: list[Any]) -> Order:
    """Return an operator's order of a move.

    Raises:
        ValueError: It is none.
    """
    try:
        return Order(*plain)
    except TypeError as error:
        raise ValueError(f"not an order: {error}") from error


def tallies_to_wire(tallies: RouteTallies) -> dict[str, list[Any]]:
    """Return tallies by route."""
    return {
        route: [tally.calls, tally.failures, tally.latency_buckets]
        for route, tally in tallies.items()
    }


def tallies_from_wire(plain: dict[str, list[Any]]) -> RouteTallies:
    """Return tallies by route."""
    return {
        route: Tally(calls, failures, tuple(buckets))
        for route, (calls, failures, buckets) in plain.items()
    }
