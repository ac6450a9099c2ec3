"""Bound the repeats of calls that have reached an upstream, over all nodes together.

This answers callers and upstreams that fail at once: without a bound each failure would
bring more calls. Each node earns a part of a repeat with every first try, and holds
its part of the slack, so that all nodes together stay inside the users' budget without
an exchange. A call that a gate refused has reached no upstream and costs nothing.
"""

from __future__ import annotations

import attrs

# Part of the budget that is spent here. The rest covers calls that a repeat makes
# itself further down, which count as repeats there, and nodes that restart with a
# full allowance.
RATIO_PART = 0.45
SLACK_PART = 0.4


@attrs.define
class RetryBudget:
    """The repeats that one node may still make, by service."""

    ratio: float
    slack: float
    tokens: dict[str, float] = attrs.field(factory=dict)


def budget_of(ratio: float) -> RetryBudget:
    """Return the budget of a node that does not know yet how many share the slack.

    It has no slack until then: nodes that start together would spend it many times.

    Args:
        ratio: Repeats that are allowed per request.
    """
    return RetryBudget(RATIO_PART * ratio, 0.0)


def share_slack(budget: RetryBudget, slack: float, nodes: int) -> None:
    """Follow a change in the number of nodes."""
    budget.slack = SLACK_PART * slack / max(nodes, 1)


def earn(budget: RetryBudget, service: str) -> None:
    """Count a first try."""
    held = budget.tokens.get(service, budget.slack)
    budget.tokens[service] = min(held + budget.ratio, budget.slack + 1)


def spend(budget: RetryBudget, service: str) -> bool:
    """Take one repeat; return whether there was one left."""
    held = min(budget.tokens.get(service, budget.slack), budget.slack + 1)
    if held < 1:
        return False
    budget.tokens[service] = held - 1
    return True
