from hypothesis import given, settings
from hypothesis.strategies import dictionaries, floats, integers, text

from agaterelay.core import floors
from agaterelay.core.floors import FloorAnswer, Floors

SECONDS = floats(0, 100)


@settings(derandomize=True)
@given(age_s=SECONDS, process_age_s=SECONDS, revision=integers(1, 9))
def test_only_a_read_that_began_after_the_process_tells_the_floor(
    age_s, process_age_s, revision
):
    answer = FloorAnswer(settled=True, own=1, head_revision=revision, head_age_s=age_s)
    floor = floors.floor_from_head([answer], process_age_s)
    assert floor == (revision if age_s < process_age_s else None)


def test_hosts_that_have_just_started_do_not_give_the_floor():
    assert floors.floor_from_peers([FloorAnswer(witnessed=3)]) is None
    settled = FloorAnswer(settled=True, own=2)
    assert floors.floor_from_peers([FloorAnswer(witnessed=3), settled]) == 3


@settings(derandomize=True)
@given(served=dictionaries(text(max_size=2), integers(1, 99)), common=integers(0, 99))
def test_memory_is_bounded_and_never_answers_too_low(served, common):
    known = floors.raise_common_floor(Floors(), common)
    for host, revision in served.items():
        known = floors.record_floor(known, host, revision)
    assert all(floors.find_floor(known, host) >= served[host] for host in served)
    assert all(revision > common for revision in known.by_host.values())


def test_the_number_of_floors_is_bounded_as_hosts_come_and_go():
    known = Floors()
    for number in range(floors.MAX_HOSTS + 50):
        known = floors.record_floor(known, f"host-{number}", number)
    assert len(known.by_host) <= floors.MAX_HOSTS
    assert floors.find_floor(known, "host-7") >= 7
