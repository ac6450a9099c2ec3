"""Gather what all owners of a service's upstreams saw of a move."""

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
class Gatherer:
    """What gathering needs."""

    node_context: NodeContext
    board: Board
    tallies: Tallies


def serve_evidence(gatherer: Gatherer, trial: str) -> EvidenceReport:
    """Tell a peer what this node saw of a trial."""
    now_s = gatherer.node_context.clock.monotonic_s()
    ledger = gatherer.tallies.ran.get(trial)
    report = build_report(ledger, now_s) if ledger else Report(trial)
    brake = gatherer.board.brakes.get(trial)
    return EvidenceReport(report, (brake,) if brake else ())


async def gather_view(gatherer: Gatherer, progress: MoveProgress) -> MoveView:
    """Return what all owners of the service's upstreams saw, and any brake."""
    own_host = gatherer.board.own.host
    hosts = owners_of(gatherer.board.members, progress.service)
    others = [host for host in hosts if host != own_host]
    answers = await asyncio.gather(
        *(
            gatherer.node_context.peers.evidence(host, progress.trial)
            for host in others
        ),
        return_exceptions=True,
    )
    known = {
        host: answer
        for host, answer in zip(others, answers, strict=True)
        if isinstance(answer, EvidenceReport)
    }
    known[own_host] = serve_evidence(gatherer, progress.trial)
    return MoveView(
        reports={host: answer.report for host, answer in known.items()},
        is_complete=len(known) > len(others),
        brakes=tuple(brake for answer in known.values() for brake in answer.brakes),
        new_slots=slots_of(
            gatherer.board.members, progress.service, progress.to_version
        ),
    )


def owners_of(members: Members, service: str) -> list[str]:
    """Return the hosts that have upstreams of a service."""
    return [
        member.host
        for member in members.values()
        if member.usable and any(item.service == service for item in member.upstreams)
    ]


def slots_of(members: Members, service: str, version: str) -> int:
    """Return how many calls a version's upstreams take at once."""
    return sum(
        item.slots
        for member in members.values()
        if member.usable
        for item in member.upstreams
        if (item.service, item.version) == (service, version) and not item.draining
    )
