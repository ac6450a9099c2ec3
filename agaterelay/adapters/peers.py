"""Client and server of the gRPC protocol between nodes."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import grpc

from agaterelay.adapters import wire, wire_events, wire_evidence
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
    # A new channel to a host must not inherit the connection backoff of an earlier one.
    ("grpc.use_local_subchannel_pool", 1),
)

# Status codes that only a running peer returns.
_PEER_ALIVE_CODES = frozenset(
    {
        grpc.StatusCode.RESOURCE_EXHAUSTED,
        grpc.StatusCode.FAILED_PRECONDITION,
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.UNKNOWN,
    }
)


@attrs.define
class _Link:
    """A channel, its number of calls in progress, and whether the host was unavailable."""

    channel: grpc.aio.Channel
    stub: peer_pb2_grpc.PeerStub
    calls: int = 0
    unavailable: bool = False


class PeerClient:
    """Calls other nodes over a bounded number of channels.

    The least recently used idle channels are closed when the limit is exceeded. ``count``
    is called for every request with the method and the bytes sent and received.
    """

    def __init__(
        self,
        timeout_s: float,
        credentials: grpc.ChannelCredentials | None = None,
        count: Callable[[str, int, int], None] = lambda method, sent, received: None,
        max_channels: int = MAX_CHANNELS,
    ) -> None:
        self._timeout_s = timeout_s
        self._credentials = credentials
        self.count = count
        self._max_channels = max_channels
        self._links: OrderedDict[str, _Link] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def hosts(self) -> tuple[str, ...]:
        """The hosts with an open channel, least recently used first."""
        return tuple(self._links)

    def _open_channel(self, host: str) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(host, options=_OPTIONS)
        return grpc.aio.secure_channel(host, self._credentials, options=_OPTIONS)

    def _link(self, host: str) -> _Link:
        link = self._links.get(host)
        if link is None:
            self._close_surplus_channels()
            channel = self._open_channel(host)
            link = _Link(channel, peer_pb2_grpc.PeerStub(channel))
            self._links[host] = link
        self._links.move_to_end(host)
        return link

    def _close_surplus_channels(self) -> None:
        idle = [host for host, link in self._links.items() if not link.calls]
        surplus = len(self._links) + 1 - self._max_channels
        for host in idle[: max(surplus, 0)]:
            self._close(self._links.pop(host))

    def _close(self, link: _Link) -> None:
        task = asyncio.create_task(link.channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _discard_channel(self, host: str, link: _Link) -> None:
        """Drop a channel so that the next call to its host connects without backoff.

        Callers have their own backoff, and the host may be available again soon.
        """
        link.unavailable = True
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
            PeerError: The call failed, or its reply is invalid.
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
                self._discard_channel(host, link)
            message = f"{method} to {host}: {code.name}"
            raise PeerError(message, reached=code in _PEER_ALIVE_CODES) from error
        except ValueError as error:
            raise PeerError(f"{method} to {host}: {error}", reached=True) from error
        finally:
            link.calls -= 1
            if link.unavailable and not link.calls:
                self._close(link)

    async def exchange(self, host: str, exchange: Exchange) -> Exchange:
        """Probe a host and exchange membership views."""
        request = wire.exchange_to_request(exchange)
        return await self._call(host, "Exchange", request, wire.exchange_from_wire)

    async def probe_for(self, host: str, target: str) -> bool:
        """Ask a host to probe another one; return whether it was reached."""
        request = pb.ProbeForRequest(protocol=wire.PROTOCOL, host=target)
        return (await self._call(host, "ProbeFor", request)).reached

    async def notify(self, host: str, notify: Notify) -> int:
        """Notify a host of a revision; return the highest revision that it holds."""
        reply = await self._call(host, "Notify", wire.notify_to_wire(notify))
        return reply.held_revision

    async def fetch(self, host: str, digests: tuple[str, ...]) -> Fetched:
        """Request bodies by digest."""
        request = pb.FetchRequest(protocol=wire.PROTOCOL, digests=digests)
        reply = await self._call(host, "Fetch", request)
        return Fetched(dict(reply.bodies), reply.retry_after_s)

    async def witness(self, host: str, own_host: str, revision: int) -> FloorAnswer:
        """Report the revision that this host is about to serve; return the floor."""
        request = pb.WitnessRequest(
            protocol=wire.PROTOCOL, host=own_host, revision=revision
        )
        return wire.floor_from_wire(await self._call(host, "Witness", request))

    async def evidence(self, host: str, trial: str) -> EvidenceReport:
        """Request a host's evidence on a trial of a move."""
        request = pb.EvidenceRequest(protocol=wire.PROTOCOL, trial=trial)
        return await self._call(
            host, "Evidence", request, wire_evidence.report_from_wire
        )

    async def events(self, host: str, query: EventsQuery) -> EventsReport:
        """Request a host's newest events that match a query."""
        request = wire_events.query_to_wire(query)
        return await self._call(host, "Events", request, wire_events.events_from_wire)

    async def status(self, host: str) -> NodeStatus:
        """Request a host's status."""
        request = pb.StatusRequest(protocol=wire.PROTOCOL)
        return await self._call(host, "Status", request, wire.status_from_wire)

    async def close(self) -> None:
        """Close all channels."""
        for link in self._links.values():
            await link.channel.close()
        await asyncio.gather(*self._closing, return_exceptions=True)


