"""Encode messages between nodes as lists; the positions are fixed, to keep them short."""

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
from agaterelay.mesh.inbound import CallResult

_ANSWERED, _NOT_RUN, _UNKNOWN = 0, 1, 2
# The fields of a load report that nodes of earlier builds know.
_FIRST_REPORT_FIELDS = 4


def encode_call(call: Call, now_s: float) -> list[Any]:
    """Encode a call; its deadline and target are sent as remaining milliseconds."""
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


def decode_call(encoded: list[Any], now_s: float) -> Call:
    """Decode a call; its deadline and target are on this node's monotonic clock."""
    return Call(
        call_id=encoded[0],
        method=encoded[1],
        path=encoded[2],
        headers=tuple((name, value) for name, value in encoded[3]),
        body=encoded[4],
        route=encoded[5],
        service=encoded[6],
        version=encoded[7],
        instance=encoded[8],
        caller_service=encoded[9],
        idempotent=encoded[10],
        rank=encoded[11],
        deadline_s=now_s + encoded[12] / 1000,
        target_s=now_s + encoded[13] / 1000,
        is_retry=encoded[14],
    )


def encode_result(result: CallResult) -> list[Any]:
    """Encode the result of a call.

    Nodes of earlier builds read the first four items; later fields follow these.
    """
    report = attrs.astuple(result.report)
    return [
        _encode_outcome(result.outcome),
        result.reached_upstream,
        report[:_FIRST_REPORT_FIELDS],
        result.service_ms,
        report[_FIRST_REPORT_FIELDS:],
        result.leaving,
    ]


def decode_result(encoded: list[Any]) -> CallResult:
    """Decode the result of a call."""
    outcome, reached_upstream, report, service_ms, *rest = encoded
    later_report, leaving = rest[:2] if rest else ((), False)
    return CallResult(
        outcome=_decode_outcome(outcome),
        reached_upstream=reached_upstream,
        report=LoadReport(*report, *later_report),
        service_ms=service_ms,
        leaving=leaving,
    )


def _encode_outcome(outcome: Outcome) -> list[Any]:
    if isinstance(outcome, Answered):
        return [_ANSWERED, outcome.status, outcome.headers, outcome.body]
    if isinstance(outcome, NotRun):
        return [_NOT_RUN, outcome.reason, outcome.retry_after_s]
    return [_UNKNOWN, outcome.reason, outcome.sent, outcome.timed_out]


def _decode_outcome(encoded: list[Any]) -> Outcome:
    kind = encoded[0]
    if kind == _ANSWERED:
        headers = tuple((name, value) for name, value in encoded[2])
        return Answered(encoded[1], headers, encoded[3])
    if kind == _NOT_RUN:
        return NotRun(encoded[1], encoded[2])
    return Unknown(encoded[1], encoded[2], encoded[3])


def encode_member(member: Member) -> list[Any]:
    """Encode a member record."""
    return [
        member.host,
        member.zone,
        member.incarnation,
        member.sequence,
        int(member.state),
        [list(attrs.astuple(upstream)) for upstream in member.upstreams],
        member.link_mbps,
    ]


def decode_member(encoded: list[Any]) -> Member:
    """Decode a member record.

    Raises:
        ValueError: The message is not a member record.
    """
    try:
        host, zone, incarnation, sequence, state, upstreams, *rest = encoded
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
        raise ValueError(f"not a member record: {error}") from error


def encode_move(record: MoveRecord) -> list[Any]:
    """Encode the state of a move."""
    return [
        record.service,
        record.to_version,
        record.number,
        str(record.state),
        record.reason,
    ]


def decode_move(encoded: list[Any]) -> MoveRecord:
    """Decode the state of a move.

    Raises:
        ValueError: The message is not the state of a move.
    """
    try:
        service, to_version, number, state, reason = encoded
        return MoveRecord(service, to_version, int(number), MoveState(state), reason)
    except TypeError as error:
        raise ValueError(f"not the state of a move: {error}") from error


def encode_order(order: Order) -> list[Any]:
    """Encode an operator's order of a move."""
    return [order.service, order.to_version, order.duration_s, order.number]


def decode_order(encoded: list[Any]) -> Order:
    """Decode an operator's order of a move.

    Raises:
        ValueError: The message is not an order.
    """
    try:
        return Order(*encoded)
    except TypeError as error:
        raise ValueError(f"not an order: {error}") from error


def encode_tallies(tallies: RouteTallies) -> dict[str, list[Any]]:
    """Encode tallies by route."""
    return {
        route: [tally.calls, tally.failures, tally.latency_buckets]
        for route, tally in tallies.items()
    }


def decode_tallies(encoded: dict[str, list[Any]]) -> RouteTallies:
    """Decode tallies by route."""
    return {
        route: Tally(calls, failures, tuple(buckets))
        for route, (calls, failures, buckets) in encoded.items()
    }
