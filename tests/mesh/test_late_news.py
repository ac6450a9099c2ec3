"""A confirmed revision is in force in time, whoever reads the store."""

import asyncio

import pytest

from tests.mesh.simulation import (
    Simulation,
    find_ages,
    kill_process,
    leave,
    put_config,
    record_activations,
    run_simulated,
    start_host,
    stop_process,
)

CONFIG_APPLY_S = 2.5
WIDE_MBPS, NARROW_MBPS = 40, 2
# Takes a narrow link some 0.6 s.
LARGE_ROUTE_COUNT = 720


async def start_fleet(simulation, hosts_per_zone, route_count):
    """Start two zones with two wide links each, and return the hosts with those."""
    await put_config(simulation, route_count)
    wide = []
    for zone in "ab":
        for number in range(hosts_per_zone):
            is_wide = number < 2
            host = await start_host(
                simulation, zone, number, WIDE_MBPS if is_wide else NARROW_MBPS
            )
            if is_wide:
                wide.append(host)
    await asyncio.sleep(22.0)
    return wide


async def write_revisions(simulation, count, gap_s, route_count):
    """Write revisions one after the other; return when each was confirmed."""
    confirmed_s = {}
    for _ in range(count):
        revision, written_s = await put_config(simulation, route_count)
        confirmed_s[revision] = written_s
        await asyncio.sleep(gap_s)
    return confirmed_s


@pytest.mark.parametrize("end", [leave, stop_process])
@pytest.mark.parametrize("seed", [1, 2])
def test_large_documents_are_not_late_when_the_readers_of_the_store_stop(end, seed):
    async def scenario():
        simulation, activated_s = Simulation(), {}
        wide = await start_fleet(simulation, 9, LARGE_ROUTE_COUNT)
        recording = asyncio.create_task(record_activations(simulation, activated_s))
        confirmed_s = await write_revisions(simulation, 6, 0.95, LARGE_ROUTE_COUNT)
        ends = [asyncio.create_task(end(host)) for host in wide]
        confirmed_s |= await write_revisions(simulation, 8, 0.95, LARGE_ROUTE_COUNT)
        await asyncio.gather(*ends)
        await asyncio.sleep(CONFIG_APPLY_S)
        recording.cancel()
        return find_ages(simulation, activated_s, confirmed_s)

    ages_s = run_simulated(scenario, seed)
    assert {key: age_s for key, age_s in ages_s.items() if age_s > CONFIG_APPLY_S} == {}


def test_large_documents_are_not_late_when_the_readers_of_the_store_are_killed():
    async def scenario():
        simulation, activated_s = Simulation(), {}
        wide = await start_fleet(simulation, 9, LARGE_ROUTE_COUNT)
        recording = asyncio.create_task(record_activations(simulation, activated_s))
        confirmed_s = await write_revisions(simulation, 12, 0.95, LARGE_ROUTE_COUNT)
        for host in wide:
            kill_process(host)
        confirmed_s |= await write_revisions(simulation, 5, 0.95, LARGE_ROUTE_COUNT)
        await asyncio.sleep(CONFIG_APPLY_S)
        recording.cancel()
        return find_ages(simulation, activated_s, confirmed_s)

    ages_s = run_simulated(scenario)
    assert {key: age_s for key, age_s in ages_s.items() if age_s > CONFIG_APPLY_S} == {}


def test_a_slow_store_is_read_by_its_readers_alone():
    async def scenario():
        simulation, activated_s = Simulation(), {}
        await start_fleet(simulation, 9, 5)
        recording = asyncio.create_task(record_activations(simulation, activated_s))
        simulation.rows.before_s = 1.0
        await asyncio.sleep(3.0)
        simulation.rows.calls.clear()
        confirmed_s = await write_revisions(simulation, 6, 1.7, 5)
        await asyncio.sleep(4.0)
        recording.cancel()
        hosts = {host for kind, host in simulation.rows.calls if kind != "write"}
        return find_ages(simulation, activated_s, confirmed_s), hosts

    ages_s, hosts = run_simulated(scenario)
    assert {key: age_s for key, age_s in ages_s.items() if age_s > CONFIG_APPLY_S} == {}
    assert len(hosts) == 4
