"""The kinds of bad and good versions that ``bench.moves`` measures."""

from __future__ import annotations

from collections.abc import Callable

import attrs

OLD, NEW = "v1", "v2"
# The old version's own error rate; what fails at it harms nobody anew.
BASE_RATE = 0.001
COLD_START_S = 8.0
COLD_START_CALLS = 30


@attrs.frozen
class Moment:
    """What a fault depends on."""

    version: str
    route: str
    host: int
    at_s: float
    share: float
    seen: int
    age_s: float
    hosts: int


# The chances that a call fails and that it is slow.
Fault = Callable[[Moment], tuple[float, float]]


def bad(chance: Callable[[Moment], float], slow: bool = False) -> Fault:
    """Return the fault of a version that is bad with a chance, else as good as old."""

    def fault(moment: Moment) -> tuple[float, float]:
        if moment.version == OLD:
            return BASE_RATE, 0.0
        part = chance(moment)
        return (BASE_RATE, part) if slow else (max(part, BASE_RATE), 0.0)

    return fault


def common(chance: Callable[[Moment], float]) -> Fault:
    """Return a fault that strikes both versions alike."""
    return lambda moment: (max(chance(moment), BASE_RATE), 0.0)


def _cold(moment: Moment) -> tuple[float, float]:
    cold = moment.version == NEW and moment.age_s < COLD_START_S
    return BASE_RATE, 1.0 if cold else 0.0


def _cold_calls(moment: Moment) -> tuple[float, float]:
    cold = moment.version == NEW and moment.seen < COLD_START_CALLS
    return BASE_RATE, 1.0 if cold else 0.0


BAD: dict[str, Fault] = {
    "fails at once": bad(lambda m: 1.0),
    "half of the calls fail": bad(lambda m: 0.5),
    "1 in 20 calls fails": bad(lambda m: 0.05),
    "1 in 100 calls fails": bad(lambda m: 0.01),
    "fails after 60 s": bad(lambda m: 1.0 if m.at_s > 60 else 0.0),
    "fails at full share": bad(lambda m: 1.0 if m.share > 0.85 else 0.0),
    "1 in 4 fails at full share": bad(lambda m: 0.25 if m.share > 0.85 else 0.0),
    "fails after 230 s": bad(lambda m: 1.0 if m.at_s > 230 else 0.0),
    "fails under load": bad(lambda m: 0.3 if m.share > 0.3 else 0.0),
    "fails on one route": bad(lambda m: 1.0 if m.route == "side" else 0.0),
    "flaps": bad(lambda m: 0.8 if m.at_s % 30 < 6 else 0.0),
    "slow at once": bad(lambda m: 1.0, slow=True),
    "slow after 60 s": bad(lambda m: 1.0 if m.at_s > 60 else 0.0, slow=True),
}
GOOD: dict[str, Fault] = {
    "clean": common(lambda m: 0.0),
    "1 in 50 fails on both": common(lambda m: 0.02),
    "bursts of errors on both": common(lambda m: 0.4 if m.at_s % 40 < 8 else 0.0),
    "a zone's upstreams fail for 20 s": common(
        lambda m: 1.0 if m.host % 3 == 0 and 40 < m.at_s < 60 else 0.0
    ),
    "cold start of 8 s": _cold,
    "cold start of 30 calls": _cold_calls,
    "owners restart": common(lambda m: 0.005),
    "one host fails for 20 s": bad(
        lambda m: 1.0 if m.host == 0 and 40 < m.at_s < 60 else 0.0
    ),
    "one host fails for good": bad(lambda m: 1.0 if m.host == 0 else 0.0),
}
