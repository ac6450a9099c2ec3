"""The entry of a node: takes its callers' requests to an upstream, and answers them.

A request is matched to a route, its service to a version, and then placed on the
upstream that is expected to answer soonest. A gate that refuses costs the caller a
round trip only, so the request is placed elsewhere at once. A repeat of a request that
has reached an upstream is bounded by the route, by the budget, and by what a repeat
may harm. The caller gets its final answer as soon as nothing better can come.
"""

from __future__ import annotations

import asyncio

from agaterelay.core.call import Call
from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.outcome import Answered, NotRun, Outcome, Unknown
from agaterelay.core.placing import LoadReport, TargetLoad, record_answer
from agaterelay.core.retry_budget import (
    divide_slack,
    earn_retry_tokens,
    spend_retry_token,
)
from agaterelay.core.trial import should_brake
from agaterelay.events import EventKind
from agaterelay.mesh.choosing import (
    choose_service,
    choose_version,
    match_request,
    place,
    target_left_s,
)
from agaterelay.mesh.gate import Ran
from agaterelay.mesh.journey import Entry, Journey, Request
from agaterelay.mesh.link import LinkDownError
from agaterelay.mesh.links import load_of, send_call
from agaterelay.mesh.state import revision_of, versions_of

# Gates that are asked in turn; more would cost more than the caller gains.
MAX_PLACEMENTS = 4
# When to come back where nothing is known about the load.
NO_UPSTREAM_RETRY_S = 0.3
NO_TABLE_RETRY_S = 0.5
# A repeat is made only where this part of the usual time is left.
REPEAT_NEEDS_PART = 0.8
# The gate ends a call at its deadline; after this its answer is not waited for.
GATE_MARGIN_S = 0.06
FAILURE_STATUS = 500
# One in so many good calls is logged.
GOOD_SAMPLE = 400
_NO_REPORT = LoadReport()


async def serve(entry: Entry, request: Request) -> Outcome:
    """Return how a caller's request ended."""
    started_s = entry.context.clock.monotonic_s()
    if entry.state.table is None:
        return _refuse(
            entry, request, NotRun("no configuration is known yet", NO_TABLE_RETRY_S)
        )
    path = request.path.partition("?")[0]
    route = match_request(entry, request.host, path)
    if route is None:
        return _refuse(entry, request, Answered(404, (), b"no route\n"))
    wait_s = route.timeout_ms / 1000
    if request.wait_ms is not None:
        wait_s = min(wait_s, request.wait_ms / 1000)
    service = choose_service(entry, route)
    journey = Journey(request, route, service, started_s, started_s + wait_s)
    journey.target_s = started_s + target_left_s(entry, route, request.wait_ms)
    earn_retry_tokens(entry.budget, service)
    entry.in_flight += 1
    try:
        outcome = await _travel(entry, journey)
    except asyncio.CancelledError:
        entry.context.record(
            EventKind.CALL_CANCELLED,
            request_id=request.call_id,
            route=route.name,
            tried=len(journey.tried),
            elapsed_ms=_elapsed_ms(entry, journey),
        )
        raise
    finally:
        entry.in_flight -= 1
    _log_end(entry, journey, outcome)
    return outcome


def _refuse(entry: Entry, request: Request, outcome: Outcome) -> Outcome:
    """Log that a request is not placed, and return how it ends."""
    answered = isinstance(outcome, Answered)
    entry.context.record(
        EventKind.REQUEST_REFUSED,
        request_id=request.call_id,
        reason=f"status {outcome.status}" if answered else outcome.reason,
        host_named=request.host,
        revision=revision_of(entry.state),
    )
    return outcome


