"""The demo of Siamsong Surtitles: two services in three availability zones."""

from __future__ import annotations

import sys
from pathlib import Path

from demo.story import DemoService, Scenario, run_demo

SCENARIO = Scenario(
    title="Siamsong Surtitles, opening night",
    document=Path(__file__).parent.parent / "examples" / "siamsong.yaml",
    zones={"bangkok-1": 2, "bangkok-2": 2, "bangkok-3": 2},
    services=(
        DemoService(
            name="panel-feed",
            owner="panel-team",
            instances=6,
            slots=12,
            calls=(("GET", "/panel-feed/live"), ("GET", "/panel-feed/archive")),
            bad_version=False,
        ),
        DemoService(
            name="cue-desk",
            owner="cue-team",
            instances=5,
            slots=12,
            calls=(("POST", "/cue-desk/fire"), ("GET", "/cue-desk/script")),
            bad_version=True,
        ),
    ),
    other_sections=(
        ("prompters", "cue-team"),
        ("panel-control", "panel-team"),
        ("rehearsal-archive", "archive-team"),
        ("script-desk", "script-team"),
        ("front-of-house", "house-team"),
    ),
    edit=("timeout_ms: 800", "timeout_ms: 700"),
)

if __name__ == "__main__":
    sys.exit(run_demo(SCENARIO))