@attrs.frozen
class PeerHandlers:
    """The node's handler for each request of a peer."""

    exchange: Callable[[Exchange], Exchange]
    probe_for: Callable[[str], Awaitable[bool]]
    notify: Callable[[Notify], int]
    fetch: Callable[[tuple[str, ...]], Fetched]
    witness: Callable[[str, int], FloorAnswer]
    evidence: Callable[[str], EvidenceReport]
    events: Callable[[EventsQuery], EventsReport]
    status: Callable[[], NodeStatus]


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Validates requests and passes them to the node's handlers."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    async def _check_protocol(
        self, request: Any, context: grpc.aio.ServicerContext
    ) -> None:
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
        await self._check_protocol(request, context)
        try:
            return decode(request)
        except ValueError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    async def Exchange(self, request, context):  # noqa: N802
        """Handle a probe with the peer's membership view."""
        exchange = await self._decode(wire.exchange_from_wire, request, context)
        return wire.exchange_to_reply(self._handlers.exchange(exchange))

    async def ProbeFor(self, request, context):  # noqa: N802
        """Probe another host on behalf of a peer."""
        host = await self._decode(wire.probe_from_wire, request, context)
        return pb.ProbeForReply(reached=await self._handlers.probe_for(host))

    async def Notify(self, request, context):  # noqa: N802
        """Handle a revision notification."""
        notify = await self._decode(wire.notify_from_wire, request, context)
        return pb.NotifyReply(held_revision=self._handlers.notify(notify))

    async def Fetch(self, request, context):  # noqa: N802
        """Return bodies by digest."""
        digests = await self._decode(wire.digests_from_wire, request, context)
        fetched = self._handlers.fetch(digests)
        # Manifests and sections are text that compresses to about a quarter of its size.
        context.set_compression(grpc.Compression.Gzip)
        return pb.FetchReply(bodies=fetched.bodies, retry_after_s=fetched.retry_after_s)

    async def Witness(self, request, context):  # noqa: N802
        """Record the revision that a host is about to serve; return the floor."""
        host, revision = await self._decode(wire.witness_from_wire, request, context)
        return wire.floor_to_wire(self._handlers.witness(host, revision))

    async def Evidence(self, request, context):  # noqa: N802
        """Return this node's evidence on a trial of a move."""
        await self._check_protocol(request, context)
        return wire_evidence.evidence_to_reply(self._handlers.evidence(request.trial))

    async def Events(self, request, context):  # noqa: N802
        """Return the events that match a query."""
        query = await self._decode(wire_events.query_from_wire, request, context)
        report = self._handlers.events(query)
        return pb.EventsReply(
            events=[wire_events.event_to_wire(item) for item in report.events]
        )

    async def Status(self, request, context):  # noqa: N802
        """Return this node's status."""
        await self._check_protocol(request, context)
        return wire.status_to_wire(self._handlers.status())


async def start_peer_server(
    address: str,
    handlers: PeerHandlers,
    credentials: grpc.ServerCredentials | None = None,
) -> grpc.aio.Server:
    """Start the server for peers.

    Args:
        address: The address to listen on, as IP:PORT.
        handlers: The node's handlers.
        credentials: The TLS credentials; None serves plain text to any peer.

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
