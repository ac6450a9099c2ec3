"""Encode messages between nodes as lists; the positions are fixed, to keep them short."""

from __future__ import annotations

from typing import Any

import attrs
import msgpack

from agaterelay.core.call import Call
from agaterelay.core.checked import (
    DecodeError,
    check_address,
    check_flag,
    check_name,
    check_number,
    check_text,
    check_whole,
    raises_decode_error,
)
from agaterelay.core.evacuation import Evacuation
from agaterelay.core.evidence import Tally
from agaterelay.core.membership import Member, MemberState, UpstreamInfo
from agaterelay.core.model import MoveState
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.placing import LoadReport
from agaterelay.core.store_era import MAX_ORDER_NUMBER
from agaterelay.core.trial import MoveRecord, Order, RouteTallies
from agaterelay.mesh.inbound import CallResult

_ANSWERED, _NOT_RUN, _UNKNOWN = 0, 1, 2
# The fields of a load report that nodes of earlier builds know.
_FIRST_REPORT_FIELDS = 4


@raises_decode_error
def load_row(value: bytes) -> Any:
    """Return what a row of the fleet's table holds.

    Raises:
        DecodeError: The value is not MessagePack, or nested too deeply.
    """
    try:
        return msgpack.unpackb(value)
    except msgpack.UnpackException as error:
        raise DecodeError(type(error).__name__) from error


def encode_call(call: Call, now_s: float) -> list[Any]:
    """Encode a call; its deadline and target are sent as remaining milliseconds.

    Nodes of earlier builds read the first items; later fields follow these.
    """
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
        call.workspace,
        call.nested,
    ]


@raises_decode_error
def decode_call(encoded: list[Any], now_s: float) -> Call:
    """Decode a call; its deadline and target are on this node's monotonic clock.

    Raises:
        DecodeError: The message is not a call.
    """
    return Call(
        call_id=check_text(encoded[0]),
        method=check_text(encoded[1]),
        path=check_text(encoded[2]),
        headers=tuple((name, value) for name, value in encoded[3]),
        body=encoded[4],
        route=check_text(encoded[5]),
        service=check_text(encoded[6]),
        version=check_text(encoded[7]),
        instance=check_text(encoded[8]),
        caller_service=check_text(encoded[9]),
        idempotent=check_flag(encoded[10]),
        rank=check_whole(encoded[11]),
        deadline_s=now_s + check_number(encoded[12]) / 1000,
        target_s=now_s + check_number(encoded[13]) / 1000,
        is_retry=check_flag(encoded[14]),
        workspace=_decode_workspace(encoded[15]) if len(encoded) > 15 else "",
        nested=len(encoded) > 16 and check_flag(encoded[16]),
    )


def _decode_workspace(value: Any) -> str:
    """Return the name of a call's workspace, which becomes a header at its upstream."""
    return check_name(value) if value != "" else ""


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
        result.crashes,
    ]


@raises_decode_error
def decode_result(encoded: list[Any]) -> CallResult:
    """Decode the result of a call.

    Raises:
        DecodeError: The message is not a result.
    """
    outcome, reached_upstream, report, service_ms, *rest = encoded
    later_report, leaving = rest[:2] if rest else ((), False)
    crashes = check_whole(rest[2]) if len(rest) > 2 else 0
    return CallResult(
        outcome=_decode_outcome(outcome),
        reached_upstream=reached_upstream,
        report=LoadReport(*map(check_number, (*report, *later_report))),
        service_ms=check_number(service_ms),
        leaving=leaving,
        crashes=crashes,
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
        return Answered(check_whole(encoded[1]), headers, encoded[3])
    if kind == _NOT_RUN:
        return NotRun(check_text(encoded[1]), check_number(encoded[2]))
    return Unknown(check_text(encoded[1]), encoded[2], encoded[3])


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


@raises_decode_error
def decode_member(encoded: list[Any]) -> Member:
    """Decode a member record.

    Raises:
        DecodeError: The message is not a member record.
    """
    host, zone, incarnation, sequence, state, upstreams, *rest = encoded
    return Member(
        host=check_address(host),
        zone=check_name(zone),
        incarnation=check_whole(incarnation),
        sequence=check_whole(sequence),
        state=MemberState(check_whole(state)),
        upstreams=tuple(_decode_upstream(item) for item in upstreams),
        link_mbps=check_whole(rest[0]) if rest else 0,
    )


def _decode_upstream(encoded: list[Any]) -> UpstreamInfo:
    service, version, upstream_address, slots, connections, draining, *rest = encoded
    instance, born_ms = rest[:2] if rest else ("", 0)
    return UpstreamInfo(
        service=check_name(service),
        version=check_name(version),
        address=check_address(upstream_address),
        slots=check_whole(slots),
        connections=check_whole(connections),
        draining=check_flag(draining),
        instance=check_name(instance) if instance else "",
        born_ms=check_whole(born_ms),
    )


def encode_move(record: MoveRecord) -> list[Any]:
    """Encode the state of a move."""
    return [
        record.service,
        record.to_version,
        record.number,
        str(record.state),
        record.reason,
    ]


@raises_decode_error
def decode_move(encoded: list[Any]) -> MoveRecord:
    """Decode the state of a move.

    Raises:
        DecodeError: The message is not the state of a move.
    """
    service, to_version, order_number, state, reason = encoded
    return MoveRecord(
        check_name(service),
        check_name(to_version),
        check_whole(order_number, most=MAX_ORDER_NUMBER),
        MoveState(state),
        check_text(reason),
    )


def encode_order(order: Order) -> list[Any]:
    """Encode an operator's order of a move."""
    return [order.service, order.to_version, order.duration_s, order.number]


@raises_decode_error
def decode_order(encoded: list[Any]) -> Order:
    """Decode an operator's order of a move.

    Raises:
        DecodeError: The message is not an order.
    """
    service, to_version, duration_s, order_number = encoded
    return Order(
        check_name(service),
        check_name(to_version),
        check_number(duration_s),
        check_whole(order_number, most=MAX_ORDER_NUMBER),
    )


def encode_evacuation(evacuation: Evacuation) -> list[Any]:
    """Encode the state of a zone's evacuation."""
    return [evacuation.zone, evacuation.number, evacuation.is_ordered]


@raises_decode_error
def decode_evacuation(encoded: list[Any]) -> Evacuation:
    """Decode the state of a zone's evacuation.

    Raises:
        DecodeError: The message is not the state of an evacuation.
    """
    zone, number, is_ordered = encoded
    return Evacuation(
        check_name(zone),
        check_whole(number, most=MAX_ORDER_NUMBER),
        check_flag(is_ordered),
    )


def encode_tallies(tallies: RouteTallies) -> dict[str, list[Any]]:
    """Encode tallies by route."""
    return {
        route: [tally.calls, tally.failures, tally.latency_buckets]
        for route, tally in tallies.items()
    }


@raises_decode_error
def decode_tallies(encoded: dict[str, list[Any]]) -> RouteTallies:
    """Decode tallies by route.

    Raises:
        DecodeError: The message is not a table of tallies.
    """
    return {
        check_text(route): Tally(
            check_whole(calls),
            check_whole(failures),
            tuple(check_whole(count) for count in buckets),
        )
        for route, (calls, failures, buckets) in encoded.items()
    }


@raises_decode_error
def decode_removed(encoded: list[Any]) -> tuple[str, tuple[int, int]]:
    """Decode a removed host with the last incarnation and sequence of its record.

    Raises:
        DecodeError: The message does not name a removed host.
    """
    host, incarnation, sequence = encoded
    return check_address(host), (check_whole(incarnation), check_whole(sequence))
