"""The cost of callers' keys: look-up, and decoding a configuration with workspaces.

Look-ups go through all that a request pays for its key: the header is parsed, the key
digested and its workspace found. Documents have 1,700 routes beside the workspaces, and
are decoded with the cache that a node keeps between configurations.

    python -m bench.keys [--workspaces 1000] [--keys 100]
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import msgpack

from agaterelay.core.delta import diff
from agaterelay.core.model import Workspace
from agaterelay.core.workspaces import (
    digest_key,
    identify_caller,
    index_keys,
    update_index,
)
from agaterelay.platform.config import KnownRoutes, decode_config
from agaterelay.platform.headers import parse_credential
from bench.measure import summarize_values, write_result

LOOKUP_COUNT = 20_000
REPEAT_COUNT = 15
ROUTE_COUNT = 1700
KEY_SIZE_BYTES = 40
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout", "service", "public"]
WORKSPACE_COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst"]


def make_key(number: int) -> str:
    """Return a key of usual length."""
    return f"key-{number:x}".ljust(KEY_SIZE_BYTES, "x")


def make_document(
    version: int, workspace_count: int, key_count: int, changed_keys: int = 0
) -> bytes:
    """Return a configuration.

    Args:
        version: Its version.
        workspace_count: The number of workspaces.
        key_count: The number of keys of each.
        changed_keys: In how many workspaces one key differs from that of version 1.
    """
    routes = [
        [f"r{number}", "app.example", f"/p{number}/", "idempotent", "1s", "desk", None]
        for number in range(ROUTE_COUNT)
    ]
    workspaces: list[list[Any]] = []
    for number in range(workspace_count):
        first = number * key_count
        keys = [make_key(first + item) for item in range(key_count)]
        if number < changed_keys:
            keys[0] = make_key(version << 32 | number)
        workspaces.append([f"workspace-{number}", keys, 1, 25.0, 25.0])
    return json.dumps(
        {
            "version": f"{version:x}",
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {"columns": ["name"], "rows": [["desk"]]},
            "tenants": {"columns": WORKSPACE_COLUMNS, "rows": workspaces},
        },
        separators=(",", ":"),
    ).encode()


def measure_lookups(key_count: int) -> dict[str, float]:
    """Return the time of a look-up in microseconds, for known and unknown keys."""
    digests = [digest_key(make_key(item).encode()) for item in range(key_count)]
    index = index_keys(
        Workspace(f"w{number}", tuple(digests[number::100])) for number in range(100)
    )
    step = max(key_count // LOOKUP_COUNT, 1)
    result = {}
    for name, offset in (("known_us", 0), ("unknown_us", key_count)):
        requests = [
            (
                (b"Host", b"app.example"),
                (b"X-Attempt-Id", b"1f3a"),
                (
                    b"Authorization",
                    f"Token {make_key(offset + item * step % key_count)}".encode(),
                ),
            )
            for item in range(LOOKUP_COUNT)
        ]
        times_us = []
        for _ in range(REPEAT_COUNT):
            start_s = time.perf_counter()
            for headers in requests:
                identify_caller(index, parse_credential(headers), False)
            times_us.append((time.perf_counter() - start_s) / LOOKUP_COUNT * 1e6)
        result[name] = round(min(times_us), 3)
    return result


def measure_decoding(
    workspace_count: int, key_count: int, changed_keys: int
) -> dict[str, Any]:
    """Return how long a document takes after one that differs in some keys."""
    documents = [
        make_document(version, workspace_count, key_count, changed_keys)
        for version in range(1, REPEAT_COUNT + 1)
    ]
    known = KnownRoutes()
    decode_config(documents[0], known=known)
    decode_ms = [
        _time_ms(partial(decode_config, value, known=known)) for value in documents[1:]
    ]
    table, _ = decode_config(documents[0])
    index_ms = [
        _time_ms(lambda: index_keys(table.workspaces or ()))
        for _ in range(REPEAT_COUNT)
    ]
    update_ms = [_measure_update_ms(value, known) for value in documents]
    steps, _ = diff(documents[0], documents[1])
    return {
        "document_bytes": len(documents[0]),
        "decode_ms": summarize_values(decode_ms),
        "index_ms": summarize_values(index_ms),
        "index_update_ms": summarize_values(update_ms),
        "delta_bytes": len(msgpack.packb(steps)),
        "delta_steps": len(steps),
    }


def _measure_update_ms(value: bytes, known: KnownRoutes) -> float:
    """Return how long the index takes for a document after the last decoded one."""
    before = known.workspace_rows or ()
    index = index_keys(before)
    table, _ = decode_config(value, known=known)
    after = table.workspaces if table and table.workspaces else ()
    return _time_ms(partial(update_index, index, before, after))


def _time_ms(function: Callable[[], object]) -> float:
    start_s = time.perf_counter()
    function()
    return (time.perf_counter() - start_s) * 1000


def main() -> None:
    """Measure and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workspaces", type=int, default=1000)
    parser.add_argument("--keys", type=int, default=100)
    arguments = parser.parse_args()
    total = arguments.workspaces * arguments.keys
    result: dict[str, Any] = {"lookup": {}}
    for count in (100, total):
        result["lookup"][str(count)] = measure_lookups(count)
        print(f"look-up among {count}:", result["lookup"][str(count)], flush=True)
    cases = {
        "without_workspaces": (0, 0, 0),
        "nothing_changed": (arguments.workspaces, arguments.keys, 0),
        "one_key_changed": (arguments.workspaces, arguments.keys, 1),
        "few_keys_one_changed": (76, 4, 1),
        "one_workspace_of_many_keys": (1, total, 1),
    }
    for name, case in cases.items():
        result[name] = measure_decoding(*case)
        print(f"{name}:", result[name], flush=True)
    write_result("keys", result)


if __name__ == "__main__":
    main()
