"""A short seeded soak; each seed that ever failed stays here with its cause."""

import asyncio

import pytest

from soak.__main__ import DURATION_S, run_seed
from soak.addresses import free_nets
from soak.callers import Answer
from soak.faults import FAULTS, draw_plan
from soak.fleet import Fleet, Host
from soak.promises import check_answers, check_hosts
from standins.instance import Instance

SHORT_S = 6.0
HOSTS = 4


@pytest.mark.scenario
@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_that_is_promised_breaks(seed, tmp_path):
    (net,) = free_nets(1)
    broken, _ = asyncio.run(run_seed(seed, SHORT_S, tmp_path, net, HOSTS))
    assert broken == []


@pytest.mark.scenario
@pytest.mark.parametrize(
    "seed",
    [
        # A signal to read the settings again, while a node was being loaded, ended it.
        1,
        # The same; and a link through the proxy to a node that was not there was used.
        3,
        6,
    ],
)
def test_what_once_broke_holds(seed, tmp_path):
    (net,) = free_nets(1)
    broken, _ = asyncio.run(run_seed(seed, DURATION_S, tmp_path, net))
    assert broken == []


def test_a_seed_always_gives_the_same_plan_and_all_faults_come():
    assert draw_plan(7, 20.0) == draw_plan(7, 20.0)
    drawn = {step.name for seed in range(50) for step in draw_plan(seed, 20.0)}
    assert drawn == set(FAULTS)


def answer(call_id="one", method="POST", status=200, **changes):
    fields = {
        "call_id": call_id,
        "host": 1,
        "method": method,
        "path": "/fire/x",
        "began_s": 10.0,
        "ended_s": 10.1,
        "status": status,
        "retry_after": "0.1" if status == 503 else None,
        "whole": status == 200,
        **changes,
    }
    return Answer(**fields)


@pytest.fixture
def fleet(tmp_path):
    instance = Instance("i-1", "desk", "")
    host = Host(1, "127.0.0.1", "a", instance, tmp_path, tmp_path)
    return Fleet(1, tmp_path, hosts=[host])


def test_a_good_run_breaks_nothing(fleet):
    instance = fleet.hosts[0].instance
    instance.ran["one"] = 1
    instance.began.append((9.0, instance.born_ms, "one"))
    fleet.hosts[0].departed.append((10.0, instance.born_ms))
    fleet.hosts[0].revisions = [(1.0, 1, 3), (2.0, 1, 4), (3.0, 2, 3)]
    assert list(check_answers(fleet, [answer(), answer("two", status=503)])) == []
    assert list(check_hosts(fleet)) == []


@pytest.mark.parametrize(
    ("ran", "given", "words"),
    [
        (2, answer(), "ran 2 times"),
        (1, answer(status=503), "said not to have run"),
        (0, answer(status=503, retry_after=None), "without a time to come back"),
        (1, answer(whole=False), "not its own"),
        (0, answer(status=502, ended_s=20.0), "waited 10.0 s"),
        (0, answer(status=404), "no route"),
    ],
)
def test_each_broken_promise_to_a_caller_is_told(fleet, ran, given, words):
    fleet.hosts[0].instance.ran["one"] = ran
    (told,) = check_answers(fleet, [given])
    assert words in told


def test_each_broken_promise_of_a_host_is_told(fleet):
    (host,) = fleet.hosts
    host.departed.append((10.0, host.instance.born_ms))
    host.instance.began.append((12.0, host.instance.born_ms, "late"))
    host.revisions = [(1.0, 1, 4), (2.0, 1, 3)]
    host.overran_stop = 1
    host.instance.most_running = host.instance.slots + 1
    told = "\n".join(check_hosts(fleet))
    for words in ("first is late", "went back to revision 3", "did not stop", "slots"):
        assert words in told
