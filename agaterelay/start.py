"""Start the deployed node; the first thing that runs of it.

A signal to read the settings again may come at any moment, also while the node's
libraries are still being loaded, which takes some tenths of a second and more on a busy
host. Until the node listens for it, it would end the process; so it is noted here first.
"""

from __future__ import annotations

import signal
import sys

_noted: list[int] = []


def reload_was_asked() -> bool:
    """Return whether the settings were to be read again before the node listened."""
    return bool(_noted)


def main() -> int:
    """Note early signals, then load the node and run it."""
    signal.signal(signal.SIGHUP, lambda number, frame: _noted.append(number))
    from agaterelay.deployed import main as run

    return run(reload_was_asked)


if __name__ == "__main__":
    sys.exit(main())
