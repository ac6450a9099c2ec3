"""Long bodies of calls pass between nodes in parts, whole or not at all."""

import asyncio
import os

import pytest

from agaterelay.adapters.frames import MAX_BODY_BYTES, Frame, FrameConnection
from agaterelay.mesh.body_parts import MAX_WHOLE_BODY_BYTES, PART_BYTES
from tests.mesh.fleet import kill_node, running_fleet, wait_until
from tests.mesh.test_caller_limits import connect, status_of, use_limits

LARGE_BYTES = 3 * PART_BYTES + 1000


def accounts(fleet):
    return [host.node.inbound.account for host in fleet.hosts]


def is_free(fleet):
    return not any(account.used_bytes for account in accounts(fleet))


async def start_upload(fleet, body, path="/read/x"):
    reader, writer = await connect(fleet)
    head = f"POST {path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: long\r\n"
    head += f"X-Request-Deadline: 1500\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    return reader, writer


async def upload(fleet, body, path="/read/x"):
    """Return the status of the answer to a request with a body."""
    reader, writer = await start_upload(fleet, body, path)
    status = status_of(await reader.readuntil(b"\r\n\r\n"))
    writer.close()
    return status


def record_sent(monkeypatch, change=lambda frame: frame):
    """Record the frames that nodes send; ``change`` returns what is sent, or None."""
    frames = []
    send = FrameConnection.send

    def record(connection, frame):
        frames.append(frame)
        changed = change(frame)
        return True if changed is None else send(connection, changed)

    monkeypatch.setattr(FrameConnection, "send", record)
    return frames


def sizes_of(frames, kind):
    return [len(frame[2]) for frame in frames if frame[0] == kind]


@pytest.mark.parametrize("path", ["/read/x", "/fire/x"])
def test_a_long_body_is_sent_in_parts_and_runs_once(path, monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            frames = record_sent(monkeypatch)
            body = os.urandom(LARGE_BYTES)
            assert await upload(fleet, body, path) == 200
            assert fleet.hosts[1].instance.bodies == [body]
            sizes = sizes_of(frames, Frame.BODY_PART)
            assert sizes == [PART_BYTES] * 3 + [1000]
            await wait_until(lambda: is_free(fleet))

    asyncio.run(scenario())


def test_a_short_body_is_sent_with_its_call(monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            frames = record_sent(monkeypatch)
            body = os.urandom(MAX_WHOLE_BODY_BYTES)
            assert await upload(fleet, body) == 200
            assert fleet.hosts[1].instance.bodies == [body]
            assert not sizes_of(frames, Frame.BODY_PART)

    asyncio.run(scenario())


# Guards against an upload that takes the upstream's node over its memory.
def test_no_part_is_sent_to_a_node_without_room(monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            accounts(fleet)[1].limit_bytes = 1000
            frames = record_sent(monkeypatch)
            assert await upload(fleet, os.urandom(LARGE_BYTES)) == 503
            assert not sizes_of(frames, Frame.BODY_PART)
            assert not fleet.hosts[1].instance.ran
            await wait_until(lambda: is_free(fleet))

    asyncio.run(scenario())


# Guards against an outcome that is unknown although nothing can have run.
@pytest.mark.parametrize("path", ["/read/x", "/fire/x"])
def test_a_call_whose_last_part_was_not_sent_is_not_run(path, monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            # Parts are lost on their way, as on a link that has become silent.
            parts = []

            def lose_second_part(frame):
                parts.extend([frame] if frame[0] == Frame.BODY_PART else [])
                return frame if frame[0] != Frame.BODY_PART or len(parts) < 2 else None

            record_sent(monkeypatch, lose_second_part)

            async def stop(connection):
                if len(parts) >= 2:
                    await asyncio.Event().wait()

            monkeypatch.setattr(FrameConnection, "drain", stop)
            assert await upload(fleet, os.urandom(LARGE_BYTES), path) == 503
            assert not fleet.hosts[1].instance.ran
            await wait_until(lambda: is_free(fleet))
            assert not fleet.hosts[1].node.links.incoming_bodies

    asyncio.run(scenario())


def test_a_caller_that_leaves_half_way_frees_the_room_on_both_nodes(monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            incoming = fleet.hosts[1].node.links.incoming_bodies

            async def stop(connection):
                await asyncio.Event().wait()

            monkeypatch.setattr(FrameConnection, "drain", stop)
            _, writer = await start_upload(fleet, os.urandom(LARGE_BYTES))
            await wait_until(lambda: incoming)
            writer.transport.abort()
            await wait_until(lambda: is_free(fleet) and not incoming)
            assert not fleet.hosts[1].instance.ran

    asyncio.run(scenario())


def test_a_link_that_is_lost_half_way_frees_the_room(monkeypatch):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            incoming = fleet.hosts[1].node.links.incoming_bodies

            async def stop(connection):
                await asyncio.Event().wait()

            monkeypatch.setattr(FrameConnection, "drain", stop)
            reader, writer = await start_upload(fleet, os.urandom(LARGE_BYTES))
            await wait_until(lambda: incoming)
            await kill_node(fleet.hosts[1])
            async with asyncio.timeout(5):
                assert status_of(await reader.readuntil(b"\r\n\r\n")) == 503
            account = fleet.hosts[0].node.inbound.account
            await wait_until(lambda: not account.used_bytes)
            writer.close()

    asyncio.run(scenario())


# Guards against bodies that nodes of earlier builds can't read.
@pytest.mark.parametrize(
    ("size_bytes", "status"), [(LARGE_BYTES, 200), (MAX_BODY_BYTES + 1, 503)]
)
def test_a_node_of_an_earlier_build_gets_a_long_body_whole_or_not_at_all(
    size_bytes, status, monkeypatch
):
    async def scenario():
        async with running_fleet(("panel", "desk")) as fleet:
            await use_limits(fleet, maxBodyBytes=64 << 20)
            for link in fleet.hosts[0].node.links.links.values():
                link.takes_parts = False
            frames = record_sent(monkeypatch)
            assert await upload(fleet, bytes(size_bytes)) == status
            assert not sizes_of(frames, Frame.BODY_PART)
            assert len(fleet.hosts[1].instance.ran) == (status == 200)

    asyncio.run(scenario())
