"""Ask for and grant the tokens that requests of limited workspaces need.

Each workspace has one granting host in an availability zone: the first by rendezvous
hashing that can be reached. Questions are frames on the links; a host that grants for
itself sends none. A workspace that asks nothing has no task and no timer.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from functools import partial
from typing import Any

import attrs

from agaterelay.adapters.frames import Frame, FrameConnection
from agaterelay.core.allotment import (
    MAX_GAP_S,
    Bucket,
    Ledger,
    Plan,
    begin_bucket,
    count_demand,
    count_kept,
    grant,
    keep_tokens,
    lend,
    make_plan,
    refill,
    return_tokens,
    share_reached,
    take_kept,
    take_unneeded,
    token_lifetime_s,
    wanted_ahead,
    wanted_loan,
)
from agaterelay.core.checked import (
    DecodeError,
    check_flag,
    check_name,
    check_number,
    check_whole,
)
from agaterelay.core.model import RouteTable, Workspace
from agaterelay.core.outcome import Answered
from agaterelay.core.rendezvous import rank
from agaterelay.events import EventKind
from agaterelay.mesh.link import NEVER_S, Link, Links
from agaterelay.mesh.state import (
    NodeContext,
    all_members,
    hosts_of_zone,
    revision_of,
)

# A request waits this long for its grant at most, all questions and loans included.
MAX_WAIT_S = 0.6
# A host that has not answered by then is passed over for a while. A configuration of
# 150 KB takes 0.12 s on a link of 10 Mbit/s, and answers wait behind it.
QUESTION_TIMEOUT_S = 0.25
PASS_OVER_S = 0.5
# Waiting for a token beats a refusal if capacity is likely within this time.
MAX_TOKEN_WAIT_S = 0.1
MIN_RETRY_S = 0.005
# After a refusal a host asks again at most this often; others are refused meanwhile.
REFUSAL_HOLD_S = 0.02
# How many hosts of a zone may grant for a workspace, in their order.
CANDIDATE_COUNT = 3
# A host that may grant knows the reach of its zone best with a link to all its hosts. In a
# larger zone, it takes the hosts that it has links to for a sample.
MAX_FULLY_LINKED_ZONE_HOSTS = 32
# A candidate that was asked in another's place takes that one for unreachable if it does
# not answer a ping in this time. A link that is silent for longer is pinged.
DOUBT_S = 0.6
SILENT_S = 0.1
# How long a host that is cut off may take until it notices: the longest time between two
# pings of an idle link, at 12 pings a second on all links, and the wait for the pong.
IDLE_PINGS_PER_S = 12
PONG_WAIT_S = 0.8
# How long a host that granted in another's place may take to notice that one's return.
RETURN_DELAY_S = 1.0
# How long the bucket of a workspace is kept that has no limit any more.
BUCKET_RETENTION_S = 60.0
# For so long after the first start of the whole system, no other host has granted before.
FIRST_START_S = 3.0
REACH_INTERVAL_S = 0.02
# A loan below this many tokens is worth no further question at once.
MIN_USEFUL_LOAN_TOKENS = 0.2
LOAN_INTERVAL_S = 0.01
EMPTY_LOAN_INTERVAL_S = 0.1
LOAN_TIMEOUT_S = 0.05
# The other zones' answers arrive within this time.
LOAN_WAIT_S = 0.008
NOBODY_RETRY_S = 0.3
NOT_GRANTING_RETRY_S = 0.05
# One of this many refusals of a cause is logged, besides the first.
REFUSALS_PER_LOG_LINE = 1000
MAX_TOKENS = 10_000
TOO_MANY_STATUS = 429
MAX_RETRY_AFTER_S = 10.0


@attrs.define
class Asking:
    """What a host asks for one workspace.

    Attributes:
        waiting: The requests that wait for a token; the result is None with a token,
            otherwise after how many seconds capacity is likely.
        asked_count: How many of them the open question asks for.
        question: The reply to the open question, None if none is open.
        retry: The timer after which the next question is sent.
        refused_until_s: Until when requests are refused without a question.
        retry_at_s: When capacity is likely, after a refusal.
    """

    ledger: Ledger = attrs.field(factory=Ledger)
    waiting: deque[asyncio.Future[float | None]] = attrs.field(factory=deque)
    asked_count: int = 0
    question: asyncio.Future[Any] | None = None
    retry: asyncio.TimerHandle | None = None
    refused_until_s: float = 0.0
    retry_at_s: float = 0.0


@attrs.define
class Granting:
    """A bucket of this host, and its loans from other zones by zone.

    Attributes:
        borrowing: The zones whose answer is awaited.
        ask_from_s: When a zone is asked again at the earliest.
    """

    bucket: Bucket
    borrowing: set[str] = attrs.field(factory=set)
    ask_from_s: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class Allotments:
    """The state of a node's allotments.

    Attributes:
        limited: The workspaces with a rate, of ``table``.
        new_names: Workspaces that got a limit while this node ran, for which nobody can
            have granted before.
        candidates: By workspace and zone, the hosts of the zone and those of them that
            may grant.
        passed_over: Hosts that did not answer, with the time until which none is asked.
        started_s: When the upkeep ran first; None before.
        alive_s: When the node last ran; None before the first time.
        reach: The share of the zone's hosts that were reached at ``reach_s``.
        counts: Grants, refusals and questions by cause, for the metrics.
    """

    context: NodeContext
    links: Links
    table: RouteTable | None = None
    limited: dict[str, Workspace] = attrs.field(factory=dict)
    new_names: set[str] = attrs.field(factory=set)
    candidates: dict[tuple[str, str], tuple[list[str], list[str]]] = attrs.field(
        factory=dict
    )
    asking: dict[str, Asking] = attrs.field(factory=dict)
    granting: dict[str, Granting] = attrs.field(factory=dict)
    passed_over: dict[str, float] = attrs.field(factory=dict)
    alive_s: float | None = None
    started_s: float | None = None
    reach: float = 1.0
    reach_s: float = NEVER_S
    counts: Counter[str] = attrs.field(factory=Counter)


@attrs.frozen
class Token:
    """A token that a request holds; it may be given back until it expires."""

    workspace: str
    expires_s: float


def limited_workspaces(allotments: Allotments) -> dict[str, Workspace]:
    """Return the workspaces with a rate in the configuration in force."""
    table = allotments.links.state.table
    if table is not allotments.table:
        workspaces = (table.workspaces if table else None) or ()
        limited = {item.name: item for item in workspaces if item.rate_per_s}
        before = allotments.limited.keys()
        if limited.keys() != before:
            # The rest stays: ranking all hosts anew takes milliseconds.
            for key in tuple(allotments.candidates):
                if key[0] not in limited:
                    del allotments.candidates[key]
            allotments.links.outdated = True
        if allotments.table is not None:
            allotments.new_names |= limited.keys() - before
        allotments.new_names &= limited.keys()
        allotments.table, allotments.limited = table, limited
        for name in allotments.asking.keys() - limited.keys():
            # Requests that wait are refused when their own time ends.
            del allotments.asking[name]
        # A limit that soon comes back must not start with new tokens.
        now_s = allotments.context.clock.monotonic_s()
        for name in allotments.granting.keys() - limited.keys():
            if now_s - allotments.granting[name].bucket.updated_s > BUCKET_RETENTION_S:
                del allotments.granting[name]
    return allotments.limited


def wanted_links(allotments: Allotments) -> set[str]:
    """Return the hosts that this host needs links to, to ask, to grant and to borrow."""
    if not limited_workspaces(allotments):
        return set()
    state = allotments.links.state
    in_zone = set(hosts_of_zone(state, state.own.zone))
    wanted = in_zone if len(in_zone) <= MAX_FULLY_LINKED_ZONE_HOSTS else set()
    for name in allotments.limited:
        own_zone = candidates_of(allotments, name, state.own.zone)
        wanted.update(own_zone)
        if state.own.host in own_zone:
            for zone in _other_zones(allotments):
                wanted.update(candidates_of(allotments, name, zone))
    return wanted - {state.own.host}


def candidates_of(allotments: Allotments, name: str, zone: str) -> list[str]:
    """Return the hosts of a zone that may grant for a workspace, the first one first."""
    hosts = hosts_of_zone(allotments.links.state, zone)
    ranked_of, found = allotments.candidates.get((name, zone), (None, []))
    if ranked_of is not hosts:
        found = rank(hosts, f"allotment {name}")[:CANDIDATE_COUNT]
        allotments.candidates[name, zone] = (hosts, found)
    return found


def _other_zones(allotments: Allotments) -> list[str]:
    return [zone for zone in _zones(allotments) if zone != _own_zone(allotments)]


def _own_zone(allotments: Allotments) -> str:
    return allotments.links.state.own.zone


def _zones(allotments: Allotments) -> set[str]:
    named = allotments.context.deployment.zones
    known = named or [item.zone for item in all_members(allotments.links.state)]
    return {*known, _own_zone(allotments)}


def _plan_of(allotments: Allotments, workspace: Workspace) -> Plan:
    bounds = allotments.context.deployment.bounds
    return make_plan(workspace, bounds, len(_zones(allotments)))


def _reaches(allotments: Allotments, host: str, probes: bool = False) -> bool:
    """Return whether a host can be reached; one that may not answer can be pinged."""
    links = allotments.links
    link = links.links.get(host)
    if link is None or link.connection is None or not link.usable:
        return False
    now_s = allotments.context.clock.monotonic_s()
    if link.pinged_s is not None:
        return now_s - link.pinged_s < DOUBT_S
    if probes and now_s - link.last_received_s >= SILENT_S:
        link.pinged_s = now_s
        link.connection.send([Frame.PING, revision_of(links.state)])
    return True


def _is_granting(allotments: Allotments, name: str, probes: bool = False) -> bool:
    """Return whether this host is the first that can be reached."""
    state = allotments.links.state
    if not state.fleet_known:
        return False
    for host in candidates_of(allotments, name, state.own.zone):
        if host == state.own.host:
            return True
        if _reaches(allotments, host, probes):
            return False
    return False


def _reach(allotments: Allotments, now_s: float) -> float:
    """Return the share of the zone's hosts that this host can reach."""
    if now_s - allotments.reach_s < REACH_INTERVAL_S:
        return allotments.reach
    links = allotments.links.links
    state = allotments.links.state
    hosts = [
        host for host in hosts_of_zone(state, state.own.zone) if host != state.own.host
    ]
    if len(hosts) > MAX_FULLY_LINKED_ZONE_HOSTS:
        hosts = [host for host in hosts if host in links]
    allotments.reach = share_reached(
        host in links and links[host].usable for host in hosts
    )
    allotments.reach_s = now_s
    return allotments.reach


