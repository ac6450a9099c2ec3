"""Outlier ejection: exclude unhealthy upstreams, judged by the outcomes of calls.

Health endpoints lag or mislead, so they are not used here. An upstream that fails
several calls in a row, or answers far slower than its peers of the same version, is
ejected for a while. After that one real call probes it, and a growing share of calls
readmits it.
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

EJECTION_FAILURE_COUNT = 5
SLOW_FACTOR = 3.0
SLOW_MARGIN_MS = 20.0
MIN_COMPARED_CALLS = 10
MIN_PEER_CALLS = 3
SAMPLE_RATIO = 0.02
SAMPLE_PERIOD_S = 1.0
LATENCY_SMOOTHING_RATIO = 0.2
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_RATIO = 1 / 3
RECOVERY_CALL_COUNT = 10
NON_RETRYABLE_PROBE_DELAY_S = 5.0
LOAD_HALF_LIFE_S = 1.0
COMPARISON_PERIOD_S = 0.25


class Fitness(Enum):
    """Whether an upstream is eligible for calls."""

    FIT = "fit"
    EJECTED = "ejected"
    RECOVERING = "recovering"


@attrs.frozen
class UpstreamHealth:
    """The health of one upstream, as this node's calls observed it.

    ``ejections`` counts the ejections since it was last fit, ``probe_at_s`` is when an
    ejected upstream may be probed, and ``latency_limit_ms`` is the latency that an
    upstream ejected for slowness has to stay within. ``others_in_flight`` are the calls
    of other nodes that the inbound proxy reported at ``reported_at_s``.
    """

    fitness: Fitness = Fitness.FIT
    calls: int = 0
    failures: int = 0
    latency_ms: float = 0.0
    ejections: int = 0
    probe_at_s: float = 0.0
    latency_limit_ms: float = float("inf")
    successful_calls: int = 0
    others_in_flight: int = 0
    reported_at_s: float = 0.0


@attrs.define
class Health:
    """The health of all upstreams, by address, as this node's calls observed it."""

    upstreams: dict[str, UpstreamHealth] = attrs.field(factory=dict)
    compared_at_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    sampled_at_s: dict[tuple[str, str], float] = attrs.field(factory=dict)


def usable_targets(
    health: Health,
    targets: Sequence[Target],
    own: Member,
    now_s: float,
    retryable: bool,
    rng: random.Random,
) -> list[Target]:
    """Return the targets of one version that a call may be sent to.

    If an ejected target is due for a probe, only that target is returned, once. A host
    that has an upstream of the version itself sends a few calls to another one, since
    it would otherwise have no latencies to compare with.

    Args:
        health: The observed health; a probe that is due is claimed in it.
        targets: All known targets of the version.
        own: The member record of this host.
        now_s: The current time.
        retryable: Whether the call can be retried elsewhere.
        rng: The random number generator.
    """
    eject_slow_targets(health, targets, now_s)
    sample = choose_sample(health, targets, own, now_s, rng)
    if sample is not None:
        return [sample]
    if all(_health_of(health, target).fitness is Fitness.FIT for target in targets):
        return list(targets)
    ejected = ejected_targets(health, targets)
    for target in ejected:
        if claim_probe(health, target, now_s, retryable):
            return [target]
    kept = [target for target in targets if target not in ejected]
    admitted = [target for target in kept if _admits_call(health, target, rng)]
    return admitted or kept


def choose_sample(
    health: Health,
    targets: Sequence[Target],
    own: Member,
    now_s: float,
    rng: random.Random,
) -> Target | None:
    """Return a target to call for latency comparison, None if no sample is due.

    Args:
        health: The observed health; a sample that is due is claimed in it.
        targets: All known targets of the version.
        own: The member record of this host; hosts without an upstream of the version
            call several targets anyway and take no samples.
        now_s: The current time.
        rng: The random number generator.
    """
    local = [target for target in targets if target.host == own.host]
    if not local or rng.random() >= SAMPLE_RATIO:
        return None
    key = (local[0].upstream.service, local[0].upstream.version)
    if now_s - health.sampled_at_s.get(key, float("-inf")) < SAMPLE_PERIOD_S:
        return None
    others = [
        target
        for target in targets
        if target.host != own.host and _health_of(health, target).fitness is Fitness.FIT
    ]
    if not others:
        return None
    health.sampled_at_s[key] = now_s
    nearest = min(distance(target, own) for target in others)
    return rng.choice([target for target in others if distance(target, own) == nearest])


def ejected_targets(health: Health, targets: Sequence[Target]) -> list[Target]:
    """Return the targets to exclude: those ejected most often, at most a third."""
    ejected = [
        target
        for target in targets
        if _health_of(health, target).fitness is Fitness.EJECTED
    ]
    ejected.sort(key=lambda target: _health_of(health, target).ejections, reverse=True)
    return ejected[: int(len(targets) * MAX_EJECTED_RATIO)]


def claim_probe(health: Health, target: Target, now_s: float, retryable: bool) -> bool:
    """Claim the probe of an ejected target; return whether this call is to make it."""
    state = _health_of(health, target)
    due_s = state.probe_at_s + (0 if retryable else NON_RETRYABLE_PROBE_DELAY_S)
    if now_s < due_s:
        return False
    probe_at_s = now_s + ejection_s(state.ejections)
    health.upstreams[target.upstream.address] = attrs.evolve(
        state, probe_at_s=probe_at_s
    )
    return True


def ejection_s(ejections: int) -> float:
    """Return the duration of an ejection, which doubles with each one in a row."""
    return min(EJECTION_S * 2 ** max(ejections - 1, 0), MAX_EJECTION_S)


