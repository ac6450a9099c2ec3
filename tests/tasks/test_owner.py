"""What the owner does with calls whose callers go away, over a real upstream."""

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
from agaterelay.tasks.owner import Call, Owner, run_call

HOST = "127.0.0.1:7001"


class Upstream:
    """Answers each call when told to; counts what ran and what was cancelled."""

    def __init__(self):
        self.runs = 0
        self.cancelled = 0
        self.go_on = asyncio.Event()
        self.shed = False

    async def handle(self, request):
        if self.shed:
            return web.Response(status=503, headers={"Not-Run": "full"})
        await request.read()
        self.runs += 1
        try:
            await self.go_on.wait()
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
            await scenario(upstream, build_owner(session, address))
        await runner.cleanup()

    asyncio.run(asyncio.wait_for(main(), 10))


def build_owner(session, address, slots=1):
    clock = SystemClock()
    world = NodeContext(None, clock, None, None, None, None, lambda *_, **__: None)
    board = Board(Member(HOST, "bangkok-1", incarnation=1, sequence=1))
    item = UpstreamSlots(
        UpstreamInfo("cue-desk", "v1", address, slots),
        clock.monotonic_s(),
        announced_s=clock.monotonic_s() - COLD_START_S,
    )
    return Owner(world, board, KeyWindow(1), session, {address: item})


def call_of(owner, **changes):
    fields = {
        "method": "POST",
        "path": "/cue-desk/fire",
        "headers": (),
        "body": b"",
        "route": "cue-fire",
        "service": "cue-desk",
        "version": "v1",
        "request_id": "1",
        "deadline_s": owner.node_context.clock.monotonic_s() + 60.0,
    }
    return Call(**fields | changes)


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def start_and_abandon(upstream, owner, call):
    task = asyncio.ensure_future(run_call(owner, call))
    await until(lambda: upstream.runs == 1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def slot_of(owner):
    return next(iter(owner.slots.values()))


def test_an_abandoned_idempotent_call_is_cancelled_and_frees_its_slot():
    async def scenario(upstream, owner):
        await start_and_abandon(upstream, owner, call_of(owner, idempotent=True))
        await until(lambda: upstream.cancelled == 1)
        assert slot_of(owner).in_flight == 0

    run(scenario)


@pytest.mark.parametrize("keyed", [False, True])
def test_an_abandoned_call_that_must_not_run_twice_goes_on(keyed):
    async def scenario(upstream, owner):
        key = mint_key(HOST, 1, datetime.now(UTC)) if keyed else None
        call = call_of(owner, key=key)
        await start_and_abandon(upstream, owner, call)
        assert owner.in_flight == 1
        repeat = asyncio.ensure_future(run_call(owner, call)) if keyed else None
        upstream.go_on.set()
        await until(lambda: owner.in_flight == 0)
        assert (upstream.runs, upstream.cancelled) == (1, 0)
        if repeat is not None:
            assert (await repeat).body == b"line 4"
            assert (await run_call(owner, call)).body == b"line 4"
            assert upstream.runs == 1

    run(scenario)


def test_a_call_abandoned_in_the_queue_leaves_it_and_never_runs():
    async def scenario(upstream, owner):
        first = asyncio.ensure_future(run_call(owner, call_of(owner)))
        await until(lambda: upstream.runs == 1)
        second = asyncio.ensure_future(run_call(owner, call_of(owner)))
        await until(lambda: owner.waiting)
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        upstream.go_on.set()
        assert isinstance(await first, Answered)
        assert not any(map(len, owner.admission.queues.values()))
        assert upstream.runs == 1
        assert slot_of(owner).in_flight == 0

    run(scenario)


def test_a_queued_call_runs_when_a_slot_is_free():
    async def scenario(upstream, owner):
        calls = [asyncio.ensure_future(run_call(owner, call_of(owner)))]
        await until(lambda: upstream.runs == 1)
        calls.append(asyncio.ensure_future(run_call(owner, call_of(owner))))
        await until(lambda: owner.waiting)
        upstream.go_on.set()
        outcomes = await asyncio.gather(*calls)
        assert all(isinstance(outcome, Answered) for outcome in outcomes)
        assert upstream.runs == 2

    run(scenario)


def test_an_upstream_that_sheds_load_is_believed_for_good():
    async def scenario(upstream, owner):
        upstream.shed = True
        call = call_of(owner, key=mint_key(HOST, 1, datetime.now(UTC)))
        assert isinstance(await run_call(owner, call), NotRun)
        upstream.shed = False
        assert isinstance(await run_call(owner, call), NotRun)
        assert upstream.runs == 0

    run(scenario)


def test_a_stopping_node_refuses_what_it_has_not_sent():
    async def scenario(upstream, owner):
        owner.board.stopping = True
        assert isinstance(await run_call(owner, call_of(owner)), NotRun)
        assert upstream.runs == 0

    run(scenario)