def _refilled(
    allotments: Allotments, workspace: Workspace, probes: bool = False
) -> tuple[Granting, Plan] | None:
    """Return the bucket of a workspace, None if another host grants for it."""
    name = workspace.name
    check_gap(allotments)
    if not _is_granting(allotments, name, probes):
        allotments.granting.pop(name, None)
        return None
    now_s = allotments.context.clock.monotonic_s()
    plan = _plan_of(allotments, workspace)
    granting = allotments.granting.get(name)
    if granting is None:
        delay_s = _fill_delay_s(allotments, name)
        if delay_s:
            allotments.counts["takeover"] += 1
            allotments.context.record(
                EventKind.GRANTING_BEGAN, workspace=name, fills_in_s=round(delay_s, 1)
            )
        granting = Granting(begin_bucket(plan, now_s, delay_s))
        allotments.granting[name] = granting
    refill(granting.bucket, plan, _reach(allotments, now_s), now_s)
    return granting, plan


def _fill_delay_s(allotments: Allotments, name: str) -> float:
    """Return after how many seconds a bucket that this host begins starts to fill.

    Another host may grant until then: a successor that has not noticed this host yet, or
    a predecessor that is cut off and has not noticed the hosts that it can't reach.
    """
    now_s = allotments.context.clock.monotonic_s()
    started_s = now_s if allotments.started_s is None else allotments.started_s
    first_start = allotments.context.deployment.first_start
    if first_start and now_s - started_s < FIRST_START_S:
        return 0.0
    own = allotments.links.state.own
    is_new = name in allotments.new_names
    allotments.new_names.discard(name)
    if candidates_of(allotments, name, own.zone)[0] == own.host:
        return 0.0 if is_new else RETURN_DELAY_S
    idle_s = len(allotments.links.links) / IDLE_PINGS_PER_S
    return max(idle_s, 1.0) + PONG_WAIT_S


