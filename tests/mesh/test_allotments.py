"""Workspaces' limits over all hosts: real nodes on links, in simulated time."""

import asyncio
import random

import attrs
import pytest

from agaterelay.adapters.frames import Frame
from agaterelay.core.allotment import MAX_GAP_S
from agaterelay.core.deployment import Bounds
from agaterelay.core.model import Workspace
from agaterelay.core.outcome import Answered
from agaterelay.core.workspaces import digest_key
from agaterelay.mesh.allotments import (
    MAX_WAIT_S,
    acquire_allotment,
    candidates_of,
    give_back,
)
from tests.core.test_allotment import largest_window, limit_in_window
from tests.mesh.fleet import add_host, running_fleet, send_request, wait_until
from tests.mesh.simulation import (
    Pipe,
    Simulation,
    kill_process,
    line_in_use,
    now_s,
    put_config,
    run_simulated,
    start_host,
    start_process,
)

SETTLE_S = 8.0
PLACES = {
    "one": lambda hosts, at_s: hosts[0],
    "all": lambda hosts, at_s: random.choice(hosts),
    "moving": lambda hosts, at_s: hosts[int(at_s) * 5 % len(hosts)],
}


@attrs.define
class Demand:
    """What became of a workspace's requests."""

    granted_s: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)
    longest_wait_s: float = 0.0


async def limit_all(simulation, *workspaces):
    """Put limits in force on all running nodes."""
    for host in simulation.hosts:
        if host.node is not None:
            state = host.node.state
            state.table = attrs.evolve(state.table, workspaces=workspaces)
    await asyncio.sleep(1.0)


async def start_zones(simulation, hosts_per_zone=4):
    await put_config(simulation)
    for zone in "abc":
        for number in range(hosts_per_zone):
            await start_host(simulation, zone, number, link_mbps=100)
    await asyncio.sleep(SETTLE_S)


async def send_one(host, name, demand):
    began_s = now_s()
    token = await acquire_allotment(host.node.outbound.allotments, name, 1.0)
    demand.longest_wait_s = max(demand.longest_wait_s, now_s() - began_s)
    if isinstance(token, Answered):
        demand.refused.append(token)
    else:
        demand.granted_s.append(now_s())


async def send_all(simulation, name, rate, duration_s, demand, place=PLACES["all"]):
    """Send Poisson arrivals to hosts whose process runs."""
    tasks = []
    end_s = now_s() + duration_s
    while now_s() < end_s:
        await asyncio.sleep(random.expovariate(rate))
        hosts = [host for host in simulation.hosts if host.node is not None]
        host = place(hosts, now_s())
        tasks.append(asyncio.create_task(send_one(host, name, demand)))
    await asyncio.gather(*tasks)


def granting_host(simulation, name, zone="a"):
    host = next(item for item in simulation.hosts if item.node is not None)
    address = candidates_of(host.node.outbound.allotments, name, zone)[0]
    return next(
        item for item in simulation.hosts if item.deployment.link_address == address
    )


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rate", [2.0, 120.0])
def test_less_than_one_in_100_is_refused_below_the_rate(rate, place):
    """Guards against refusals for tokens that expire, wait or stay in other zones."""

    async def scenario():
        simulation = Simulation()
        await start_zones(simulation)
        names = [f"w{number}" for number in range(20 if rate < 10 else 1)]
        limits = [Workspace(name, (), None, rate, rate) for name in names]
        await limit_all(simulation, *limits)
        demands = [Demand() for _ in names]
        await asyncio.gather(
            *(
                send_all(simulation, name, 0.9 * rate, 60.0, demand, PLACES[place])
                for name, demand in zip(names, demands, strict=True)
            )
        )
        return demands

    demands = run_simulated(scenario)
    refused = sum(len(demand.refused) for demand in demands)
    granted = sum(len(demand.granted_s) for demand in demands)
    assert refused / (refused + granted) < 0.01
    for demand in demands:
        assert largest_window(demand.granted_s) <= limit_in_window(rate, rate)
        assert demand.longest_wait_s <= MAX_WAIT_S + 0.001


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rate", [2.0, 120.0])
def test_a_hot_workspace_gets_its_rate_and_no_more(rate, place):
    """Guards against tokens that expire unused, and against any beyond the limit."""

    async def scenario():
        simulation, demand = Simulation(), Demand()
        await start_zones(simulation)
        await limit_all(simulation, Workspace("w", (), None, rate, rate))
        await send_all(simulation, "w", 5.6 * rate, 40.0, demand, PLACES[place])
        return demand

    demand = run_simulated(scenario)
    assert len(demand.granted_s) >= 0.95 * rate * 40
    assert largest_window(demand.granted_s) <= limit_in_window(rate, rate)
    assert all(float(dict(item.headers)["Retry-After"]) > 0 for item in demand.refused)


