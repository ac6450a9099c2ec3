"""A check-in that can't be read makes a node crash when it is stopped."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    CALLS_PORT,
    HOST_NAME,
    Site,
    main,
    new_id,
    read_message,
    render,
    route,
)

CONSUMER_COUNT = 8
WORK_S = 1.0
# A character cut in two, as some writers encode it: no valid UTF-8.
UNREADABLE = b"v1\xed\xa0\xbd"
# How long before SIGTERM the check-in arrives, and the requests are sent.
CHECK_IN_S, REQUESTS_S = 1.0, 0.3


def odd_check_in(ip: str) -> bytes:
    """Return a check-in of another writer, with bytes that can't be read."""
    fields = {
        "service": "counter",
        "address": f"{ip}:9",
        "zone": "market-east",
        "version": "VERSION",
        "concurrency": 9,
        "state": "ready",
        "coldLeft": "0ms",
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    body = json.dumps(fields).encode().replace(b"VERSION", UNREADABLE)
    headers = {"Host": ip, "Content-Type": "application/json"}
    return render("PUT /v1/instances/i-odd HTTP/1.1", headers, body)


async def dispatch(site: Site, ip: str) -> str:
    """Send a non-idempotent request; return its id if it gets no answer."""
    call_id = new_id()
    headers = {
        "Host": HOST_NAME,
        "X-Attempt-Id": call_id,
        "X-Request-Deadline": 3000,
    }
    reader, writer = await asyncio.open_connection(ip, CALLS_PORT)
    writer.write(render("POST /dispatch/1 HTTP/1.1", headers, b"a letter"))
    try:
        first, _, _ = await read_message(reader)
    except (OSError, asyncio.IncompleteReadError) as error:
        site.record(f"{call_id}: no answer, {type(error).__name__}")
        return call_id
    finally:
        writer.close()
    site.record(f"{call_id} got '{first}'")
    return ""


async def play(site: Site, with_trouble: bool) -> bool:
    """Stop a node that serves requests, with an odd check-in before or without."""
    routes = [
        route("/lookup/", "counter", timeout_ms=800, target_ms=400),
        route("/dispatch/", "archive", "non_idempotent", 3000, 2000),
    ]
    await site.start(["counter", "archive", "archive"], routes)
    node = site.nodes[0]
    for item in site.nodes:
        item.instance.work_s = WORK_S
    if with_trouble:
        status = await node.instance.send(odd_check_in(node.ip))
        site.record(f"a check-in that can't be read is answered {status}")
    await asyncio.sleep(CHECK_IN_S - REQUESTS_S)
    sent = [asyncio.create_task(dispatch(site, node.ip)) for _ in range(CONSUMER_COUNT)]
    await asyncio.sleep(REQUESTS_S)
    node.send_signal(signal.SIGTERM)
    unanswered = set(await asyncio.gather(*sent)) - {""}
    await asyncio.wait_for(node.process.wait(), 10)
    site.record(f"{node.name} ended with exit status {node.process.returncode}")
    ran = {call_id for item in site.nodes for _, call_id in item.instance.ran}
    lost = unanswered & ran
    site.record(f"{len(lost)} requests ran and got no answer")
    return not lost


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
