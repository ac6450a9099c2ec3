"""The demo of the Harrowgate Scrivener Guild: two services in three availability zones."""

from __future__ import annotations

import sys
from pathlib import Path

from demo.story import DemoService, Scenario, run_demo

SCENARIO = Scenario(
    title="Harrowgate Scrivener Guild, a market morning",
    document=Path(__file__).parent.parent / "examples" / "guild.yaml",
    zones={"northshire-1": 3, "northshire-2": 2, "northshire-3": 2},
    services=(
        DemoService(
            name="archive",
            owner="archive-team",
            instances=7,
            slots=9,
            calls=(("GET", "/archive/letter"), ("GET", "/archive/copies")),
            bad_version=False,
        ),
        DemoService(
            name="counter",
            owner="counter-team",
            instances=5,
            slots=9,
            calls=(("POST", "/counter/dispatch"), ("GET", "/counter/lookup")),
            bad_version=True,
        ),
    ),
    other_sections=(
        ("stalls", "counter-team"),
        ("scans", "archive-team"),
        ("post", "post-team"),
        ("ledgers", "ledger-team"),
        ("office", "office-team"),
    ),
    edit=("timeout_ms: 3000", "timeout_ms: 2500"),
)

if __name__ == "__main__":
    sys.exit(run_demo(SCENARIO))
