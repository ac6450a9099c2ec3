"""Outbound proxy: places callers' requests on upstreams, retries and answers them.

A request is matched to a route, its service to a version, and then placed on the
upstream that is expected to answer soonest. A refusal by an inbound proxy costs one round
trip only, so the request is placed elsewhere at once. Retries of a request that has
reached an upstream are limited by the route's maximum of attempts and by the retry
budget; unless the upstream refused the call, only idempotent routes are retried. The
caller gets its final answer as soon as no further attempt can improve it.
"""

from __future__ import annotations

import asyncio

import attrs

from agaterelay.core.call import Call
from agaterelay.core.call_start import CallStart, give_up_call
from agaterelay.core.crash_suspects import HELD_CRASH_COUNT, is_held, request_key
from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.nested_calls import begin_nested, end_nested
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.placing import LoadReport, TargetLoad, record_answer
from agaterelay.core.retry_budget import (
    divide_slack,
    earn_retry_tokens,
    spend_retry_token,
)
from agaterelay.core.stopping import takes_request
from agaterelay.core.trial import should_brake
from agaterelay.events import EventKind
from agaterelay.mesh.allotments import acquire_allotment, give_back
from agaterelay.mesh.crashes import record_answered_request
from agaterelay.mesh.inbound import CallResult, describe_hold
from agaterelay.mesh.link import LinkDownError
from agaterelay.mesh.links import load_of, send_call
from agaterelay.mesh.request_state import Outbound, Request, RequestState
from agaterelay.mesh.routing import (
    choose_service,
    choose_upstream,
    choose_version,
    find_route,
    identify_request,
    rank_of,
    remaining_target_s,
)
from agaterelay.mesh.state import record_leaving_start, revision_of, versions_of

# Inbound proxies tried for one request; further ones cost more than the caller gains.
MAX_PLACEMENTS = 4
# Retry-after if nothing is known about the load.
NO_UPSTREAM_RETRY_S = 0.3
NO_TABLE_RETRY_S = 0.5
# Retry-after of a request whose time passed behind others on its connection, or before an
# upstream's node asked to start it.
LATE_RETRY_S = 0.05
STOPPING_RETRY_S = 0.2
# Shorter waits behind other requests of the connection are left out of the log.
MIN_LOGGED_WAIT_S = 0.02
# A retry needs at least this part of the mean service time before the deadline.
RETRY_MIN_TIME_RATIO = 0.8
# The inbound proxy ends a call at its deadline; its answer is awaited this much longer.
INBOUND_MARGIN_S = 0.06
MIN_FAILURE_STATUS = 500
# One of this many answered requests is logged, besides all that failed.
ANSWERS_PER_LOG_LINE = 400
_NO_REPORT = LoadReport()


async def handle_request(
    outbound: Outbound, request: Request, waited_s: float = 0.0, ahead_s: float = 0.0
) -> Outcome:
    """Place a caller's request and return its outcome.

    Args:
        outbound: The outbound proxy.
        request: The request.
        waited_s: How long it has waited for its turn since it was received, in seconds.
            Its time limits count from then.
        ahead_s: How much of this it has waited behind others on its connection, in
            seconds. It gains no precedence over requests of other callers by that.
    """
    now_s = outbound.context.clock.monotonic_s()
    started_s = now_s - waited_s
    if outbound.state.table is None:
        return _refuse(
            outbound, request, NotRun("no configuration is known yet", NO_TABLE_RETRY_S)
        )
    path = request.path.partition("?")[0]
    route = find_route(outbound, request.host, path)
    if route is None:
        return _refuse(outbound, request, Answered(404, (), b"no route\n"))
    caller = identify_request(outbound, request, route)
    if caller.refusal:
        return _refuse_unidentified(outbound, request, caller.refusal)
    if outbound.state.table.workspaces is not None:
        name = caller.workspace.name if caller.workspace else ""
        request = attrs.evolve(
            request,
            headers=outbound.without_identity(request.headers),
            workspace=name,
        )
    timeout_s = route.timeout_ms / 1000
    if request.wait_ms is not None:
        timeout_s = min(timeout_s, request.wait_ms / 1000)
    if waited_s >= timeout_s:
        reason = "its time passed while it waited for its turn on the connection"
        return _refuse(outbound, request, NotRun(reason, LATE_RETRY_S), waited_s)
    if outbound.stop is not None and not takes_request(
        outbound.stop, started_s, started_s + timeout_s
    ):
        reason = "the node is stopping, and its time limit ends after that"
        return _refuse(outbound, request, NotRun(reason, STOPPING_RETRY_S), waited_s)
    service = choose_service(outbound, route)
    hold = _find_hold(outbound, service, request)
    if hold is not None:
        return _refuse(outbound, request, NotRun(hold, None), waited_s)
    request_state = RequestState(
        request,
        route,
        service,
        started_s,
        started_s + timeout_s,
        waited_s=waited_s,
        rank=rank_of(caller, route),
    )
    target_s = remaining_target_s(outbound, route, request.wait_ms)
    request_state.target_s = started_s + ahead_s + target_s
    running = outbound.links.inbound.running
    parent = begin_nested(running, request.call_id)
    request_state.nested = parent is not None
    outbound.in_flight += 1
    try:
        token = await acquire_allotment(
            outbound.allotments, request.workspace, request_state.deadline_s - now_s
        )
        if isinstance(token, Answered):
            return token
        earn_retry_tokens(outbound.budget, service)
        outcome = await _run_attempts(outbound, request_state)
        if token is not None and not request_state.arrivals:
            if isinstance(outcome, NotRun):
                give_back(outbound.allotments, token)
    except asyncio.CancelledError:
        outbound.context.record(
            EventKind.CALL_CANCELLED,
            request_id=request.call_id,
            route=route.name,
            tried=len(request_state.tried_hosts),
            elapsed_ms=_elapsed_ms(outbound, request_state),
        )
        raise
    finally:
        outbound.in_flight -= 1
        if parent is not None:
            end_nested(running, parent)
    _log_end(outbound, request_state, outcome)
    return outcome


