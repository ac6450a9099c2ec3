"""The kinds of faulty and sound versions that ``bench.moves`` measures."""

from __future__ import annotations

from collections.abc import Callable

import attrs

OLD_VERSION, NEW_VERSION = "v1", "v2"
# The failure ratio of the old version. Failures of a new version at this ratio are not
# counted as harm.
BASE_FAILURE_RATIO = 0.001
COLD_START_S = 8.0
COLD_START_CALLS = 30


@attrs.frozen
class CallContext:
    """The circumstances of a call that a fault may depend on."""

    version: str
    route: str
    host: int
    at_s: float
    traffic_ratio: float
    earlier_calls: int
    age_s: float
    hosts: int


# Returns the probabilities that a call fails and that it is slow.
Fault = Callable[[CallContext], tuple[float, float]]


def make_new_version_fault(
    probability: Callable[[CallContext], float], slow: bool = False
) -> Fault:
    """Return a fault of the new version only, with a probability for each call."""

    def fault(context: CallContext) -> tuple[float, float]:
        if context.version == OLD_VERSION:
            return BASE_FAILURE_RATIO, 0.0
        probability_now = probability(context)
        return (
            (BASE_FAILURE_RATIO, probability_now)
            if slow
            else (max(probability_now, BASE_FAILURE_RATIO), 0.0)
        )

    return fault


def make_common_fault(probability: Callable[[CallContext], float]) -> Fault:
    """Return a fault that affects both versions alike."""
    return lambda context: (max(probability(context), BASE_FAILURE_RATIO), 0.0)


def _cold_start_by_time(context: CallContext) -> tuple[float, float]:
    is_cold = context.version == NEW_VERSION and context.age_s < COLD_START_S
    return BASE_FAILURE_RATIO, 1.0 if is_cold else 0.0


def _cold_start_by_calls(context: CallContext) -> tuple[float, float]:
    is_cold = (
        context.version == NEW_VERSION and context.earlier_calls < COLD_START_CALLS
    )
    return BASE_FAILURE_RATIO, 1.0 if is_cold else 0.0


FAULTY_VERSIONS: dict[str, Fault] = {
    "fails at once": make_new_version_fault(lambda context: 1.0),
    "half of the calls fail": make_new_version_fault(lambda context: 0.5),
    "1 in 20 calls fails": make_new_version_fault(lambda context: 0.05),
    "1 in 100 calls fails": make_new_version_fault(lambda context: 0.01),
    "fails after 60 s": make_new_version_fault(
        lambda context: 1.0 if context.at_s > 60 else 0.0
    ),
    "fails at full share": make_new_version_fault(
        lambda context: 1.0 if context.traffic_ratio > 0.85 else 0.0
    ),
    "1 in 4 fails at full share": make_new_version_fault(
        lambda context: 0.25 if context.traffic_ratio > 0.85 else 0.0
    ),
    "fails after 230 s": make_new_version_fault(
        lambda context: 1.0 if context.at_s > 230 else 0.0
    ),
    "fails under load": make_new_version_fault(
        lambda context: 0.3 if context.traffic_ratio > 0.3 else 0.0
    ),
    "fails on one route": make_new_version_fault(
        lambda context: 1.0 if context.route == "side" else 0.0
    ),
    "flaps": make_new_version_fault(
        lambda context: 0.8 if context.at_s % 30 < 6 else 0.0
    ),
    "slow at once": make_new_version_fault(lambda context: 1.0, slow=True),
    "slow after 60 s": make_new_version_fault(
        lambda context: 1.0 if context.at_s > 60 else 0.0, slow=True
    ),
}
SOUND_VERSIONS: dict[str, Fault] = {
    "clean": make_common_fault(lambda context: 0.0),
    "1 in 50 fails on both": make_common_fault(lambda context: 0.02),
    "bursts of errors on both": make_common_fault(
        lambda context: 0.4 if context.at_s % 40 < 8 else 0.0
    ),
    "a zone's upstreams fail for 20 s": make_common_fault(
        lambda context: 1.0 if context.host % 3 == 0 and 40 < context.at_s < 60 else 0.0
    ),
    "cold start of 8 s": _cold_start_by_time,
    "cold start of 30 calls": _cold_start_by_calls,
    "owners restart": make_common_fault(lambda context: 0.005),
    "one host fails for 20 s": make_new_version_fault(
        lambda context: 1.0 if context.host == 0 and 40 < context.at_s < 60 else 0.0
    ),
    "one host fails for good": make_new_version_fault(
        lambda context: 1.0 if context.host == 0 else 0.0
    ),
}
