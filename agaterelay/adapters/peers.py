"""The nodes' protocol over gRPC: a client for all peers, and a server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import grpc

from agaterelay.adapters import wire
from agaterelay.core.messages import (
    EventsReport,
    EvidenceReport,
    Exchange,
    Fetched,
    NodeStatus,
    Notify,
)
from agaterelay.core.timeline import Stamp
from agaterelay.ports import PeerError
from agaterelay.proto import peer_pb2 as pb, peer_pb2_grpc

MAX_MESSAGE_BYTES = 4 << 20
MAX_CONCURRENT_RPCS = 64
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)


class PeerClient:
    """Calls other nodes; keeps one channel to each that was called."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._stubs: dict[str, tuple[grpc.aio.Channel, peer_pb2_grpc.PeerStub]] = {}

    def _stub(self, host: str) -> peer_pb2_grpc.PeerStub:
        if host not in self._stubs:
            channel = grpc.aio.insecure_channel(host, options=_OPTIONS)
            self._stubs[host] = (channel, peer_pb2_grpc.PeerStub(channel))
        return self._stubs[host][1]

    async def _call(self, host: str, method: str, request: object) -> object:
        try:
            stub = self._stub(host)
            return await getattr(stub, method)(request, timeout=self._timeout_s)
        except grpc.aio.AioRpcError as error:
            raise PeerError(f"{method} to {host}: {error.code().name}") from error

    async def exchange(self, host: str, exchange: Exchange) -> Exchange:
        """Probe a host and exchange views."""
        reply = await self._call(host, "Exchange", wire.exchange_to_request(exchange))
        return wire.exchange_from_wire(reply)

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

    async def witness(self, host: str, own_host: str, revision: int) -> int:
        """Tell a host which revision this one is about to serve.

        Returns:
            The highest revision that the other saw this host serve.
        """
        request = pb.WitnessRequest(
            protocol=wire.PROTOCOL, host=own_host, revision=revision
        )
        return (await self._call(host, "Witness", request)).floor

    async def evidence(self, host: str, trial: str) -> EvidenceReport:
        """Ask a host what it saw of a trial of a move."""
        request = pb.EvidenceRequest(protocol=wire.PROTOCOL, trial=trial)
        return wire.evidence_from_wire(await self._call(host, "Evidence", request))

    async def events(self, host: str, after: Stamp, most: int) -> EventsReport:
        """Ask a host for its newest events."""
        request = pb.EventsRequest(
            protocol=wire.PROTOCOL, after=wire.stamp_to_wire(after), most=most
        )
        reply = await self._call(host, "Events", request)
        return EventsReport(tuple(wire.event_from_wire(item) for item in reply.events))

    async def status(self, host: str) -> NodeStatus:
        """Ask a host which revision it serves."""
        request = pb.StatusRequest(protocol=wire.PROTOCOL)
        return wire.status_from_wire(await self._call(host, "Status", request))

    async def close(self) -> None:
        """Close all channels."""
        for channel, _ in self._stubs.values():
            await channel.close()


@attrs.frozen
class PeerHandlers:
    """What a node does on each request of a peer."""

    exchange: Callable[[Exchange], Exchange]
    probe_for: Callable[[str], Awaitable[bool]]
    notify: Callable[[Notify], int]
    fetch: Callable[[tuple[str, ...]], Awaitable[Fetched]]
    witness: Callable[[str, int], int]
    evidence: Callable[[str], EvidenceReport]
    events: Callable[[Stamp, int], EventsReport]
    status: Callable[[], NodeStatus]


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Checks requests and hands them to the node."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    async def _check(self, request: object, context: grpc.aio.ServicerContext) -> None:
        if request.protocol != wire.PROTOCOL:
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"this node speaks protocol {wire.PROTOCOL}, not {request.protocol}",
            )

    async def Exchange(self, request, context):  # noqa: N802
        """Answer a probe."""
        await self._check(request, context)
        try:
            exchange = wire.exchange_from_wire(request)
        except ValueError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        return wire.exchange_to_reply(self._handlers.exchange(exchange))

    async def ProbeFor(self, request, context):  # noqa: N802
        """Probe a third host."""
        await self._check(request, context)
        return pb.ProbeForReply(reached=await self._handlers.probe_for(request.host))

    async def Notify(self, request, context):  # noqa: N802
        """Take news of a revision."""
        await self._check(request, context)
        held = self._handlers.notify(wire.notify_from_wire(request))
        return pb.NotifyReply(held_revision=held)

    async def Fetch(self, request, context):  # noqa: N802
        """Hand out bodies."""
        await self._check(request, context)
        fetched = await self._handlers.fetch(tuple(request.digests))
        return pb.FetchReply(bodies=fetched.bodies, retry_after_s=fetched.retry_after_s)

    async def Witness(self, request, context):  # noqa: N802
        """Remember what a host serves."""
        await self._check(request, context)
        floor = self._handlers.witness(request.host, request.revision)
        return pb.WitnessReply(floor=floor)

    async def Evidence(self, request, context):  # noqa: N802
        """Tell what this node saw of a move."""
        await self._check(request, context)
        return wire.evidence_to_reply(self._handlers.evidence(request.trial))

    async def Events(self, request, context):  # noqa: N802
        """Hand out events."""
        await self._check(request, context)
        after = wire.stamp_from_wire(request.after)
        report = self._handlers.events(after, request.most)
        return pb.EventsReply(
            events=[wire.event_to_wire(item) for item in report.events]
        )

    async def Status(self, request, context):  # noqa: N802
        """Tell which revision this node serves."""
        await self._check(request, context)
        return wire.status_to_wire(self._handlers.status())


async def start_peer_server(address: str, handlers: PeerHandlers) -> grpc.aio.Server:
    """Start to serve peers.

    Raises:
        OSError: The address cannot be bound.
    """
    server = grpc.aio.server(
        options=_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_RPCS
    )
    peer_pb2_grpc.add_PeerServicer_to_server(PeerServicer(handlers), server)
    try:
        server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}") from error
    await server.start()
    return server
