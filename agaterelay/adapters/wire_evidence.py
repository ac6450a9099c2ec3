"""Translate what a node saw of a move between the core's values and messages."""

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
    """Return a real number that fits; raise ValueError on any other."""
    if not 0 <= value < MAX_INTEGER:
        raise ValueError(f"the number {value} is out of bounds")
    return value


def evidence_to_reply(report: EvidenceReport) -> pb.EvidenceReply:
    """Return the reply of a report."""
    seen = report.report
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
            for window, evidence in seen.windows.items()
            for (route, version), tally in evidence.items()
        ],
        brakes=brakes_to_wire(report.brakes),
        trial=seen.trial,
        step=seen.step,
        first_failure_ms=seen.first_failure_ms,
        rate=seen.rate,
        in_flight=seen.in_flight,
        failing_s=seen.failing_s,
        recent=[
            pb.RecentCalls(
                route=route,
                calls=[calls for calls, _ in slots],
                failures=[failures for _, failures in slots],
            )
            for route, slots in seen.recent.items()
        ],
    )


def windows_from_wire(messages: Sequence[Any]) -> Windows:
    """Return the windows of messages; tallies that make no sense are left out."""
    windows: Windows = {window: {} for window in Window}
    for item in check_items(messages):
        sane = len(item.latency_buckets) == BUCKET_COUNT
        if sane and item.window in windows and item.failures <= item.calls:
            windows[Window(item.window)][
                check_text(item.route), check_text(item.version)
            ] = Tally(
                check_number(item.calls),
                check_number(item.failures),
                tuple(check_number(count) for count in item.latency_buckets),
            )
    return windows


def recent_from_wire(messages: Sequence[Any]) -> Recent:
    """Return the new version's last slots by route."""
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
    """Return the evidence report of a reply.

    Raises:
        ValueError: A part of the message is out of bounds.
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