def check_gap(allotments: Allotments) -> None:
    """Discard all buckets after a time in which this process did not run."""
    now_s = allotments.context.clock.monotonic_s()
    gap_s = now_s - (now_s if allotments.alive_s is None else allotments.alive_s)
    allotments.alive_s = now_s
    if gap_s > MAX_GAP_S and allotments.granting:
        allotments.context.record(
            EventKind.GRANTS_DISCARDED,
            gap_s=round(gap_s, 1),
            workspaces=len(allotments.granting),
        )
        allotments.granting.clear()


def keep_allotments(allotments: Allotments) -> None:
    """Begin the buckets of this host, and discard those of others; part of the upkeep.

    A bucket must fill before the first question, or a workspace that was idle since the
    start would have no burst.
    """
    limited = limited_workspaces(allotments)
    check_gap(allotments)
    if allotments.started_s is None:
        allotments.started_s = allotments.alive_s
    for workspace in limited.values():
        _refilled(allotments, workspace)
    now_s = allotments.context.clock.monotonic_s()
    for host, until_s in tuple(allotments.passed_over.items()):
        if until_s <= now_s:
            del allotments.passed_over[host]


async def acquire_allotment(
    allotments: Allotments, name: str, remaining_s: float
) -> Token | Answered | None:
    """Take a token for a request.

    Args:
        allotments: The node's allotments.
        name: The request's workspace, empty without one.
        remaining_s: The request's remaining time in seconds.

    Returns:
        A token, None if the workspace has no limit, or the refusal of the request.
    """
    if not name or name not in limited_workspaces(allotments):
        return None
    now_s = allotments.context.clock.monotonic_s()
    asking = allotments.asking.setdefault(name, Asking())
    count_demand(asking.ledger, now_s)
    if not asking.waiting:
        expires_s = take_kept(asking.ledger, now_s)
        if expires_s is not None:
            _ask(allotments, name, asking)
            return Token(name, expires_s)
        if now_s < asking.refused_until_s:
            return _refuse(allotments, name, asking.retry_at_s - now_s, "exhausted")
    future: asyncio.Future[float | None] = asyncio.get_running_loop().create_future()
    asking.waiting.append(future)
    _ask(allotments, name, asking)
    try:
        async with asyncio.timeout(min(MAX_WAIT_S, remaining_s)):
            wait_s = await future
    except TimeoutError:
        return _refuse(allotments, name, NOT_GRANTING_RETRY_S, "no_answer")
    finally:
        if not future.done() or future.cancelled():
            _forget(asking, future)
    if wait_s is not None:
        return _refuse(allotments, name, wait_s, "exhausted")
    allotments.counts["granted"] += 1
    now_s = allotments.context.clock.monotonic_s()
    return Token(name, now_s + token_lifetime_s(allotments.context.deployment.bounds))


