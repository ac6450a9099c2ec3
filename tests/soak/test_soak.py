"""Short soak tests, and one run of each seed that once failed, with its cause."""

import asyncio

import pytest

from soak.__main__ import DURATION_S, run_seed
from soak.addresses import find_free_networks
from soak.callers import Answer
from soak.faults import FAULTS, plan_crowds, plan_faults
from soak.fleet import Fleet, Host
from soak.promises import check_answers, check_hosts
from standins.instance import Instance

SHORT_S = 6.0
HOSTS = 4


@pytest.mark.scenario
@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_that_is_promised_breaks(seed, tmp_path):
    (net,) = find_free_networks(1)
    broken, _ = asyncio.run(run_seed(seed, SHORT_S, tmp_path, net, HOSTS))
    assert broken == []


@pytest.mark.scenario
def test_nothing_that_is_promised_breaks_beside_crowds(tmp_path):
    (net,) = find_free_networks(1)
    run = run_seed(1, SHORT_S, tmp_path, net, HOSTS, crowds=True)
    broken, _ = asyncio.run(run)
    assert broken == []


@pytest.mark.scenario
@pytest.mark.parametrize(
    "seed",
    [
        # SIGHUP ended a node that received it while its modules were being imported.
        1,
        # The same; and a node used a link through the proxy whose target did not run.
        3,
        6,
    ],
)
def test_what_once_broke_holds(seed, tmp_path):
    (net,) = find_free_networks(1)
    broken, _ = asyncio.run(run_seed(seed, DURATION_S, tmp_path, net))
    assert broken == []


def test_plans_depend_only_on_the_seed_and_cover_all_faults():
    assert plan_faults(7, 20.0) == plan_faults(7, 20.0)
    assert plan_crowds(7, 20.0) == plan_crowds(7, 20.0)
    drawn = {fault.name for seed in range(50) for fault in plan_faults(seed, 20.0)}
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
        "body_matches": status == 200,
        **changes,
    }
    return Answer(**fields)


@pytest.fixture
def fleet(tmp_path):
    instance = Instance("i-1", "desk", "")
    host = Host(1, "127.0.0.1", "a", instance, tmp_path, tmp_path)
    return Fleet(1, tmp_path, hosts=[host])


def test_a_correct_run_has_no_violations(fleet):
    instance = fleet.hosts[0].instance
    instance.ran["one"] = 1
    instance.started_calls.append((9.0, instance.born_ms, "one"))
    fleet.hosts[0].departed.append((10.0, instance.born_ms))
    fleet.hosts[0].revisions = [(1.0, 1, 3), (2.0, 1, 4), (3.0, 2, 3)]
    assert list(check_answers(fleet, [answer(), answer("two", status=503)])) == []
    assert list(check_hosts(fleet)) == []


@pytest.mark.parametrize(
    ("ran", "received", "words"),
    [
        (2, answer(), "ran 2 times"),
        (1, answer(status=503), "reported as not run, but ran"),
        (0, answer(status=503, retry_after=None), "503 without Retry-After"),
        (1, answer(body_matches=False), "not its own"),
        (0, answer(status=502, ended_s=20.0), "waited 10.0 s"),
        (0, answer(status=404), "no route"),
    ],
)
def test_each_violation_towards_a_caller_is_reported(fleet, ran, received, words):
    fleet.hosts[0].instance.ran["one"] = ran
    (found,) = check_answers(fleet, [received])
    assert words in found


def test_each_violation_by_a_host_is_reported(fleet):
    (host,) = fleet.hosts
    host.departed.append((10.0, host.instance.born_ms))
    host.instance.started_calls.append((12.0, host.instance.born_ms, "late"))
    host.revisions = [(1.0, 1, 4), (2.0, 1, 3)]
    host.stop_timeouts = 1
    host.peak_memory_bytes = 300 << 20
    host.instance.peak_running = host.instance.slots + 1
    found = "\n".join(check_hosts(fleet))
    for words in (
        "first is late",
        "went back to revision 3",
        "did not stop",
        "300 MB",
        "slots",
    ):
        assert words in found