async def _travel(entry: Entry, journey: Journey) -> Outcome:
    """Try upstreams until there is a final outcome."""
    version, burst = choose_version(entry, journey.service)
    on_trial = version
    while True:
        found = place(entry, journey, version, burst)
        if found is None:
            serving, _ = versions_of(entry.state, journey.service)
            if version != serving:
                version, burst = serving, False
                continue
            tried = journey.placements > 0
            reason = "every upstream refused" if tried else "no upstream can be reached"
            return _final(entry, journey, reason)
        member, upstream = found
        journey.tried.add(member.host)
        journey.placements += 1
        ran = await _try(entry, journey, member, upstream)
        if version == on_trial:
            _note_trial(entry, journey.service, version, ran)
        if ran is None:
            continue
        outcome = ran.outcome
        journey.arrivals += ran.arrived
        if not _wants_repeat(journey, outcome):
            return outcome
        journey.last = outcome if ran.arrived else journey.last
        if isinstance(outcome, NotRun):
            _note_retry_after(journey, outcome)
        serving, _ = versions_of(entry.state, journey.service)
        version, burst = serving, False
        if not _may_repeat(entry, journey, ran):
            return _final(entry, journey, _reason_of(outcome))


def _wants_repeat(journey: Journey, outcome: Outcome) -> bool:
    if isinstance(outcome, NotRun):
        return True
    if not journey.route.idempotent:
        return False
    return isinstance(outcome, Unknown) or outcome.status >= FAILURE_STATUS


def _may_repeat(entry: Entry, journey: Journey, ran: Ran) -> bool:
    """Return whether another try may be made, and take it from the budget."""
    now_s = entry.context.clock.monotonic_s()
    left_s = journey.deadline_s - now_s
    if entry.ending or left_s < REPEAT_NEEDS_PART * ran.report.work_ms / 1000:
        return False
    if journey.placements >= MAX_PLACEMENTS:
        return False
    if not journey.arrivals:
        return True
    if journey.arrivals >= journey.route.max_attempts:
        return False
    if not ran.arrived:
        # The repeat was paid for when it was decided on; a gate refused it.
        return True
    if not spend_retry_token(entry.budget, journey.service):
        entry.context.record(
            EventKind.BUDGET_SPENT,
            request_id=journey.request.call_id,
            service=journey.service,
        )
        return False
    entry.context.record(
        EventKind.CALL_REPEATED,
        request_id=journey.request.call_id,
        route=journey.route.name,
        tried=len(journey.tried),
        reason=_reason_of(ran.outcome),
        elapsed_ms=_elapsed_ms(entry, journey),
    )
    return True


async def _try(
    entry: Entry, journey: Journey, member: Member, upstream: UpstreamInfo
) -> Ran | None:
    """Send the request to one upstream; None where it could not be sent."""
    request = journey.request
    route = journey.route
    call = Call(
        call_id=request.call_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        route=route.name,
        service=journey.service,
        version=upstream.version,
        instance=upstream.instance,
        caller_service=entry.context.deployment.service,
        idempotent=route.idempotent,
        rank=route.rank,
        deadline_s=journey.deadline_s,
        target_s=journey.target_s,
        is_retry=journey.arrivals > 0,
        last_attempt=entry.ending
        or journey.placements >= MAX_PLACEMENTS
        or journey.arrivals + 1 >= route.max_attempts,
    )
    now_s = entry.context.clock.monotonic_s()
    load = load_of(entry.links, member.host)
    placed_on = _describe_load(load, now_s)
    limit: asyncio.Timeout | None = None
    try:
        async with asyncio.timeout(journey.deadline_s - now_s + GATE_MARGIN_S) as limit:
            entry.limits.add(limit)
            ran = await send_call(entry.links, member.host, call)
    except LinkDownError:
        return None
    except TimeoutError:
        reason = "the node is stopping" if entry.ending else "no answer in time"
        outcome = Unknown(reason, timed_out=not entry.ending)
        ran = Ran(outcome, True, load.report or _NO_REPORT)
    finally:
        if limit is not None:
            entry.limits.discard(limit)
    if ran.ran_ms and isinstance(ran.outcome, Answered):
        costs = entry.route_costs[route.name]
        record_answer(costs, load, ran.ran_ms, len(ran.outcome.body))
    if not isinstance(ran.outcome, Answered):
        entry.context.record(
            EventKind.CALL_TRY_ENDED,
            request_id=request.call_id,
            peer=member.host,
            instance=upstream.instance,
            outcome=type(ran.outcome).__name__,
            reason=ran.outcome.reason,
            load=placed_on,
            elapsed_ms=_elapsed_ms(entry, journey),
        )
    return ran


