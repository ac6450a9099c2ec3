"""What is still true of an upstream's load once the link to its host is lost.

The service times, the slots and the slowness describe the upstream, and the number of its
calls loses weight with the age of the report. A ratio of failures doesn't: it would keep
calls away from an upstream that has recovered or was replaced in the meantime.
"""

from __future__ import annotations

import attrs

from agaterelay.core.placing import TargetLoad


def forget_failures(load: TargetLoad) -> None:
    """Remove the failures from the last report, and keep everything else."""
    if load.report is not None and load.report.failing:
        load.report = attrs.evolve(load.report, failing=0.0)
