"""A stand-in for an instance on the users' platform, with faults to inject.

It announces itself to the node of its host, runs a limited number of calls at the same
time, and answers with its seal. Tests read the calls that it ran and set its faults.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

import aiohttp
import attrs

MAX_HEAD_BYTES = 64 << 10


@attrs.define
class Instance:
    """The state of an instance; ``born_ms`` identifies one start of it.

    ``fault`` is one of: ``""`` (none), ``error`` (answers 500), ``reset`` (runs the call,
    then resets the connection), ``early_end`` (sends a part of the answer), ``extra``
    (sends a second answer after it), ``late_extra`` (the same, 20 ms later), ``garbage``
    (the answer is not HTTP), ``no_seal`` (the answer lacks the seal header), ``silent``
    (never answers), ``stale_refusal`` (writes a refusal of an earlier call, which names
    no call, before it runs the call and answers).

    The next ``silent_count`` calls are never answered; they run until they are closed.

    A call of ``deadly_path`` ends the instance. ``crash_count`` counts its ends.

    An answer has ``body_bytes`` bytes if that is not 0, else the expected body.

    ``answer_headers`` are added to every answer, each with its own value, as they are,
    and ``health_headers`` to the answers of the health check.

    ``ran`` counts how often each call id ran. ``heads`` and ``bodies`` are the requests of
    the calls that ran; the request line is under the empty name.
    """

    instance: str
    service: str
    address: str
    version: str = "v1"
    zone: str = "a"
    slots: int = 4
    service_time_s: float = 0.0
    born_ms: int = 1_000
    fault: str = ""
    deadly_path: str = ""
    crash_count: int = 0
    silent_count: int = 0
    body_bytes: int = 0
    answer_headers: list[tuple[str, str]] = attrs.field(factory=list)
    health_headers: list[tuple[str, str]] = attrs.field(factory=list)
    ran: Counter[str] = attrs.field(factory=Counter)
    # For each call: its start on the monotonic clock, in seconds, the ``born_ms`` of the
    # instance at that time, and the call id.
    started_calls: list[tuple[float, int, str]] = attrs.field(factory=list)
    heads: list[dict[str, str]] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)
    leaving: bool = False
    running: int = 0
    peak_running: int = 0
    aborted_count: int = 0
    sequence: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)


def expected_body(call_id: str) -> bytes:
    """Return the complete answer body of a call."""
    return hashlib.sha256(call_id.encode()).hexdigest().encode() * 8


async def start_instance(instance: Instance) -> None:
    """Start to serve calls; returns once the address is bound.

    Raises:
        OSError: The address cannot be bound.
    """
    host, port = instance.address.rsplit(":", 1)
    instance.server = await asyncio.start_server(
        lambda reader, writer: _serve(instance, reader, writer), host, int(port)
    )


def stop_instance(instance: Instance) -> None:
    """Close the listening socket without a withdrawal, as a crash does."""
    if instance.server is not None:
        instance.server.close()


def crash_instance(instance: Instance) -> None:
    """End an instance as a crash of its process does."""
    instance.crash_count += 1
    stop_instance(instance)
    for writer in tuple(instance.writers):
        writer.transport.abort()


async def announce(
    instance: Instance,
    node: str,
    state: str = "ready",
    late_sequence: int | None = None,
    **changes: Any,
) -> int:
    """Send one announcement to a node.

    Args:
        instance: The instance to announce.
        node: The address of the node.
        state: The announced state.
        late_sequence: The sequence number of an earlier announcement, to simulate one
            that was delayed on the network; None to use the next number.
        changes: Fields of the announcement that replace those of the instance.

    Returns:
        The HTTP status of the answer.
    """
    if late_sequence is None:
        instance.sequence += 1
        instance.leaving = state == "draining"
    else:
        changes["sequence"] = late_sequence
    announcement = {
        "service": instance.service,
        "address": instance.address,
        "zone": instance.zone,
        "version": instance.version,
        "concurrency": instance.slots,
        "state": state,
        "coldLeft": "0ms",
        "sequence": instance.sequence,
        "born": instance.born_ms,
        **changes,
    }
    url = f"http://{node}/v1/instances/{instance.instance}"
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, json=announcement) as response,
    ):
        return response.status


async def withdraw(instance: Instance, node: str) -> int:
    """Withdraw the instance from a node; return the HTTP status of the answer."""
    url = f"http://{node}/v1/instances/{instance.instance}"
    async with (
        aiohttp.ClientSession() as session,
        session.delete(url, json={"born": instance.born_ms}) as response,
    ):
        return response.status


async def _serve(
    instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    instance.writers.add(writer)
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
            body = await reader.readexactly(int(headers.get("Content-Length", 0)))
            await _run(instance, lines[0], headers, body, reader, writer)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        instance.writers.discard(writer)
        writer.close()


async def _run(
    instance: Instance,
    line: str,
    headers: dict[str, str],
    body: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    call_id = headers.get("X-Attempt-Id", "")
    if line.startswith("GET /healthz"):
        status = 503 if instance.leaving else 200
        own_headers = {"X-Instance-Id": instance.instance}
        more = [*instance.answer_headers, *instance.health_headers]
        _write(writer, status, own_headers, b"", more)
        return
    if headers.get("X-Expect-Instance", instance.instance) != instance.instance:
        own_headers = {"X-Instance-Id": instance.instance, "X-Attempt-Id": call_id}
        _write(writer, 421, own_headers, b"", instance.answer_headers)
        return
    if instance.running >= instance.slots:
        own_headers = {"X-Not-Executed": "1", "X-Attempt-Id": call_id}
        _write(writer, 503, own_headers, b"", instance.answer_headers)
        return
    if instance.fault == "stale_refusal":
        _write(writer, 503, {"X-Not-Executed": "1"}, b"")
    instance.ran[call_id] += 1
    instance.started_calls.append((time.monotonic(), instance.born_ms, call_id))
    instance.heads.append({"": line, **headers})
    instance.bodies.append(body)
    instance.running += 1
    instance.peak_running = max(instance.peak_running, instance.running)
    try:
        await _wait_service_time(instance, reader)
    finally:
        instance.running -= 1
    if instance.deadly_path and line.split(" ")[1] == instance.deadly_path:
        crash_instance(instance)
        raise ConnectionResetError
    _answer(instance, call_id, writer)


async def _wait_service_time(instance: Instance, reader: asyncio.StreamReader) -> None:
    """Wait for the service time; abort the call where its connection is closed before.

    Raises:
        ConnectionResetError: The connection was closed, or more was sent on it.
    """
    delay_s = 3600.0 if instance.fault == "silent" else instance.service_time_s
    if instance.silent_count:
        instance.silent_count -= 1
        delay_s = 3600.0
    if not delay_s:
        return
    closed = asyncio.ensure_future(reader.read(1))
    done, _ = await asyncio.wait({closed}, timeout=delay_s)
    if done:
        instance.aborted_count += 1
        raise ConnectionResetError
    closed.cancel()
    await asyncio.wait({closed})


def _answer(instance: Instance, call_id: str, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Attempt-Id": call_id, "X-Server-Seal": f"seal.{instance.instance}"}
    body = b"a" * instance.body_bytes or expected_body(call_id)
    fault = instance.fault
    if fault == "error":
        _write(writer, 500, headers, b"failed", instance.answer_headers)
    elif fault == "reset":
        writer.transport.abort()
        raise ConnectionResetError
    elif fault == "early_end":
        head = _head(200, {**headers, "Content-Length": str(len(body))})
        writer.write(head + body[:40])
        raise ConnectionResetError
    elif fault == "garbage":
        writer.write(b"\x00\x01not an answer\r\n\r\n")
    elif fault == "no_seal":
        _write(writer, 200, {"X-Attempt-Id": call_id}, body)
    else:
        _write(writer, 200, headers, body, instance.answer_headers)
        if fault == "extra":
            _write(writer, 200, headers, b"again")
        elif fault == "late_extra":
            asyncio.get_running_loop().call_later(
                0.02, lambda: _write(writer, 200, headers, b"again")
            )


def _head(
    status: int, headers: dict[str, str], more: Iterable[tuple[str, str]] = ()
) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (*headers.items(), *more)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _write(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
    more: Iterable[tuple[str, str]] = (),
) -> None:
    if writer.is_closing():
        return
    headers = {**headers, "Content-Length": str(len(body))}
    writer.write(_head(status, headers, more) + body)