def _describe_load(load: TargetLoad, now_s: float) -> tuple[float, ...]:
    """Return the load as known when a call is placed, empty where nothing is known.

    In order: calls in flight, slots, mean time in milliseconds, share that fails, and
    the age of all that in milliseconds.
    """
    report = load.report
    if report is None:
        return ()
    age_ms = int((now_s - load.reported_at_s) * 1000)
    return (report.in_flight, report.slots, report.work_ms, report.failing, age_ms)


def _note_retry_after(journey: Journey, outcome: NotRun) -> None:
    if journey.retry_after_s is None or outcome.retry_after_s < journey.retry_after_s:
        journey.retry_after_s = outcome.retry_after_s


def _final(entry: Entry, journey: Journey, reason: str) -> Outcome:
    """Return what the caller is told when no more tries are made.

    A try that reached an upstream decides: its answer, or that it may have run. What
    ran nowhere is refused, with the time at which room is likely.
    """
    if journey.last is not None and not isinstance(journey.last, NotRun):
        return journey.last
    retry_s = journey.retry_after_s
    return NotRun(reason, NO_UPSTREAM_RETRY_S if retry_s is None else retry_s)


def _reason_of(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"status {outcome.status}"
    return outcome.reason


def _note_trial(entry: Entry, service: str, version: str, ran: Ran | None) -> None:
    """Count a call of a version on trial, and brake where they fail."""
    order = entry.state.orders.get(service)
    if ran is None or order is None or order.to_version != version or not ran.arrived:
        return
    key = (service, order.number)
    trial = entry.trials.get(key)
    if trial is None:
        return
    trial.calls += 1
    failed = not isinstance(ran.outcome, Answered)
    trial.failures += failed or ran.outcome.status >= FAILURE_STATUS
    if key not in entry.state.braked and should_brake(trial.calls, trial.failures):
        entry.state.braked.add(key)
        entry.context.record(
            EventKind.MOVE_BRAKED,
            service=service,
            version=version,
            order=order.number,
            reason=f"{trial.failures} of {trial.calls} calls of this entry failed",
        )


def _elapsed_ms(entry: Entry, journey: Journey) -> int:
    return round((entry.context.clock.monotonic_s() - journey.started_s) * 1000)


def _log_end(entry: Entry, journey: Journey, outcome: Outcome) -> None:
    """Log how a request ended; good ones are sampled."""
    elapsed_ms = _elapsed_ms(entry, journey)
    kind = type(outcome).__name__.lower()
    entry.count_end(journey.route.name, kind, elapsed_ms / 1000)
    fields = {
        "request_id": journey.request.call_id,
        "route": journey.route.name,
        "service": journey.service,
        "tried": len(journey.tried),
        "arrivals": journey.arrivals,
        "elapsed_ms": elapsed_ms,
    }
    if isinstance(outcome, Answered):
        entry.good += 1
        if entry.good % GOOD_SAMPLE == 0 or outcome.status >= FAILURE_STATUS:
            entry.context.record(EventKind.CALL_ENDED, status=outcome.status, **fields)
    elif isinstance(outcome, NotRun):
        entry.context.record(
            EventKind.CALL_NOT_RUN,
            reason=outcome.reason,
            retry_after_s=outcome.retry_after_s,
            **fields,
        )
    else:
        entry.context.record(EventKind.CALL_UNKNOWN, reason=outcome.reason, **fields)


def give_up_rest(entry: Entry) -> None:
    """Answer all requests that are still in flight, because the process ends."""
    entry.ending = True
    now_s = asyncio.get_running_loop().time()
    for limit in tuple(entry.limits):
        limit.reschedule(now_s)


def follow_fleet_size(entry: Entry, slack: float) -> None:
    """Share the budget's slack between the nodes, once they are known."""
    if not entry.state.fleet_known:
        return
    divide_slack(entry.budget, slack, len(entry.state.members) + 1)
