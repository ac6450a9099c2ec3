"""Decides when calls of a service leave their availability zone.

A call to another zone is slower, and its answer's bytes cost money. The comparison of
single upstreams in ``placing`` includes that price, but a call also leaves when the
estimate of one moment is wrong. So calls leave only while the service spills: the gain in
expected cost, less the price, has to hold over some time before it starts to spill, and
has to be lost over some time before it ends. While it spills, a call leaves only if its
own gain exceeds the price, so that the rest stays. A call that its own zone refused, or
that it isn't expected to serve in useful time, leaves at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from agaterelay.core.placing import TargetLoad, select_cheapest

# A spell of high cost shorter than this is absorbed by the queues of the own zone.
GAIN_HALF_LIFE_S = 0.3
# The mean gain, beyond the price, at which a service starts to spill. At 0 a service of
# 12-slot upstreams sent a quarter more bytes; at 60, with an end at 0, its callers earned 0.4 %
# less.
START_GAIN_MS = 20.0
# The mean loss at which it ends. Below the start, so that it doesn't alternate.
END_GAIN_MS = -20.0
# Bounds the effect of a single estimate on the mean gain.
MAX_GAIN_MS = 200.0
# A report says nothing about the present load after this time: most calls have ended.
MAX_REPORT_AGE_S = 1.0

Target = TypeVar("Target")


@attrs.define
class ZoneSpill:
    """Whether the calls of one service may leave their zone.

    ``gain_ms`` is the smoothed gain of leaving beyond its price, as of ``updated_s``.
    """

    spilling: bool = False
    gain_ms: float = MAX_GAIN_MS * -1.0
    updated_s: float = float("-inf")


def end_spill(spill: ZoneSpill) -> None:
    """End the spill of a service that no other zone can serve."""
    spill.spilling = False
    spill.gain_ms = -MAX_GAIN_MS


def record_gain(spill: ZoneSpill, gain_ms: float, now_s: float) -> None:
    """Update the decision from the gain that leaving would have for one call.

    Args:
        spill: The service's state; changed in place.
        gain_ms: The cost in the own zone less that elsewhere, which includes the price.
        now_s: The current time.
    """
    gain_ms = max(min(gain_ms, MAX_GAIN_MS), -MAX_GAIN_MS)
    kept = 0.5 ** (max(now_s - spill.updated_s, 0.0) / GAIN_HALF_LIFE_S)
    spill.gain_ms = kept * spill.gain_ms + (1 - kept) * gain_ms
    spill.updated_s = now_s
    spill.spilling = spill.gain_ms > (END_GAIN_MS if spill.spilling else START_GAIN_MS)


def has_fresh_report(load: TargetLoad, now_s: float) -> bool:
    """Return whether the last report of an upstream still says something."""
    return load.report is not None and now_s - load.reported_at_s <= MAX_REPORT_AGE_S


def limit_probes(
    targets: Sequence[Target], load_of: Callable[[Target], TargetLoad], now_s: float
) -> list[Target]:
    """Return the upstreams of other zones that a call may leave for.

    Upstreams without a fresh report look empty to every node at once. A node sends at
    most one call at a time to all of them together, until one has reported.
    """
    fresh, unknown = [], []
    probing = False
    for target in targets:
        load = load_of(target)
        if has_fresh_report(load, now_s):
            fresh.append(target)
        else:
            unknown.append(target)
            probing = probing or load.own > 0
    return fresh if probing else fresh + unknown


def select_by_zone(
    spill: ZoneSpill,
    own_zone: Sequence[Target],
    elsewhere: Sequence[Target],
    cost_of: Callable[[Target], float],
    load_of: Callable[[Target], TargetLoad],
    in_useful_time: Callable[[Target], bool],
    refused: bool,
    now_s: float,
    rng: random.Random,
) -> Target | None:
    """Return the upstream for a call, None if there is none.

    Args:
        spill: The service's state; changed in place.
        own_zone: The upstreams of the own zone that can be used.
        elsewhere: Those of all other zones.
        cost_of: Returns the expected cost, with the price of another zone.
        load_of: Returns the known load of an upstream.
        in_useful_time: Returns whether an upstream is expected to answer in time.
        refused: Whether an upstream refused the call already.
        now_s: The current time.
        rng: Breaks near ties.
    """
    if not own_zone:
        return select_cheapest(elsewhere, cost_of, rng)
    near = select_cheapest(own_zone, cost_of, rng)
    allowed = limit_probes(elsewhere, load_of, now_s)
    if not allowed:
        if not elsewhere and not refused:
            end_spill(spill)
        return near
    far = select_cheapest(allowed, cost_of, rng)
    gain_ms = cost_of(near) - cost_of(far)
    if not refused:
        record_gain(spill, gain_ms, now_s)
    may_leave = spill.spilling or refused or not in_useful_time(near)
    return far if gain_ms > 0 and may_leave else near
