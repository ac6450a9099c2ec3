"""Observability of a node: the readings for its metrics, and the log of its calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from aiohttp import web

from agaterelay.adapters.metrics import Metrics, Readings
from agaterelay.adapters.outcomes import (
    HOP_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    ROUTE_HEADER,
    VERSION_HEADER,
)
from agaterelay.core.model import FINAL_MOVE_STATES
from agaterelay.core.routing import match_route
from agaterelay.events import EventKind
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.inbound import Inbound

NO_ROUTE = "none"
ANSWERED = "answered"
NOT_SERVED = "not-served"
SERVER_ERROR_STATUS = 500
MAX_ID_LENGTH = 128
MAX_PATH_LENGTH = 200
_REFUSAL_EVENTS = {"not-run": EventKind.CALL_NOT_RUN, "unknown": EventKind.CALL_UNKNOWN}

# Called with a request, its response, and the seconds between them.
Observer = Callable[[web.BaseRequest, web.Response, float], None]


def collect_readings(board: Board, inbound: Inbound) -> Readings:
    """Return the present values of a node's metrics."""
    slots: Counter[str] = Counter()
    in_use: Counter[str] = Counter()
    for item in inbound.slots.values():
        slots[item.info.service] += item.info.slots
        in_use[item.info.service] += item.in_flight
    states = Counter(member.state.name.lower() for member in board.members.values())
    return Readings(
        active_revision=board.active.revision if board.active else 0,
        held_revision=board.held.revision,
        convergence_s=_convergence_s(board),
        platform_up=board.platform_up,
        members=states,
        calls_in_flight=inbound.in_flight,
        calls_queued=len(inbound.waiters),
        slots=slots,
        slots_in_use=in_use,
        move_shares=_move_shares(board),
        brakes=len(board.brakes),
    )


def _convergence_s(board: Board) -> float:
    """Return the seconds from the active revision's commit to its activation here."""
    if board.active is None:
        return 0.0
    committed_s = board.active.manifest.committed_at.timestamp()
    return max(board.activated_ms / 1000 - committed_s, 0.0)


def _move_shares(board: Board) -> dict[str, float]:
    moves = board.active.progress.values() if board.active else ()
    return {
        progress.name: progress.share_permille / 1000
        for progress in moves
        if progress.state not in FINAL_MOVE_STATES
    }


def make_observer(context: NodeContext, board: Board, metrics: Metrics) -> Observer:
    """Return a function that counts calls, and logs those that failed."""

    def observe(
        request: web.BaseRequest, response: web.Response, elapsed_s: float
    ) -> None:
        outcome = response.headers.get(OUTCOME_HEADER, NOT_SERVED)
        if HOP_HEADER in request.headers:
            metrics.count_hop(outcome)
            route = request.headers.get(ROUTE_HEADER, NO_ROUTE)
        else:
            route = _find_route_name(board, request)
            metrics.count_call(route, outcome, elapsed_s)
            if outcome in _REFUSAL_EVENTS:
                metrics.count_refusal(response.headers.get(REASON_HEADER, ""))
        kind = _REFUSAL_EVENTS.get(outcome)
        if outcome == ANSWERED and response.status >= SERVER_ERROR_STATUS:
            kind = EventKind.CALL_FAILED
        if kind is not None:
            _record_call(context, kind, request, response, route, elapsed_s)

    return observe


def _record_call(
    context: NodeContext,
    kind: EventKind,
    request: web.BaseRequest,
    response: web.Response,
    route: str,
    elapsed_s: float,
) -> None:
    """Log how a call ended at this node.

    The field "at" is "entry" for the outbound proxy and "owner" for the inbound proxy.
    Refusals come in large numbers, so the timeline keeps only some of them each second.
    """
    hop = HOP_HEADER in request.headers
    context.record(
        kind,
        request_id=request.headers.get(REQUEST_ID_HEADER, "")[:MAX_ID_LENGTH],
        at="owner" if hop else "entry",
        method=request.method,
        path=request.path[:MAX_PATH_LENGTH],
        route=route,
        version=request.headers.get(VERSION_HEADER, ""),
        status=response.status,
        reason=response.headers.get(REASON_HEADER, ""),
        elapsed_ms=round(elapsed_s * 1000, 1),
    )


def _find_route_name(board: Board, request: web.BaseRequest) -> str:
    snapshot = board.active
    if snapshot is None:
        return NO_ROUTE
    route = match_route(snapshot, request.method, request.path)
    return route.name if route is not None else NO_ROUTE
