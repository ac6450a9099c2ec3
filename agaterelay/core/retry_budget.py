"""Bound the retries of calls that have reached an upstream, over all nodes together.

This prevents retry storms when many upstreams fail at once: without a bound each failure
would add calls. Each node earns a part of a retry with every first attempt, and holds its
part of the slack, so that all nodes together stay within the users' budget without
coordination. A call that an inbound proxy refused has reached no upstream and costs
nothing.
"""

from __future__ import annotations

import attrs

# The part of the budget that is spent here. The rest covers the calls that a retry makes
# downstream, which count as retries there, and nodes that restart with a full allowance.
RETRY_BUDGET_RATIO = 0.45
RETRY_SLACK_RATIO = 0.4


@attrs.define
class RetryBudget:
    """The token buckets for the retries of one node, by service."""

    ratio: float
    slack: float
    tokens: dict[str, float] = attrs.field(factory=dict)


def make_retry_budget(ratio: float) -> RetryBudget:
    """Return the budget of a node that does not know the number of nodes yet.

    It has no slack until then: nodes that start together would spend it many times over.

    Args:
        ratio: The retries that are allowed per request.
    """
    return RetryBudget(RETRY_BUDGET_RATIO * ratio, 0.0)


def divide_slack(budget: RetryBudget, slack: float, nodes: int) -> None:
    """Divide the slack between the current number of nodes."""
    budget.slack = RETRY_SLACK_RATIO * slack / max(nodes, 1)


def earn_retry_tokens(budget: RetryBudget, service: str) -> None:
    """Add the part of a retry that a first attempt earns."""
    available = budget.tokens.get(service, budget.slack)
    budget.tokens[service] = min(available + budget.ratio, budget.slack + 1)


def spend_retry_token(budget: RetryBudget, service: str) -> bool:
    """Spend one retry; return False if none is left."""
    available = min(budget.tokens.get(service, budget.slack), budget.slack + 1)
    if available < 1:
        return False
    budget.tokens[service] = available - 1
    return True
