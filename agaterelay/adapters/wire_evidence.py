"""Conversion between a node's evidence on a move and the generated messages."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from agaterelay.adapters.wire import (
    MAX_INTEGER,
    brakes_from_wire,
    brakes_to_wire,
    check_items,
    check_number,
    check_text,
)
from agaterelay.core.evidence import (
    BUCKET_COUNT,
    Recent,
    Report,
    Tally,
    Window,
    Windows,
)
from agaterelay.core.messages import EvidenceReport
from agaterelay.proto import peer_pb2 as pb


def check_real(value: float) -> float:
    """Return a floating-point number from 0 to below MAX_INTEGER.

    Raises:
        ValueError: The number is out of range.
    """
    if not 0 <= value < MAX_INTEGER:
        raise ValueError(f"number {value} is negative, too large or not a number")
    return value


def evidence_to_reply(report: EvidenceReport) -> pb.EvidenceReply:
    """Encode an evidence report."""
    evidence_report = report.report
    return pb.EvidenceReply(
        routes=[
            pb.RouteEvidence(
                route=route,
                version=version,
                calls=tally.calls,
                failures=tally.failures,
                latency_buckets=tally.latency_buckets,
                window=window,
            )
            for window, evidence in evidence_report.windows.items()
            for (route, version), tally in evidence.items()
        ],
        brakes=brakes_to_wire(report.brakes),
        trial=evidence_report.trial,
        step=evidence_report.step,
        first_failure_ms=evidence_report.first_failure_ms,
        rate=evidence_report.rate,
        in_flight=evidence_report.in_flight,
        failing_s=evidence_report.failing_s,
        recent=[
            pb.RecentCalls(
                route=route,
                calls=[calls for calls, _ in slots],
                failures=[failures for _, failures in slots],
            )
            for route, slots in evidence_report.recent.items()
        ],
    )


def windows_from_wire(messages: Sequence[Any]) -> Windows:
    """Decode the tallies by window; inconsistent tallies are skipped."""
    windows: Windows = {window: {} for window in Window}
    for item in check_items(messages):
        is_valid = len(item.latency_buckets) == BUCKET_COUNT
        if is_valid and item.window in windows and item.failures <= item.calls:
            windows[Window(item.window)][
                check_text(item.route), check_text(item.version)
            ] = Tally(
                check_number(item.calls),
                check_number(item.failures),
                tuple(check_number(count) for count in item.latency_buckets),
            )
    return windows


def recent_from_wire(messages: Sequence[Any]) -> Recent:
    """Decode the new version's recent calls and failures per time slot, by route."""
    return {
        check_text(item.route): tuple(
            (check_number(calls), check_number(failures))
            for calls, failures in zip(
                check_items(item.calls), check_items(item.failures), strict=False
            )
        )
        for item in check_items(messages)
    }


def report_from_wire(message: pb.EvidenceReply) -> EvidenceReport:
    """Decode an evidence report.

    Raises:
        ValueError: A field of the message is invalid.
    """
    report = Report(
        trial=check_text(message.trial),
        step=check_number(message.step),
        windows=windows_from_wire(message.routes),
        first_failure_ms=check_number(message.first_failure_ms),
        rate=check_real(message.rate),
        in_flight=check_real(message.in_flight),
        failing_s=check_real(message.failing_s),
        recent=recent_from_wire(message.recent),
    )
    return EvidenceReport(report, brakes_from_wire(message.brakes))
