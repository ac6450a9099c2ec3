"""Collection of the evidence on a move from all hosts with upstreams of its service."""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.core.evidence import Report, build_report
from agaterelay.core.membership import Members
from agaterelay.core.messages import EvidenceReport
from agaterelay.core.model import MoveProgress
from agaterelay.core.steps import MoveView
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.tallies import Tallies


@attrs.frozen
class EvidenceCollector:
    """The state that collecting evidence needs."""

    node_context: NodeContext
    board: Board
    tallies: Tallies


def handle_evidence(collector: EvidenceCollector, trial: str) -> EvidenceReport:
    """Return this node's evidence on a trial, as the response to a peer."""
    now_s = collector.node_context.clock.monotonic_s()
    trial_tallies = collector.tallies.local.get(trial)
    report = build_report(trial_tallies, now_s) if trial_tallies else Report(trial)
    brake = collector.board.brakes.get(trial)
    return EvidenceReport(report, (brake,) if brake else ())


async def collect_evidence(
    collector: EvidenceCollector, progress: MoveProgress
) -> MoveView:
    """Return the evidence and brakes of all hosts with upstreams of the service.

    The view is incomplete if a host did not respond.
    """
    own_host = collector.board.own.host
    hosts = find_service_hosts(collector.board.members, progress.service)
    others = [host for host in hosts if host != own_host]
    answers = await asyncio.gather(
        *(
            collector.node_context.peers.evidence(host, progress.trial)
            for host in others
        ),
        return_exceptions=True,
    )
    reports_by_host = {
        host: answer
        for host, answer in zip(others, answers, strict=True)
        if isinstance(answer, EvidenceReport)
    }
    reports_by_host[own_host] = handle_evidence(collector, progress.trial)
    return MoveView(
        reports={host: answer.report for host, answer in reports_by_host.items()},
        is_complete=len(reports_by_host) > len(others),
        brakes=tuple(
            brake for answer in reports_by_host.values() for brake in answer.brakes
        ),
        new_slots=count_slots(
            collector.board.members, progress.service, progress.to_version
        ),
    )


def find_service_hosts(members: Members, service: str) -> list[str]:
    """Return the usable hosts that have upstreams of a service."""
    return [
        member.host
        for member in members.values()
        if member.usable and any(item.service == service for item in member.upstreams)
    ]


def count_slots(members: Members, service: str, version: str) -> int:
    """Return the number of slots of a version's upstreams that are not draining."""
    return sum(
        item.slots
        for member in members.values()
        if member.usable
        for item in member.upstreams
        if (item.service, item.version) == (service, version) and not item.draining
    )
