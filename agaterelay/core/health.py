"""Which upstreams are fit for calls, by what the calls themselves showed.

Health endpoints lag or mislead, so nothing here reads them. An upstream that fails
several calls in a row, or answers far slower than its peers of the same version, is
ejected for a while. One real call probes it after that, and a growing share of calls
lets it back in.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from enum import Enum
from statistics import median

import attrs

from agaterelay.core.membership import Member
from agaterelay.core.outcome import Answered, NotRun, Outcome
from agaterelay.core.routing import Target, distance

FAILURES_TO_EJECT = 5
SLOW_FACTOR = 3.0
SLOW_MARGIN_MS = 20.0
CALLS_TO_COMPARE = 10
PEER_CALLS_TO_COMPARE = 3
SAMPLE_SHARE = 0.02
SAMPLE_PERIOD_S = 1.0
LATENCY_WEIGHT = 0.2
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 1 / 3
RECOVERY_CALLS = 10
UNREPEATABLE_PROBE_DELAY_S = 5.0
LOAD_HALF_LIFE_S = 1.0
COMPARE_PERIOD_S = 0.25


class Fitness(Enum):
    """Whether an upstream takes part in the choice."""

    FIT = "fit"
    EJECTED = "ejected"
    RECOVERING = "recovering"


@attrs.frozen
class UpstreamHealth:
    """What this node's calls showed of one upstream.

    ``ejections`` counts the ejections since it was last fit, ``probe_at_s`` is when
    an ejected one may be tried again, and ``limit_ms`` is the latency that a slow one
    has to get below. ``others_in_flight`` are the calls of other nodes that the owner
    reported at ``reported_s``.
    """

    fitness: Fitness = Fitness.FIT
    calls: int = 0
    failures: int = 0
    latency_ms: float = 0.0
    ejections: int = 0
    probe_at_s: float = 0.0
    limit_ms: float = float("inf")
    good_calls: int = 0
    others_in_flight: int = 0
    reported_s: float = 0.0


@attrs.define
class Health:
    """What this node's calls showed of all upstreams, by address."""

    upstreams: dict[str, UpstreamHealth] = attrs.field(factory=dict)
    compared_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    sampled_s: dict[tuple[str, str], float] = attrs.field(factory=dict)


def usable_targets(
    health: Health,
    targets: Sequence[Target],
    own: Member,
    now_s: float,
    repeatable: bool,
    draw: random.Random,
) -> list[Target]:
    """Return the targets of one version that a call may go to.

    Where an ejected one is due for a probe, it alone is returned, once. A host that
    has an upstream of the version sends a few calls to another one, since it had
    nothing to compare its own with otherwise.

    Args:
        health: What the calls showed; a probe that is due is claimed in it.
        targets: All known targets of the version.
        own: The entry of the host that asks.
        now_s: The present time.
        repeatable: Whether the call can be tried again elsewhere.
        draw: The source of chance.
    """
    compare_latencies(health, targets, now_s)
    sample = sample_other(health, targets, own, now_s, draw)
    if sample is not None:
        return [sample]
    if all(_of(health, target).fitness is Fitness.FIT for target in targets):
        return list(targets)
    ejected = ejected_targets(health, targets)
    for target in ejected:
        if claim_probe(health, target, now_s, repeatable):
            return [target]
    kept = [target for target in targets if target not in ejected]
    taken = [target for target in kept if _takes_part(health, target, draw)]
    return taken or kept


def sample_other(
    health: Health,
    targets: Sequence[Target],
    own: Member,
    now_s: float,
    draw: random.Random,
) -> Target | None:
    """Return a target to try for comparison, None where none is due.

    Args:
        health: What the calls showed; a sample that is due is claimed in it.
        targets: All known targets of the version.
        own: The entry of the host that asks; others only compare as they go.
        now_s: The present time.
        draw: The source of chance.
    """
    local = [target for target in targets if target.host == own.host]
    if not local or draw.random() >= SAMPLE_SHARE:
        return None
    key = (local[0].upstream.service, local[0].upstream.version)
    if now_s - health.sampled_s.get(key, float("-inf")) < SAMPLE_PERIOD_S:
        return None
    others = [
        target
        for target in targets
        if target.host != own.host and _of(health, target).fitness is Fitness.FIT
    ]
    if not others:
        return None
    health.sampled_s[key] = now_s
    nearest = min(distance(target, own) for target in others)
    return draw.choice(
        [target for target in others if distance(target, own) == nearest]
    )


def ejected_targets(health: Health, targets: Sequence[Target]) -> list[Target]:
    """Return the targets to leave out: the worst, at most a third, never all."""
    ejected = [
        target for target in targets if _of(health, target).fitness is Fitness.EJECTED
    ]
    ejected.sort(key=lambda target: _of(health, target).ejections, reverse=True)
    return ejected[: int(len(targets) * MAX_EJECTED_SHARE)]


def claim_probe(health: Health, target: Target, now_s: float, repeatable: bool) -> bool:
    """Return whether this call is to probe an ejected target; only one call is."""
    state = _of(health, target)
    due_s = state.probe_at_s + (0 if repeatable else UNREPEATABLE_PROBE_DELAY_S)
    if now_s < due_s:
        return False
    probe_at_s = now_s + ejection_s(state.ejections)
    health.upstreams[target.upstream.address] = attrs.evolve(
        state, probe_at_s=probe_at_s
    )
    return True


def ejection_s(ejections: int) -> float:
    """Return how long an ejection lasts; each one in a row lasts twice as long."""
    return min(EJECTION_S * 2 ** max(ejections - 1, 0), MAX_EJECTION_S)


