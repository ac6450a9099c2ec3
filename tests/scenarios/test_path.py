"""The whole path over real processes: a document goes in, a request comes out."""

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from agaterelay.client import Caller
from agaterelay.core.outcome import Answered
from standins.deployment import (
    ADMIN_KEY,
    deployment,
    fetch,
    start_upstream,
    stop,
    wait_until,
)

EXAMPLE = Path(__file__).parents[2] / "examples" / "siamsong.yaml"

pytestmark = pytest.mark.scenario


def apply_sections(running, *sections):
    for section, key in sections:
        key_file = running.folder / f"{section}.key"
        key_file.write_text(key)
        command = [sys.executable, "-m", "agaterelay.cli.main", "apply", str(EXAMPLE)]
        command += ["--node", running.hosts[0].operators, "--section", section]
        command += ["--key-file", str(key_file), "--wait"]
        done = subprocess.run(command, capture_output=True, text=True)
        assert done.returncode == 0, done.stderr


def test_document_in_request_out():
    with deployment({"bangkok-1": 2, "bangkok-2": 1}, probe_period_s=0.3) as running:
        address = start_upstream(running, running.hosts[2], "cue-desk", "v1")
        apply_sections(running, ("owners", ADMIN_KEY), ("cue-desk", "cue-team-key"))
        status_url = f"http://{running.hosts[0].operators}/v1/status"
        wait_until(lambda: fetch(status_url)["upstreams"], "the announcement")

        async def fire():
            async with Caller((running.hosts[0].calls,)) as caller:
                return await caller.call("POST", "/cue-desk/fire", b"cue 1")

        outcome = asyncio.run(fire())
        assert isinstance(outcome, Answered)
        assert outcome.status == 200
        records = fetch(f"http://{address}/-/records")
        assert [entry["path"] for entry in records] == ["/cue-desk/fire"]
        assert stop(running.hosts[1].node) == 0
