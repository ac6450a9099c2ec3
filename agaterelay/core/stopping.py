"""Decide which requests a node still takes while it stops.

Until the callers have had time to turn to other nodes, all are taken: refusing them
would fail most of them for the few that outlast the grace period. Later ones are taken
only if their time limit ends before the node has to give up, since a request that was
passed on can't be taken back.
"""

from __future__ import annotations

import attrs

# The platform polls readiness once a second, and redirects callers after two failures.
CALLERS_LEAVE_S = 2.5
# The end of the grace period, reserved for closing open connections.
STOP_MARGIN_S = 0.5


@attrs.frozen
class StopSchedule:
    """The times of a graceful stop, on the monotonic clock.

    Attributes:
        callers_left_s: When callers have had time to turn to other nodes.
        give_up_s: When requests in flight are given up.
    """

    callers_left_s: float
    give_up_s: float


def schedule_stop(began_s: float, grace_s: float) -> StopSchedule:
    """Return the schedule of a stop that began at a time and may take ``grace_s``."""
    return StopSchedule(began_s + CALLERS_LEAVE_S, began_s + grace_s - STOP_MARGIN_S)


def takes_request(schedule: StopSchedule, received_s: float, deadline_s: float) -> bool:
    """Return whether a request is taken that was received during a stop.

    Args:
        schedule: The schedule of the stop.
        received_s: When the request was received.
        deadline_s: When its time limit ends.
    """
    return received_s < schedule.callers_left_s or deadline_s <= schedule.give_up_s