def observe(
    health: Health, target: Target, outcome: Outcome, latency_ms: float, now_s: float
) -> None:
    """Take in how a call on a target ended."""
    state = _of(health, target)
    failed = is_failure(outcome)
    if failed is None:
        return
    health.upstreams[target.upstream.address] = next_health(
        state, failed, latency_ms, now_s
    )


def is_failure(outcome: Outcome) -> bool | None:
    """Return whether an outcome speaks against its upstream.

    Returns:
        None where it says nothing: a refusal that asks to come back later is a
        matter of load.
    """
    if isinstance(outcome, NotRun) and outcome.retry_after_s:
        return None
    return not isinstance(outcome, Answered) or outcome.status >= 500


def next_health(
    state: UpstreamHealth, failed: bool, latency_ms: float, now_s: float
) -> UpstreamHealth:
    """Return the state of an upstream after one more call."""
    if state.fitness is Fitness.FIT:
        if not failed:
            return _count_good(state, latency_ms)
        failures = state.failures + 1
        counted = attrs.evolve(state, calls=state.calls + 1, failures=failures)
        return eject(counted, now_s) if failures >= FAILURES_TO_EJECT else counted
    if failed or latency_ms > state.limit_ms:
        return eject(state, now_s)
    good_calls = state.good_calls + 1
    if good_calls < RECOVERY_CALLS:
        return attrs.evolve(
            state, fitness=Fitness.RECOVERING, good_calls=good_calls, failures=0
        )
    return UpstreamHealth(
        others_in_flight=state.others_in_flight, reported_s=state.reported_s
    )


def _count_good(state: UpstreamHealth, latency_ms: float) -> UpstreamHealth:
    weight = max(LATENCY_WEIGHT, 1 / (state.calls + 1))
    average_ms = state.latency_ms + weight * (latency_ms - state.latency_ms)
    return attrs.evolve(state, calls=state.calls + 1, failures=0, latency_ms=average_ms)


def eject(state: UpstreamHealth, now_s: float) -> UpstreamHealth:
    """Return the state of an upstream that is ejected, perhaps again."""
    ejections = state.ejections + 1
    return attrs.evolve(
        state,
        fitness=Fitness.EJECTED,
        ejections=ejections,
        probe_at_s=now_s + ejection_s(ejections),
        good_calls=0,
    )


def compare_latencies(health: Health, targets: Sequence[Target], now_s: float) -> None:
    """Eject targets that are far slower than the others of their version."""
    if not targets:
        return
    upstream = targets[0].upstream
    key = (upstream.service, upstream.version)
    if now_s - health.compared_s.get(key, float("-inf")) < COMPARE_PERIOD_S:
        return
    health.compared_s[key] = now_s
    fit = {
        target.upstream.address: _of(health, target)
        for target in targets
        if _of(health, target).fitness is Fitness.FIT
    }
    for address, limit_ms in slow_limits_ms(fit).items():
        state = attrs.evolve(health.upstreams[address], limit_ms=limit_ms)
        health.upstreams[address] = eject(state, now_s)


def slow_limits_ms(fit: dict[str, UpstreamHealth]) -> dict[str, float]:
    """Return the upstreams that are far slower than the others, each with its limit.

    An upstream is judged after more calls than its peers need to compare it with.
    """
    limits_ms = {}
    peers_ms = {
        name: state.latency_ms
        for name, state in fit.items()
        if state.calls >= PEER_CALLS_TO_COMPARE
    }
    for name, latency_ms in peers_ms.items():
        others_ms = [value for other, value in peers_ms.items() if other != name]
        if fit[name].calls < CALLS_TO_COMPARE or not others_ms:
            continue
        usual_ms = median(others_ms)
        limit_ms = max(usual_ms * SLOW_FACTOR, usual_ms + SLOW_MARGIN_MS)
        if latency_ms > limit_ms:
            limits_ms[name] = limit_ms
    return limits_ms


def note_load(
    health: Health, address: str, in_flight: int, own_in_flight: int, now_s: float
) -> None:
    """Take in the calls in flight that an owner reported with its answer.

    Args:
        health: What the calls showed.
        address: The upstream's address.
        in_flight: All calls on the upstream, of whatever node.
        own_in_flight: This node's calls among them.
        now_s: The present time.
    """
    state = health.upstreams.get(address, UpstreamHealth())
    others = max(in_flight - own_in_flight, 0)
    health.upstreams[address] = attrs.evolve(
        state, others_in_flight=others, reported_s=now_s
    )


def load_of(health: Health, target: Target, own_in_flight: int, now_s: float) -> float:
    """Return the load of a target, from 0 (idle) to 1 (full) and above.

    What the owner reported of other nodes' calls counts less as it grows old.
    """
    state = _of(health, target)
    fading = 0.5 ** ((now_s - state.reported_s) / LOAD_HALF_LIFE_S)
    in_flight = own_in_flight + state.others_in_flight * fading
    return in_flight / max(target.upstream.slots, 1)


def forget_upstreams(health: Health, known: Iterable[str]) -> None:
    """Drop what is known of upstreams that exist no more."""
    kept = set(known)
    for address in [item for item in health.upstreams if item not in kept]:
        del health.upstreams[address]


def _of(health: Health, target: Target) -> UpstreamHealth:
    return health.upstreams.get(target.upstream.address, _NEW)


def _takes_part(health: Health, target: Target, draw: random.Random) -> bool:
    state = _of(health, target)
    if state.fitness is not Fitness.RECOVERING:
        return True
    return draw.random() < state.good_calls / RECOVERY_CALLS


_NEW = UpstreamHealth()