async def kill_granting(simulation):
    kill_process(granting_host(simulation, "w"))
    await asyncio.sleep(6.0)


async def restart_all(simulation):
    """Restart all hosts; they read the limit with their first configuration."""
    table = simulation.hosts[0].node.state.table
    for host in simulation.hosts:
        kill_process(host)
        host.deployment = attrs.evolve(host.deployment, first_start=False)
    for host in simulation.hosts:
        await asyncio.create_task(start_process(host))
        watch = host.node.watch
        watch.formats = attrs.evolve(
            watch.formats, decode_config=lambda value: (table, ())
        )


async def freeze_granting(simulation):
    """Let a host receive and send nothing for a while, as one that is stopped."""
    host = granting_host(simulation, "w")
    await cut(simulation, {host.deployment.link_address}, 3.0)


async def partition_zone(simulation):
    """Cut a zone's granting host and another host off from all others."""
    host = granting_host(simulation, "w")
    pair = [item for item in simulation.hosts if item.deployment.zone == "a"][:2]
    sides = {item.deployment.link_address for item in (host, *pair)}
    await cut(simulation, sides, 8.0)


async def cut(simulation, side, duration_s):
    """Drop everything between the hosts of one side and all others for a while."""
    lines = {
        id(host.line)
        for host in simulation.hosts
        if host.deployment.link_address in side
    }
    write = Pipe.write

    def dropping(pipe, data):
        ends = [id(end.context[line_in_use]) in lines for end in (pipe, pipe.peer)]
        if ends[0] == ends[1]:
            write(pipe, data)

    Pipe.write = dropping
    try:
        await asyncio.sleep(duration_s)
    finally:
        Pipe.write = write