def _forget(asking: Asking, future: asyncio.Future[float | None]) -> None:
    if future in asking.waiting:
        asking.waiting.remove(future)


def give_back(allotments: Allotments, token: Token) -> None:
    """Give back the token of a request that ran nowhere, while it is valid."""
    asking = allotments.asking.get(token.workspace)
    now_s = allotments.context.clock.monotonic_s()
    if asking is not None and token.expires_s > now_s:
        allotments.counts["given_back"] += 1
        keep_tokens(asking.ledger, 1, token.expires_s)
        _serve(asking, now_s)


def _refuse(allotments: Allotments, name: str, retry_s: float, cause: str) -> Answered:
    allotments.counts[cause] += 1
    if allotments.counts[cause] % REFUSALS_PER_LOG_LINE == 1:
        allotments.context.record(
            EventKind.ALLOTMENT_REFUSED,
            workspace=name,
            cause=cause,
            count=allotments.counts[cause],
            retry_after_s=round(retry_s, 3),
        )
    retry_after = f"{min(max(retry_s, 0.01), MAX_RETRY_AFTER_S):.3f}"
    headers = (
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Retry-After", retry_after),
    )
    return Answered(TOO_MANY_STATUS, headers, b"the workspace's rate is used up\n")


def _serve(asking: Asking, now_s: float) -> None:
    """Give kept tokens to the requests that wait, the oldest first."""
    while asking.waiting:
        if asking.waiting[0].done():
            asking.waiting.popleft()
            continue
        if take_kept(asking.ledger, now_s) is None:
            return
        asking.waiting.popleft().set_result(None)


