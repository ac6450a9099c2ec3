"""Whether a call that a node has sent to another one may have started.

The inbound proxy of a call that must not run twice asks before it sends the call to its
upstream. A call that was given up before it was permitted never starts, whatever arrives
late, so its caller can be told that it has not run.
"""

from __future__ import annotations

import attrs


@attrs.define
class CallStart:
    """The record of one attempt at the caller's node.

    ``permitted`` is set once the attempt may start, ``given_up`` once its outcome no
    longer depends on it.
    """

    permitted: bool = False
    given_up: bool = False


def permit_start(start: CallStart) -> bool:
    """Permit a call to start; return False if it was given up before."""
    if start.given_up and not start.permitted:
        return False
    start.permitted = True
    return True


def give_up_call(start: CallStart) -> bool:
    """Stop waiting for a call; return whether it has certainly not run and never will."""
    start.given_up = True
    return not start.permitted
