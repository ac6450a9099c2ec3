"""Allot a workspace's rate to the hosts that send its requests.

In each availability zone one host grants tokens out of a bucket with the zone's part of the
workspace's rate and burst; the others ask it. The rule for a window of W seconds is
``(rate * W + burst) * (1 + excess) + slack``. ``make_plan`` divides the part beyond
``rate * W + burst`` between calm operation and failures; ``docs/design/allotments.md``
shows the sum.

All times are on the monotonic clock of the host that keeps the value.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import attrs

from agaterelay.core.deployment import Bounds
from agaterelay.core.model import Workspace

# The shares of the allowed excess that are used in calm. The rest of the ratio, and of the
# slack, is left for restarts and for two hosts that both grant.
CALM_RATE_SHARE = 0.25
LIFETIME_SHARE = 0.5
# The bucket's size and its rate take these parts of the slack. Without the latter, a
# workspace of 2 requests a second at 0.9 of its rate is refused 1.5 % after a start.
CALM_SLACK_SHARE = 0.45
SLACK_PER_WINDOW_SHARE = 0.15
# What the buckets of all zones hold together after a restart.
START_SLACK_SHARE = 0.2
MAX_LIFETIME_S = 1.0
# Weighs the demand of about this time.
DEMAND_SPAN_S = 0.5
# Requests denied within this time are expected to compete for the next tokens.
BACKLOG_SPAN_S = 0.1
# A host that has not run for this long can't know what was granted elsewhere meanwhile.
MAX_GAP_S = 1.0
# A lender keeps what its own zone is expected to need within this time.
LENDER_RESERVE_S = 0.2
# A bucket asks for a loan below this many tokens, or the need of this time.
MIN_LOAN_TOKENS = 2.0
LOAN_SPAN_S = 0.1
# Covers rounding, so that a token is complete once its wait is over.
TOKEN_EPSILON = 1e-6


@attrs.frozen
class Plan:
    """A zone's part of a workspace's limit.

    Attributes:
        rate_per_s: How fast the bucket fills.
        capacity: The tokens that it holds at most.
        start_tokens: The tokens of a bucket whose predecessor's grants are not known.
    """

    rate_per_s: float
    capacity: float
    start_tokens: float


def make_plan(workspace: Workspace, bounds: Bounds, zone_count: int) -> Plan:
    """Return the part of one of ``zone_count`` zones."""
    excess_ratio = bounds.allotment_excess_ratio * CALM_RATE_SHARE
    slack = bounds.allotment_slack
    window_s = bounds.allotment_window_s
    slack_per_s = slack * SLACK_PER_WINDOW_SHARE / window_s if window_s > 0 else 0.0
    capacity = (workspace.burst + slack * CALM_SLACK_SHARE) / zone_count
    return Plan(
        (workspace.rate_per_s * (1 + excess_ratio) + slack_per_s) / zone_count,
        capacity,
        min(slack * START_SLACK_SHARE / zone_count, capacity),
    )


def token_lifetime_s(bounds: Bounds) -> float:
    """Return how long a granted token can be used, in seconds.

    Requests of a window may use tokens that were granted this long before it.
    """
    ratio = bounds.allotment_excess_ratio * LIFETIME_SHARE
    return min(ratio * bounds.allotment_window_s, MAX_LIFETIME_S)


@attrs.define
class Rate:
    """An exponentially weighted rate of events."""

    per_s: float = 0.0
    updated_s: float = 0.0


def _decayed(rate: Rate, span_s: float, now_s: float) -> float:
    elapsed_s = max(now_s - rate.updated_s, 0.0)
    return rate.per_s * math.exp(-elapsed_s / span_s)


def _count(rate: Rate, count: float, span_s: float, now_s: float) -> None:
    rate.per_s = _decayed(rate, span_s, now_s) + count / span_s
    rate.updated_s = now_s


@attrs.define
class Bucket:
    """The tokens that a granting host holds for its zone.

    Attributes:
        fills_from_s: When the bucket begins to fill. A successor waits until a
            predecessor that is cut off has noticed the hosts that it can't reach.
        reach: The share of the zone's hosts that this host can reach.
    """

    tokens: float
    updated_s: float
    fills_from_s: float
    reach: float = 1.0
    need: Rate = attrs.field(factory=Rate)
    denied: Rate = attrs.field(factory=Rate)


def begin_bucket(plan: Plan, now_s: float, fill_delay_s: float = 0.0) -> Bucket:
    """Return the bucket of a host that begins to grant.

    It is nearly empty, since what another host granted in the last window isn't known.
    """
    return Bucket(plan.start_tokens, now_s, now_s + fill_delay_s)


def refill(bucket: Bucket, plan: Plan, reach: float, now_s: float) -> None:
    """Add the tokens of the time since the last refill.

    A smaller reach or capacity applies at once.

    Args:
        bucket: The bucket; changed in place.
        plan: The zone's part of the limit in force.
        reach: The share of the zone's hosts that this host can reach.
        now_s: The current time.
    """
    from_s = max(bucket.updated_s, bucket.fills_from_s)
    elapsed_s = max(now_s - from_s, 0.0)
    share = min(reach, bucket.reach)
    bucket.tokens = min(
        bucket.tokens + plan.rate_per_s * share * elapsed_s, plan.capacity * reach
    )
    bucket.reach = reach
    bucket.updated_s = max(now_s, bucket.updated_s)


def grant(bucket: Bucket, plan: Plan, wanted: int, now_s: float) -> tuple[int, float]:
    """Take tokens out of a bucket that was just refilled.

    Returns:
        The number of tokens granted, and if they are fewer than wanted, after how many
        seconds capacity is likely.
    """
    _count(bucket.need, wanted, DEMAND_SPAN_S, now_s)
    granted = min(wanted, int(bucket.tokens + TOKEN_EPSILON))
    bucket.tokens = max(bucket.tokens - granted, 0.0)
    if granted == wanted:
        return granted, 0.0
    backlog = _decayed(bucket.denied, BACKLOG_SPAN_S, now_s) * BACKLOG_SPAN_S
    _count(bucket.denied, wanted - granted, BACKLOG_SPAN_S, now_s)
    rate_per_s = max(plan.rate_per_s * bucket.reach, TOKEN_EPSILON)
    starts_in_s = max(bucket.fills_from_s - now_s, 0.0)
    return granted, starts_in_s + (1 - bucket.tokens + backlog) / rate_per_s


def return_tokens(bucket: Bucket, plan: Plan, count: float) -> None:
    """Put back tokens that were granted or lent and not used in their lifetime."""
    bucket.tokens = min(bucket.tokens + count, plan.capacity * bucket.reach)


def lend(bucket: Bucket, wanted: float, now_s: float) -> float:
    """Take a loan out of a bucket that was just refilled; return its tokens."""
    need = _decayed(bucket.need, DEMAND_SPAN_S, now_s) * LENDER_RESERVE_S
    lent = max(min(wanted, (bucket.tokens - need) / 2), 0.0)
    bucket.tokens -= lent
    return lent


def wanted_loan(bucket: Bucket, plan: Plan, now_s: float) -> float:
    """Return how many tokens to ask another zone for, 0 if there are enough."""
    need = _decayed(bucket.need, DEMAND_SPAN_S, now_s) * LOAN_SPAN_S
    enough = min(max(MIN_LOAN_TOKENS, need), plan.capacity * bucket.reach)
    if bucket.tokens >= enough:
        return 0.0
    return min(2 * enough, plan.capacity * bucket.reach) - bucket.tokens


@attrs.define
class Ledger:
    """The tokens of one workspace that a host was granted and has not used.

    Attributes:
        kept: The number of tokens and the time at which they expire, oldest first.
    """

    kept: deque[tuple[int, float]] = attrs.field(factory=deque)
    demand: Rate = attrs.field(factory=Rate)


def count_demand(ledger: Ledger, now_s: float) -> None:
    """Count one request."""
    _count(ledger.demand, 1, DEMAND_SPAN_S, now_s)


def keep_tokens(ledger: Ledger, count: int, expires_s: float) -> None:
    """Add tokens to the ledger."""
    if count > 0:
        ledger.kept.append((count, expires_s))


def take_kept(ledger: Ledger, now_s: float) -> float | None:
    """Take a token; return when it expires, None if there is none."""
    while ledger.kept:
        count, expires_s = ledger.kept.popleft()
        if expires_s <= now_s:
            continue
        if count > 1:
            ledger.kept.appendleft((count - 1, expires_s))
        return expires_s
    return None


def count_kept(ledger: Ledger, now_s: float) -> int:
    """Return how many tokens can still be used."""
    return sum(count for count, expires_s in ledger.kept if expires_s > now_s)


def wanted_ahead(ledger: Ledger, lifetime_s: float, now_s: float) -> int:
    """Return how many tokens to hold for requests that are expected soon.

    Only a steady demand asks ahead; the tokens of a rare request would expire unused.
    """
    demand_per_s = _decayed(ledger.demand, DEMAND_SPAN_S, now_s)
    return max(int(demand_per_s * lifetime_s / 2 - 1), 0)


def take_unneeded(ledger: Ledger, needed: int, now_s: float) -> int:
    """Remove the tokens beyond those needed, to give them back; return their number."""
    surplus = max(count_kept(ledger, now_s) - needed, 0)
    for _ in range(surplus):
        take_kept(ledger, now_s)
    return surplus


def share_reached(reached: Iterable[bool]) -> float:
    """Return the share of a zone's hosts that one of them reaches, itself included."""
    answers = list(reached)
    return (1 + sum(answers)) / (1 + len(answers))
