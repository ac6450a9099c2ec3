"""A key runs at most once, and "not run" is always true, in any order of messages.

The state machine below simulates one caller's attempts with keys at two homes: attempts
are delayed, reordered, duplicated or lost before or after they arrive, homes restart and
clocks jump. The decisions are the real ones; the network is a list.
"""

from datetime import UTC, datetime, timedelta

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from agaterelay.core import keys
from agaterelay.core.keys import (
    Claimed,
    InProgress,
    KeyWindow,
    claim,
    mint_key,
    parse_key,
    record_outcome,
)
from agaterelay.core.outcome import Answered, NotRun, Unknown
from agaterelay.core.retry import combine_outcomes

NOON = datetime(2026, 12, 4, 12, tzinfo=UTC)
HOSTS = ("127.0.1.1:7001", "127.0.2.1:7001")


class KeyMachine(RuleBasedStateMachine):
    minted = Bundle("keys")

    @initialize()
    def start(self):
        self.now = NOON
        self.saved = (keys.MAX_KEYS, keys.MAX_REFUSED_KEYS, keys.MAX_STORED_BYTES)
        keys.MAX_KEYS, keys.MAX_REFUSED_KEYS, keys.MAX_STORED_BYTES = 4, 3, 300
        self.windows = {host: KeyWindow(1) for host in HOSTS}
        self.in_transit = []  # attempts that were sent and have not arrived
        self.claimed = []  # (window, key) that a home has not sent to its upstream
        self.running = []  # (window, key) that an upstream is running
        self.runs = {}
        self.attempts = {}  # the outcomes that the caller received, by key
        self.reported_not_run = set()

    def teardown(self):
        keys.MAX_KEYS, keys.MAX_REFUSED_KEYS, keys.MAX_STORED_BYTES = self.saved

    @precondition(lambda self: len(self.runs) < 3)
    @rule(target=minted, host=st.sampled_from(HOSTS))
    def mint(self, host):
        key = mint_key(host, self.windows[host].incarnation, self.now)
        self.runs[key] = 0
        self.attempts[key] = []
        return key

    @rule(key=minted)
    def send(self, key):
        self.attempts[key].append(Unknown("no answer yet"))
        self.arrive(key)

    @rule(key=minted)
    def send_late(self, key):
        self.attempts[key].append(Unknown("no answer yet"))
        self.in_transit.append(key)

    @rule(key=minted)
    def fail_to_reach_the_home(self, key):
        self.attempts[key].append(Unknown("unreachable", sent=False))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), again=st.booleans())
    def arrive_late(self, data, again):
        key = data.draw(st.sampled_from(self.in_transit))
        if not again:
            self.in_transit.remove(key)
        self.arrive(key)

    def arrive(self, key):
        window = self.windows[key.host]
        decision = claim(window, key, self.now)
        if isinstance(decision, Claimed):
            self.claimed.append((window, key))
        elif not isinstance(decision, InProgress):
            self.report(key, decision)

    @precondition(lambda self: self.claimed)
    @rule(run=st.booleans())
    def refuse_or_run(self, run):
        window, key = self.claimed.pop()
        if run:
            self.runs[key] += 1
            self.running.append((window, key))
        else:
            self.report(key, record_outcome(window, key, NotRun("no slot")))

    @precondition(lambda self: self.running)
    @rule(lost=st.booleans())
    def end_a_run(self, lost):
        window, key = self.running.pop(0)
        outcome = Unknown("cut") if lost else Answered(200, (), bytes(100))
        self.report(key, record_outcome(window, key, outcome))

    def report(self, key, outcome):
        self.attempts[key].append(outcome)
        if isinstance(outcome, NotRun):
            self.reported_not_run.add(key)

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        old = self.windows[host]
        self.windows[host] = KeyWindow(old.incarnation + 1)
        self.claimed = [item for item in self.claimed if item[0] is not old]
        self.running = [item for item in self.running if item[0] is not old]

    @rule(seconds=st.sampled_from([0.1, 1, 29, 31, 59, 95, 200, -1, -31, -200]))
    def move_the_clock(self, seconds):
        self.now += timedelta(seconds=seconds)

    @invariant()
    def each_key_ran_at_most_once(self):
        assert all(runs <= 1 for runs in self.runs.values())

    @invariant()
    def refused_keys_never_ran(self):
        assert all(self.runs[key] == 0 for key in self.reported_not_run)

    @invariant()
    def the_combined_outcome_is_true(self):
        for key, attempts in self.attempts.items():
            if attempts and isinstance(combine_outcomes(attempts), NotRun):
                assert self.runs[key] == 0
                if key not in self.reported_not_run:
                    assert key not in self.in_transit

    @invariant()
    def the_windows_are_bounded(self):
        for window in self.windows.values():
            assert len(window.runs) <= keys.MAX_KEYS
            assert len(window.refused) <= keys.MAX_REFUSED_KEYS
            assert 0 <= window.stored_bytes <= keys.MAX_STORED_BYTES