def _refuse_unidentified(outbound: Outbound, request: Request, cause: str) -> Outcome:
    """Refuse a request for want of a valid key.

    The cause is logged and counted; the response is the same for all of them.
    """
    outbound.observe_unidentified(cause)
    outcome = Answered(401, outbound.key_challenge, b"a valid key is needed\n")
    return _refuse(outbound, request, outcome, cause=cause)


def _refuse(
    outbound: Outbound,
    request: Request,
    outcome: Outcome,
    waited_s: float = 0.0,
    cause: str = "",
) -> Outcome:
    """Log that a request is not placed, and return its outcome."""
    reason = _reason_of(outcome)
    outbound.context.record(
        EventKind.REQUEST_REFUSED,
        request_id=request.call_id,
        reason=f"{reason}: {cause}" if cause else reason,
        host_named=request.host,
        revision=revision_of(outbound.state),
        connection_wait_ms=round(waited_s * 1000),
    )
    return outcome


def _find_hold(outbound: Outbound, service: str, request: Request) -> str | None:
    """Return why a request is sent to no upstream, None if it may be."""
    crashes = outbound.links.inbound.crashes
    if not crashes.suspects.crashes:
        return None
    key = request_key(service, request.method, request.path, request.body)
    if not is_held(crashes.suspects, key, outbound.context.clock.monotonic_s()):
        return None
    crashes.held_count += 1
    return describe_hold(key)


async def _run_attempts(outbound: Outbound, request_state: RequestState) -> Outcome:
    """Make attempts on upstreams until there is a final outcome."""
    version, burst = choose_version(outbound, request_state.service)
    on_trial = version
    while True:
        placement = choose_upstream(outbound, request_state, version, burst)
        if placement is None:
            serving, _ = versions_of(outbound.state, request_state.service)
            if version != serving:
                version, burst = serving, False
                continue
            tried = request_state.placements > 0
            reason = "every upstream refused" if tried else "no upstream can be reached"
            return _final_outcome(outbound, request_state, reason)
        member, upstream = placement
        request_state.tried_hosts.add(member.host)
        request_state.placements += 1
        result = await _run_attempt(outbound, request_state, member, upstream)
        if version == on_trial:
            _record_trial_call(outbound, request_state.service, version, result)
        if result is None:
            continue
        outcome = result.outcome
        request_state.arrivals += result.reached_upstream
        if not _needs_retry(request_state, outcome):
            return outcome
        request_state.last_outcome = (
            outcome if result.reached_upstream else request_state.last_outcome
        )
        if isinstance(outcome, NotRun):
            _record_retry_after(request_state, outcome)
        serving, _ = versions_of(outbound.state, request_state.service)
        version, burst = serving, False
        hold = _find_hold(outbound, request_state.service, request_state.request)
        if result.crashes >= HELD_CRASH_COUNT or hold is not None:
            if request_state.last_outcome is None:
                return NotRun(hold or _reason_of(outcome), None)
            return _final_outcome(outbound, request_state, _reason_of(outcome))
        if not _acquire_retry(outbound, request_state, result):
            return _final_outcome(outbound, request_state, _reason_of(outcome))


