"""The HTTP client against servers that violate HTTP.

The servers write raw bytes. Each request must end as not sent, as lost, or with the
complete response to that request.
"""

import asyncio

import pytest
from hypothesis import given, settings, strategies as st

from agaterelay.adapters import http
from agaterelay.adapters.http import (
    AnswerLostError,
    NotSentError,
    open_session,
    send_once,
)
from agaterelay.adapters.outcomes import decode_outcome
from agaterelay.client import Caller
from agaterelay.core.outcome import Answered, Unknown

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"
)


class RawServer:
    """Responds with prepared bytes and closes the connection after incomplete ones.

    A response is bytes, or a list of bytes to write and seconds to wait between them.
    None closes the connection without a response.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while line := await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                self.requests.append(line.decode())
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    return
                for part in answer if isinstance(answer, list) else [answer]:
                    await self.write_or_wait(writer, part)
                if isinstance(answer, bytes) and not answer.endswith(b"whole"):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def write_or_wait(self, writer, part):
        if isinstance(part, float):
            await asyncio.sleep(part)
        else:
            writer.write(part)
            await writer.drain()


async def send(session, server, method="GET", timeout_s=1.0):
    return await send_once(session, method, server.address, "/x", b"", (), timeout_s)


def run(scenario):
    return asyncio.run(scenario())


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_a_request_on_a_kept_connection_that_breaks_is_lost_and_not_sent_again(method):
    async def scenario():
        async with RawServer(WHOLE, None, WHOLE) as server, open_session() as session:
            await send(session, server, method)
            with pytest.raises(AnswerLostError):
                await send(session, server, method)
            return server

    server = run(scenario)
    assert (server.connections, len(server.requests)) == (1, 2)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
        CHUNKED[:-3],
        CHUNKED[:-12],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nwhole",
        b"not HTTP at all\r\n\r\n",
    ],
)
def test_an_answer_that_is_not_whole_is_lost(answer):
    async def scenario():
        async with RawServer(answer) as server, open_session() as session:
            with pytest.raises(AnswerLostError):
                await send(session, server)

    run(scenario)


@given(cut=st.integers(0, len(WHOLE) - 1))
@settings(max_examples=20)
def test_an_answer_cut_anywhere_is_lost(cut):
    async def scenario():
        async with RawServer(WHOLE[:cut]) as server, open_session() as session:
            with pytest.raises(AnswerLostError):
                await send(session, server)

    run(scenario)


def test_bytes_that_nobody_asked_for_do_not_answer_the_next_request():
    unsolicited = WHOLE.replace(b"whole", b"other")

    async def scenario():
        async with RawServer([WHOLE, 0.02, unsolicited], WHOLE) as server:
            async with open_session() as session:
                await send(session, server)
                await asyncio.sleep(0.05)
                return (await send(session, server)).body

    assert run(scenario) == b"whole"


def test_a_late_answer_does_not_answer_the_next_request():
    late = WHOLE.replace(b"whole", b"later")

    async def scenario():
        async with RawServer([0.2, late], WHOLE) as server:
            async with open_session() as session:
                with pytest.raises(AnswerLostError):
                    await send(session, server, timeout_s=0.05)
                return (await send(session, server)).body

    assert run(scenario) == b"whole"


def test_a_request_given_up_half_way_leaves_nothing_to_the_next():
    async def scenario():
        async with RawServer([WHOLE[:-2], 0.2, b"le"], WHOLE) as server:
            async with open_session() as session:
                first = asyncio.ensure_future(send(session, server))
                await asyncio.sleep(0.05)
                first.cancel()
                await asyncio.gather(first, return_exceptions=True)
                return (await send(session, server)).body

    assert run(scenario) == b"whole"


def test_an_answer_over_the_bound_is_lost(monkeypatch):
    monkeypatch.setattr(http, "MAX_RESPONSE_BYTES", 4)
    test_an_answer_that_is_not_whole_is_lost(WHOLE)


def test_a_refused_connection_means_not_sent():
    async def scenario():
        async with RawServer() as server:
            pass
        async with open_session() as session:
            with pytest.raises(NotSentError):
                await send(session, server)

    run(scenario)


def node_answer(request_id, outcome="answered", status=b"200 OK", extra=b""):
    head = b"HTTP/1.1 %b\r\nAgaterelay-Outcome: %b\r\nRequest-Id: %b\r\n%b"
    end = b"Content-Length: 5\r\n\r\nwhole"
    return head % (status, outcome.encode(), request_id.encode(), extra) + end


async def call(server, method="GET", idempotent=True):
    async with Caller((server.address,), 1.0) as caller:
        return await caller.call(method, "/x", b"", idempotent, "mine")


def test_the_library_takes_only_the_answer_to_its_own_request():
    async def scenario():
        async with RawServer(*[node_answer("another")] * 3) as server:
            other = await call(server)
        async with RawServer(node_answer("mine")) as server:
            return other, await call(server)

    other, mine = run(scenario)
    assert isinstance(other, Unknown)
    assert isinstance(mine, Answered)
    assert mine.body == b"whole"


def test_the_library_follows_no_redirect():
    extra = b"Location: http://127.0.0.1:1/gone\r\n"
    redirect = node_answer("mine", status=b"307 Moved", extra=extra)

    async def scenario():
        async with RawServer(redirect) as server:
            return await call(server)

    outcome = run(scenario)
    assert isinstance(outcome, Answered)
    assert outcome.status == 307


def test_an_answer_without_a_word_on_the_outcome_is_unknown():
    without_outcome = WHOLE.replace(b"Content", b"Request-Id: mine\r\nContent")

    async def scenario():
        async with RawServer(without_outcome) as server, open_session() as session:
            return decode_outcome(await send(session, server), "mine")

    assert run(scenario).reason == "the node did not say what became of the call"
