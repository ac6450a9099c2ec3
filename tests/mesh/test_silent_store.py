"""A store that is silent for a while delays no revision once it has been back for long."""

import asyncio

import pytest

from tests.mesh.simulation import (
    Simulation,
    find_ages,
    kill_process,
    now_s,
    put_config,
    record_activations,
    run_simulated,
    silence,
    start_host,
)

# A store that has been back for this long counts as stable.
STABLE_S = 3.0
# The longest period after which an idle node asks the store again.
IDLE_PERIOD_S = 8.0


async def start_fleet(simulation, zone_sizes, config_apply_s):
    await put_config(simulation)
    for zone, size in zip("abcdefgh", zone_sizes, strict=False):
        for number in range(size):
            await start_host(simulation, zone, number, config_apply_s=config_apply_s)
    await asyncio.sleep(12.0)


async def play_silence(simulation, offset_s, length_s, loses_open_calls, due_s):
    """Let the polls begin together, and the store be silent ``offset_s`` later.

    Revisions are confirmed before its end, soon after it and when it has been back for
    long. ``due_s`` gets when each has to be in force, and when it was confirmed.
    """
    apply_s = simulation.hosts[0].deployment.bounds.config_apply_s
    await put_config(simulation)
    await asyncio.sleep(offset_s)
    async with silence(simulation, loses_open_calls):
        await asyncio.sleep(length_s * 0.8)
        written = [await put_config(simulation)]
        await asyncio.sleep(length_s * 0.2)
    back_s = now_s()
    for delay_s in (0.1, 1.0, 3.0):
        await asyncio.sleep(back_s + delay_s - now_s())
        written.append(await put_config(simulation))
    for revision, written_s in written:
        due_s[revision] = max(written_s + apply_s, back_s + STABLE_S), written_s
    await asyncio.sleep(apply_s)


def find_late(simulation, activated_s, due_s):
    """Return how late each revision came that was not in force in time, by host."""
    confirmed_s = {revision: written_s for revision, (_, written_s) in due_s.items()}
    ages_s = find_ages(simulation, activated_s, confirmed_s)
    late_s = {
        (host, revision): round(confirmed_s[revision] + age_s - due_s[revision][0], 2)
        for (host, revision), age_s in ages_s.items()
    }
    return {key: value for key, value in late_s.items() if value > 0}


def play(zone_sizes, offsets_s, length_s, loses_open_calls, config_apply_s=2.0):
    async def scenario():
        simulation, activated_s, due_s = Simulation(), {}, {}
        await start_fleet(simulation, zone_sizes, config_apply_s)
        recording = asyncio.create_task(record_activations(simulation, activated_s))
        for offset_s in offsets_s:
            await play_silence(simulation, offset_s, length_s, loses_open_calls, due_s)
        recording.cancel()
        return find_late(simulation, activated_s, due_s)

    return run_simulated(scenario)


def steps(step_s):
    return [step_s * number for number in range(int(IDLE_PERIOD_S / step_s) + 2)]


# Guards against a silence that begins as idle polls are renewed and blinds all nodes.
@pytest.mark.parametrize("loses_open_calls", [False, True])
@pytest.mark.parametrize("length_s", [0.6, 1.5, 4.5])
@pytest.mark.parametrize("zone_sizes", [(1,), (1, 1), (4, 4, 4)])
def test_a_revision_is_in_force_in_time_after_a_silence_at_any_moment(
    zone_sizes, length_s, loses_open_calls
):
    assert play(zone_sizes, steps(0.5), length_s, loses_open_calls) == {}


@pytest.mark.parametrize("loses_open_calls", [False, True])
def test_a_revision_is_in_force_in_time_after_a_silence_in_zones_with_readers(
    loses_open_calls,
):
    offsets_s = [0.1, 0.9, 1.0, 1.3]
    assert play((9, 9), offsets_s, 1.5, loses_open_calls, 2.5) == {}


def test_a_node_that_stands_in_for_a_dead_one_asks_the_store_at_once():
    async def scenario():
        simulation, activated_s, due_s = Simulation(), {}, {}
        await start_fleet(simulation, (3, 3), 2.0)
        recording = asyncio.create_task(record_activations(simulation, activated_s))
        await put_config(simulation)
        await asyncio.sleep(0.2)
        async with silence(simulation, loses_open_calls=True):
            await asyncio.sleep(1.5)
        await asyncio.sleep(3.0)
        for host in (simulation.hosts[0], simulation.hosts[4]):
            kill_process(host)
        for _ in range(3):
            revision, written_s = await put_config(simulation)
            due_s[revision] = written_s + 2.0, written_s
            await asyncio.sleep(0.5)
        await asyncio.sleep(2.0)
        recording.cancel()
        return find_late(simulation, activated_s, due_s)

    assert run_simulated(scenario) == {}
