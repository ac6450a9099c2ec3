"""Decide whose input a server handles next, so that no caller keeps the others waiting.

The cost of input grows with the steps that a parser takes on it (headers, parts of bodies,
requests), not with its bytes. Work is counted in such steps. Each turn of the event loop
handles a limited amount of it; input beyond that waits, and its connection is not read
meanwhile. Connections that have caused little work lately go first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import attrs

# A step takes about a microsecond, so a turn keeps the event loop for some milliseconds.
TURN_WORK = 4000
# From this much on in one interval, the next turn has to be begun by its own callback.
BUSY_TURN_WORK = TURN_WORK // 4
TURN_INTERVAL_S = 0.02
# What a turn leaves to heavy connections while light ones wait.
HEAVY_TURN_WORK = TURN_WORK // 8
# What a connection may cause at once, and steadily, before it goes behind others.
MAX_CREDIT_WORK = 4000
CREDIT_WORK_PER_S = 20_000


@attrs.define(eq=False)
class Share:
    """What one connection has caused.

    Attributes:
        handle: Handles the input that waits.
        shed: Drops the input that waits, since too much waits on all connections.
        credit_work: What it may cause before it goes behind others; negative after that.
        updated_s: When the credit was last computed, on the monotonic clock.
    """

    handle: Callable[[], None]
    shed: Callable[[], None]
    credit_work: float = MAX_CREDIT_WORK
    updated_s: float = 0.0


@attrs.define
class InputShares:
    """The input that waits at a server, and what may be handled in this turn.

    Attributes:
        max_waiting: How many connections may have input that waits, None for any number.
        work_left: What may still be handled in this turn.
        began_s: When the turn began.
        is_turn_due: Whether a callback has been asked for that begins the next turn.
        light: The waiting connections with credit, in the order of their arrival.
        heavy: The waiting connections without.
    """

    max_waiting: int | None = None
    work_left: float = TURN_WORK
    began_s: float = 0.0
    is_turn_due: bool = False
    light: OrderedDict[Share, None] = attrs.field(factory=OrderedDict)
    heavy: OrderedDict[Share, None] = attrs.field(factory=OrderedDict)

    @property
    def is_congested(self) -> bool:
        """Whether further input has to wait."""
        return self.work_left <= 0 or bool(self.light or self.heavy)


def begin_turn(shares: InputShares, now_s: float) -> None:
    """Allow another turn's work."""
    shares.is_turn_due = False
    shares.work_left = TURN_WORK
    shares.began_s = now_s


def may_handle(shares: InputShares, share: Share, now_s: float) -> bool:
    """Return whether input that has just arrived may be handled at once.

    Args:
        shares: Changed in place: a new interval allows more work.
        share: The share of the input's connection.
        now_s: The monotonic time.
    """
    if not shares.is_turn_due and now_s - shares.began_s >= TURN_INTERVAL_S:
        begin_turn(shares, now_s)
    if shares.work_left <= 0 or shares.light:
        return False
    return not shares.heavy or has_credit(share, now_s)


def has_credit(share: Share, now_s: float) -> bool:
    """Return whether a connection has caused little work lately."""
    earned_work = (now_s - share.updated_s) * CREDIT_WORK_PER_S
    share.credit_work = min(share.credit_work + earned_work, MAX_CREDIT_WORK)
    share.updated_s = now_s
    return share.credit_work > 0


def charge(shares: InputShares, share: Share, work: float, now_s: float) -> bool:
    """Count work that was done for a connection.

    Returns:
        Whether the caller has to ask for a callback that begins the next turn.
    """
    has_credit(share, now_s)
    share.credit_work = max(share.credit_work - work, -MAX_CREDIT_WORK)
    shares.work_left -= work
    return _is_callback_due(shares)


def wait_for_turn(shares: InputShares, share: Share, now_s: float) -> bool:
    """Let a connection's input wait; if too many wait, shed the newest heavy one.

    Returns:
        Whether the caller has to ask for a callback that begins the next turn.
    """
    (shares.light if has_credit(share, now_s) else shares.heavy)[share] = None
    waiting_count = len(shares.light) + len(shares.heavy)
    if shares.max_waiting is not None and waiting_count > shares.max_waiting:
        newest, _ = (shares.heavy or shares.light).popitem()
        newest.shed()
    return _is_callback_due(shares)


def _is_callback_due(shares: InputShares) -> bool:
    if shares.is_turn_due:
        return False
    is_busy = shares.work_left < TURN_WORK - BUSY_TURN_WORK
    shares.is_turn_due = is_busy or bool(shares.light or shares.heavy)
    return shares.is_turn_due


def is_waiting(shares: InputShares, share: Share) -> bool:
    """Return whether a connection has input that waits for its turn."""
    return share in shares.light or share in shares.heavy


def stop_waiting(shares: InputShares, share: Share) -> None:
    """Forget a connection's waiting input."""
    shares.light.pop(share, None)
    shares.heavy.pop(share, None)


def run_turn(shares: InputShares, now_s: float) -> bool:
    """Handle waiting input until the turn's work is done, most of it of light connections.

    Returns:
        Whether the caller has to ask for a callback that begins the next turn.
    """
    begin_turn(shares, now_s)
    while shares.work_left > 0 and (shares.light or shares.heavy):
        light_first = shares.work_left > HEAVY_TURN_WORK or not shares.heavy
        waiting = shares.light if shares.light and light_first else shares.heavy
        share, _ = waiting.popitem(last=False)
        # Input that costs nothing counts, too, so that a turn ends.
        shares.work_left -= 1
        share.handle()
    return _is_callback_due(shares)
