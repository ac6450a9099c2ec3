"""After a short silence of the store, all nodes serve an old config for seconds."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    CALLS_PORT,
    Site,
    exchange,
    main,
    new_id,
    request,
    route,
)

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
SILENT_AFTER_S = 0.1
SILENT_S = 1.5
NEXT_CONFIG_AFTER_S = 3.0
WATCHED_S = 12.0
INTERVAL_S = 0.1


async def probe(site: Site, ip: str, found: list[tuple[float, int]]) -> None:
    """Send one request on the route that was added last."""
    call_id = new_id()
    sent_s = site.record.now_s()
    with suppress(OSError, asyncio.IncompleteReadError):
        status = await exchange((ip, CALLS_PORT), request(call_id, "/added/1", 1500))
        site.record(f"{call_id} at {ip}, sent at {sent_s:.3f} s, got {status}")
        found.append((sent_s, status))


async def play(site: Site, with_trouble: bool) -> bool:
    """Write a config, silence the store, and write another config later."""
    lookup = route("/lookup/", "counter", timeout_ms=800, target_ms=400)
    added = route("/added/", "counter", timeout_ms=800, target_ms=400)
    await site.start(["counter"] * 4, [lookup])
    await site.write_config(2, [{**lookup, "timeout": "900ms"}])
    await asyncio.sleep(SILENT_AFTER_S)
    site.store.silent = with_trouble
    site.record("the store is silent" if with_trouble else "the store goes on")
    await asyncio.sleep(SILENT_S)
    site.store.silent = False
    healed_s = site.record.now_s()
    site.record("the store answers")
    await asyncio.sleep(NEXT_CONFIG_AFTER_S - SILENT_S - SILENT_AFTER_S)
    await site.write_config(3, [lookup, added])
    due_s = max(site.record.now_s() + CONFIG_APPLY_S, healed_s + CONTACT_S)
    found: list[tuple[float, int]] = []
    while site.record.now_s() < healed_s + WATCHED_S:
        await asyncio.gather(*(probe(site, node.ip, found) for node in site.nodes))
        await asyncio.sleep(INTERVAL_S)
    late = [sent_s for sent_s, status in found if status == 404 and sent_s > due_s]
    site.record(
        f"{len(late)} requests got 404 later than {due_s:.1f} s, when the config had to "
        f"be in force{f'; the last was sent at {late[-1]:.1f} s' if late else ''}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