def _needs_retry(request_state: RequestState, outcome: Outcome) -> bool:
    if isinstance(outcome, NotRun):
        return True
    if not request_state.route.idempotent:
        return False
    return isinstance(outcome, Unknown) or outcome.status >= MIN_FAILURE_STATUS


def _acquire_retry(
    outbound: Outbound, request_state: RequestState, result: CallResult
) -> bool:
    """Return whether another attempt may be made.

    A retry of a call that has reached an upstream is charged to the retry budget.
    """
    now_s = outbound.context.clock.monotonic_s()
    remaining_s = request_state.deadline_s - now_s
    if (
        outbound.shutting_down
        or remaining_s < RETRY_MIN_TIME_RATIO * result.report.work_ms / 1000
    ):
        return False
    if request_state.placements >= MAX_PLACEMENTS:
        return False
    if not request_state.arrivals:
        return True
    if request_state.arrivals >= request_state.route.max_attempts:
        return False
    if not result.reached_upstream:
        # This retry was charged to the budget already, and an inbound proxy refused it.
        return True
    if not spend_retry_token(outbound.budget, request_state.service):
        outbound.context.record(
            EventKind.BUDGET_SPENT,
            request_id=request_state.request.call_id,
            service=request_state.service,
        )
        return False
    outbound.context.record(
        EventKind.CALL_REPEATED,
        request_id=request_state.request.call_id,
        route=request_state.route.name,
        tried=len(request_state.tried_hosts),
        reason=_reason_of(result.outcome),
        elapsed_ms=_elapsed_ms(outbound, request_state),
    )
    return True


async def _run_attempt(
    outbound: Outbound,
    request_state: RequestState,
    member: Member,
    upstream: UpstreamInfo,
) -> CallResult | None:
    """Send the request to one upstream; return None if it could not be sent."""
    request = request_state.request
    route = request_state.route
    call = Call(
        call_id=request.call_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        route=route.name,
        service=request_state.service,
        version=upstream.version,
        instance=upstream.instance,
        caller_service=outbound.context.deployment.service,
        idempotent=route.idempotent,
        rank=request_state.rank,
        deadline_s=request_state.deadline_s,
        target_s=request_state.target_s,
        is_retry=request_state.arrivals > 0,
        holder=request.holder,
        last_attempt=outbound.shutting_down
        or request_state.placements >= MAX_PLACEMENTS
        or request_state.arrivals + 1 >= route.max_attempts,
        workspace=request.workspace,
        nested=request_state.nested,
    )
    now_s = outbound.context.clock.monotonic_s()
    load = load_of(outbound.links, member.host)
    load_at_placement = _describe_load(load, now_s)
    timeout: asyncio.Timeout | None = None
    start = CallStart()
    try:
        async with asyncio.timeout(
            request_state.deadline_s - now_s + INBOUND_MARGIN_S
        ) as timeout:
            outbound.attempt_timeouts.add(timeout)
            result = await send_call(outbound.links, member.host, call, start)
    except LinkDownError:
        return None
    except TimeoutError:
        reason = (
            "the node is stopping" if outbound.shutting_down else "no answer in time"
        )
        report = load.report or _NO_REPORT
        if give_up_call(start):
            result = CallResult(NotRun(reason, LATE_RETRY_S), False, report)
        else:
            outcome = Unknown(reason, timed_out=not outbound.shutting_down)
            result = CallResult(outcome, True, report)
    finally:
        if timeout is not None:
            outbound.attempt_timeouts.discard(timeout)
    if result.leaving and record_leaving_start(
        outbound.state, upstream.instance, upstream.born_ms
    ):
        outbound.context.record(
            EventKind.UPSTREAM_DRAINING,
            request_id=request.call_id,
            peer=member.host,
            instance=upstream.instance,
            source="answer",
        )
    if isinstance(result.outcome, Answered) and member.host != outbound.state.own.host:
        key = request_key(call.service, call.method, call.path, call.body)
        record_answered_request(outbound.links.inbound.crashes, key)
    if result.service_ms and isinstance(result.outcome, Answered):
        costs = outbound.route_costs[route.name]
        record_answer(costs, load, result.service_ms, len(result.outcome.body))
    if not isinstance(result.outcome, Answered):
        outbound.context.record(
            EventKind.CALL_TRY_ENDED,
            request_id=request.call_id,
            peer=member.host,
            instance=upstream.instance,
            outcome=type(result.outcome).__name__,
            reason=result.outcome.reason,
            load=load_at_placement,
            elapsed_ms=_elapsed_ms(outbound, request_state),
        )
    return result


