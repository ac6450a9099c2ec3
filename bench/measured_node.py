"""Run a deployed node without its log or under a profiler, to attribute its cost."""

from __future__ import annotations

import argparse
import cProfile
import sys
from pathlib import Path
from typing import Any

from agaterelay import deployed


def make_null_recorder(timeline: Any) -> Any:
    """Return a recorder that discards all events."""
    return lambda kind, **fields: None


def main() -> int:
    """Run the node as the platform does."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-log", action="store_true")
    parser.add_argument("--profile", type=Path, help="where to write the profile")
    arguments = parser.parse_args()
    if arguments.no_log:
        deployed.make_recorder = make_null_recorder
    if arguments.profile is None:
        return deployed.main()
    profile = cProfile.Profile()
    try:
        return profile.runcall(deployed.main)
    finally:
        profile.dump_stats(arguments.profile)


if __name__ == "__main__":
    sys.exit(main())