def _ask(allotments: Allotments, name: str, asking: Asking) -> None:
    """Send a question, unless one is open or none is needed."""
    if asking.question is not None or asking.retry is not None:
        return
    workspace = limited_workspaces(allotments).get(name)
    if workspace is None:
        return
    now_s = allotments.context.clock.monotonic_s()
    lifetime_s = token_lifetime_s(allotments.context.deployment.bounds)
    waiting = sum(not future.done() for future in asking.waiting)
    asking.asked_count = len(asking.waiting)
    state = allotments.links.state
    for host in candidates_of(allotments, name, state.own.zone):
        if host == state.own.host:
            held = _refilled(allotments, workspace, probes=True)
            if held is None:
                continue
            granted, wait_s = _grant(allotments, workspace, held, waiting, 0)
            _settle(allotments, name, asking, now_s, granted, wait_s)
            return
        link = allotments.links.links.get(host)
        if link is None or link.connection is None or not link.usable:
            continue
        if host in allotments.passed_over:
            continue
        ahead = wanted_ahead(asking.ledger, lifetime_s, now_s)
        kept = count_kept(asking.ledger, now_s)
        # Half of the tokens held ahead are used up before the next question.
        is_enough = kept >= ahead or kept > ahead / 2
        if not waiting and (is_enough or now_s < asking.refused_until_s):
            return
        surplus = take_unneeded(asking.ledger, 2 * ahead, now_s)
        wanted = min(max(waiting + ahead - kept, 0), MAX_TOKENS)
        _send_question(allotments, name, asking, host, wanted, surplus)
        return
    if waiting:
        _settle(allotments, name, asking, now_s, 0, NOBODY_RETRY_S)


def _send_question(
    allotments: Allotments,
    name: str,
    asking: Asking,
    host: str,
    wanted: int,
    surplus: int,
) -> None:
    allotments.counts["questions"] += 1
    question = _send(allotments, host, [Frame.ASK_GRANT], [name, wanted, surplus])
    asking.question = question
    sent_s = allotments.context.clock.monotonic_s()
    question.add_done_callback(
        partial(_handle_answer, allotments, name, asking, host, sent_s)
    )