FAULTS = [kill_granting, restart_all, freeze_granting, partition_zone]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("hot_s", [0.0, 8.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_the_limit_holds_through_failures_of_the_granting_hosts(fault, hot_s, seed):
    """Guards against two hosts that both grant the whole part of their zone.

    The buckets are full or empty when it happens, and their first second is counted.
    """

    async def scenario():
        simulation, demand = Simulation(), Demand()
        await start_zones(simulation)
        await limit_all(simulation, Workspace("w", (), None, 120.0, 120.0))
        await asyncio.sleep(2.0)
        sending = asyncio.create_task(
            send_all(simulation, "w", 600.0, 20.0 + hot_s, demand, PLACES["all"])
        )
        await asyncio.sleep(hot_s)
        await fault(simulation)
        await sending
        return demand, now_s()

    demand, end_s = run_simulated(scenario, seed)
    assert largest_window(demand.granted_s) <= limit_in_window(120.0, 120.0)
    last = [time_s for time_s in demand.granted_s if time_s > end_s - 5.0]
    assert len(last) >= 0.9 * 5 * 120


def test_an_idle_workspace_has_its_burst():
    """Guards against buckets that fill only once they are asked."""

    async def scenario():
        simulation, demand = Simulation(), Demand()
        await start_zones(simulation)
        await limit_all(simulation, Workspace("w", (), None, 120.0, 120.0))
        await asyncio.sleep(2.0)
        await send_all(simulation, "w", 1200.0, 0.2, demand)
        return demand

    assert len(run_simulated(scenario).granted_s) >= 120


def test_a_lost_link_ends_the_wait_for_a_grant():
    """Guards against requests that wait for the answer of a host that is gone."""

    async def scenario():
        simulation, demand = Simulation(), Demand()
        await start_zones(simulation)
        await limit_all(simulation, Workspace("w", (), None, 120.0, 120.0))
        await send_all(simulation, "w", 60.0, 3.0, demand)
        granting = granting_host(simulation, "w")
        asker = next(
            host
            for host in simulation.hosts
            if host.deployment.zone == "a" and host is not granting
        )
        allotments = asker.node.outbound.allotments
        allotments.asking.clear()
        waits = [asyncio.create_task(send_one(asker, "w", demand)) for _ in range(3)]
        await asyncio.sleep(0)
        began_s = now_s()
        kill_process(granting)
        while allotments.asking["w"].question is not None and now_s() < began_s + 1:
            await asyncio.sleep(0.001)
            if granting.deployment.link_address in allotments.passed_over:
                break
        elapsed_s = now_s() - began_s
        await asyncio.gather(*waits)
        return elapsed_s

    assert run_simulated(scenario) < 0.01


def test_nothing_is_kept_or_sent_without_a_limit():
    """Guards against costs where no workspace has a rate."""

    async def scenario():
        simulation, demand = Simulation(), Demand()
        await start_zones(simulation, 2)
        await limit_all(simulation, Workspace("w", (), None, 0.0, 5.0))
        await send_all(simulation, "w", 60.0, 2.0, demand)
        states = [host.node.outbound.allotments for host in simulation.hosts]
        return demand, [(item.asking, item.granting, item.counts) for item in states]

    demand, states = run_simulated(scenario)
    assert not demand.refused
    assert all(not any(state) for state in states)


def test_a_host_that_slept_begins_with_a_nearly_empty_bucket():
    """Guards against a bucket filled for a time in which a successor granted."""

    async def scenario():
        simulation, demand = Simulation(), Demand()
        await start_zones(simulation, 1)
        await limit_all(simulation, Workspace("w", (), None, 120.0, 120.0))
        host = simulation.hosts[0]
        await send_one(host, "w", demand)
        await asyncio.sleep(3.0)
        allotments = host.node.outbound.allotments
        full = allotments.granting["w"].bucket.tokens
        allotments.alive_s -= MAX_GAP_S + 0.5
        await send_one(host, "w", demand)
        return full, allotments.granting["w"].bucket.tokens

    full, after = run_simulated(scenario)
    assert full > 40
    assert after < 2


@pytest.mark.parametrize(
    "frame",
    [
        [Frame.ASK_GRANT],
        [Frame.ASK_GRANT, 1, "w", -1],
        [Frame.ASK_GRANT, 1, "w", 10**9, 0],
        [Frame.ASK_GRANT, 1, 7, 1, 0],
        [Frame.ASK_LOAN, 1, "w", float("inf")],
        [Frame.ASK_LOAN, 1, "w", "many"],
        [Frame.GRANT, 1],
        [Frame.GRANT, 1, 5.5, 0, True],
        [Frame.LOAN, 1, -4],
    ],
)
def test_an_odd_frame_costs_only_itself(frame):
    """Guards against malformed frames that close a link or fail a request."""

    async def scenario():
        simulation, demand = Simulation(), Demand()
        await start_zones(simulation, 2)
        await limit_all(simulation, Workspace("w", (), None, 120.0, 120.0))
        for host in simulation.hosts:
            links = host.node.links
            dialled = [link.connection for link in links.links.values()]
            for connection in [*dialled, *links.accepted]:
                connection.send(frame)
        await send_all(simulation, "w", 60.0, 1.0, demand)
        return demand

    demand = run_simulated(scenario)
    assert len(demand.granted_s) > 20
    assert not demand.refused


def test_requests_over_real_links_are_limited_and_refusals_ran_nowhere():
    """Guards against a 429 for a request that ran, and a token kept by one that didn't."""

    async def scenario():
        async with running_fleet(("desk", "panel")) as fleet:
            for zone in "bc":
                await add_host(fleet, "panel", zone)
            await wait_until(
                lambda: all(
                    sum(link.usable for link in host.node.links.links.values()) == 3
                    for host in fleet.hosts
                )
            )
            workspace = Workspace("w", (digest_key(b"k"),), None, 20.0, 5.0)
            for host in fleet.hosts:
                state = host.node.state
                state.table = attrs.evolve(state.table, workspaces=(workspace,))
            loop = asyncio.get_running_loop()
            end_s = loop.time() + 4.0
            outcomes = []
            while loop.time() < end_s:
                outcomes += await asyncio.gather(
                    *(
                        send_request(fleet, host, headers=next_id())
                        for host in fleet.hosts
                    )
                )
                await asyncio.sleep(0.02)
            statuses = [status for status, _, _ in outcomes]
            assert set(statuses) == {200, 429}
            ran = len(fleet.hosts[0].instance.started_calls)
            assert statuses.count(200) == ran
            bounds = Bounds()
            most = (20 * 5 + 5) * (1 + bounds.allotment_excess_ratio)
            assert 0.95 * 20 * 4 <= ran <= most + bounds.allotment_slack
            refusal = next(item for item in outcomes if item[0] == 429)
            assert float(refusal[1]["Retry-After"]) > 0
            await check_return_of_tokens(fleet)

    asyncio.run(scenario())


def next_id():
    return {"X-Attempt-Id": f"call-{random.random()}", "Authorization": "Token k"}


async def check_return_of_tokens(fleet):
    """Check that a token of a request that ran nowhere is used by the next one."""
    node = fleet.hosts[1].node
    allotments = node.outbound.allotments
    await asyncio.sleep(1.0)
    token = await acquire_allotment(allotments, "w", 1.0)
    before = allotments.counts["questions"]
    give_back(allotments, token)
    again = await acquire_allotment(allotments, "w", 1.0)
    assert again.expires_s == token.expires_s
    assert allotments.counts["questions"] == before
