"""A deployed node with its log switched off, or under a profiler, to see what costs."""

from __future__ import annotations

import argparse
import cProfile
import sys
from pathlib import Path
from typing import Any

from agaterelay import deployed


def record_nothing(timeline: Any) -> Any:
    """Return a recorder that leaves every event out."""
    return lambda kind, **fields: None


def main() -> int:
    """Run the node as the platform does."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-log", action="store_true")
    parser.add_argument("--profile", type=Path, help="where to write the profile")
    arguments = parser.parse_args()
    if arguments.no_log:
        deployed.make_recorder = record_nothing
    if arguments.profile is None:
        return deployed.main()
    profile = cProfile.Profile()
    try:
        return profile.runcall(deployed.main)
    finally:
        profile.dump_stats(arguments.profile)


if __name__ == "__main__":
    sys.exit(main())
