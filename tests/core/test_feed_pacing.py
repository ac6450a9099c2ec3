"""How a node reads the store's changes."""

from agaterelay.core.feed_pacing import (
    AnswerTime,
    feed_wait_s,
    must_read_anew,
    record_answer,
    stand_in_delay_s,
    transfer_s,
)


def test_rows_are_read_anew_only_after_a_pause_and_on_a_narrow_link():
    document_bytes = 600_000
    assert must_read_anew(30.0, transfer_s(document_bytes, 10))
    assert not must_read_anew(1.0, transfer_s(document_bytes, 10))
    assert not must_read_anew(30.0, transfer_s(document_bytes, 1000))
    assert not must_read_anew(30.0, transfer_s(document_bytes, 0))


def test_an_idle_feed_answers_after_the_same_time_on_a_slow_store():
    answer_time = AnswerTime()
    assert feed_wait_s(answer_time, 1.0) == 1.0
    assert record_answer(answer_time, 0.0, 1.0, 1.75)
    assert feed_wait_s(answer_time, 1.0) + answer_time.answer_s == 1.0


def test_a_call_that_was_sent_earlier_does_not_replace_a_later_measurement():
    answer_time = AnswerTime()
    record_answer(answer_time, 5.0, 0.0, 6.0)
    assert not record_answer(answer_time, 1.0, 8.0, 9.0)
    assert answer_time.answer_s == 1.0


def test_stand_ins_begin_one_after_the_other_and_all_within_a_bound():
    delays_s = [stand_in_delay_s(position) for position in range(200)]
    assert delays_s[0] == 0.0
    assert delays_s[1] < delays_s[2] < delays_s[3]
    assert max(delays_s) <= 1.5
