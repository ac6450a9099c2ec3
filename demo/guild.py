"""The Harrowgate Scrivener Guild: counter and archive in three availability zones."""

from __future__ import annotations

import sys
from pathlib import Path

from demo.story import ServicePart, Story, tell

STORY = Story(
    title="Harrowgate Scrivener Guild, a market morning",
    document=Path(__file__).parent.parent / "examples" / "guild.yaml",
    zones={"northshire-1": 3, "northshire-2": 2, "northshire-3": 2},
    services=(
        ServicePart(
            name="archive",
            owner="archive-team",
            instances=7,
            slots=9,
            calls=(("GET", "/archive/letter"), ("GET", "/archive/copies")),
            bad_version=False,
        ),
        ServicePart(
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
    sys.exit(tell(STORY))
