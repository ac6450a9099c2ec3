"""Tests of announcement, heartbeat expiry and withdrawal of upstreams."""

import asyncio

import attrs

from agaterelay.core.membership import UpstreamInfo
from agaterelay.tasks.upstreams import (
    FINISH_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    Upstreams,
    apply_announcement,
    apply_withdrawal,
    expire_upstreams,
    extend_heartbeats,
    finish_calls,
)
from tests.tasks.probes import make_context

INFO = UpstreamInfo("counter", "v1", "127.0.1.1:9000", 9)


def make_upstreams():
    published = []
    return Upstreams(make_context("127.0.1.1:7001"), published.append), published


def test_an_upstream_is_published_renewed_drained_and_withdrawn():
    upstreams, published = make_upstreams()
    apply_announcement(upstreams, INFO)
    draining = attrs.evolve(INFO, draining=True)
    apply_announcement(upstreams, draining)
    apply_withdrawal(upstreams, INFO.address)
    assert published == [(INFO,), (draining,), ()]
    assert apply_withdrawal(upstreams, INFO.address) is None


def test_a_heartbeat_lapses_in_its_time_but_not_over_a_pause_of_the_node():
    upstreams, _ = make_upstreams()
    apply_announcement(upstreams, INFO)
    upstreams.node_context.clock.elapsed_s = HEARTBEAT_TIMEOUT_S
    expire_upstreams(upstreams)
    assert INFO.address in upstreams.slots
    upstreams.node_context.clock.elapsed_s = 1000.0
    extend_heartbeats(upstreams, 1000.0 - HEARTBEAT_TIMEOUT_S)
    expire_upstreams(upstreams)
    assert INFO.address in upstreams.slots
    upstreams.node_context.clock.elapsed_s += 0.1
    expire_upstreams(upstreams)
    assert INFO.address not in upstreams.slots


def test_a_withdrawal_is_answered_when_the_calls_have_ended():
    async def scenario():
        upstreams, _ = make_upstreams()
        apply_announcement(upstreams, INFO)
        item = upstreams.slots[INFO.address]
        item.in_flight = 2
        withdrawn = apply_withdrawal(upstreams, INFO.address)
        assert withdrawn is item
        clock = upstreams.node_context.clock
        sleep = clock.sleep

        async def end_a_call(delay_s):
            await sleep(delay_s)
            item.in_flight = max(item.in_flight - 1, 0)

        type(clock).sleep = lambda _, delay_s: end_a_call(delay_s)
        try:
            assert await finish_calls(upstreams, withdrawn)
        finally:
            type(clock).sleep = sleep.__func__
        assert item.in_flight == 0

    asyncio.run(scenario())


def test_a_call_that_never_ends_does_not_hold_an_upstream_for_ever():
    async def scenario():
        upstreams, _ = make_upstreams()
        apply_announcement(upstreams, INFO)
        upstreams.slots[INFO.address].in_flight = 1
        withdrawn = apply_withdrawal(upstreams, INFO.address)
        assert not await finish_calls(upstreams, withdrawn)
        assert upstreams.node_context.clock.elapsed_s >= FINISH_TIMEOUT_S
        assert await finish_calls(upstreams, None)

    asyncio.run(scenario())
