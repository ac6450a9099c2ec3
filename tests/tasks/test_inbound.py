"""Tests of the inbound proxy with a real HTTP upstream: disconnects, queue, stop."""

import asyncio
from datetime import UTC, datetime

import pytest
from aiohttp import web

from agaterelay.adapters.clock import SystemClock
from agaterelay.adapters.http import open_session
from agaterelay.core.admission import COLD_START_S, UpstreamSlots
from agaterelay.core.keys import KeyWindow, mint_key
from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.outcome import Answered, NotRun
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.inbound import Call, Inbound, run_call

HOST = "127.0.0.1:7001"


class Upstream:
    """An upstream that answers once ``may_answer`` is set, and counts its calls."""

    def __init__(self):
        self.runs = 0
        self.cancelled = 0
        self.may_answer = asyncio.Event()
        self.sheds_load = False

    async def handle(self, request):
        if self.sheds_load:
            return web.Response(status=503, headers={"Not-Run": "full"})
        await request.read()
        self.runs += 1
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return web.Response(body=b"line 4")


def run(scenario):
    async def main():
        upstream = Upstream()
        server = web.Server(upstream.handle, handler_cancellation=True)
        runner = web.ServerRunner(server)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        address = "{}:{}".format(*runner.addresses[0][:2])
        async with open_session() as session:
            await scenario(upstream, make_inbound(session, address))
        await runner.cleanup()

    asyncio.run(asyncio.wait_for(main(), 10))


def make_inbound(session, address, slots=1):
    clock = SystemClock()
    context = NodeContext(None, clock, None, None, None, None, lambda *_, **__: None)
    board = Board(Member(HOST, "bangkok-1", incarnation=1, sequence=1))
    item = UpstreamSlots(
        UpstreamInfo("cue-desk", "v1", address, slots),
        clock.monotonic_s(),
        announced_s=clock.monotonic_s() - COLD_START_S,
    )
    return Inbound(context, board, KeyWindow(1), session, {address: item})


def make_call(inbound, **changes):
    fields = {
        "method": "POST",
        "path": "/cue-desk/fire",
        "headers": (),
        "body": b"",
        "route": "cue-fire",
        "service": "cue-desk",
        "version": "v1",
        "request_id": "1",
        "deadline_s": inbound.node_context.clock.monotonic_s() + 60.0,
    }
    return Call(**fields | changes)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def start_and_abandon(upstream, inbound, call):
    task = asyncio.ensure_future(run_call(inbound, call))
    await wait_until(lambda: upstream.runs == 1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def only_slot(inbound):
    return next(iter(inbound.slots.values()))


def test_an_abandoned_idempotent_call_is_cancelled_and_frees_its_slot():
    async def scenario(upstream, inbound):
        await start_and_abandon(upstream, inbound, make_call(inbound, idempotent=True))
        await wait_until(lambda: upstream.cancelled == 1)
        assert only_slot(inbound).in_flight == 0

    run(scenario)


@pytest.mark.parametrize("keyed", [False, True])
def test_an_abandoned_call_that_must_not_run_twice_goes_on(keyed):
    async def scenario(upstream, inbound):
        key = mint_key(HOST, 1, datetime.now(UTC)) if keyed else None
        call = make_call(inbound, key=key)
        await start_and_abandon(upstream, inbound, call)
        assert inbound.in_flight == 1
        retry = asyncio.ensure_future(run_call(inbound, call)) if keyed else None
        upstream.may_answer.set()
        await wait_until(lambda: inbound.in_flight == 0)
        assert (upstream.runs, upstream.cancelled) == (1, 0)
        if retry is not None:
            assert (await retry).body == b"line 4"
            assert (await run_call(inbound, call)).body == b"line 4"
            assert upstream.runs == 1

    run(scenario)


def test_a_call_abandoned_in_the_queue_leaves_it_and_never_runs():
    async def scenario(upstream, inbound):
        first = asyncio.ensure_future(run_call(inbound, make_call(inbound)))
        await wait_until(lambda: upstream.runs == 1)
        second = asyncio.ensure_future(run_call(inbound, make_call(inbound)))
        await wait_until(lambda: inbound.waiters)
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        upstream.may_answer.set()
        assert isinstance(await first, Answered)
        assert not any(map(len, inbound.admission.queues.values()))
        assert upstream.runs == 1
        assert only_slot(inbound).in_flight == 0

    run(scenario)


def test_a_queued_call_runs_when_a_slot_is_free():
    async def scenario(upstream, inbound):
        calls = [asyncio.ensure_future(run_call(inbound, make_call(inbound)))]
        await wait_until(lambda: upstream.runs == 1)
        calls.append(asyncio.ensure_future(run_call(inbound, make_call(inbound))))
        await wait_until(lambda: inbound.waiters)
        upstream.may_answer.set()
        outcomes = await asyncio.gather(*calls)
        assert all(isinstance(outcome, Answered) for outcome in outcomes)
        assert upstream.runs == 2

    run(scenario)


def test_an_upstream_that_sheds_load_is_believed_for_good():
    async def scenario(upstream, inbound):
        upstream.sheds_load = True
        call = make_call(inbound, key=mint_key(HOST, 1, datetime.now(UTC)))
        assert isinstance(await run_call(inbound, call), NotRun)
        upstream.sheds_load = False
        assert isinstance(await run_call(inbound, call), NotRun)
        assert upstream.runs == 0

    run(scenario)


def test_a_stopping_node_refuses_what_it_has_not_sent():
    async def scenario(upstream, inbound):
        inbound.board.stopping = True
        assert isinstance(await run_call(inbound, make_call(inbound)), NotRun)
        assert upstream.runs == 0

    run(scenario)
