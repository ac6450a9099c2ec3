"""Entry point of the deployed node: handles early reload signals, then runs the node.

SIGHUP requests a reload of the settings and may arrive while the node's libraries are
still being imported, which takes some tenths of a second, and more on a busy host. Its
default action ends the process, so a handler is installed before the imports.
"""

from __future__ import annotations

import signal
import sys

_early_signals: list[int] = []


def reload_requested() -> bool:
    """Return whether a reload was requested before the node handled the signal."""
    return bool(_early_signals)


def main() -> int:
    """Record early signals, then import and run the node."""
    signal.signal(signal.SIGHUP, lambda number, frame: _early_signals.append(number))
    from agaterelay.deployed import main as run

    return run(reload_requested)


if __name__ == "__main__":
    sys.exit(main())