def observe_outcome(
    health: Health, target: Target, outcome: Outcome, latency_ms: float, now_s: float
) -> None:
    """Update the health of a target after a call."""
    state = _health_of(health, target)
    failed = is_failure(outcome)
    if failed is None:
        return
    health.upstreams[target.upstream.address] = next_health(
        state, failed, latency_ms, now_s
    )


def is_failure(outcome: Outcome) -> bool | None:
    """Return whether an outcome counts as a failure of its upstream.

    Returns:
        None if it counts neither way: a refusal that asks to retry later is caused by
        load.
    """
    if isinstance(outcome, NotRun) and outcome.retry_after_s:
        return None
    return not isinstance(outcome, Answered) or outcome.status >= 500


def next_health(
    state: UpstreamHealth, failed: bool, latency_ms: float, now_s: float
) -> UpstreamHealth:
    """Return the health of an upstream after one more call."""
    if state.fitness is Fitness.FIT:
        if not failed:
            return _record_success(state, latency_ms)
        failures = state.failures + 1
        counted = attrs.evolve(state, calls=state.calls + 1, failures=failures)
        return eject(counted, now_s) if failures >= EJECTION_FAILURE_COUNT else counted
    if failed or latency_ms > state.latency_limit_ms:
        return eject(state, now_s)
    successful_calls = state.successful_calls + 1
    if successful_calls < RECOVERY_CALL_COUNT:
        return attrs.evolve(
            state,
            fitness=Fitness.RECOVERING,
            successful_calls=successful_calls,
            failures=0,
        )
    return UpstreamHealth(
        others_in_flight=state.others_in_flight, reported_at_s=state.reported_at_s
    )


def _record_success(state: UpstreamHealth, latency_ms: float) -> UpstreamHealth:
    weight = max(LATENCY_SMOOTHING_RATIO, 1 / (state.calls + 1))
    average_ms = state.latency_ms + weight * (latency_ms - state.latency_ms)
    return attrs.evolve(state, calls=state.calls + 1, failures=0, latency_ms=average_ms)


def eject(state: UpstreamHealth, now_s: float) -> UpstreamHealth:
    """Return the health of an upstream after a first or further ejection."""
    ejections = state.ejections + 1
    return attrs.evolve(
        state,
        fitness=Fitness.EJECTED,
        ejections=ejections,
        probe_at_s=now_s + ejection_s(ejections),
        successful_calls=0,
    )


def eject_slow_targets(health: Health, targets: Sequence[Target], now_s: float) -> None:
    """Eject the targets that are far slower than the others of their version."""
    if not targets:
        return
    upstream = targets[0].upstream
    key = (upstream.service, upstream.version)
    if now_s - health.compared_at_s.get(key, float("-inf")) < COMPARISON_PERIOD_S:
        return
    health.compared_at_s[key] = now_s
    fit = {
        target.upstream.address: _health_of(health, target)
        for target in targets
        if _health_of(health, target).fitness is Fitness.FIT
    }
    for address, limit_ms in slow_limits_ms(fit).items():
        state = attrs.evolve(health.upstreams[address], latency_limit_ms=limit_ms)
        health.upstreams[address] = eject(state, now_s)


def slow_limits_ms(fit: dict[str, UpstreamHealth]) -> dict[str, float]:
    """Return the upstreams that are far slower than the others, with latency limits.

    An upstream needs more calls to be ejected than to serve as a peer for comparison.
    """
    limits_ms = {}
    peers_ms = {
        name: state.latency_ms
        for name, state in fit.items()
        if state.calls >= MIN_PEER_CALLS
    }
    for name, latency_ms in peers_ms.items():
        others_ms = [value for other, value in peers_ms.items() if other != name]
        if fit[name].calls < MIN_COMPARED_CALLS or not others_ms:
            continue
        median_ms = median(others_ms)
        limit_ms = max(median_ms * SLOW_FACTOR, median_ms + SLOW_MARGIN_MS)
        if latency_ms > limit_ms:
            limits_ms[name] = limit_ms
    return limits_ms


def record_reported_load(
    health: Health, address: str, in_flight: int, own_in_flight: int, now_s: float
) -> None:
    """Record the calls in flight that an inbound proxy reported with its answer.

    Args:
        health: The observed health; changed in place.
        address: The upstream's address.
        in_flight: All calls on the upstream, from any node.
        own_in_flight: This node's calls among them.
        now_s: The current time.
    """
    state = health.upstreams.get(address, UpstreamHealth())
    others = max(in_flight - own_in_flight, 0)
    health.upstreams[address] = attrs.evolve(
        state, others_in_flight=others, reported_at_s=now_s
    )


def estimate_load(
    health: Health, target: Target, own_in_flight: int, now_s: float
) -> float:
    """Return the load of a target, from 0 (idle) to 1 (full) and above.

    The weight of the reported calls of other nodes decays with their age.
    """
    state = _health_of(health, target)
    decay = 0.5 ** ((now_s - state.reported_at_s) / LOAD_HALF_LIFE_S)
    in_flight = own_in_flight + state.others_in_flight * decay
    return in_flight / max(target.upstream.slots, 1)


def remove_unknown_upstreams(health: Health, known: Iterable[str]) -> None:
    """Remove the health of upstreams that no longer exist."""
    kept = set(known)
    for address in [item for item in health.upstreams if item not in kept]:
        del health.upstreams[address]


def _health_of(health: Health, target: Target) -> UpstreamHealth:
    return health.upstreams.get(target.upstream.address, _INITIAL_HEALTH)


def _admits_call(health: Health, target: Target, rng: random.Random) -> bool:
    state = _health_of(health, target)
    if state.fitness is not Fitness.RECOVERING:
        return True
    return rng.random() < state.successful_calls / RECOVERY_CALL_COUNT


_INITIAL_HEALTH = UpstreamHealth()
