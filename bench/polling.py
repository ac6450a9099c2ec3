"""The baseline of the convergence bench: every node polls the whole document.

Each poller is a process of its own. Once a second, with jitter, it reads the head row
and all objects of the document, and records when it first read each revision.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import subprocess
import sys
import time
from datetime import UTC, datetime
from typing import Any

from aiohttp import web

from agaterelay.adapters.platform import PlatformClient
from agaterelay.core.manifest import (
    decode_head,
    decode_manifest,
    digest_of,
    encode_head,
    encode_manifest,
)
from agaterelay.core.model import Head, Manifest, SectionRef
from agaterelay.ports import PlatformError
from bench.fleet import build_document
from bench.measure import measure_usage, read_loopback_bytes, summarize_values
from standins.deployment import deployment, fetch, wait_until

POLL_PERIOD_S = 1.0
CHANGE_COUNT = 20
IDLE_S = 10.0
POLLER_PORT = 7300


async def poll_forever(client: PlatformClient, first_seen_ms: dict[int, int]) -> None:
    """Poll head and document until cancelled.

    Args:
        client: The client of the platform.
        first_seen_ms: The time at which each revision was first read, in milliseconds
            since the epoch; this function adds to it.
    """
    while True:
        # The platform refuses reads beyond its limits; the next round retries them.
        with contextlib.suppress(PlatformError):
            await poll_once(client, first_seen_ms)
        await asyncio.sleep(POLL_PERIOD_S * random.uniform(0.8, 1.2))


async def poll_once(client: PlatformClient, first_seen_ms: dict[int, int]) -> None:
    """Read the head and the whole document once.

    Raises:
        PlatformError: A read was refused or not answered.
    """
    row = await client.read("head")
    head = decode_head(row.value)[0] if row else None
    if head is None:
        return
    body = await client.get(f"bodies/{head.digest}")
    manifest, _ = decode_manifest(body, head.digest)
    for reference in manifest.sections:
        await client.get(f"bodies/{reference.digest}")
    first_seen_ms.setdefault(head.revision, int(time.time() * 1000))


async def run_poller(platform: str, listen: str) -> None:
    """Poll until killed, and serve the times of the revisions over HTTP."""
    client = PlatformClient(f"http://{platform}/table", f"http://{platform}/objects", 2)
    await client.open()
    first_seen_ms: dict[int, int] = {}

    async def handle_seen(_: web.Request) -> web.Response:
        return web.json_response(first_seen_ms)

    application = web.Application()
    application.router.add_get("/seen", handle_seen)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, port = listen.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    await poll_forever(client, first_seen_ms)


async def commit_document(client: PlatformClient, revision: int) -> int:
    """Commit a document as a revision; return the time in ms since the epoch."""
    references = []
    for name, text in build_document(version=f"v{revision}").items():
        body = text.encode()
        digest = digest_of(body)
        await client.put(f"bodies/{digest}", body)
        references.append(SectionRef(name, "team", digest))
    manifest = Manifest(revision, datetime.now(UTC), tuple(references))
    body = encode_manifest(manifest)
    await client.put(f"bodies/{digest_of(body)}", body)
    head = Head(revision, digest_of(body))
    await client.write("head", encode_head(head), revision - 1)
    return int(time.time() * 1000)


async def measure_changes(platform: str, pollers: list[str]) -> list[float]:
    """Commit changes; return the delay of each poller and change in seconds."""
    client = PlatformClient(f"http://{platform}/table", f"http://{platform}/objects", 5)
    await client.open()
    committed_ms = {}
    for revision in range(1, CHANGE_COUNT + 1):
        committed_ms[revision] = await commit_document(client, revision)
        await asyncio.sleep(POLL_PERIOD_S * 1.5)
    await client.close()
    delays_s = []
    for address in pollers:
        for revision, at_ms in (fetch(f"http://{address}/seen") or {}).items():
            delays_s.append(max(at_ms - committed_ms[int(revision)], 0) / 1000)
    return delays_s


def measure_polling(nodes: int) -> dict[str, Any]:
    """Run the baseline with a number of nodes; return its figures."""
    with deployment({}) as running:
        pollers, processes = [], []
        for index in range(nodes):
            address = f"127.{running.block}.1.{index + 1}:{POLLER_PORT}"
            command = [sys.executable, "-m", "bench.polling", "--listen", address]
            command += ["--platform", running.platform_address]
            processes.append(subprocess.Popen(command))
            pollers.append(address)
        try:
            for address in pollers:
                url = f"http://{address}/seen"
                wait_until(lambda url=url: fetch(url) is not None, "pollers", 60)
            delays_s = asyncio.run(measure_changes(running.platform_address, pollers))
            pids = [process.pid for process in processes]
            url = f"http://{running.platform_address}/counts"
            reads, sent_bytes, cpu = (
                fetch(url),
                read_loopback_bytes(),
                measure_usage(pids),
            )
            time.sleep(IDLE_S)
            reads_after, sent_bytes_after, cpu_after = (
                fetch(url),
                read_loopback_bytes(),
                measure_usage(pids),
            )
        finally:
            for process in processes:
                process.kill()
                process.wait()
    read_count = sum(
        reads_after[name]["reads"] - reads[name]["reads"] for name in reads
    )
    return {
        "convergence_s": summarize_values(delays_s),
        "reads_per_s": round(read_count / IDLE_S, 1),
        "refused": sum(reads_after[name]["refused"] for name in reads_after),
        "bytes_per_node_s": round((sent_bytes_after - sent_bytes) / IDLE_S / nodes),
        "cpu_percent_per_node": round(
            (cpu_after.cpu_s - cpu.cpu_s) / IDLE_S / nodes * 100, 2
        ),
    }


def main() -> None:
    """Run one poller."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--listen", required=True)
    arguments = parser.parse_args()
    asyncio.run(run_poller(arguments.platform, arguments.listen))


if __name__ == "__main__":
    main()
