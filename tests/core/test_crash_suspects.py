"""Which requests are held back after upstreams have ended with them in hand."""

import random

import pytest

from agaterelay.core.crash_suspects import (
    HELD_CRASH_COUNT,
    MAX_PROVEN,
    MAX_REPORTS,
    MAX_SUSPECTS,
    PROVEN_S,
    SUSPICION_S,
    CrashReport,
    CrashSuspects,
    apply_report,
    crash_count,
    is_held,
    known_reports,
    record_proof,
    request_key,
    select_suspects,
)

DEADLY = request_key("desk", "GET", "/read/deadly", b"")


def report(number, *keys, at_s=0.0):
    return CrashReport(f"host/i/{number}", keys, at_s)


def test_a_request_is_the_same_with_another_id_and_not_with_another_query_or_body():
    keys = {
        DEADLY,
        request_key("desk", "GET", "/read/deadly?page=2", b""),
        request_key("desk", "POST", "/read/deadly", b""),
        request_key("desk", "POST", "/read/deadly", b"1"),
        request_key("panel", "GET", "/read/deadly", b""),
    }
    assert len(keys) == 5
    assert request_key("desk", "GET", "/read/deadly", b"") == DEADLY


def test_a_request_in_hand_at_two_crashes_is_held_and_one_at_a_single_crash_is_not():
    suspects = CrashSuspects()
    other = request_key("desk", "GET", "/read/other", b"")
    assert apply_report(suspects, report(1, DEADLY, other)) == ()
    assert not is_held(suspects, DEADLY, 0.1)
    assert apply_report(suspects, report(2, DEADLY)) == (DEADLY,)
    assert is_held(suspects, DEADLY, 0.1)
    assert not is_held(suspects, other, 0.1)


def test_a_report_that_comes_over_two_links_counts_once():
    suspects = CrashSuspects()
    apply_report(suspects, report(1, DEADLY))
    assert apply_report(suspects, report(1, DEADLY)) is None
    assert crash_count(suspects, DEADLY, 0.1) == 1


def test_an_answer_clears_a_suspect_and_keeps_it_from_suspicion_for_a_time():
    suspects = CrashSuspects()
    apply_report(suspects, report(1, DEADLY))
    assert record_proof(suspects, DEADLY, 1.0)
    assert crash_count(suspects, DEADLY, 1.0) == 0
    assert select_suspects(suspects, [DEADLY], 2.0) == ()
    assert select_suspects(suspects, [DEADLY], 1.1 + PROVEN_S) == (DEADLY,)


def test_a_suspicion_runs_out():
    suspects = CrashSuspects()
    for number in range(HELD_CRASH_COUNT):
        apply_report(suspects, report(number, DEADLY))
    assert is_held(suspects, DEADLY, SUSPICION_S - 1)
    assert not is_held(suspects, DEADLY, SUSPICION_S)
    late = report(9, DEADLY, at_s=SUSPICION_S)
    assert apply_report(suspects, late) == ()


def test_memory_is_bounded_and_a_held_request_outlasts_single_suspects():
    suspects = CrashSuspects()
    for number in range(HELD_CRASH_COUNT):
        apply_report(suspects, report(number, DEADLY))
    for number in range(2 * MAX_REPORTS):
        key = request_key("desk", "GET", f"/{number}", b"")
        apply_report(suspects, report(f"more-{number}", key))
        for proof in range(4):
            record_proof(suspects, f"{number}/{proof}".encode(), 0.0)
    assert len(suspects.crashes) == MAX_SUSPECTS
    assert len(suspects.reports) == MAX_REPORTS
    assert len(suspects.proven_s) == MAX_PROVEN
    assert is_held(suspects, DEADLY, 0.1)


def test_a_node_that_was_told_everything_later_holds_the_same():
    suspects, later = CrashSuspects(), CrashSuspects()
    apply_report(suspects, report(1, DEADLY, b"innocent"))
    apply_report(suspects, report(2, DEADLY))
    for known in known_reports(suspects, 1.0):
        apply_report(later, known)
    assert is_held(later, DEADLY, 1.0)
    assert later.crashes == suspects.crashes


def play(seed, upstream_count, plain_crash_rate_per_s, deadly_ratio):
    """Play 60 s of calls; return ends under the deadly request and wrong holds.

    Each call runs 0.1 s; an upstream that has ended is back after 3 s. The word of a
    crash takes 20 ms.
    """
    rng = random.Random(seed)
    suspects = CrashSuspects()
    down_until_s = [0.0] * upstream_count
    running = []
    pending = []
    ended = 0
    wrong = set()
    now_s = 0.0
    while now_s < 60.0:
        now_s += rng.expovariate(20 * upstream_count)
        while pending and pending[0][0] <= now_s:
            at_s, keys = pending.pop(0)
            held = apply_report(suspects, report(rng.random(), *keys, at_s=at_s))
            wrong.update(key for key in held if key != DEADLY)
        victims = set()
        if rng.random() < plain_crash_rate_per_s / (20 * upstream_count):
            victims.add(rng.randrange(upstream_count))
        for done_s, upstream, key in list(running):
            if done_s <= now_s:
                running.remove((done_s, upstream, key))
                if key == DEADLY:
                    victims.add(upstream)
                    ended += 1
                else:
                    record_proof(suspects, key, now_s)
        for upstream in victims:
            lost = [item for item in running if item[1] == upstream]
            running = [item for item in running if item[1] != upstream]
            keys = [key for _, _, key in lost]
            keys += [DEADLY] * (deadly_ratio > 0)
            down_until_s[upstream] = now_s + 3.0
            found = select_suspects(suspects, keys, now_s)
            pending.append((now_s + 0.02, found))
        key = rng.choice([b"busy", rng.randbytes(8), rng.randbytes(8)])
        if rng.random() < deadly_ratio:
            key = DEADLY
        up = [n for n in range(upstream_count) if down_until_s[n] <= now_s]
        if up and not is_held(suspects, key, now_s):
            running.append((now_s + 0.1, rng.choice(up), key))
    return ended, wrong


@pytest.mark.parametrize("upstream_count", [5, 60])
def test_few_upstreams_end_and_nothing_else_is_held_over_many_seeds(upstream_count):
    ratio = 3.0 / (20 * upstream_count)
    outcomes = [play(seed, upstream_count, 0.0, ratio) for seed in range(20)]
    assert max(ended for ended, _ in outcomes) <= 4
    assert [wrong for _, wrong in outcomes] == [set()] * 20


@pytest.mark.parametrize("upstream_count", [5, 60])
def test_plain_crashes_hold_nothing_back_over_many_seeds(upstream_count):
    outcomes = [play(seed, upstream_count, 0.5, 0.0) for seed in range(20)]
    assert [wrong for _, wrong in outcomes] == [set()] * 20