def _send(
    allotments: Allotments, host: str, kind: list[Any], fields: list[Any]
) -> asyncio.Future[Any]:
    """Send a question on a link; its reply, a loss of the link or time ends it."""
    links = allotments.links
    link = links.links[host]
    links.next_number += 1
    number = links.next_number
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Any] = loop.create_future()
    link.pending[number] = future
    timer = loop.call_later(QUESTION_TIMEOUT_S, future.cancel)
    future.add_done_callback(lambda future: timer.cancel())
    future.add_done_callback(lambda future: link.pending.pop(number, None))
    link.connection.send([*kind, number, *fields])
    return future


def _handle_answer(
    allotments: Allotments,
    name: str,
    asking: Asking,
    host: str,
    sent_s: float,
    question: asyncio.Future[Any],
) -> None:
    """Handle the end of a question; a late grant is lost."""
    asking.question = None
    now_s = allotments.context.clock.monotonic_s()
    late = now_s - sent_s > 2 * QUESTION_TIMEOUT_S
    if late or question.cancelled() or question.exception() is not None:
        allotments.counts["unanswered"] += 1
        if host not in allotments.passed_over:
            allotments.context.record(
                EventKind.GRANT_UNANSWERED,
                peer=host,
                elapsed_ms=round((now_s - sent_s) * 1000),
            )
        allotments.passed_over[host] = now_s + PASS_OVER_S
        _ask(allotments, name, asking)
        return
    granted, wait_s = question.result()
    _settle(allotments, name, asking, sent_s, granted, wait_s)


def _settle(
    allotments: Allotments,
    name: str,
    asking: Asking,
    sent_s: float,
    granted: int,
    wait_s: float,
) -> None:
    """Give out the granted tokens; refuse the rest, or ask again for it soon."""
    now_s = allotments.context.clock.monotonic_s()
    lifetime_s = token_lifetime_s(allotments.context.deployment.bounds)
    waiting_before = len(asking.waiting)
    # A grant serves those that wait now, also if tokens must not be kept.
    while granted and asking.waiting:
        future = asking.waiting.popleft()
        if not future.done():
            future.set_result(None)
            granted -= 1
    keep_tokens(asking.ledger, granted, sent_s + lifetime_s)
    if not asking.waiting:
        return
    if wait_s <= 0:
        _ask_again(allotments, name, asking, 0.0)
        return
    if wait_s <= MAX_TOKEN_WAIT_S:
        _ask_again(allotments, name, asking, max(wait_s, MIN_RETRY_S))
        return
    asking.retry_at_s = now_s + wait_s
    asking.refused_until_s = now_s + min(wait_s, REFUSAL_HOLD_S)
    refused = asking.asked_count - (waiting_before - len(asking.waiting))
    while refused > 0 and asking.waiting:
        future = asking.waiting.popleft()
        if not future.done():
            future.set_result(wait_s)
        refused -= 1
    if asking.waiting:
        _ask_again(allotments, name, asking, REFUSAL_HOLD_S)


def _ask_again(
    allotments: Allotments, name: str, asking: Asking, delay_s: float
) -> None:
    def send() -> None:
        asking.retry = None
        if asking.waiting:
            _ask(allotments, name, asking)

    if asking.retry is None:
        asking.retry = asyncio.get_running_loop().call_later(delay_s, send)


def _grant(
    allotments: Allotments,
    workspace: Workspace,
    held: tuple[Granting, Plan],
    wanted: int,
    returned: int,
) -> tuple[int, float]:
    granting, plan = held
    now_s = allotments.context.clock.monotonic_s()
    return_tokens(granting.bucket, plan, returned)
    granted, wait_s = grant(granting.bucket, plan, wanted, now_s)
    _borrow(allotments, workspace, granting, plan)
    if granted < wanted and granting.borrowing:
        wait_s = min(wait_s, LOAN_WAIT_S)
    return granted, wait_s