TestKeys = KeyMachine.TestCase
TestKeys.settings = settings(max_examples=400, stateful_step_count=40)


def claimed_key(window):
    key = mint_key(HOSTS[0], 1, NOON)
    assert claim(window, key, NOON) == Claimed()
    return key


def test_a_refused_key_never_runs_later():
    window = KeyWindow(1)
    key = claimed_key(window)
    assert record_outcome(window, key, NotRun("no slot")) == NotRun("no slot")
    assert claim(window, key, NOON) == NotRun("no slot")


def test_a_refusal_that_cannot_be_remembered_is_not_made(monkeypatch):
    monkeypatch.setattr(keys, "MAX_REFUSED_KEYS", 0)
    window = KeyWindow(1)
    key = claimed_key(window)
    assert isinstance(record_outcome(window, key, NotRun("no slot")), Unknown)
    assert isinstance(claim(window, key, NOON), Unknown)


def test_a_full_window_refuses_for_good(monkeypatch):
    monkeypatch.setattr(keys, "MAX_KEYS", 0)
    window = KeyWindow(1)
    key = mint_key(HOSTS[0], 1, NOON)
    assert isinstance(claim(window, key, NOON), NotRun)
    monkeypatch.setattr(keys, "MAX_KEYS", 1)
    assert isinstance(claim(window, key, NOON), NotRun)


def test_a_key_from_the_future_is_not_refused_as_it_may_run_later():
    window = KeyWindow(1)
    key = mint_key(HOSTS[0], 1, NOON + keys.MAX_CLOCK_SKEW * 2)
    assert isinstance(claim(window, key, NOON), Unknown)
    assert claim(window, key, NOON + keys.MAX_CLOCK_SKEW) == Claimed()


def test_a_clock_set_back_revives_no_key():
    window = KeyWindow(1)
    key = claimed_key(window)
    record_outcome(window, key, Answered(200))
    other = mint_key(HOSTS[0], 1, NOON + timedelta(hours=1))
    assert claim(window, other, NOON + timedelta(hours=1)) == Claimed()
    assert isinstance(claim(window, key, NOON), Unknown)


def test_a_replaced_home_does_not_run_its_predecessors_keys():
    assert isinstance(claim(KeyWindow(2), claimed_key(KeyWindow(1)), NOON), Unknown)


def test_a_repeated_key_gets_the_stored_answer():
    window = KeyWindow(1)
    key = mint_key(HOSTS[0], 1, NOON)
    assert claim(window, key, NOON) == Claimed()
    assert claim(window, key, NOON) == InProgress()
    record_outcome(window, key, Answered(200, (), b"line 4"))
    assert claim(window, key, NOON) == Answered(200, (), b"line 4")
    later = NOON + keys.KEY_RETENTION + keys.MAX_CLOCK_SKEW * 2
    assert isinstance(claim(window, key, later), Unknown)


def test_a_key_reads_back_as_it_was_written():
    key = mint_key(HOSTS[0], 7, NOON)
    assert parse_key(str(key)) == key
    assert key.minted_at == NOON
    assert parse_key("order-1") is None
