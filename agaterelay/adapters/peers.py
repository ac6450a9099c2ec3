"""The nodes' protocol over gRPC: a client for all peers, and a server."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import grpc

from agaterelay.adapters import wire, wire_events
from agaterelay.core.floors import FloorAnswer
from agaterelay.core.messages import (
    EventsReport,
    EvidenceReport,
    Exchange,
    Fetched,
    NodeStatus,
    Notify,
)
from agaterelay.core.timeline import EventsQuery
from agaterelay.ports import PeerError
from agaterelay.proto import peer_pb2 as pb, peer_pb2_grpc

MAX_MESSAGE_BYTES = 4 << 20
MAX_CONCURRENT_RPCS = 64
MAX_CHANNELS = 16
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    # Another channel to the same host does not inherit an older one's backoff.
    ("grpc.use_local_subchannel_pool", 1),
)

# Status codes that a running peer itself answers with.
_REACHED = frozenset(
    {
        grpc.StatusCode.RESOURCE_EXHAUSTED,
        grpc.StatusCode.FAILED_PRECONDITION,
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.UNKNOWN,
    }
)


@attrs.define
class _Link:
    """A channel and the calls under way on it; ``broken`` where one found nobody."""

    channel: grpc.aio.Channel
    stub: peer_pb2_grpc.PeerStub
    calls: int = 0
    broken: bool = False


class PeerClient:
    """Calls other nodes over a bounded number of channels.

    The channel that was idle for longest is closed to make room for another one.
    ``count`` is told of every message: the method, and the bytes sent and received.
    """

    def __init__(
        self,
        timeout_s: float,
        credentials: grpc.ChannelCredentials | None = None,
        count: Callable[[str, int, int], None] = lambda method, sent, received: None,
        most_channels: int = MAX_CHANNELS,
    ) -> None:
        self._timeout_s = timeout_s
        self._credentials = credentials
        self.count = count
        self._most_channels = most_channels
        self._links: OrderedDict[str, _Link] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def hosts(self) -> tuple[str, ...]:
        """The hosts with an open channel, the longest idle first."""
        return tuple(self._links)

    def _open_channel(self, host: str) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(host, options=_OPTIONS)
        return grpc.aio.secure_channel(host, self._credentials, options=_OPTIONS)

    def _link(self, host: str) -> _Link:
        link = self._links.get(host)
        if link is None:
            self._make_room()
            channel = self._open_channel(host)
            link = _Link(channel, peer_pb2_grpc.PeerStub(channel))
            self._links[host] = link
        self._links.move_to_end(host)
        return link

    def _make_room(self) -> None:
        idle = [host for host, link in self._links.items() if not link.calls]
        surplus = len(self._links) + 1 - self._most_channels
        for host in idle[: max(surplus, 0)]:
            self._close(self._links.pop(host))

    def _close(self, link: _Link) -> None:
        task = asyncio.create_task(link.channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _give_up(self, host: str, link: _Link) -> None:
        """Make the next call to a host connect at once, not after a backoff.

        Whoever calls has a backoff of its own, and a host may be back in a moment.
        """
        link.broken = True
        if self._links.get(host) is link:
            del self._links[host]

    async def _call(
        self,
        host: str,
        method: str,
        request: Any,
        decode: Callable[[Any], Any] = lambda reply: reply,
    ) -> Any:
        """Send a request and decode its reply.

        Raises:
            PeerError: There was no answer, or one that makes no sense.
        """
        link = self._link(host)
        link.calls += 1
        try:
            reply = await getattr(link.stub, method)(request, timeout=self._timeout_s)
            self.count(method, request.ByteSize(), reply.ByteSize())
            return decode(reply)
        except grpc.aio.AioRpcError as error:
            self.count(method, request.ByteSize(), 0)
            code = error.code()
            if code is grpc.StatusCode.UNAVAILABLE:
                self._give_up(host, link)
            message = f"{method} to {host}: {code.name}"
            raise PeerError(message, reached=code in _REACHED) from error
        except ValueError as error:
            raise PeerError(f"{method} to {host}: {error}", reached=True) from error
        finally:
            link.calls -= 1
            if link.broken and not link.calls:
                self._close(link)

    async def exchange(self, host: str, exchange: Exchange) -> Exchange:
        """Probe a host and exchange views."""
        request = wire.exchange_to_request(exchange)
        return await self._call(host, "Exchange", request, wire.exchange_from_wire)

    async def probe_for(self, host: str, target: str) -> bool:
        """Ask a host to probe a third one."""
        request = pb.ProbeForRequest(protocol=wire.PROTOCOL, host=target)
        return (await self._call(host, "ProbeFor", request)).reached

    async def notify(self, host: str, notify: Notify) -> int:
        """Tell a host of a revision; return the highest one it holds."""
        reply = await self._call(host, "Notify", wire.notify_to_wire(notify))
        return reply.held_revision

    async def fetch(self, host: str, digests: tuple[str, ...]) -> Fetched:
        """Ask a host for bodies by digest."""
        request = pb.FetchRequest(protocol=wire.PROTOCOL, digests=digests)
        reply = await self._call(host, "Fetch", request)
        return Fetched(dict(reply.bodies), reply.retry_after_s)

    async def witness(self, host: str, own_host: str, revision: int) -> FloorAnswer:
        """Tell a host which revision this one is about to serve; ask for the floor."""
        request = pb.WitnessRequest(
            protocol=wire.PROTOCOL, host=own_host, revision=revision
        )
        return wire.floor_from_wire(await self._call(host, "Witness", request))

    async def evidence(self, host: str, trial: str) -> EvidenceReport:
        """Ask a host what it saw of a trial of a move."""
        request = pb.EvidenceRequest(protocol=wire.PROTOCOL, trial=trial)
        return await self._call(host, "Evidence", request, wire.report_from_wire)

    async def events(self, host: str, query: EventsQuery) -> EventsReport:
        """Ask a host for its newest events that a query asks for."""
        request = wire_events.query_to_wire(query)
        return await self._call(host, "Events", request, wire_events.events_from_wire)

    async def status(self, host: str) -> NodeStatus:
        """Ask a host which revision it serves."""
        request = pb.StatusRequest(protocol=wire.PROTOCOL)
        return await self._call(host, "Status", request, wire.status_from_wire)

    async def close(self) -> None:
        """Close all channels."""
        for link in self._links.values():
            await link.channel.close()
        await asyncio.gather(*self._closing, return_exceptions=True)


@attrs.frozen
class PeerHandlers:
    """What a node does on each request of a peer."""

    exchange: Callable[[Exchange], Exchange]
    probe_for: Callable[[str], Awaitable[bool]]
    notify: Callable[[Notify], int]
    fetch: Callable[[tuple[str, ...]], Fetched]
    witness: Callable[[str, int], FloorAnswer]
    evidence: Callable[[str], EvidenceReport]
    events: Callable[[EventsQuery], EventsReport]
    status: Callable[[], NodeStatus]


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Checks requests and hands them to the node."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    async def _check(self, request: Any, context: grpc.aio.ServicerContext) -> None:
        if request.protocol != wire.PROTOCOL:
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"this node speaks protocol {wire.PROTOCOL}, not {request.protocol}",
            )

    async def _decode(
        self,
        decode: Callable[[Any], Any],
        request: Any,
        context: grpc.aio.ServicerContext,
    ) -> Any:
        await self._check(request, context)
        try:
            return decode(request)
        except ValueError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    async def Exchange(self, request, context):  # noqa: N802
        """Answer a probe."""
        exchange = await self._decode(wire.exchange_from_wire, request, context)
        return wire.exchange_to_reply(self._handlers.exchange(exchange))

    async def ProbeFor(self, request, context):  # noqa: N802
        """Probe a third host."""
        host = await self._decode(wire.probe_from_wire, request, context)
        return pb.ProbeForReply(reached=await self._handlers.probe_for(host))

    async def Notify(self, request, context):  # noqa: N802
        """Take news of a revision."""
        notify = await self._decode(wire.notify_from_wire, request, context)
        return pb.NotifyReply(held_revision=self._handlers.notify(notify))

    async def Fetch(self, request, context):  # noqa: N802
        """Hand out bodies."""
        digests = await self._decode(wire.digests_from_wire, request, context)
        fetched = self._handlers.fetch(digests)
        return pb.FetchReply(bodies=fetched.bodies, retry_after_s=fetched.retry_after_s)

    async def Witness(self, request, context):  # noqa: N802
        """Remember what a host serves."""
        host, revision = await self._decode(wire.witness_from_wire, request, context)
        return wire.floor_to_wire(self._handlers.witness(host, revision))

    async def Evidence(self, request, context):  # noqa: N802
        """Tell what this node saw of a move."""
        await self._check(request, context)
        return wire.evidence_to_reply(self._handlers.evidence(request.trial))

    async def Events(self, request, context):  # noqa: N802
        """Hand out events."""
        query = await self._decode(wire_events.query_from_wire, request, context)
        report = self._handlers.events(query)
        return pb.EventsReply(
            events=[wire_events.event_to_wire(item) for item in report.events]
        )

    async def Status(self, request, context):  # noqa: N802
        """Tell which revision this node serves."""
        await self._check(request, context)
        return wire.status_to_wire(self._handlers.status())


async def start_peer_server(
    address: str,
    handlers: PeerHandlers,
    credentials: grpc.ServerCredentials | None = None,
) -> grpc.aio.Server:
    """Start to serve peers; with credentials only those that have theirs.

    Raises:
        OSError: The address cannot be bound.
    """
    server = grpc.aio.server(
        options=_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_RPCS
    )
    peer_pb2_grpc.add_PeerServicer_to_server(PeerServicer(handlers), server)
    try:
        if credentials is None:
            server.add_insecure_port(address)
        else:
            server.add_secure_port(address, credentials)
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}") from error
    await server.start()
    return server