def _borrow(
    allotments: Allotments, workspace: Workspace, granting: Granting, plan: Plan
) -> None:
    """Ask the other zones for tokens if the own bucket runs low."""
    now_s = allotments.context.clock.monotonic_s()
    wanted = wanted_loan(granting.bucket, plan, now_s)
    if wanted <= 0:
        return
    for zone in _other_zones(allotments):
        if zone in granting.borrowing or now_s < granting.ask_from_s.get(zone, 0.0):
            continue
        hosts = candidates_of(allotments, workspace.name, zone)
        lender = next((host for host in hosts if _reaches(allotments, host)), None)
        if lender is None:
            continue
        allotments.counts["loans_asked"] += 1
        granting.borrowing.add(zone)
        fields = [workspace.name, wanted]
        loan = _send(allotments, lender, [Frame.ASK_LOAN], fields)
        loan.add_done_callback(
            partial(_handle_loan, allotments, workspace.name, granting, zone)
        )


def _handle_loan(
    allotments: Allotments,
    name: str,
    granting: Granting,
    zone: str,
    loan: asyncio.Future[Any],
) -> None:
    granting.borrowing.discard(zone)
    now_s = allotments.context.clock.monotonic_s()
    failed = loan.cancelled() or loan.exception() is not None
    tokens = 0.0 if failed else loan.result()
    is_useful = tokens >= MIN_USEFUL_LOAN_TOKENS
    interval_s = LOAN_INTERVAL_S if is_useful else EMPTY_LOAN_INTERVAL_S
    granting.ask_from_s[zone] = now_s + interval_s
    workspace = limited_workspaces(allotments).get(name)
    if workspace is not None and allotments.granting.get(name) is granting:
        return_tokens(granting.bucket, _plan_of(allotments, workspace), tokens)


def handle_question(
    allotments: Allotments, connection: FrameConnection, frame: list[Any]
) -> None:
    """Answer another node's question for a grant or a loan.

    Raises:
        DecodeError: The frame is not such a question.
    """
    if len(frame) < 4:
        raise DecodeError("must have a number, a workspace and tokens")
    kind, number = frame[0], check_whole(frame[1])
    workspace = limited_workspaces(allotments).get(check_name(frame[2]))
    if kind == Frame.ASK_GRANT:
        wanted = check_whole(frame[3], 0, MAX_TOKENS)
        returned = check_whole(frame[4], 0, MAX_TOKENS) if len(frame) > 4 else 0
        granted, wait_s = 0, NOT_GRANTING_RETRY_S
        held = None
        if workspace is not None:
            held = _refilled(allotments, workspace, probes=True)
        if held is not None:
            granted, wait_s = _grant(allotments, workspace, held, wanted, returned)
        wait_ms = min(int(wait_s * 1000) + (wait_s > 0), MAX_TOKENS)
        connection.send([Frame.GRANT, number, granted, wait_ms, held is not None])
        return
    wanted = check_number(frame[3])
    held = None if workspace is None else _refilled(allotments, workspace)
    now_s = allotments.context.clock.monotonic_s()
    lent = lend(held[0].bucket, wanted, now_s) if held is not None else 0.0
    connection.send([Frame.LOAN, number, lent])


def handle_reply(link: Link, frame: list[Any]) -> None:
    """Pass the reply to a question on; one to a question that was given up is lost.

    Raises:
        DecodeError: The frame is not a reply.
    """
    if len(frame) < 3:
        raise DecodeError("must have a number and tokens")
    future = link.pending.get(check_whole(frame[1]))
    result: Any
    if frame[0] == Frame.GRANT:
        check_flag(frame[4])
        granted = check_whole(frame[2], 0, MAX_TOKENS)
        result = (granted, check_whole(frame[3], 0, MAX_TOKENS) / 1000)
    else:
        result = check_number(frame[2])
        if not 0 <= result <= MAX_TOKENS:
            raise DecodeError(f"must be between 0 and {MAX_TOKENS}")
    if future is not None and not future.done():
        future.set_result(result)
