"""Input is handled in turns of limited work, and costly connections go behind others."""

from hypothesis import given, strategies as st

from agaterelay.core.input_share import (
    CREDIT_WORK_PER_S,
    MAX_CREDIT_WORK,
    TURN_INTERVAL_S,
    TURN_WORK,
    InputShares,
    Share,
    charge,
    is_waiting,
    may_handle,
    run_turn,
    stop_waiting,
    wait_for_turn,
)

NOW_S = 1000.0


class Caller:
    """A connection whose waiting input causes some work."""

    def __init__(self, shares, work, pieces=1):
        self.shares, self.work, self.pieces = shares, work, pieces
        self.handled = self.shed_count = 0
        self.share = Share(self.handle, self.shed)

    def wait(self, now_s=NOW_S):
        return wait_for_turn(self.shares, self.share, now_s)

    def handle(self):
        self.handled += 1
        charge(self.shares, self.share, self.work, NOW_S)
        if self.handled < self.pieces:
            self.wait()

    def shed(self):
        self.shed_count += 1


def use_up_credit(caller):
    charge(caller.shares, caller.share, 2 * MAX_CREDIT_WORK, NOW_S)


def test_input_is_handled_at_once_until_the_turn_has_done_its_work():
    shares = InputShares()
    caller = Caller(shares, 1)
    assert may_handle(shares, caller.share, NOW_S)
    assert charge(shares, caller.share, TURN_WORK, NOW_S)
    # The callback that begins the next turn is asked for once.
    assert not charge(shares, caller.share, 1, NOW_S)
    assert not may_handle(shares, caller.share, NOW_S + 10 * TURN_INTERVAL_S)
    assert not run_turn(shares, NOW_S)
    assert may_handle(shares, caller.share, NOW_S)


def test_ordinary_input_needs_no_callback():
    shares = InputShares()
    caller = Caller(shares, 1)
    for number in range(1000):
        now_s = NOW_S + number * TURN_INTERVAL_S
        assert may_handle(shares, caller.share, now_s)
        assert not charge(shares, caller.share, 150, now_s)


def test_a_light_connection_is_handled_before_heavy_ones_that_came_first():
    shares = InputShares()
    crowd = [Caller(shares, 700, pieces=100) for _ in range(50)]
    for caller in crowd:
        use_up_credit(caller)
        caller.wait()
    ordinary = Caller(shares, 120)
    ordinary.wait()
    run_turn(shares, NOW_S)
    assert ordinary.handled == 1
    assert 0 < sum(caller.handled for caller in crowd) <= TURN_WORK / 700 + 1


def test_heavy_connections_are_handled_although_light_ones_always_wait():
    shares = InputShares()
    heavy = Caller(shares, 10)
    use_up_credit(heavy)
    heavy.wait()
    for _ in range(100):
        Caller(shares, TURN_WORK / 20).wait()
    run_turn(shares, NOW_S)
    assert heavy.handled == 1


def test_credit_comes_back_with_time():
    shares = InputShares()
    caller, other = Caller(shares, 1), Caller(shares, 1)
    use_up_credit(caller)
    use_up_credit(other)
    run_turn(shares, NOW_S)
    other.wait()
    assert not may_handle(shares, caller.share, NOW_S)
    later_s = NOW_S + 2 * MAX_CREDIT_WORK / CREDIT_WORK_PER_S
    assert may_handle(shares, caller.share, later_s)


def test_the_newest_heavy_connection_is_shed_where_too_many_wait():
    shares = InputShares(max_waiting=3)
    first, newest = Caller(shares, 1), Caller(shares, 1)
    for caller in (first, newest):
        use_up_credit(caller)
        caller.wait()
    light = [Caller(shares, 1) for _ in range(3)]
    for caller in light:
        caller.wait()
    assert (newest.shed_count, first.shed_count) == (1, 1)
    assert not any(caller.shed_count for caller in light)
    assert all(is_waiting(shares, caller.share) for caller in light)


def test_a_connection_that_has_ended_waits_no_more():
    shares = InputShares()
    caller = Caller(shares, 1)
    caller.wait()
    stop_waiting(shares, caller.share)
    run_turn(shares, NOW_S)
    assert caller.handled == 0


@given(
    st.lists(
        st.tuples(st.integers(0, 1500), st.integers(1, 5), st.booleans()), max_size=30
    )
)
def test_all_waiting_input_is_handled_in_turns_of_limited_work(callers):
    shares = InputShares()
    waiting = [(Caller(shares, work, pieces), heavy) for work, pieces, heavy in callers]
    for caller, heavy in waiting:
        if heavy:
            use_up_credit(caller)
        caller.wait()
    for _ in range(sum(caller.pieces * (caller.work + 1) for caller, _ in waiting) + 1):
        before = sum(caller.handled * caller.work for caller, _ in waiting)
        run_turn(shares, NOW_S)
        done = sum(caller.handled * caller.work for caller, _ in waiting) - before
        assert done <= TURN_WORK + 1500
        if not (shares.light or shares.heavy):
            break
    assert all(caller.handled == caller.pieces for caller, _ in waiting)