def _describe_load(load: TargetLoad, now_s: float) -> tuple[float, ...]:
    """Return the load known when a call is placed, empty if nothing is known.

    In order: calls in flight, slots, mean service time in milliseconds, ratio of failed
    calls, and the age of the report in milliseconds. If the upstream names a rate limit,
    it follows in calls per second, with the wait for it in milliseconds.
    """
    report = load.report
    if report is None:
        return ()
    age_ms = int((now_s - load.reported_at_s) * 1000)
    known = (report.in_flight, report.slots, report.work_ms, report.failing, age_ms)
    if not report.rate_limit_per_s:
        return known
    return (*known, report.rate_limit_per_s, report.rate_wait_ms)


def _record_retry_after(request_state: RequestState, outcome: NotRun) -> None:
    if (
        request_state.retry_after_s is None
        or outcome.retry_after_s < request_state.retry_after_s
    ):
        request_state.retry_after_s = outcome.retry_after_s


def _final_outcome(
    outbound: Outbound, request_state: RequestState, reason: str
) -> Outcome:
    """Return the outcome for the caller when no more attempts are made.

    The last attempt that reached an upstream decides: its answer, or that the call may
    have run. A call that ran nowhere is refused, with the shortest retry-after that an
    inbound proxy gave.
    """
    if request_state.last_outcome is not None and not isinstance(
        request_state.last_outcome, NotRun
    ):
        return request_state.last_outcome
    retry_s = request_state.retry_after_s
    return NotRun(reason, NO_UPSTREAM_RETRY_S if retry_s is None else retry_s)


def _reason_of(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"status {outcome.status}"
    return outcome.reason


def _record_trial_call(
    outbound: Outbound, service: str, version: str, result: CallResult | None
) -> None:
    """Count a call of a version on trial, and brake the move if too many fail."""
    order = outbound.state.orders.get(service)
    if (
        result is None
        or order is None
        or order.to_version != version
        or not result.reached_upstream
    ):
        return
    key = (service, order.number)
    trial = outbound.trials.get(key)
    if trial is None:
        return
    trial.calls += 1
    failed = not isinstance(result.outcome, Answered)
    trial.failures += failed or result.outcome.status >= MIN_FAILURE_STATUS
    if key not in outbound.state.braked and should_brake(trial.calls, trial.failures):
        outbound.state.braked.add(key)
        outbound.context.record(
            EventKind.MOVE_BRAKED,
            service=service,
            version=version,
            order=order.number,
            reason=f"{trial.failures} of {trial.calls} calls of this entry failed",
        )


def _elapsed_ms(outbound: Outbound, request_state: RequestState) -> int:
    return round(
        (outbound.context.clock.monotonic_s() - request_state.started_s) * 1000
    )


def _log_end(outbound: Outbound, request_state: RequestState, outcome: Outcome) -> None:
    """Log the outcome of a request; of the successful ones, log a sample."""
    elapsed_ms = _elapsed_ms(outbound, request_state)
    kind = type(outcome).__name__.lower()
    outbound.observe_outcome(request_state.route.name, kind, elapsed_ms / 1000)
    fields = {
        "request_id": request_state.request.call_id,
        "route": request_state.route.name,
        "service": request_state.service,
        "tried": len(request_state.tried_hosts),
        "arrivals": request_state.arrivals,
        "elapsed_ms": elapsed_ms,
    }
    if request_state.waited_s >= MIN_LOGGED_WAIT_S:
        fields["connection_wait_ms"] = round(request_state.waited_s * 1000)
    if isinstance(outcome, Answered):
        outbound.answered_count += 1
        if (
            outbound.answered_count % ANSWERS_PER_LOG_LINE == 0
            or outcome.status >= MIN_FAILURE_STATUS
        ):
            outbound.context.record(
                EventKind.CALL_ENDED, status=outcome.status, **fields
            )
    elif isinstance(outcome, NotRun):
        outbound.context.record(
            EventKind.CALL_NOT_RUN,
            reason=outcome.reason,
            retry_after_s=outcome.retry_after_s,
            **fields,
        )
    else:
        outbound.context.record(EventKind.CALL_UNKNOWN, reason=outcome.reason, **fields)


def end_requests_in_flight(outbound: Outbound) -> None:
    """End the attempts in flight, so that their callers are answered before exit."""
    outbound.shutting_down = True
    now_s = asyncio.get_running_loop().time()
    for timeout in tuple(outbound.attempt_timeouts):
        timeout.reschedule(now_s)


def update_budget_slack(outbound: Outbound, slack: float) -> None:
    """Divide the retry budget's slack among the nodes, once they are known."""
    if not outbound.state.fleet_known:
        return
    divide_slack(outbound.budget, slack, len(outbound.state.members) + 1)
